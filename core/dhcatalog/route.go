package dhcatalog

import (
	"strconv"
	"strings"

	"dogwoodhitch/core/dhclock"
)

// Bounds of a route's fields.
const (
	MaxTimeout   = 300 * dhclock.Second
	MaxQueueWait = 60 * dhclock.Second
	MaxPriority  = 9
	MaxRetention = 7 * 24 * 3600 * dhclock.Second
	// DefaultAttempts is how many upstreams a request is sent to at most where
	// its route doesn't say.
	DefaultAttempts  = 3
	maxRouteAttempts = 100
	maxSplitWeight   = 1_000_000
	// maxObjectiveExcess is by how much an objective may exceed the timeout:
	// more is a slip of units.
	maxObjectiveExcess = 60 * dhclock.Second
)

// RouteOptions are the fields of a Route.
type RouteOptions struct {
	Name string
	// Host is the host name that callers ask for, in lower case; "" for any.
	Host       string
	PathPrefix string
	// Service answers, unless Split names several.
	Service string
	// Split distributes the requests over services by weight.
	Split []Weighted
	// Open routes need no key.
	Open bool
	// Idempotent requests may be sent again after an unclear failure.
	Idempotent bool
	// ClaimRequired makes requests on a route that is not idempotent carry an
	// idempotency key, which is claimed before the upstream hears of it.
	ClaimRequired bool
	Timeout       dhclock.Millis
	QueueWait     dhclock.Millis
	// Objective is the latency within which an answer is of full use to the
	// caller; 0 if none is known.
	Objective dhclock.Millis
	// MaxAttempts bounds the upstreams that one request is sent to; 0 stands for
	// the default.
	MaxAttempts int
	// Affinity sends requests about the same object to the same upstream.
	Affinity bool
	// Homes are the only regions in which requests may be served; empty for all.
	Homes []string
	// Priority orders waiting requests; 0 goes first.
	Priority int
	// Retention is how long a claim and its outcome are kept.
	Retention dhclock.Millis
}

// Route sends requests under a path prefix to a service.
type Route struct{ options RouteOptions }

// NewRoute returns a route.
func NewRoute(o RouteOptions) Route { return Route{options: o} }

// Ref implements Object.
func (r Route) Ref() Ref { return NewRef(KindRoute, r.options.Name) }

// Name returns the route's name.
func (r Route) Name() string { return r.options.Name }

// PathPrefix returns the prefix of the paths that the route serves.
func (r Route) PathPrefix() string { return r.options.PathPrefix }

// Host returns the host name that callers ask for, or "" for any.
func (r Route) Host() string { return r.options.Host }

// Service returns the name of the service that answers, or "" if the route is
// split.
func (r Route) Service() string { return r.options.Service }

// Split returns the services that share the requests. The caller must not
// change the slice.
func (r Route) Split() []Weighted { return r.options.Split }

// Objective returns the latency of a good answer, in milliseconds, or 0.
func (r Route) Objective() dhclock.Millis { return r.options.Objective }

// MaxAttempts returns how many upstreams one request may be sent to.
func (r Route) MaxAttempts() int {
	if r.options.MaxAttempts == 0 {
		return DefaultAttempts
	}
	return r.options.MaxAttempts
}

// ConfiguredAttempts returns what the route says about attempts; 0 for nothing.
func (r Route) ConfiguredAttempts() int { return r.options.MaxAttempts }

// ConfiguredQueueWait returns what the route says about waiting; 0 for nothing.
func (r Route) ConfiguredQueueWait() dhclock.Millis { return r.options.QueueWait }

// Affinity tells whether requests about the same object go to the same
// upstream.
func (r Route) Affinity() bool { return r.options.Affinity }

// Homes returns the only regions that may serve the route; empty for all.
func (r Route) Homes() []string { return r.options.Homes }

// Open tells whether the route needs no key.
func (r Route) Open() bool { return r.options.Open }

// Idempotent tells whether a request may be sent again after an unclear
// failure.
func (r Route) Idempotent() bool { return r.options.Idempotent }

// ClaimRequired tells whether requests must carry an idempotency key.
func (r Route) ClaimRequired() bool { return r.options.ClaimRequired }

