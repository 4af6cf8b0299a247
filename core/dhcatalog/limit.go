package dhcatalog

import "dogwoodhitch/core/dhclock"

// Bounds of limits and objectives.
const (
	MaxRate             = 1_000_000
	MaxBurst            = 10_000_000
	maxTargetPerMillion = 999_999
)

// LimitOptions are the fields of a Limit.
type LimitOptions struct {
	Name         string
	Organisation string
	// Rate is in requests per second over all instances together.
	Rate int64
	// Burst is the capacity of the limit's token bucket, in requests: how many
	// may arrive at once over all instances together.
	Burst int64
	// FloorPercent is the share of the limit, in percent, that is divided into
	// fixed floors, from which instances admit requests without a grant of the
	// owner; 0 selects the default. A larger share admits more requests while
	// the owner is unreachable; a smaller one leaves more to the grants, which
	// follow demand that is concentrated on few instances.
	FloorPercent int
}

// Limit bounds an organisation's request rate over all instances together.
type Limit struct{ options LimitOptions }

// NewLimit returns a limit.
func NewLimit(o LimitOptions) Limit { return Limit{options: o} }

// Ref implements Object.
func (l Limit) Ref() Ref { return NewRef(KindLimit, l.options.Name) }

// Name returns the limit's name.
func (l Limit) Name() string { return l.options.Name }

// Organisation returns the organisation that the limit applies to.
func (l Limit) Organisation() string { return l.options.Organisation }

// Rate returns the limit in requests per second over all instances.
func (l Limit) Rate() int64 { return l.options.Rate }

// Burst returns how many requests may arrive at once over all instances.
func (l Limit) Burst() int64 { return l.options.Burst }

// FloorPercent returns the share of the limit that is divided into fixed
// floors, in percent; 0 selects the default.
func (l Limit) FloorPercent() int { return l.options.FloorPercent }

func (l Limit) references() []Ref { return []Ref{NewRef(KindOrganisation, l.options.Organisation)} }

func (l Limit) check(p *problems) {
	p.requireRange(l.Ref(), "rate", l.options.Rate, 1, MaxRate)
	p.requireRange(l.Ref(), "burst", l.options.Burst, 1, MaxBurst)
	p.requireRange(l.Ref(), "floorPercent", int64(l.options.FloorPercent), 0, 100)
}

// ObjectiveOptions are the fields of an Objective.
type ObjectiveOptions struct {
	Name  string
	Route string
	// TargetPerMillion is the number of requests per million that must be good.
	TargetPerMillion int64
	// Latency is the maximum latency of a good request, in milliseconds.
	Latency dhclock.Millis
}

// Objective is a service-level objective (SLO) of a route.
type Objective struct{ options ObjectiveOptions }

// NewObjective returns an objective.
func NewObjective(o ObjectiveOptions) Objective { return Objective{options: o} }

// Ref implements Object.
func (o Objective) Ref() Ref { return NewRef(KindObjective, o.options.Name) }

// Name returns the objective's name.
func (o Objective) Name() string { return o.options.Name }

// Route returns the route that the objective applies to.
func (o Objective) Route() string { return o.options.Route }

// TargetPerMillion returns the number of requests per million that must be
// good.
func (o Objective) TargetPerMillion() int64 { return o.options.TargetPerMillion }

// Latency returns the maximum latency of a good request, in milliseconds.
func (o Objective) Latency() dhclock.Millis { return o.options.Latency }

func (o Objective) references() []Ref { return []Ref{NewRef(KindRoute, o.options.Route)} }

func (o Objective) check(p *problems) {
	p.requireRange(o.Ref(), "targetPerMillion", o.options.TargetPerMillion, 1, maxTargetPerMillion)
	p.requireRange(o.Ref(), "latencyMs", o.options.Latency.Milliseconds(), 1, MaxTimeout.Milliseconds())
}
