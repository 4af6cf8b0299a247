// Package dhview holds the immutable snapshot of the cluster that control state
// publishes to the goroutines that serve traffic.
package dhview

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// FreshnessLease is how long an instance may serve keyed routes after its
// configuration was last confirmed as current, in milliseconds.
const FreshnessLease = 3 * dhclock.Second

// Options are the fields of a View.
type Options struct {
	Catalog *dhcatalog.Catalog
	// ConfirmedAt is the last time at which the catalog was confirmed as current.
	ConfirmedAt dhclock.Millis `journal:"Confirmed"`
	// EverConfirmed reports whether the catalog was ever confirmed.
	EverConfirmed bool `journal:"Ever"`
	// AppliedAt is when this instance applied the catalog's version.
	AppliedAt dhclock.Millis `journal:"Applied"`
	// Unavailable are the instances that look-up answers must not contain.
	Unavailable []dhmessage.UnavailableInstance `journal:"Away"`
	Leader      string
	// Members are the members of the consensus group in the last list that this
	// process received; empty before the first.
	Members []dhmessage.Member `journal:"Voters"`
	// InForce is the newest version known to be in force on every declared
	// instance, except those that may not serve keyed routes until they have it.
	InForce uint64
	// DrainStarts holds the start time of each drain on this instance's clock.
	DrainStarts map[string]dhclock.Millis
	// LimitsChangedAt is when rate limits, or the set of instances that share
	// them, last changed.
	LimitsChangedAt dhclock.Millis `journal:"Limited"`
	// Suspects are the requests that may have crashed upstreams; nil for none.
	Suspects *Suspects
	// Detached reports whether no newer confirmation is to be had: this process hears nothing
	// from other processes, or those that it hears have none themselves.
	Detached bool `journal:"Detached,omitZero"`
}

// Suspects are all requests that are known to have been in flight at upstreams that
// crashed.
type Suspects struct {
	report *dhmessage.SuspectReport
	at     dhclock.Millis
}

// NewSuspects returns the suspects of a report that was made at a time.
func NewSuspects(at dhclock.Millis, r *dhmessage.SuspectReport) *Suspects {
	return &Suspects{report: r, at: at}
}

// Report returns the suspects with their ages at the time of the report.
func (s *Suspects) Report() *dhmessage.SuspectReport { return s.report }

// At returns when the report was made.
func (s *Suspects) At() dhclock.Millis { return s.at }

// View is one process's snapshot of the cluster.
type View struct {
	options     Options
	unavailable map[string]bool `journal:"away"` // value: the instance is leaving
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

// ConfirmedAt returns the last time at which the configuration was confirmed as
// current.
func (v *View) ConfirmedAt() dhclock.Millis { return v.options.ConfirmedAt }

// AppliedAt returns when this instance applied the configuration's version.
func (v *View) AppliedAt() dhclock.Millis { return v.options.AppliedAt }

// Leader returns the name of the leader, or "" if unknown.
func (v *View) Leader() string { return v.options.Leader }

// Members returns the members of the consensus group in the last list that this
// process received; empty before the first.
func (v *View) Members() []dhmessage.Member { return v.options.Members }

// Unavailable returns the instances that look-up answers must not contain.
func (v *View) Unavailable() []dhmessage.UnavailableInstance { return v.options.Unavailable }

// ZoneOf returns the availability zone of an instance or a member of the consensus group, or
// "" if it is unknown.
func (v *View) ZoneOf(name string) string {
	if i, found := v.Catalog().Instance(name); found {
		return i.Zone()
	}
	for _, m := range v.Members() {
		if m.Peer().Name() == name {
			return m.Zone()
		}
	}
	return ""
}

// IsUnavailable reports whether look-up answers must not contain an instance.
func (v *View) IsUnavailable(instance string) bool {
	_, found := v.unavailable[instance]
	return found
}

// Age returns the time since the configuration was last confirmed as current,
// and false if it never was.
func (v *View) Age(now dhclock.Millis) (dhclock.Millis, bool) {
	return now.Since(v.options.ConfirmedAt), v.options.EverConfirmed
}

// Fresh reports whether the freshness lease, extended by an organisation's grace
// period, has not expired.
func (v *View) Fresh(now, grace dhclock.Millis) bool {
	age, confirmed := v.Age(now)
	return confirmed && age <= FreshnessLease+grace
}

// IsDetached reports whether no newer confirmation is to be had: this process hears nothing
// from other processes, or those that it hears have none themselves.
func (v *View) IsDetached() bool { return v.options.Detached }

// LimitsChangedAt returns when rate limits, or the set of instances that share
// them, last changed, on this instance's clock.
func (v *View) LimitsChangedAt() dhclock.Millis { return v.options.LimitsChangedAt }

// Suspects returns the requests that may have crashed upstreams; nil for none.
func (v *View) Suspects() *Suspects { return v.options.Suspects }

// InForce returns the newest version known to be in force on every declared
// instance, except those that may not serve keyed routes until they have it.
func (v *View) InForce() uint64 { return v.options.InForce }

// DrainStart returns when a drain started, on this instance's clock. If the start
// isn't recorded, it is the time at which this version was applied.
func (v *View) DrainStart(name string) dhclock.Millis {
	if at, found := v.options.DrainStarts[name]; found {
		return at
	}
	return v.options.AppliedAt
}
