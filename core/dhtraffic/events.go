package dhtraffic

import (
	"maps"
	"slices"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhlookup"
	"dogwoodhitch/core/dhsteer"
)

func sortedPoolNames(pools map[string]*pool) []string { return slices.Sorted(maps.Keys(pools)) }

// HandleAnnouncement adds or renews an announced upstream and dispatches waiting
// requests to its slots.
func (s *State) HandleAnnouncement(e *dhevent.UpstreamAnnounced, out *dheffect.List) {
	a := e.Announcement()
	if s.maxConnections != nil {
		a = a.LimitSlots(*s.maxConnections)
	}
	p := s.poolOf(a.Service())
	p.Announce(e.At(), p.coldStart, a)
	s.dispatch(e.At(), p, out)
}

// HandleDeregistration stops new requests to an upstream that is leaving.
func (s *State) HandleDeregistration(e *dhevent.UpstreamLeft) {
	if p, found := s.pools[e.Service()]; found {
		p.Deregister(e.Name())
	}
}

// Tick processes what is due by now: token requests, claim retries, queue
// deadlines, free slots, a stop and load balancing.
func (s *State) Tick(now dhclock.Millis, out *dheffect.List) {
	s.tickRateLimiters(now, out)
	s.retryDueClaims(now, out)
	s.tickPools(now, out)
	s.tickStop(now, out)
	s.tickReachability(now, out)
	s.tickCrashes(now, out)
	s.tickSuspects(now, out)
	for _, g := range s.groups {
		g.Balance(now)
	}
}

// HandleView replaces the view and applies what changed in it: limits also when
// only their time of change differs, links and groups with a new version.
func (s *State) HandleView(e *dhevent.ViewPublished) {
	previous := s.view
	s.view = e.View()
	if s.view.Suspects() != previous.Suspects() {
		s.mergeSuspects(e.At(), s.view.Suspects())
	}
	changed := s.view.Catalog().Version() != previous.Catalog().Version()
	if changed || s.view.LimitsChangedAt() != previous.LimitsChangedAt() {
		s.setLimits(e.At())
	}
	if changed {
		s.setLinks(e.At())
		s.setGroups(e.At())
	}
}

// HandleLookUp replies with the instances that a client should use.
func (s *State) HandleLookUp(e *dhevent.LookUpRequested, out *dheffect.List) {
	out.Add(dheffect.NewLookUpReply(dheffect.LookUpReplyOptions{
		Answer: dhlookup.Find(e.At(), s.view, e.Address(), e.IPv6()),
	}))
}

// HandlePoolStatusRequest replies with the status of all pools and groups.
func (s *State) HandlePoolStatusRequest(now dhclock.Millis, out *dheffect.List) {
	var list []dhsteer.PoolStatus
	for _, name := range sortedPoolNames(s.pools) {
		list = append(list, s.pools[name].Status(now))
	}
	for _, name := range slices.Sorted(maps.Keys(s.groups)) {
		list = append(list, s.groups[name].Status(now))
	}
	out.Add(dheffect.NewPoolStatusReply(dheffect.PoolStatusReplyOptions{Pools: list}))
}

// HandleBurnReportRequest replies with the burn rates of the error budgets.
func (s *State) HandleBurnReportRequest(now dhclock.Millis, out *dheffect.List) {
	out.Add(dheffect.NewBurnReportReply(dheffect.BurnReportReplyOptions{
		Rows: s.burn.Rows(now, s.view.Catalog().Objectives()),
	}))
}
