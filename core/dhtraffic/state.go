// Package dhtraffic decides how one entry instance handles each request:
// admission, rate limit tokens, idempotency claims, slots of upstreams, retries
// and refusals. It does no input or output: the goroutines that serve traffic
// pass it one event at a time and execute the effects that it returns.
package dhtraffic

import (
	"dogwoodhitch/core/dhburn"
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhquarantine"
	"dogwoodhitch/core/dhsteer"
	"dogwoodhitch/core/dhview"
)

// Options are the parameters of a new State. Journals store them.
type Options struct {
	// Instance and Zone are the names from the settings.
	Instance string
	Zone     string
	// StartID is a random number that identifies this start of the process.
	StartID uint64 `journal:"Stream"`
	Now     dhclock.Millis
	// Retries is the cluster's retry budget for each service with registered
	// upstreams.
	Retries RetryBudget
	// MaxConnections is how many connections this instance may have to one upstream;
	// nil for no limit.
	MaxConnections *int
	// DepartureBound is the time after which a registered upstream whose drain or departure was
	// accepted gets no more requests; 0 for no bound.
	DepartureBound dhclock.Millis `journal:"DepartureBound,omitZero"`
	// ChangeBound is the time after which an accepted change is in force; 0 for no bound.
	ChangeBound dhclock.Millis `journal:"ChangeBound,omitZero"`
	// StatusesPromise reports whether callers take some status codes, of any response, for the
	// promise that the request has not run and never will.
	StatusesPromise bool `journal:"StatusesPromise,omitZero"`
}

// RetryBudget limits the retries that all instances together make for a service
// in any period to a fraction of the requests plus a reserve.
type RetryBudget struct {
	// PerMille is the fraction, in thousandths of the requests.
	PerMille int
	// Reserve is the number of further retries, over all instances.
	Reserve int
}

// State is the traffic state of one instance.
type State struct {
	instance             string
	zone                 string
	startID              uint64
	view                 *dhview.View
	rateLimiters         map[string]*rateLimiter
	limitedOrganisations []string // keys of rateLimiters, sorted
	// limitsRevision and limitsChangedAt are the inputs of the last setLimits.
	limitsRevision   uint64
	limitsChangedAt  dhclock.Millis
	pools            map[string]*pool
	groups           map[string]*group // by service with registered upstreams
	splits           map[string]*split // by route
	departureBound   dhclock.Millis
	changeBound      dhclock.Millis
	statusesPromise  bool
	clusterRetries   RetryBudget
	maxConnections   *int
	requests         map[uint64]*request
	burn             *dhburn.Recorder
	lastTokenReport  dhclock.Millis
	links            linkBudgets
	reachability     reachability
	crashes          crashDetector
	suspects         *dhquarantine.Set
	suspectsReported dhquarantine.Replication // to the control state
	claimRetries     []*request               // requests whose claim is due again at claimRetryAt
	stop             *dhevent.StopScheduled   // nil while no stop is scheduled
}

// New returns a State with an empty catalog. It refuses all requests until
// HandleView sets a view.
func New(o Options) *State {
	return &State{
		instance:       o.Instance,
		zone:           o.Zone,
		startID:        o.StartID,
		view:           dhview.New(dhview.Options{Catalog: dhcatalog.New(), AppliedAt: o.Now}),
		rateLimiters:   map[string]*rateLimiter{},
		pools:          map[string]*pool{},
		groups:         map[string]*group{},
		splits:         map[string]*split{},
		clusterRetries: o.Retries,
		maxConnections: o.MaxConnections,
		departureBound: o.DepartureBound, changeBound: o.ChangeBound, statusesPromise: o.StatusesPromise,
		requests:     map[uint64]*request{},
		reachability: newReachability(),
		crashes:      newCrashDetector(),
		suspects:     dhquarantine.NewSet(),
		burn:         dhburn.New(),
	}
}

// View returns the current view of the configuration.
func (s *State) View() *dhview.View { return s.view }

