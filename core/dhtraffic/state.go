// Package dhtraffic decides what becomes of each request at one entry
// instance: admission, tokens, claims, slots, retries and refusals. It is pure
// state; the goroutines that serve traffic drive it one event at a time.
package dhtraffic

import (
	"dogwoodhitch/core/dhburn"
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhsteer"
	"dogwoodhitch/core/dhview"
)

// Options are what traffic state starts from.
type Options struct {
	// Instance and Zone are the names from the settings.
	Instance string
	Zone     string
	// StartID is a random number, new at each start.
	StartID uint64
	Now     dhclock.Millis
	// Retries bounds what is sent out again to registered upstreams.
	Retries RetryBudget
}

// RetryBudget bounds, for each service, what all instances together send out
// again in some span: a part of the requests and a reserve beyond it.
type RetryBudget struct {
	// PerMille is the part, in thousandths of the requests.
	PerMille int
	// Reserve is how many more, over all instances.
	Reserve int
}

// State is the traffic state of one instance.
type State struct {
	instance             string
	zone                 string
	startID              uint64
	view                 *dhview.View
	rateLimiters         map[string]*rateLimiter
	limitedOrganisations []string // names of the tenants, sorted
	pools                map[string]*pool
	groups               map[string]*group // of services with registered upstreams
	splits               map[string]*split // by route
	clusterRetries       RetryBudget
	requests             map[uint64]*request
	burn                 *dhburn.Recorder
	lastTokenReport      dhclock.Millis
	links                linkBudgets
	claimRetries         []*request // wait to ask again for their claim
}

// New returns traffic state that serves nothing until it gets a view.
func New(o Options) *State {
	return &State{
		instance:       o.Instance,
		zone:           o.Zone,
		startID:        o.StartID,
		view:           dhview.New(dhview.Options{Catalog: dhcatalog.New(), Applied: o.Now}),
		rateLimiters:   map[string]*rateLimiter{},
		pools:          map[string]*pool{},
		groups:         map[string]*group{},
		splits:         map[string]*split{},
		clusterRetries: o.Retries,
		requests:       map[uint64]*request{},
		burn:           dhburn.New(),
	}
}

// View returns the view that decisions rest on.
func (s *State) View() *dhview.View { return s.view }

// OpenRequests returns how many requests haven't ended.
func (s *State) OpenRequests() int { return len(s.requests) }

// phase is what a request waits for.
type phase int

const (
	waitingForToken phase = iota
	waitingForClaim
	waitingForSlot
	running
)

// request is one request that hasn't ended.
type request struct {
	id             uint64
	received       dhclock.Millis
	deadline       dhclock.Millis
	queueDeadline  dhclock.Millis
	phase          phase
	route          dhcatalog.Route
	service        string
	host           string
	path           string
	object         uint64
	random         uint64
	organisation   string
	key            dhcatalog.KeyHash
	weight         int
	size           int  // bytes of the body
	fromPeer       bool // came from another instance
	claimKey       *dhmessage.ClaimKey
	digest         dhcatalog.KeyHash
	claimGranted   bool // the claim is granted
	claimRetryAt   dhclock.Millis
	waiter         *dhsteer.Waiter
	pool           *pool
	upstream       *dhsteer.Upstream
	triedUpstreams []*dhsteer.Upstream
	group          *group
	member         *dhsteer.Member
	triedMembers   []*dhsteer.Member
	peer           *peer // the instance that the request was passed to
	triedPeers     []*peer
	attempts       int
	label          string
	attemptRecords []dheffect.Attempt
	mayHaveRun     bool
}

// setQueueDeadline lets a request wait for as long as its route says, from now on.
func (r *request) setQueueDeadline(now dhclock.Millis) {
	r.queueDeadline = min(r.deadline, now+r.route.QueueWait())
}

// recordSent remembers where a request is sent.
func (r *request) recordSent(now dhclock.Millis, to string) {
	r.attemptRecords = append(r.attemptRecords, dheffect.NewAttempt(to, now.Since(r.received)))
}

// recordEnded remembers how the last attempt ended.
func (r *request) recordEnded(e *dhevent.AttemptEnded) {
	if n := len(r.attemptRecords); n > 0 {
		r.attemptRecords[n-1] = r.attemptRecords[n-1].Ended(e.End(), e.Latency())
	}
}

