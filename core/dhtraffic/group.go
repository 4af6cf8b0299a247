package dhtraffic

import (
	"slices"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhsteer"
)

// group is the registered upstreams of one service, with this instance's part
// of the budget for sending requests out again.
type group struct {
	*dhsteer.Group
	retryBucket retryBucket
}

// setGroups takes the registered upstreams of a new version.
func (s *State) setGroups(now dhclock.Millis) {
	c := s.view.Catalog()
	l := s.layout()
	position, instances := s.instancePosition()
	kept := map[string]bool{}
	for _, name := range c.RegisteredServices() {
		kept[name] = true
		g, found := s.groups[name]
		if !found {
			g = &group{Group: dhsteer.NewGroup(name)}
			s.groups[name] = g
		}
		service, _ := c.Service(name)
		l.ColdStart = service.ColdStart()
		l.ColdShare = coldStartShares(service, position, instances)
		var list []dhsteer.Registration
		for _, u := range c.UpstreamsOf(name) {
			if u.State() != dhcatalog.UpstreamGone {
				list = append(list, dhsteer.NewRegistration(u, c.RegionOf(u.Zone()), c.Evacuated(u.Zone())))
			}
		}
		g.Update(now, list, l)
		g.retryBucket.setClusterShare(s.clusterRetries, instances)
	}
	for name, g := range s.groups {
		if !kept[name] {
			g.Update(now, nil, l)
		}
	}
}

// layout tells groups how the fleet is spread over the regions.
func (s *State) layout() dhsteer.Layout {
	c := s.view.Catalog()
	l := dhsteer.Layout{Local: c.RegionOf(s.zone), Entries: map[string]int{}}
	for _, z := range c.Zones() {
		if n := len(c.InstancesIn(z.Name())); n > 0 {
			l.Entries[z.Region()] += n
		}
	}
	return l
}

// coldStartBurstPercent is how far all instances together may exceed a cold
// upstream's rate within a second, in percent. Without it most instances would
// send nothing to an upstream that warms up.
const coldStartBurstPercent = 150

// coldStartShares splits the rate that a cold upstream bears over the instances: each
// gets the whole part, and the rest goes to as many of them, other ones for
// each upstream.
func coldStartShares(service dhcatalog.Service, position, count int) func(upstream string) int {
	if service.ColdRate() == 0 {
		return func(string) int { return -1 }
	}
	total := int(service.ColdRate() * coldStartBurstPercent / 100 / dhcatalog.ColdRateUnit)
	return func(upstream string) int {
		if position < 0 {
			return 0
		}
		turn := int(dhsteer.HashObject(upstream) % uint64(count))
		share := total / count
		if (position+turn)%count < total%count {
			share++
		}
		return share
	}
}

// instancePosition returns this instance's position among all declared instances, or -1,
// and how many there are.
func (s *State) instancePosition() (position, count int) {
	position = -1
	for _, z := range s.view.Catalog().Zones() {
		for _, i := range s.view.Catalog().InstancesIn(z.Name()) {
			if i.Name() == s.instance {
				position = count
			}
			count++
		}
	}
	return position, count
}

// acquireMember sends a request to a registered upstream, or refuses it at once:
// nothing here becomes free that a wait could be for.
func (s *State) acquireMember(now dhclock.Millis, g *group, r *request, out *dheffect.List) {
	m := g.Choose(now, s.criteria(r))
	if m == nil {
		s.refuse(now, r, dheffect.NewRefusal(dheffect.RefuseNoCapacity, false, longRetryAfter), out)
		return
	}
	s.forwardToMember(now, g, r, m, out)
}

func (s *State) criteria(r *request) dhsteer.Wish {
	w := dhsteer.Wish{Random: r.random, Tried: r.triedMembers, Objective: r.route.Objective()}
	if r.route.Affinity() {
		w.Object = r.object
	}
	organisation, _ := s.view.Catalog().Organisation(r.organisation)
	w.Priority = organisation.Priority(r.route)
	w.Homes = [2][]string{r.route.Homes(), organisation.Homes()}
	return w
}

// forwardToMember starts an attempt at a registered upstream, unless the caller's key
// was withdrawn meanwhile.
func (s *State) forwardToMember(now dhclock.Millis, g *group, r *request, m *dhsteer.Member, out *dheffect.List) {
	if refusal, ok := s.checkKey(now, r); !ok {
		s.refuse(now, r, refusal, out)
		return
	}
	r.phase, r.group, r.member = running, g, m
	r.attempts++
	if r.attempts == 1 {
		g.retryBucket.credit()
	}
	r.recordSent(now, m.Name())
	g.Take(now, m)
	out.Add(dheffect.NewForward(dheffect.ForwardOptions{
		Request: r.id, Service: g.Service(), Upstream: m.Name(), Address: m.Address(), Organisation: r.organisation,
		Timeout: r.remaining(now), Claimed: r.claimGranted, Registered: true,
	}))
}

// retryOnMember sends a request to another registered upstream if its route, the
// deadline and the budget allow, else refuses it. The route is looked up again:
// it may have changed since the request came.
func (s *State) retryOnMember(now dhclock.Millis, r *request, f dheffect.Refusal, out *dheffect.List) {
	route, found := s.view.Catalog().RouteFor(r.host, r.path)
	if !found || !routesTo(route, r.service) || r.attempts >= route.MaxAttempts() || r.remaining(now) <= 0 {
		s.refuse(now, r, f, out)
		return
	}
	r.route = route
	m := r.group.Choose(now, s.criteria(r))
	if m == nil || !r.group.retryBucket.acquire() {
		s.refuse(now, r, f, out)
		return
	}
	s.forwardToMember(now, r.group, r, m, out)
}

// routesTo tells whether a service is one of a route's.
func routesTo(r dhcatalog.Route, service string) bool {
	if len(r.Split()) == 0 {
		return r.Service() == service
	}
	return slices.ContainsFunc(r.Split(), func(w dhcatalog.Weighted) bool { return w.Service() == service })
}