// configAge returns the time since the configuration was last confirmed as current.
func (s *State) configAge(now dhclock.Millis) dhclock.Millis {
	age, _ := s.view.Age(now)
	return age
}

// OpenRequests returns how many requests are waiting or running.
func (s *State) OpenRequests() int { return len(s.requests) }

// phase is the stage of a request.
type phase int

const (
	waitingForToken phase = iota
	waitingForClaim
	waitingForSlot
	running
)

// request is a request that waits or runs.
type request struct {
	id             uint64
	receivedAt     dhclock.Millis
	deadline       dhclock.Millis
	queueDeadline  dhclock.Millis
	phase          phase
	route          dhcatalog.Route
	service        string
	host           string
	path           string
	object         uint64
	random         uint64
	fingerprint    *dhmessage.Fingerprint // nil if the content is unknown
	organisation   string
	key            dhcatalog.Hash
	weight         int
	bodyBytes      int  // bytes of the body
	fromPeer       bool // forwarded by a peer
	claimKey       *dhmessage.ClaimKey
	digest         dhcatalog.Hash
	claimGranted   bool // a claim that must be released or given an outcome
	claimRetryAt   dhclock.Millis
	waiter         *dhsteer.Waiter
	pool           *pool
	upstream       *dhsteer.Upstream
	triedUpstreams []*dhsteer.Upstream
	group          *group
	member         *dhsteer.Member
	triedMembers   []*dhsteer.Member
	peer           *peer // the instance that the request is forwarded to
	triedPeers     []*peer
	attempts       int // that may have reached an upstream
	unsentAttempts int // that did not, while this instance was isolated
	// sentToFallback reports whether a peer, which makes its own attempts, got the request
	// on behalf of this instance while it was isolated.
	sentToFallback  bool
	callerRequestID string
	attemptRecords  []dheffect.Attempt
	mayHaveRun      bool // an attempt ended without showing that the request didn't run
}

// setOrganisation sets the organisation that the request belongs to.
func (r *request) setOrganisation(name string) {
	r.organisation = name
	if r.fingerprint != nil {
		*r.fingerprint = dhmessage.NewFingerprint(name, r.fingerprint.Content())
	}
}

// setQueueDeadline starts the route's queue wait anew, within the deadline.
func (r *request) setQueueDeadline(now dhclock.Millis) {
	r.queueDeadline = min(r.deadline, now+r.route.QueueWait())
}

// limitDeadline ends the request at a given time at the latest.
func (r *request) limitDeadline(at dhclock.Millis) {
	r.deadline, r.queueDeadline = min(r.deadline, at), min(r.queueDeadline, at)
}

// oldConfigAge is the age of the last confirmation from which on the record of an attempt
// holds it, in milliseconds.
const oldConfigAge = dhclock.Second

// recordSent adds an attempt at an upstream or peer to the records, with the age of the
// configuration and the limit that the upstream had reported, or nil.
func (r *request) recordSent(now, configAge dhclock.Millis, to string, limit *dhsteer.RateLimit) {
	if configAge < oldConfigAge {
		configAge = 0
	}
	r.attemptRecords = append(r.attemptRecords, dheffect.NewAttempt(to, now.Since(r.receivedAt), configAge, limit))
}

// recordEnded completes the record of the last attempt.
func (r *request) recordEnded(e *dhevent.AttemptEnded) {
	if n := len(r.attemptRecords); n > 0 {
		r.attemptRecords[n-1] = r.attemptRecords[n-1].WithEnd(e)
	}
}

// remaining returns the time until the deadline.
func (r *request) remaining(now dhclock.Millis) dhclock.Millis { return r.deadline - now }

// pool holds the announced upstreams of one service, the slots that peers have
// reserved for it, and the admission of requests from peers.
type pool struct {
	*dhsteer.Pool
	peers                  map[string]*peer
	remote                 remoteAdmission
	retryBucket            retryBucket
	maxSlotsSeen           int // sets the reserve of the retry budget
	lastReservationRequest dhclock.Millis
	coldStart              dhclock.Millis
	// reserveUntil is the time until which reservations at peers are renewed.
	reserveUntil dhclock.Millis
}

