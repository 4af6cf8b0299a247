package dhsteer

import (
	"maps"
	"slices"
	"strings"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
)

// Group is the registered upstreams of one service. Every instance sends to
// them directly; what keeps them from overload is that requests about one
// object go to one upstream, their own refusals, and each instance's share of
// what a cold upstream bears.
type Group struct {
	service string
	members map[string]*Member
	regions []region // sorted by name
	local   string   // region of this instance
	// localShare is the part of the objects that the local region serves, of
	// shareScale.
	localShare float64
	// planned is localShare as the slots and the fleet alone tell.
	planned  float64
	balanced dhclock.Millis
}

// region is the members of one region that may get work.
type region struct {
	name    string
	seed    uint64
	members []*Member // sorted by name
	slots   int
	even    bool // every member has as many slots
	// spare weighs the region for objects of other regions.
	spare float64
}

// Registration is one upstream with what the configuration says about its
// place.
type Registration struct {
	record    dhcatalog.Upstream
	region    string
	evacuated bool
}

// NewRegistration returns a registration. Upstreams of an evacuated zone get no
// work.
func NewRegistration(u dhcatalog.Upstream, region string, evacuated bool) Registration {
	return Registration{record: u, region: region, evacuated: evacuated}
}

// Layout is what a group needs to know of the fleet.
type Layout struct {
	// Local is the region of this instance.
	Local string
	// Entries is how many entry instances each region has, which stands for the
	// demand that comes from there.
	Entries map[string]int
	// ColdStart is how long an upstream may be cold after an evacuation.
	ColdStart dhclock.Millis
	// ColdShare returns how many requests a second this instance may send to an
	// upstream that is cold; negative for any number.
	ColdShare func(upstream string) int
}

// NewGroup returns a group without members.
func NewGroup(service string) *Group {
	return &Group{service: service, members: map[string]*Member{}}
}

// Service returns the name of the service.
func (g *Group) Service() string { return g.service }

// Update takes the registrations of a new version of the configuration. A member
// that isn't among them any more gets no new work.
func (g *Group) Update(now dhclock.Millis, list []Registration, l Layout) {
	kept := make(map[string]*Member, len(list))
	for _, r := range list {
		name := r.record.Name()
		m, found := g.members[name]
		if !found || m.record.Incarnation() != r.record.Incarnation() || m.Address() != r.record.Address() {
			m = &Member{seed: hashText(name)}
		}
		m.renew(now, r, l)
		kept[name] = m
	}
	for name, m := range g.members {
		if kept[name] != m {
			m.away = true
		}
	}
	g.members = kept
	g.arrange(l)
}

// renew updates a member from its record.
func (m *Member) renew(now dhclock.Millis, r Registration, l Layout) {
	known := m.record.Name() != ""
	away := r.evacuated || r.record.State() != dhcatalog.UpstreamReady
	if !known || r.record.ColdReportID() != m.record.ColdReportID() {
		m.coldUntil = max(m.coldUntil, now+r.record.ColdRemaining())
	}
	if known && m.away && !away {
		// Its caches may have been emptied while nothing was sent there.
		m.coldUntil = max(m.coldUntil, now+l.ColdStart)
	}
	m.misplaced = m.misplaced && m.record == r.record
	m.away = away
	m.record, m.region = r.record, r.region
	m.coldShare = l.ColdShare(r.record.Name())
}

// arrange groups the members that may get work by region, and works out which
// part of the objects the local region can serve.
func (g *Group) arrange(l Layout) {
	g.local = l.Local
	byRegion := map[string]*region{}
	for _, m := range g.Members() {
		if m.away {
			continue
		}
		r, found := byRegion[m.region]
		if !found {
			r = &region{name: m.region, seed: hashText(m.region), even: true}
			byRegion[m.region] = r
		}
		r.even = r.even && (len(r.members) == 0 || r.members[0].record.Slots() == m.record.Slots())
		r.members = append(r.members, m)
		r.slots += m.record.Slots()
	}
	g.regions = g.regions[:0]
	for _, name := range slices.Sorted(maps.Keys(byRegion)) {
		g.regions = append(g.regions, *byRegion[name])
	}
	g.share(l.Entries)
}

// headroomPercent is how much of the demand of its fair share a region is
// thought to carry: caches make requests cheaper than slots alone tell.
const headroomPercent = 100

// shareScale is the fixed-point scale of localShare.
const shareScale = 1 << 16

// share compares each region's part of the slots with its part of the demand.
func (g *Group) share(entries map[string]int) {
	slots, demand := 0, 0
	for _, r := range g.regions {
		slots += r.slots
	}
	for _, n := range entries {
		demand += n
	}
	planned := float64(shareScale)
	for i := range g.regions {
		r := &g.regions[i]
		carries := float64(r.slots) * headroomPercent / 100 / float64(max(1, slots))
		wanted := float64(entries[r.name]) / float64(max(1, demand))
		r.spare = max(0, carries-wanted)
		if r.name == g.local && wanted > carries {
			planned = shareScale * carries / wanted
		}
	}
	if planned != g.planned {
		// The fleet has changed; what was learnt of the loads counts no more.
		g.planned, g.localShare = planned, planned
	}
}

// Members returns the members, sorted by name.
func (g *Group) Members() []*Member {
	list := slices.Collect(maps.Values(g.members))
	slices.SortFunc(list, func(a, b *Member) int { return strings.Compare(a.Name(), b.Name()) })
	return list
}

// Take starts a request at a member.
func (g *Group) Take(now dhclock.Millis, m *Member) {
	m.running++
	m.noteSend(now)
}

// Finish ends a request at a member. The load is what it reported, or nil.
func (g *Group) Finish(now dhclock.Millis, m *Member, v Verdict, latency dhclock.Millis, l *Load) {
	m.running--
	if l != nil {
		m.noteLoad(now, *l)
	}
	switch v {
	case Answered:
		m.succeed(latency)
	case Failed:
		if m.fail() {
			m.eject(now)
		}
	case Unreachable:
		m.eject(now)
	case Shed:
		m.refused(now, l)
	case Misplaced:
		m.misplaced = true
	case Neutral:
	}
}

// Status describes the group like a pool.
func (g *Group) Status(now dhclock.Millis) PoolStatus {
	s := PoolStatus{service: g.service}
	for _, m := range g.Members() {
		s.upstreams = append(s.upstreams, UpstreamStatus{
			name: m.Name(), address: m.Address(), slots: m.record.Slots(), running: m.running,
			latency: m.Latency(), state: m.state(now),
		})
	}
	return s
}
