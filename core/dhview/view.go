// Package dhview holds the immutable picture that control state publishes to
// the goroutines that serve traffic.
package dhview

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// FreshnessLease is how long an instance may serve keyed routes after the last
// time at which its configuration was certainly current, in milliseconds.
const FreshnessLease = 3 * dhclock.Second

// Options are the fields of a View.
type Options struct {
	Catalog *dhcatalog.Catalog
	// Confirmed is a time at which the catalog was certainly current.
	Confirmed dhclock.Millis
	// EverConfirmed tells whether the catalog was ever confirmed.
	EverConfirmed bool
	// Applied is when this version came into force here.
	Applied     dhclock.Millis
	Unavailable []dhmessage.UnavailableInstance
	Leader      string
	// Voters are the members of the consensus group, as far as is known.
	Voters []dhmessage.Voter
	// InForce is the newest version known to be in force everywhere.
	InForce uint64
	// DrainStarts holds when each drain started, on this instance's clock.
	DrainStarts map[string]dhclock.Millis
	// LimitsChanged is when limits, or the instances that share them, last changed.
	LimitsChanged dhclock.Millis
}

// View is what one process knows of the system at one time.
type View struct {
	options     Options
	unavailable map[string]bool
}

// New returns a view.
func New(o Options) *View {
	v := &View{options: o, unavailable: make(map[string]bool, len(o.Unavailable))}
	for _, a := range o.Unavailable {
		v.unavailable[a.Instance()] = a.Leaving()
	}
	return v
}

// Catalog returns the configuration in force.
func (v *View) Catalog() *dhcatalog.Catalog { return v.options.Catalog }

// Confirmed returns a time at which the configuration was certainly current.
func (v *View) Confirmed() dhclock.Millis { return v.options.Confirmed }

// Applied returns when this version came into force here.
func (v *View) Applied() dhclock.Millis { return v.options.Applied }

// Leader returns the voter that leads, or "" if unknown.
func (v *View) Leader() string { return v.options.Leader }

// Voters returns the members of the consensus group, as far as is known.
func (v *View) Voters() []dhmessage.Voter { return v.options.Voters }

// Unavailable returns the instances that look-ups must not name.
func (v *View) Unavailable() []dhmessage.UnavailableInstance { return v.options.Unavailable }

// IsUnavailable tells whether look-ups must not name an instance.
func (v *View) IsUnavailable(instance string) bool {
	_, found := v.unavailable[instance]
	return found
}

// Age returns how long ago the configuration was certainly current, and false
// if it never was.
func (v *View) Age(now dhclock.Millis) (dhclock.Millis, bool) {
	return now.Since(v.options.Confirmed), v.options.EverConfirmed
}

// Fresh tells whether the freshness lease holds, extended by an organisation's
// grace.
func (v *View) Fresh(now, grace dhclock.Millis) bool {
	age, ever := v.Age(now)
	return ever && age <= FreshnessLease+grace
}

// LimitsChanged returns when limits, or the instances that share them, last changed,
// on this instance's clock.
func (v *View) LimitsChanged() dhclock.Millis { return v.options.LimitsChanged }

// InForce returns the newest version known to be in force on every instance.
func (v *View) InForce() uint64 { return v.options.InForce }

// DrainStart returns when a drain started, on this instance's clock.
func (v *View) DrainStart(name string) dhclock.Millis {
	if at, found := v.options.DrainStarts[name]; found {
		return at
	}
	return v.options.Applied
}
