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
	// Rate is in requests a second over the whole fleet.
	Rate int64
	// Burst is the number of requests that may come at once.
	Burst int64
	// FloorPercent is the part of the limit that instances give out without
	// asking the owner, in percent; 0 for the default. A larger part serves more
	// while the owner can't be reached, a smaller one follows demand that stands
	// at few instances.
	FloorPercent int
}

// Limit bounds an organisation's requests over all instances together.
type Limit struct{ options LimitOptions }

// NewLimit returns a limit.
func NewLimit(o LimitOptions) Limit { return Limit{options: o} }

// Ref implements Object.
func (l Limit) Ref() Ref { return NewRef(KindLimit, l.options.Name) }

// Name returns the limit's name.
func (l Limit) Name() string { return l.options.Name }

// Organisation returns the organisation that the limit holds for.
func (l Limit) Organisation() string { return l.options.Organisation }

// Rate returns requests a second over the whole fleet.
func (l Limit) Rate() int64 { return l.options.Rate }

// Burst returns how many requests may come at once over the whole fleet.
func (l Limit) Burst() int64 { return l.options.Burst }

// FloorPercent returns the part that instances give out by themselves; 0 for
// the default.
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
	// TargetPerMillion is how many requests in a million must be good.
	TargetPerMillion int64
	// Latency is the longest good answer, in milliseconds.
	Latency dhclock.Millis
}

// Objective is a service-level objective of a route.
type Objective struct{ options ObjectiveOptions }

// NewObjective returns an objective.
func NewObjective(o ObjectiveOptions) Objective { return Objective{options: o} }

// Ref implements Object.
func (o Objective) Ref() Ref { return NewRef(KindObjective, o.options.Name) }

// Name returns the objective's name.
func (o Objective) Name() string { return o.options.Name }

// Route returns the route that the objective is for.
func (o Objective) Route() string { return o.options.Route }

// TargetPerMillion returns how many requests in a million must be good.
func (o Objective) TargetPerMillion() int64 { return o.options.TargetPerMillion }

// Latency returns the longest good answer, in milliseconds.
func (o Objective) Latency() dhclock.Millis { return o.options.Latency }

func (o Objective) references() []Ref { return []Ref{NewRef(KindRoute, o.options.Route)} }

func (o Objective) check(p *problems) {
	p.requireRange(o.Ref(), "targetPerMillion", o.options.TargetPerMillion, 1, maxTargetPerMillion)
	p.requireRange(o.Ref(), "latencyMs", o.options.Latency.Milliseconds(), 1, MaxTimeout.Milliseconds())
}
