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
	// DefaultAttempts is the maximum number of upstreams that a request is sent
	// to if its route sets none.
	DefaultAttempts  = 3
	maxRouteAttempts = 100
	maxSplitWeight   = 1_000_000
	// maxObjectiveExcess bounds by how much an objective may exceed the
	// timeout. A larger excess indicates that a unit was mistaken.
	maxObjectiveExcess = 60 * dhclock.Second
)

// RouteOptions are the fields of a Route.
type RouteOptions struct {
	Name string
	// Host is the host name that the request addresses, in lower case; ""
	// matches any host.
	Host       string
	PathPrefix string
	// Service is the service that runs the requests; "" if Split names several.
	Service string
	// Split distributes the requests among services by weight.
	Split []WeightedService
	// Open routes require no key.
	Open bool
	// Idempotent requests may be retried after a failure that leaves unclear
	// whether the upstream ran the request.
	Idempotent bool
	// ClaimRequired requires an idempotency key in requests on a route that is
	// not idempotent. The key is claimed before the request is sent to an
	// upstream.
	ClaimRequired bool
	// Timeout is the time limit of a request, in milliseconds.
	Timeout dhclock.Millis
	// QueueWait is the longest wait for a slot or a token, in milliseconds; 0
	// selects a fraction of Objective.
	QueueWait dhclock.Millis
	// Objective is the latency up to which a response has its full value for
	// the caller, in milliseconds; 0 if unknown.
	Objective dhclock.Millis
	// MaxAttempts bounds the upstreams that one request is sent to; 0 selects
	// DefaultAttempts.
	MaxAttempts int
	// Affinity sends requests for the same object to the same upstream.
	Affinity bool
	// HomeRegions are the only regions in which requests may be served; if
	// empty, every region may serve them.
	HomeRegions []string `journal:"Homes"`
	// Priority orders queued requests; 0 is served first.
	Priority int
	// Retention is how long a claim and its outcome are kept, in milliseconds.
	Retention dhclock.Millis
}

// Route sends requests under a path prefix to a service, or splits them among
// several.
type Route struct{ options RouteOptions }

// NewRoute returns a route.
func NewRoute(o RouteOptions) Route { return Route{options: o} }

// Ref implements Object.
func (r Route) Ref() Ref { return NewRef(KindRoute, r.options.Name) }

// Name returns the route's name.
func (r Route) Name() string { return r.options.Name }

// PathPrefix returns the prefix of the paths that the route matches.
func (r Route) PathPrefix() string { return r.options.PathPrefix }

// Host returns the host name that the route matches, or "" for any.
func (r Route) Host() string { return r.options.Host }

// Service returns the name of the route's service, or "" if the route is split.
func (r Route) Service() string { return r.options.Service }

// Split returns the services that share the requests, with their weights. The
// caller must not change the slice.
func (r Route) Split() []WeightedService { return r.options.Split }

// Objective returns the latency up to which a response has its full value for
// the caller, in milliseconds; 0 if unknown.
func (r Route) Objective() dhclock.Millis { return r.options.Objective }

// MaxAttempts returns the maximum number of upstreams that one request is sent
// to.
func (r Route) MaxAttempts() int {
	if r.options.MaxAttempts == 0 {
		return DefaultAttempts
	}
	return r.options.MaxAttempts
}

// ConfiguredAttempts returns the configured MaxAttempts; 0 if none is set.
func (r Route) ConfiguredAttempts() int { return r.options.MaxAttempts }

// ConfiguredQueueWait returns the configured QueueWait, in milliseconds; 0 if
// none is set.
func (r Route) ConfiguredQueueWait() dhclock.Millis { return r.options.QueueWait }

// Affinity reports whether requests for the same object are sent to the same
// upstream.
func (r Route) Affinity() bool { return r.options.Affinity }

// HomeRegions returns the only regions that may serve the route; if empty, every
// region may.
func (r Route) HomeRegions() []string { return r.options.HomeRegions }

// Open reports whether the route requires no key.
func (r Route) Open() bool { return r.options.Open }

// Idempotent reports whether a request may be retried after a failure that
// leaves unclear whether it ran.
func (r Route) Idempotent() bool { return r.options.Idempotent }

// ClaimRequired reports whether requests must carry an idempotency key.
func (r Route) ClaimRequired() bool { return r.options.ClaimRequired }

// Timeout returns the time limit of a request, in milliseconds.
func (r Route) Timeout() dhclock.Millis { return r.options.Timeout }

// QueueWait returns the longest wait for a slot or a token, in milliseconds. If
// the route sets none, it is a small fraction of the objective: a caller that
// is refused early can still be served elsewhere in time.
func (r Route) QueueWait() dhclock.Millis {
	if r.options.QueueWait == 0 {
		return r.options.Objective / queueWaitDivisor
	}
	return r.options.QueueWait
}

// queueWaitDivisor divides the objective to yield the default queue wait.
const queueWaitDivisor = 10

// Priority returns the priority among queued requests; 0 is served first.
func (r Route) Priority() int { return r.options.Priority }

// Retention returns how long a claim and its outcome are kept, in milliseconds.
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

// checkSplit reports a split beside a service, weights out of range, and a
// split without a positive weight.
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

// WeightedService is a service with its weight in a split.
type WeightedService struct {
	service string
	weight  int
}

// NewWeightedService returns a service with a weight.
func NewWeightedService(service string, weight int) WeightedService {
	return WeightedService{service: service, weight: weight}
}

// Service returns the name of the service.
func (w WeightedService) Service() string { return w.service }

// Weight returns the weight, relative to the other weights of the split.
func (w WeightedService) Weight() int { return w.weight }

// ReservedPrefix is the prefix of the paths that an entry instance serves
// itself.
const ReservedPrefix = "/dogwoodhitch/"
