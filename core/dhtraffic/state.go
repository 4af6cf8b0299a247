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
	// Stream is a random number, new at each start.
	Stream uint64
	Now    dhclock.Millis
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
	instance string
	zone     string
	stream   uint64
	view     *dhview.View
	tenants  map[string]*tenant
	limited  []string // names of the tenants, sorted
	pools    map[string]*pool
	groups   map[string]*group // of services with registered upstreams
	splits   map[string]*split // by route
	retries  RetryBudget
	requests map[uint64]*request
	burn     *dhburn.Recorder
	reported dhclock.Millis
	links    linkBudgets
	reclaims []*request // wait to ask again for their claim
}

// New returns traffic state that serves nothing until it gets a view.
func New(o Options) *State {
	return &State{
		instance: o.Instance,
		zone:     o.Zone,
		stream:   o.Stream,
		view:     dhview.New(dhview.Options{Catalog: dhcatalog.New(), Applied: o.Now}),
		tenants:  map[string]*tenant{},
		pools:    map[string]*pool{},
		groups:   map[string]*group{},
		splits:   map[string]*split{},
		retries:  o.Retries,
		requests: map[uint64]*request{},
		burn:     dhburn.New(),
	}
}

// View returns the view that decisions rest on.
func (s *State) View() *dhview.View { return s.view }

// Open returns how many requests haven't ended.
func (s *State) Open() int { return len(s.requests) }

// phase is what a request waits for.
type phase int

const (
	waitsForToken phase = iota
	waitsForClaim
	waitsForSlot
	runs
)

// request is one request that hasn't ended.
type request struct {
	id           uint64
	arrived      dhclock.Millis
	deadline     dhclock.Millis
	waitUntil    dhclock.Millis
	phase        phase
	route        dhcatalog.Route
	service      string
	host         string
	path         string
	object       uint64
	random       uint64
	organisation string
	key          dhcatalog.KeyHash
	weight       int
	size         int  // bytes of the body
	passed       bool // came from another instance
	claim        *dhmessage.ClaimKey
	digest       dhcatalog.KeyHash
	claimed      bool // the claim is granted
	claimAt      dhclock.Millis
	waiter       *dhsteer.Waiter
	pool         *pool
	upstream     *dhsteer.Upstream
	tried        []*dhsteer.Upstream
	group        *group
	member       *dhsteer.Member
	triedMembers []*dhsteer.Member
	peer         *peer // the instance that the request was passed to
	triedPeers   []*peer
	attempts     int
	label        string
	sent         []dheffect.Attempt
	mayHaveRun   bool
}

// startWait lets a request wait for as long as its route says, from now on.
func (r *request) startWait(now dhclock.Millis) {
	r.waitUntil = min(r.deadline, now+r.route.QueueWait())
}

// noteSent remembers where a request is sent.
func (r *request) noteSent(now dhclock.Millis, to string) {
	r.sent = append(r.sent, dheffect.NewAttempt(to, now.Since(r.arrived)))
}

// noteEnded remembers how the last attempt ended.
func (r *request) noteEnded(e *dhevent.AttemptEnded) {
	if n := len(r.sent); n > 0 {
		r.sent[n-1] = r.sent[n-1].Ended(e.End(), e.Latency())
	}
}

func (r *request) timeout(now dhclock.Millis) dhclock.Millis { return r.deadline - now }

// pool is the upstreams of one service and the ways to other instances.
type pool struct {
	*dhsteer.Pool
	peers    map[string]*peer
	intake   intake
	budget   budget
	reserve  int // most slots seen, which the budget's reserve follows
	asked    dhclock.Millis
	coldRamp dhclock.Millis
	// passUntil is until when reservations of other instances are kept up.
	passUntil dhclock.Millis
}

// earnRetry counts a request that is sent out. A pool that grows starts with a
// full reserve.
func (p *pool) earnRetry(now dhclock.Millis) {
	all, _ := p.Slots(now)
	if all > p.reserve {
		p.budget.level += (all - p.reserve) * retryUnit
		p.reserve = all
	}
	p.budget.most = max(poolReserve, p.reserve*retryUnit)
	p.budget.earn()
}

// poolOf returns the pool of a service that the catalog holds.
func (s *State) poolOf(service string) *pool {
	p, found := s.pools[service]
	if !found {
		p = &pool{
			Pool:   dhsteer.NewPool(service),
			peers:  map[string]*peer{},
			intake: intake{reserved: map[string]reservation{}},
			budget: newPoolBudget(),
		}
		s.pools[service] = p
	}
	if o, found := s.view.Catalog().Service(service); found {
		p.coldRamp = o.ColdStart()
	}
	return p
}

// end forgets a request and counts it.
func (s *State) end(now dhclock.Millis, r *request, kind dheffect.RefusalKind, status int, out *dheffect.List) {
	delete(s.requests, r.id)
	within := true
	if t, found := s.tenants[r.organisation]; found {
		within = !t.holder.Exhausted(now)
	}
	latency := now.Since(r.arrived)
	if !r.passed && counts(kind, within) {
		s.burn.Add(now, r.route.Name(), r.organisation, s.bad(r.route.Name(), kind, status, latency))
	}
	age, _ := s.view.Age(now)
	out.Add(dheffect.NewAccount(dheffect.AccountOptions{
		Label: r.label, Route: r.route.Name(), Service: r.service, Organisation: r.organisation,
		Object: r.object, Kind: kind,
		MayHaveRun: r.mayHaveRun, Status: status, Latency: latency, Deadline: max(0, r.deadline-r.arrived),
		WithinRate: within, Late: r.route.Objective() > 0 && latency > r.route.Objective(),
		Version: s.view.Catalog().Version(), Age: age, Attempts: r.sent,
	}))
}

// counts tells whether a request says something about the service that was
// given: refusals that the caller brought about don't.
func counts(kind dheffect.RefusalKind, within bool) bool {
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

func (s *State) bad(route string, kind dheffect.RefusalKind, status int, latency dhclock.Millis) bool {
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
	if r.claimed && !f.MayHaveRun() {
		s.settleClaim(now, r, dhmessage.ClaimReleased, nil, out)
	}
	r.mayHaveRun = f.MayHaveRun()
	out.Add(dheffect.NewRefuse(dheffect.RefuseOptions{Request: r.id, Refusal: f}))
	s.end(now, r, f.Kind(), 0, out)
}