// creditRetries credits one attempt to the retry budget and raises its reserve to
// the highest number of slots seen. An increase starts full.
func (p *pool) creditRetries(now dhclock.Millis) {
	total, _ := p.Slots(now)
	if total > p.maxSlotsSeen {
		p.retryBucket.level += (total - p.maxSlotsSeen) * retryUnit
		p.maxSlotsSeen = total
	}
	p.retryBucket.capacity = max(minPoolReserve, p.maxSlotsSeen*retryUnit)
	p.retryBucket.credit()
}

// poolOf returns the pool of a service, which it creates if needed, with the
// cold-start time of the current catalog.
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

// end removes a request from the state, counts it in the error budgets and adds
// its record to the effects.
func (s *State) end(now dhclock.Millis, r *request, kind dheffect.RefusalKind, status int, out *dheffect.List) {
	delete(s.requests, r.id)
	withinRate := true
	var tokenWait dhclock.Millis
	var ownerSilence *dhclock.Millis
	if l, found := s.rateLimiters[r.organisation]; found {
		withinRate = !l.holder.Exhausted(now)
		if kind.LacksToken() {
			tokenWait, ownerSilence = now.Since(r.receivedAt), l.holder.OwnerSilence(now)
		}
	}
	latency := now.Since(r.receivedAt)
	if !r.fromPeer && countsTowardsObjective(kind, withinRate) {
		s.burn.Add(now, r.route.Name(), r.organisation, s.isBad(r.route.Name(), kind, status, latency))
	}
	out.Add(dheffect.NewRecordRequest(dheffect.RecordRequestOptions{
		CallerRequestID: r.callerRequestID, Route: r.route.Name(), Service: r.service, Organisation: r.organisation,
		ObjectHash: r.object, Fingerprint: r.fingerprint, RefusalKind: kind,
		MayHaveRun: kind != "" && r.mayHaveRun, Status: status, Latency: latency, Timeout: max(0, r.deadline-r.receivedAt),
		WithinRate: withinRate, ObjectiveMissed: r.route.Objective() > 0 && latency > r.route.Objective(),
		ConfigVersion: s.view.Catalog().Version(), ConfigAge: s.configAge(now), TokenWait: tokenWait, OwnerSilence: ownerSilence,
		Attempts: r.attemptRecords,
	}))
}

// countsTowardsObjective reports whether a request counts towards the service
// level objectives. Refusals that the caller has caused don't count.
func countsTowardsObjective(kind dheffect.RefusalKind, withinRate bool) bool {
	switch kind {
	case dheffect.RefuseOverLimit:
		return withinRate
	case dheffect.RefuseIdempotencyKeyMissing, dheffect.RefuseIdempotencyKeyReused, dheffect.RefuseAlreadyRunning,
		dheffect.RefuseAlreadyRan, dheffect.RefuseMalformed, dheffect.RefuseTooLarge, dheffect.CallerGone:
		return false
	default:
		return true
	}
}

// statusServerError is the lowest status code of a server error.
const statusServerError = 500

// isBad reports whether a request counts against the error budget: it was
// refused, failed or was slower than an objective of its route.
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

// refuse ends a request with a refusal, and releases its claim if the request
// certainly did not run. A refusal of its last attempt doesn't show that, if an earlier one
// may have run.
func (s *State) refuse(now dhclock.Millis, r *request, refusal dheffect.Refusal, out *dheffect.List) {
	if r.mayHaveRun && !refusal.MayHaveRun() {
		refusal = dheffect.NewRefusal(dheffect.RefuseUpstreamBroken, true, refusal.RetryAfter())
	}
	if r.claimGranted && !refusal.MayHaveRun() {
		s.proposeClaimOutcome(now, r, dhmessage.ClaimReleased, nil, out)
	}
	r.mayHaveRun = refusal.MayHaveRun()
	out.Add(dheffect.NewRefuse(dheffect.RefuseOptions{RequestID: r.id, Refusal: refusal}))
	s.end(now, r, refusal.Kind(), 0, out)
}