// Timeout returns the longest time for an answer, in milliseconds.
func (r Route) Timeout() dhclock.Millis { return r.options.Timeout }

// QueueWait returns the longest wait for a slot or a token, in milliseconds.
// Where the route says nothing, it is a small part of its objective: a caller
// that is refused at once can still be served elsewhere in time.
func (r Route) QueueWait() dhclock.Millis {
	if r.options.QueueWait == 0 {
		return r.options.Objective / queueWaitDivisor
	}
	return r.options.QueueWait
}

// queueWaitDivisor is the part of the objective for which a request waits, one
// in so many.
const queueWaitDivisor = 10

// Priority returns the rank among waiting requests; 0 goes first.
func (r Route) Priority() int { return r.options.Priority }

// Retention returns how long a claim's outcome is kept, in milliseconds.
func (r Route) Retention() dhclock.Millis { return r.options.Retention }

func (r Route) references() []Ref {
	if len(r.options.Split) == 0 {
		return []Ref{NewRef(KindService, r.options.Service)}
	}
	list := make([]Ref, 0, len(r.options.Split))
	for _, w := range r.options.Split {
		list = append(list, NewRef(KindService, w.Service()))
	}
	return list
}

func (r Route) check(p *problems) {
	if !strings.HasPrefix(r.options.PathPrefix, "/") {
		p.add(r.Ref(), "pathPrefix", strconv.Quote(r.options.PathPrefix), "start the prefix with /")
	}
	if strings.HasPrefix(r.options.PathPrefix, ReservedPrefix) {
		p.add(r.Ref(), "pathPrefix", r.options.PathPrefix, "choose a prefix outside "+ReservedPrefix)
	}
	if r.options.ClaimRequired && (r.options.Idempotent || r.options.Open) {
		p.add(r.Ref(), "claimRequired", "true on an idempotent or open route", "clear idempotent and open, or clear claimRequired")
	}
	if r.options.ClaimRequired {
		p.requireRange(r.Ref(), "retentionMs", r.options.Retention.Milliseconds(), 1, MaxRetention.Milliseconds())
	}
	p.requireRange(r.Ref(), "timeoutMs", r.options.Timeout.Milliseconds(), 1, MaxTimeout.Milliseconds())
	p.requireRange(r.Ref(), "queueWaitMs", r.options.QueueWait.Milliseconds(), 0, MaxQueueWait.Milliseconds())
	p.requireRange(r.Ref(), "priority", int64(r.options.Priority), 0, MaxPriority)
	p.requireRange(r.Ref(), "objectiveMs", r.options.Objective.Milliseconds(), 0, (r.options.Timeout+maxObjectiveExcess).Milliseconds()-1)
	p.requireRange(r.Ref(), "maxAttempts", int64(r.options.MaxAttempts), 0, maxRouteAttempts)
	r.checkSplit(p)
}

// checkSplit refuses shares that can't be kept to.
func (r Route) checkSplit(p *problems) {
	if len(r.options.Split) == 0 {
		return
	}
	if r.options.Service != "" {
		p.add(r.Ref(), "service", strconv.Quote(r.options.Service)+" beside a split", "name one service, or a split")
	}
	total := int64(0)
	for _, w := range r.options.Split {
		p.requireRange(r.Ref(), "split.weight", int64(w.Weight()), 0, maxSplitWeight)
		total += int64(w.Weight())
	}
	if total <= 0 {
		p.add(r.Ref(), "split", "no weight above 0", "give at least one service a weight")
	}
}

// Weighted is a service with its share of a split.
type Weighted struct {
	service string
	weight  int
}

// NewWeighted returns a service with a weight.
func NewWeighted(service string, weight int) Weighted {
	return Weighted{service: service, weight: weight}
}

// Service returns the name of the service.
func (w Weighted) Service() string { return w.service }

// Weight returns the share, relative to the other weights of the split.
func (w Weighted) Weight() int { return w.weight }

// ReservedPrefix starts the paths that an entry instance answers by itself.
const ReservedPrefix = "/dogwoodhitch/"
