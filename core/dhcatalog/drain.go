package dhcatalog

import (
	"dogwoodhitch/core/dhclock"
)

// MaxDrainRamp bounds how long a drain may take to move all look-ups.
const MaxDrainRamp = 24 * 3600 * dhclock.Second

// DrainOptions are the fields of a Drain.
type DrainOptions struct {
	Name string
	// Target is the region, zone or instance that is drained.
	Target Ref
	// Ramp is the time over which look-ups move away, in milliseconds.
	Ramp dhclock.Millis
	// Paused keeps the share that has moved where it is.
	Paused bool
	// MovedPercent is the share that has moved when the object is applied.
	MovedPercent int
}

// Drain moves load away from a region, a zone or an instance in steps.
// Deleting it undoes the drain.
type Drain struct{ options DrainOptions }

// NewDrain returns a drain.
func NewDrain(o DrainOptions) Drain { return Drain{options: o} }

// Ref implements Object.
func (d Drain) Ref() Ref { return NewRef(KindDrain, d.options.Name) }

// Name returns the drain's name.
func (d Drain) Name() string { return d.options.Name }

// Target returns the region, zone or instance that is drained.
func (d Drain) Target() Ref { return d.options.Target }

// Ramp returns the time over which look-ups move away, in milliseconds.
func (d Drain) Ramp() dhclock.Millis { return d.options.Ramp }

// Paused tells whether the drain stands still.
func (d Drain) Paused() bool { return d.options.Paused }

// MovedPercent returns the share that had moved when the object was applied.
func (d Drain) MovedPercent() int { return d.options.MovedPercent }

// MovedAfter returns the share in percent that has moved after a span.
func (d Drain) MovedAfter(span dhclock.Millis) int {
	if d.options.Paused {
		return d.options.MovedPercent
	}
	if d.options.Ramp <= 0 {
		return 100
	}
	return min(100, d.options.MovedPercent+int(100*span/d.options.Ramp))
}

func (d Drain) references() []Ref {
	if d.options.Target.Kind() == KindRegion {
		return nil // checked against the zones
	}
	return []Ref{d.options.Target}
}

func (d Drain) check(p *problems) {
	if k := d.options.Target.Kind(); k != KindZone && k != KindInstance && k != KindRegion {
		p.add(d.Ref(), "targetKind", string(k), "drain a region, a zone or an instance")
	}
	p.requireRange(d.Ref(), "rampMs", d.options.Ramp.Milliseconds(), 0, MaxDrainRamp.Milliseconds())
	p.requireRange(d.Ref(), "movedPercent", int64(d.options.MovedPercent), 0, 100)
}
