package dhcatalog

import (
	"dogwoodhitch/core/dhclock"
)

// MaxDrainRamp bounds the time over which a drain moves all look-ups.
const MaxDrainRamp = 24 * 3600 * dhclock.Second

// DrainOptions are the fields of a Drain.
type DrainOptions struct {
	Name string
	// Target is the region, zone or instance to drain.
	Target Ref
	// Ramp is the time over which the moved share rises from 0 to 100 percent,
	// in milliseconds.
	Ramp dhclock.Millis
	// Paused holds the moved share at MovedPercent.
	Paused bool
	// MovedPercent is the share of look-ups that has moved when the object is
	// applied.
	MovedPercent int
}

// Drain gradually moves look-ups away from a region, a zone or an instance.
// Deleting the object ends the drain, and look-ups return to the target.
type Drain struct{ options DrainOptions }

// NewDrain returns a drain.
func NewDrain(o DrainOptions) Drain { return Drain{options: o} }

// Ref implements Object.
func (d Drain) Ref() Ref { return NewRef(KindDrain, d.options.Name) }

// Name returns the drain's name.
func (d Drain) Name() string { return d.options.Name }

// Target returns the region, zone or instance to drain.
func (d Drain) Target() Ref { return d.options.Target }

// Ramp returns the time from 0 to 100 percent moved, in milliseconds.
func (d Drain) Ramp() dhclock.Millis { return d.options.Ramp }

// Paused reports whether the moved share is held.
func (d Drain) Paused() bool { return d.options.Paused }

// MovedPercent returns the share of look-ups that had moved when the object was
// applied.
func (d Drain) MovedPercent() int { return d.options.MovedPercent }

// MovedAfter returns the share of look-ups, in percent, that has moved when the
// object has been in force for the given time.
func (d Drain) MovedAfter(elapsed dhclock.Millis) int {
	if d.options.Paused {
		return d.options.MovedPercent
	}
	if d.options.Ramp <= 0 {
		return 100
	}
	return min(100, d.options.MovedPercent+int(100*elapsed/d.options.Ramp))
}

func (d Drain) references() []Ref {
	if d.options.Target.Kind() == KindRegion {
		return nil // regions are no objects; checkDrain compares the name with the zones
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
