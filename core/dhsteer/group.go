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
	// plannedShare is localShare as the slots and the fleet alone tell.
	plannedShare float64
	lastBalanced dhclock.Millis
}

// region is the members of one region that may get work.
type region struct {
	name       string
	seed       uint64
	members    []*Member // sorted by name
	slots      int
	equalSlots bool // every member has as many slots
	// spareShare weighs the region for objects of other regions.
	spareShare float64
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

// Topology is what a group needs to know of the fleet.
type Topology struct {
	// LocalRegion is the region of this instance.
	LocalRegion string
	// EntryInstances is how many entry instances each region has, which stands for the
	// demand that comes from there.
	EntryInstances map[string]int
	// ColdStart is how long an upstream may be cold after an evacuation.
	ColdStart dhclock.Millis
	// ColdRate returns how many requests a second this instance may send to an
	// upstream that is cold; negative for any number.
	ColdRate func(upstream string) int
}

// NewGroup returns a group without members.
func NewGroup(service string) *Group {
	return &Group{service: service, members: map[string]*Member{}}
}

// Service returns the name of the service.
func (g *Group) Service() string { return g.service }

// Update takes the registrations of a new version of the configuration. A member
// that isn't among them any more gets no new work.
func (g *Group) Update(now dhclock.Millis, list []Registration, l Topology) {
	kept := make(map[string]*Member, len(list))
	for _, r := range list {
		name := r.record.Name()
		m, found := g.members[name]
		if !found || m.record.Incarnation() != r.record.Incarnation() || m.Address() != r.record.Address() {
			m = &Member{seed: hashText(name)}
		}
		m.update(now, r, l)
		kept[name] = m
	}
	for name, m := range g.members {
		if kept[name] != m {
			m.unavailable = true
		}
	}
	g.members = kept
	g.rebuildRegions(l)
}

// update updates a member from its record.
func (m *Member) update(now dhclock.Millis, r Registration, l Topology) {
	known := m.record.Name() != ""
	away := r.evacuated || r.record.State() != dhcatalog.UpstreamReady
	if !known || r.record.ColdReportID() != m.record.ColdReportID() {
		m.coldUntil = max(m.coldUntil, now+r.record.ColdRemaining())
	}
	if known && m.unavailable && !away {
		// Its caches may have been emptied while nothing was sent there.
		m.coldUntil = max(m.coldUntil, now+l.ColdStart)
	}
	m.misplaced = m.misplaced && m.record == r.record
	m.unavailable = away
	m.record, m.region = r.record, r.region
	m.coldRate = l.ColdRate(r.record.Name())
}

// rebuildRegions groups the members that may get work by region, and works out which
// part of the objects the local region can serve.
func (g *Group) rebuildRegions(l Topology) {
	g.local = l.LocalRegion
	byRegion := map[string]*region{}
	for _, m := range g.Members() {
		if m.unavailable {
			continue
		}
		r, found := byRegion[m.region]
		if !found {
			r = &region{name: m.region, seed: hashText(m.region), equalSlots: true}
			byRegion[m.region] = r
		}
		r.equalSlots = r.equalSlots && (len(r.members) == 0 || r.members[0].record.Slots() == m.record.Slots())
		r.members = append(r.members, m)
		r.slots += m.record.Slots()
	}
	g.regions = g.regions[:0]
	for _, name := range slices.Sorted(maps.Keys(byRegion)) {
		g.regions = append(g.regions, *byRegion[name])
	}
	g.planLocalShare(l.EntryInstances)
}

// regionCapacityPercent is how much of the demand of its fair share a region is
// thought to carry: caches make requests cheaper than slots alone tell.
const regionCapacityPercent = 100

// shareScale is the fixed-point scale of localShare.
const shareScale = 1 << 16

// planLocalShare compares each region's part of the slots with its part of the demand.
func (g *Group) planLocalShare(entries map[string]int) {
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
		carries := float64(r.slots) * regionCapacityPercent / 100 / float64(max(1, slots))
		wanted := float64(entries[r.name]) / float64(max(1, demand))
		r.spareShare = max(0, carries-wanted)
		if r.name == g.local && wanted > carries {
			planned = shareScale * carries / wanted
		}
	}
	if planned != g.plannedShare {
		// The fleet has changed; what was learnt of the loads counts no more.
		g.plannedShare, g.localShare = planned, planned
	}
}

// Members returns the members, sorted by name.
func (g *Group) Members() []*Member {
	list := slices.Collect(maps.Values(g.members))
	slices.SortFunc(list, func(a, b *Member) int { return strings.Compare(a.Name(), b.Name()) })
	return list
}

// Acquire starts a request at a member.
func (g *Group) Acquire(now dhclock.Millis, m *Member) {
	m.running++
	m.recordSent(now)
}

// Release ends a request at a member. The load is what it reported, or nil.
func (g *Group) Release(now dhclock.Millis, m *Member, v AttemptOutcome, latency dhclock.Millis, l *LoadReport) {
	m.running--
	if l != nil {
		m.recordLoad(now, *l)
	}
	switch v {
	case Answered:
		m.recordSuccess(latency)
	case Failed:
		if m.recordFailure() {
			m.eject(now)
		}
	case Unreachable:
		m.eject(now)
	case Shed:
		m.recordRefusal(now, l)
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
