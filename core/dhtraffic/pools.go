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

func sortedPoolNames(m map[string]*pool) []string { return slices.Sorted(maps.Keys(m)) }

// HandleAnnouncement takes an upstream's word about itself.
func (s *State) HandleAnnouncement(e *dhevent.UpstreamAnnounced, out *dheffect.List) {
	p := s.poolOf(e.Announce().Service())
	p.Announce(e.At(), p.coldStart, e.Announce())
	s.dispatch(e.At(), p, out)
}

// HandleDeregistration stops new work for an upstream.
func (s *State) HandleDeregistration(e *dhevent.UpstreamLeft) {
	if p, found := s.pools[e.Service()]; found {
		p.Leave(e.Name())
	}
}

// Tick lets time pass.
func (s *State) Tick(now dhclock.Millis, out *dheffect.List) {
	s.tickRateLimiters(now, out)
	s.retryDueClaims(now, out)
	s.tickPools(now, out)
	for _, g := range s.groups {
		g.Balance(now)
	}
}

// HandleView takes a new view.
func (s *State) HandleView(e *dhevent.ViewPublished) {
	old := s.view
	s.view = e.View()
	changed := s.view.Catalog().Version() != old.Catalog().Version()
	if changed || s.view.Limited() != old.Limited() {
		s.setLimits(e.At())
	}
	if changed {
		s.setLinks(e.At())
		s.setGroups(e.At())
	}
}

// HandleLookUp answers which instances a client should use.
func (s *State) HandleLookUp(e *dhevent.LookUpAsked, out *dheffect.List) {
	out.Add(dheffect.NewLookUpReply(dheffect.LookUpReplyOptions{
		Answer: dhlookup.Find(e.At(), s.view, e.Address(), e.Six()),
	}))
}

// HandlePoolStatusRequest tells what this instance knows of its upstreams.
func (s *State) HandlePoolStatusRequest(now dhclock.Millis, out *dheffect.List) {
	var list []dhsteer.PoolStatus
	for _, name := range sortedPoolNames(s.pools) {
		list = append(list, s.pools[name].Status(now))
	}
	for _, name := range slices.Sorted(maps.Keys(s.groups)) {
		list = append(list, s.groups[name].Status(now))
	}
	out.Add(dheffect.NewPoolsReply(dheffect.PoolsReplyOptions{Pools: list}))
}

// HandleBurnReportRequest tells how fast error budgets are used up.
func (s *State) HandleBurnReportRequest(now dhclock.Millis, out *dheffect.List) {
	out.Add(dheffect.NewBurnReply(dheffect.BurnReplyOptions{
		Rows: s.burn.Rows(now, s.view.Catalog().Objectives()),
	}))
}
