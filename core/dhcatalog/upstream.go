package dhcatalog

import (
	"strconv"

	"dogwoodhitch/core/dhclock"
)

// UpstreamState is the state that a registered upstream reports.
type UpstreamState int

// The states, in the order in which one incarnation passes through them.
const (
	// UpstreamReady accepts requests.
	UpstreamReady UpstreamState = iota
	// UpstreamDraining receives no new requests and finishes the running ones.
	UpstreamDraining
	// UpstreamGone has deregistered. The record is kept for some time, so that
	// a delayed heartbeat of the same incarnation is recognised and ignored.
	UpstreamGone
)

// String returns the state's name.
func (s UpstreamState) String() string {
	switch s {
	case UpstreamReady:
		return "ready"
	case UpstreamDraining:
		return "draining"
	case UpstreamGone:
		return "gone"
	default:
		return "state" + strconv.Itoa(int(s))
	}
}

// UpstreamOptions are the fields of an Upstream.
type UpstreamOptions struct {
	// Name identifies the upstream. It may stay the same over restarts.
	Name    string
	Service string
	// Address is the IP address and port that accept requests.
	Address string
	Zone    string
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	State UpstreamState
	// Incarnation orders the processes that use the same name or address one
	// after another. It is the start time that the upstream reports; only the
	// order of the values matters.
	Incarnation int64 `journal:"Lifetime"`
	// ColdRemaining is the remaining duration of the cold start at the time of
	// the upstream's last report on it, in milliseconds; 0 if the upstream was
	// warm.
	ColdRemaining dhclock.Millis `journal:"Cold"`
	// ColdReportID identifies the report that ColdRemaining comes from. A
	// report is applied once: repeating it doesn't restart the remaining
	// duration.
	ColdReportID int64 `journal:"ColdWord"`
}

// Upstream is the record of an upstream that is registered with the cluster.
type Upstream struct{ options UpstreamOptions }

// NewUpstream returns an upstream.
func NewUpstream(o UpstreamOptions) Upstream { return Upstream{options: o} }

// NewDepartedUpstream returns the record of an upstream that leaves without one. It keeps a
// registration that is under way, or a late heartbeat, from making the process ready: nothing
// but the name and the incarnation matters.
func NewDepartedUpstream(name string, incarnation int64) Upstream {
	return NewUpstream(UpstreamOptions{
		Name: name, Service: departedService, Zone: departedService, Address: "0.0.0.0:1", Slots: 1, Incarnation: incarnation, State: UpstreamGone,
	})
}

// departedService takes the place of the unknown service of an upstream that leaves without a
// record.
const departedService = "departed"

// IsDeparted reports whether this is the record of an upstream that left without one.
func (u Upstream) IsDeparted() bool {
	return u.options.State == UpstreamGone && u.options.Service == departedService
}

// Ref implements Object.
func (u Upstream) Ref() Ref { return NewRef(KindUpstream, u.options.Name) }

// Name returns the upstream's name.
func (u Upstream) Name() string { return u.options.Name }

// Service returns the service that the upstream belongs to.
func (u Upstream) Service() string { return u.options.Service }

// Address returns the IP address and port that accept requests.
func (u Upstream) Address() string { return u.options.Address }

// Zone returns the availability zone of the upstream.
func (u Upstream) Zone() string { return u.options.Zone }

// Slots returns the number of requests that the upstream runs concurrently.
func (u Upstream) Slots() int { return u.options.Slots }

// State returns the state that the upstream reported.
func (u Upstream) State() UpstreamState { return u.options.State }

// Incarnation returns the start time that the upstream reported.
func (u Upstream) Incarnation() int64 { return u.options.Incarnation }

// ColdRemaining returns the remaining duration of the cold start at the time of
// the upstream's last report on it, in milliseconds.
func (u Upstream) ColdRemaining() dhclock.Millis { return u.options.ColdRemaining }

// ColdReportID returns the identifier of the report that ColdRemaining comes
// from.
func (u Upstream) ColdReportID() int64 { return u.options.ColdReportID }

// WithState returns a copy of the record with another state.
func (u Upstream) WithState(s UpstreamState) Upstream {
	u.options.State = s
	return u
}

// WithColdReport returns a copy of the record with another report on the cold
// start.
func (u Upstream) WithColdReport(remaining dhclock.Millis, reportID int64) Upstream {
	u.options.ColdRemaining, u.options.ColdReportID = remaining, reportID
	return u
}

// Supersedes reports whether a record replaces the stored one of the same name:
// it does if its incarnation is later, or if the incarnation is the same and it
// differs without being in an earlier state. The state of an incarnation never
// moves backwards.
func (u Upstream) Supersedes(old Upstream) bool {
	if u.options.Incarnation != old.options.Incarnation {
		return u.options.Incarnation > old.options.Incarnation
	}
	return u.options.State >= old.options.State && u != old
}

// references returns nothing: upstreams may register before their service is
// configured.
func (u Upstream) references() []Ref { return nil }

// check must have the same result in all releases, because voters apply it to entries of
// the log. What enters the system may be checked more strictly.
func (u Upstream) check(p *problems) {
	p.requireName(u.Ref(), "service", u.options.Service)
	p.requireName(u.Ref(), "zone", u.options.Zone)
	p.requireAddress(u.Ref(), "address", u.options.Address)
	p.requireRange(u.Ref(), "slots", int64(u.options.Slots), 1, maxUpstreamSlots)
	p.requireRange(u.Ref(), "state", int64(u.options.State), int64(UpstreamReady), int64(UpstreamGone))
	p.requireRange(u.Ref(), "coldMs", u.options.ColdRemaining.Milliseconds(), 0, maxUpstreamCold.Milliseconds())
}

// Bounds of an upstream's fields.
const (
	maxUpstreamSlots = 10_000
	maxUpstreamCold  = 3600 * dhclock.Second
)

// CheckUpstream validates an upstream without regard to other objects. It
// returns an InvalidError or nil.
func CheckUpstream(u Upstream) error { return CheckObjects(u) }
