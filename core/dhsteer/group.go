package dhsteer

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// Group holds the registered upstreams of one service. Every instance sends to
// them directly. Three things prevent overload: requests for one object go to
// one upstream, upstreams refuse excess requests, and each instance has only its
// share of the rate that a cold upstream accepts.
type Group struct {
	service string
	members map[string]*Member
	// stopped are members without a record whose process said that it is about to
	// stop. It gets no requests if it registers again.
	stopped map[string]*Member
	regions []region // sorted by name
	local   string   // region of this instance
	// localShare is the share of the objects that the local region serves, in units
	// of 1/shareScale.
	localShare float64
	// plannedShare is localShare as computed from slots and entry instances, before
	// Balance adjusts it.
	plannedShare float64
	lastBalanced dhclock.Millis
}

// region holds the available members of one region.
type region struct {
	name       string
	seed       uint64
	members    []*Member // sorted by name
	slots      int
	equalSlots bool // all members have the same number of slots
	// spareShare is the region's weight for objects of other regions: its share of
	// the slots beyond its share of the demand.
	spareShare float64
	// plannedShare is the share of the objects of the region's own requests that the
	// plan keeps in the region.
	plannedShare float64
	// rate is the moving average of the requests that this instance sends to the
	// region, per second, and requests their number since the last update.
	rate     float64
	requests int
	// equalWeights is set if all members have the same number of slots and none has a
	// limit.
	equalWeights bool
}

// Registration is one upstream's record with the region and evacuation state of
// its zone.
type Registration struct {
	record    dhcatalog.Upstream
	region    string
	evacuated bool
}

// NewRegistration returns a registration. Upstreams of an evacuated zone get no
// requests.
func NewRegistration(u dhcatalog.Upstream, region string, evacuated bool) Registration {
	return Registration{record: u, region: region, evacuated: evacuated}
}

// Topology is the layout of the cluster over regions, and the parameters of cold
// starts at this instance.
type Topology struct {
	// LocalRegion is the region of this instance.
	LocalRegion string
	// EntryInstances is the number of entry instances by region. It serves as an
	// estimate of the region's demand.
	EntryInstances map[string]int
	// ColdStart is how long an upstream counts as cold after an evacuation ends.
	ColdStart dhclock.Millis
	// ColdRate returns how many requests per second this instance may send to a
	// cold upstream; negative means no limit.
	ColdRate func(upstream string) int
	// MaxConnections is how many connections this instance may have to one upstream;
	// nil for no limit.
	MaxConnections *int
	// Instance is the name of this instance.
	Instance string
	// Revision is the version of the configuration in which the zones, instances, services or
	// evacuations last changed; 0 if unknown.
	Revision uint64
}

// NewGroup returns a group without members.
func NewGroup(service string) *Group {
	return &Group{service: service, members: map[string]*Member{}, stopped: map[string]*Member{}}
}

// Service returns the name of the service.
func (g *Group) Service() string { return g.service }

// Update applies the registrations of a new version of the configuration.
// Members without a registration get no new requests.
func (g *Group) Update(now dhclock.Millis, list []Registration, t Topology) {
	kept := make(map[string]*Member, len(list))
	members := make([]*Member, 0, len(list))
	for _, r := range list {
		name := r.record.Name()
		m := cmp.Or(g.members[name], g.stopped[name])
		delete(g.stopped, name)
		if m == nil || !m.isProcess(r.record) {
			m = &Member{seed: hashText(name), limitState: limitState{keptShare: 1}}
		}
		m.update(now, r, t)
		kept[name] = m
		members = append(members, m)
	}
	for name, m := range g.members {
		if kept[name] != m {
			m.unavailable = true
			if _, replaced := kept[name]; m.stopping && !replaced {
				m.removedAt = now
				g.stopped[name] = m
			}
		}
	}
	maps.DeleteFunc(g.stopped, func(_ string, m *Member) bool { return now.Since(m.removedAt) > stoppedTTL })
	g.members = kept
	g.rebuildRegions(now, sortedByName(members), t)
}

// stoppedTTL is how long a group remembers a stopping member after its record was removed,
// in milliseconds.
const stoppedTTL dhclock.Millis = 600_000

// update applies a registration to a member. A cold start begins if its caches
// may be empty.
func (m *Member) update(now dhclock.Millis, r Registration, t Topology) {
	existing := m.record.Name() != ""
	unavailable := r.evacuated || r.record.State() != dhcatalog.UpstreamReady
	if existing && m.record == r.record && m.unavailable == unavailable && t.Revision > 0 && m.topologyRevision == t.Revision {
		return
	}
	if !existing || r.record.ColdReportID() != m.record.ColdReportID() {
		m.coldUntil = max(m.coldUntil, now+r.record.ColdRemaining())
	}
	if existing && m.unavailable && !unavailable {
		// The upstream's caches may have expired while it got no requests.
		m.coldUntil = max(m.coldUntil, now+t.ColdStart)
	}
	m.misplaced = m.misplaced && m.record == r.record
	m.unavailable = unavailable
	m.record, m.region, m.topologyRevision = r.record, r.region, t.Revision
	m.maxRunning = queueFactor * r.record.Slots()
	if t.MaxConnections != nil {
		m.maxRunning = min(m.maxRunning, *t.MaxConnections)
	}
	m.coldRate = t.ColdRate(r.record.Name())
	m.initialLevel = dhmessage.Tokens(mixBits(m.seed^hashText(t.Instance)) % uint64(dhmessage.Token))
}