func (r *request) remaining(now dhclock.Millis) dhclock.Millis { return r.deadline - now }

// pool is the upstreams of one service and the ways to other instances.
type pool struct {
	*dhsteer.Pool
	peers                  map[string]*peer
	remote                 remoteAdmission
	retryBucket            retryBucket
	maxSlotsSeen           int // most slots seen, which the budget's reserve follows
	lastReservationRequest dhclock.Millis
	coldStart              dhclock.Millis
	// reserveUntil is until when reservations of other instances are kept up.
	reserveUntil dhclock.Millis
}

// creditRetries counts a request that is sent out. A pool that grows starts with a
// full reserve.
func (p *pool) creditRetries(now dhclock.Millis) {
	all, _ := p.Slots(now)
	if all > p.maxSlotsSeen {
		p.retryBucket.level += (all - p.maxSlotsSeen) * retryUnit
		p.maxSlotsSeen = all
	}
	p.retryBucket.capacity = max(minPoolReserve, p.maxSlotsSeen*retryUnit)
	p.retryBucket.credit()
}

// poolOf returns the pool of a service that the catalog holds.
func (s *State) poolOf(service string) *pool {
	p, found := s.pools[service]
	if !found {
		p = &pool{
			Pool:        dhsteer.NewPool(service),
			peers:       map[string]*peer{},
			remote:      remoteAdmission{reservations: map[string]reservation{}},
			retryBucket: newPoolRetryBucket(),
		}
		s.pools[service] = p
	}
	if o, found := s.view.Catalog().Service(service); found {
		p.coldStart = o.ColdStart()
	}
	return p
}

// end forgets a request and counts it.
func (s *State) end(now dhclock.Millis, r *request, kind dheffect.RefusalKind, status int, out *dheffect.List) {
	delete(s.requests, r.id)
	within := true
	if t, found := s.rateLimiters[r.organisation]; found {
		within = !t.holder.Exhausted(now)
	}
	latency := now.Since(r.received)
	if !r.fromPeer && countsTowardsObjective(kind, within) {
		s.burn.Add(now, r.route.Name(), r.organisation, s.isBad(r.route.Name(), kind, status, latency))
	}
	age, _ := s.view.Age(now)
	out.Add(dheffect.NewAccount(dheffect.AccountOptions{
		Label: r.label, Route: r.route.Name(), Service: r.service, Organisation: r.organisation,
		Object: r.object, Kind: kind,
		MayHaveRun: r.mayHaveRun, Status: status, Latency: latency, Deadline: max(0, r.deadline-r.received),
		WithinRate: within, Late: r.route.Objective() > 0 && latency > r.route.Objective(),
		Version: s.view.Catalog().Version(), Age: age, Attempts: r.attemptRecords,
	}))
}

// countsTowardsObjective tells whether a request says something about the service that was
// given: refusals that the caller brought about don't.
func countsTowardsObjective(kind dheffect.RefusalKind, within bool) bool {
	switch kind {
	case dheffect.RefuseOverLimit:
		return within
	case dheffect.RefuseClaimMissing, dheffect.RefuseClaimReused, dheffect.RefuseClaimOpen,
		dheffect.RefuseClaimRan, dheffect.RefuseMalformed, dheffect.RefuseTooLarge, dheffect.CallerGone:
		return false
	default:
		return true
	}
}

// statusServerError is the lowest status code of a server's failure.
const statusServerError = 500

func (s *State) isBad(route string, kind dheffect.RefusalKind, status int, latency dhclock.Millis) bool {
	if kind != "" || status >= statusServerError {
		return true
	}
	for _, o := range s.view.Catalog().Objectives() {
		if o.Route() == route && latency > o.Latency() {
			return true
		}
	}
	return false
}

// refuse ends a request with a reason.
func (s *State) refuse(now dhclock.Millis, r *request, f dheffect.Refusal, out *dheffect.List) {
	if r.claimGranted && !f.MayHaveRun() {
		s.proposeClaimOutcome(now, r, dhmessage.ClaimReleased, nil, out)
	}
	r.mayHaveRun = f.MayHaveRun()
	out.Add(dheffect.NewRefuse(dheffect.RefuseOptions{Request: r.id, Refusal: f}))
	s.end(now, r, f.Kind(), 0, out)
}
