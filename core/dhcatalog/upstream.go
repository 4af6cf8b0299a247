package dhcatalog

import (
	"strconv"

	"dogwoodhitch/core/dhclock"
)

// UpstreamState is what a registered upstream says of itself.
type UpstreamState int

// The states, in the order in which one lifetime passes through them.
const (
	// UpstreamReady takes requests.
	UpstreamReady UpstreamState = iota
	// UpstreamDraining gets no new requests and finishes those that run.
	UpstreamDraining
	// UpstreamGone has left. The record is kept for a while, so that a late
	// word of the same lifetime is recognised.
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
	// Name identifies the upstream; a restart may keep it.
	Name    string
	Service string
	// Address is the IP address and port that serve requests.
	Address string
	Zone    string
	Slots   int
	State   UpstreamState
	// Incarnation orders the starts of upstreams that share a name or an address:
	// the time of the start as the upstream gives it. Only its order counts.
	Incarnation int64
	// ColdRemaining is for how long the upstream stayed cold when it last told, in
	// milliseconds; 0 if it was warm.
	ColdRemaining dhclock.Millis
	// ColdReportID numbers what the upstream said of being cold, so that the same
	// word counts once.
	ColdReportID int64
}

// Upstream is one upstream that is registered with the whole fleet.
type Upstream struct{ options UpstreamOptions }

// NewUpstream returns an upstream.
func NewUpstream(o UpstreamOptions) Upstream { return Upstream{options: o} }

// Ref implements Object.
func (u Upstream) Ref() Ref { return NewRef(KindUpstream, u.options.Name) }

// Name returns the upstream's name.
func (u Upstream) Name() string { return u.options.Name }

// Service returns the service that the upstream belongs to.
func (u Upstream) Service() string { return u.options.Service }

// Address returns the IP address and port that serve requests.
func (u Upstream) Address() string { return u.options.Address }

// Zone returns the availability zone of the upstream.
func (u Upstream) Zone() string { return u.options.Zone }

// Slots returns how many requests the upstream runs at once.
func (u Upstream) Slots() int { return u.options.Slots }

// State returns what the upstream says of itself.
func (u Upstream) State() UpstreamState { return u.options.State }

// Incarnation returns when the upstream started, by its own word.
func (u Upstream) Incarnation() int64 { return u.options.Incarnation }

// ColdRemaining returns for how long the upstream stayed cold when it last told.
func (u Upstream) ColdRemaining() dhclock.Millis { return u.options.ColdRemaining }

// ColdReportID returns the number of the word that Cold comes from.
func (u Upstream) ColdReportID() int64 { return u.options.ColdReportID }

// WithState returns the upstream in another state.
func (u Upstream) WithState(s UpstreamState) Upstream {
	u.options.State = s
	return u
}

// WithColdReport returns the upstream with another word on its cold start.
func (u Upstream) WithColdReport(cold dhclock.Millis, word int64) Upstream {
	u.options.ColdRemaining, u.options.ColdReportID = cold, word
	return u
}

// Supersedes tells whether a record takes the place of an older one of the same
// name: that of an earlier lifetime, or of the same lifetime in an earlier
// state. States of one lifetime never go back.
func (u Upstream) Supersedes(old Upstream) bool {
	if u.options.Incarnation != old.options.Incarnation {
		return u.options.Incarnation > old.options.Incarnation
	}
	return u.options.State >= old.options.State && u != old
}

// references is empty: upstreams may register before their service is
// configured.
func (u Upstream) references() []Ref { return nil }

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

// CheckUpstream tells what is wrong with an upstream taken alone, or nil.
func CheckUpstream(u Upstream) error {
	p := &problems{}
	p.requireName(u.Ref(), "name", u.Name())
	u.check(p)
	return p.err()
}