// rebuildRegions groups the available ones of the members, which are sorted by name, by region
// and plans the local region's share of objects.
func (g *Group) rebuildRegions(now dhclock.Millis, members []*Member, t Topology) {
	g.local = t.LocalRegion
	byRegion := map[string]*region{}
	for _, m := range members {
		if m.unavailable || m.stopping {
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
	for _, previous := range g.regions {
		if r, found := byRegion[previous.name]; found {
			r.rate, r.requests = previous.rate, previous.requests
		}
	}
	g.regions = g.regions[:0]
	for _, name := range slices.Sorted(maps.Keys(byRegion)) {
		g.regions = append(g.regions, *byRegion[name])
	}
	g.planLocalShare(t.EntryInstances)
	g.setLimitFractions(now, t)
	for i := range g.regions {
		g.regions[i].updateKeptShares()
	}
}

// regionCapacityPercent is the demand that a region is assumed to serve, in
// percent of its share of the slots: caches make requests cheaper than the number
// of slots suggests.
const regionCapacityPercent = 100

// shareScale is the fixed-point scale of localShare.
const shareScale = 1 << 16

// planLocalShare computes the local share and every region's spare share from the
// regions' shares of the slots and of the demand.
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
		capacity := float64(r.slots) * regionCapacityPercent / 100 / float64(max(1, slots))
		needed := float64(entries[r.name]) / float64(max(1, demand))
		r.spareShare = max(0, capacity-needed)
		r.plannedShare = 1
		if needed > capacity {
			r.plannedShare = capacity / needed
		}
		if r.name == g.local {
			planned = shareScale * r.plannedShare
		}
	}
	if planned != g.plannedShare {
		// The slots or entry instances have changed, which invalidates the
		// adjustments that Balance made.
		g.plannedShare, g.localShare = planned, planned
	}
}

// Members returns the members, sorted by name.
func (g *Group) Members() []*Member {
	return sortedByName(slices.Collect(maps.Values(g.members)))
}

func sortedByName(list []*Member) []*Member {
	byName := func(a, b *Member) int { return strings.Compare(a.Name(), b.Name()) }
	if !slices.IsSortedFunc(list, byName) {
		slices.SortFunc(list, byName)
	}
	return list
}

// Size returns the number of members.
func (g *Group) Size() int { return len(g.members) }

// Acquire counts the start of a request at a member.
func (g *Group) Acquire(now dhclock.Millis, m *Member) {
	m.running++
	m.recordTrial(now)
	m.recordSent(now)
	m.spendLimit(now)
}

// Response is what a response reports about the upstream that sent it.
type Response struct {
	// Load is the upstream's load; nil if it reported none.
	Load *LoadReport
	// Limit is the request rate that the upstream accepts; nil if it reported none.
	Limit *RateLimit
	// Pause is how long the upstream wants no requests from this instance; 0 if it
	// asked for no pause. Random spreads its end.
	Pause  dhclock.Millis
	Random uint64
	// Arrival tells whether the response arrived at all.
	Arrival Arrival
}

// Release counts the end of a request at a member and records its outcome and what
// the response reported.
func (g *Group) Release(now dhclock.Millis, m *Member, o AttemptOutcome, latency dhclock.Millis, r Response) {
	m.running--
	m.recordEnd(now, now-latency, r.Arrival)
	if r.Load != nil {
		m.recordLoad(now, *r.Load)
	}
	m.recordLimit(now, o, r.Limit)
	switch o {
	case Answered:
		m.recordSuccess(latency)
	case Failed:
		if m.recordFailure() {
			m.eject(now)
		}
	case Unreachable:
		m.eject(now)
	case Shed:
		if r.Pause == 0 {
			m.recordRefusal(now, r.Load)
		}
	case Misplaced:
		m.misplaced = true
	case Neutral:
	}
	if r.Pause > 0 {
		m.pause(now, r.Pause, r.Random)
	}
}

// PausedUntil returns when the first pause ends if all members that a request may go to
// are paused, else 0.
func (g *Group) PausedUntil(now dhclock.Millis, c Criteria) dhclock.Millis {
	return firstPauseEnd(now, func(yield func(*health) bool) {
		for _, m := range g.members {
			if m.available() && c.Allows(m.region) && !yield(&m.health) {
				return
			}
		}
	})
}

// Member returns the member with a name, or nil.
func (g *Group) Member(name string) *Member { return g.members[name] }

// ForgetFailures ends the ejections of all members.
func (g *Group) ForgetFailures() {
	for _, m := range g.members {
		m.forgetFailures()
	}
}

// Status describes the group in the form of a pool's status.
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
