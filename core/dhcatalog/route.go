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
)

// ServiceOptions are the fields of a Service.
type ServiceOptions struct {
	Name string
	// SpillPercent is the largest share of a region's slots for this service
	// that requests from other regions may hold, in percent.
	SpillPercent int
	// ColdStart is the time in which a new upstream rises to all its slots.
	ColdStart dhclock.Millis
}

// Service is a set of interchangeable upstreams.
type Service struct{ options ServiceOptions }

// NewService returns a service.
func NewService(o ServiceOptions) Service { return Service{options: o} }

// Ref implements Object.
func (s Service) Ref() Ref { return NewRef(KindService, s.options.Name) }

// Name returns the service's name, which upstreams announce.
func (s Service) Name() string { return s.options.Name }

// SpillPercent returns the share of slots open to other zones, in percent.
func (s Service) SpillPercent() int { return s.options.SpillPercent }

// ColdStart returns the ramp of a new upstream, in milliseconds.
func (s Service) ColdStart() dhclock.Millis { return s.options.ColdStart }

func (s Service) references() []Ref { return nil }

func (s Service) check(p *problems) {
	p.requireRange(s.Ref(), "spillPercent", int64(s.options.SpillPercent), 0, 100)
	p.requireRange(s.Ref(), "coldStartMs", s.options.ColdStart.Milliseconds(), 0, MaxTimeout.Milliseconds())
}

// RouteOptions are the fields of a Route.
type RouteOptions struct {
	Name       string
	PathPrefix string
	Service    string
	// Open routes need no key.
	Open bool
	// Idempotent requests may be sent again after an unclear failure.
	Idempotent bool
	// ClaimRequired makes requests on a route that is not idempotent carry an
	// idempotency key, which is claimed before the upstream hears of it.
	ClaimRequired bool
	Timeout       dhclock.Millis
	QueueWait     dhclock.Millis
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

// Service returns the name of the service that answers.
func (r Route) Service() string { return r.options.Service }

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
func (r Route) QueueWait() dhclock.Millis { return r.options.QueueWait }

// Priority returns the rank among waiting requests; 0 goes first.
func (r Route) Priority() int { return r.options.Priority }

// Retention returns how long a claim's outcome is kept, in milliseconds.
func (r Route) Retention() dhclock.Millis { return r.options.Retention }

func (r Route) references() []Ref { return []Ref{NewRef(KindService, r.options.Service)} }

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
}

// ReservedPrefix starts the paths that an entry instance answers by itself.
const ReservedPrefix = "/dogwoodhitch/"
