package dhtraffic

import (
	"slices"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhsteer"
)

// group holds the registered upstreams of one service and this instance's share
// of the service's retry budget.
type group struct {
	*dhsteer.Group
	retryBucket retryBucket
	// records and topologyRevision are the inputs of the last update.
	records          []dhcatalog.Upstream
	topologyRevision uint64
}

// isCurrent reports whether the group was last updated with the same records and topology. A
// version of the configuration shares the list of a service's records with the one before it
// unless one of them has changed.
func (g *group) isCurrent(records []dhcatalog.Upstream, topologyRevision uint64) bool {
	return g.topologyRevision == topologyRevision && len(g.records) == len(records) &&
		(len(records) == 0 || &g.records[0] == &records[0])
}

// setGroups applies the registered upstreams of a new configuration version. A
// group whose service has none any more stays without members for the requests
// that still run.
func (s *State) setGroups(now dhclock.Millis) {
	c := s.view.Catalog()
	for _, name := range c.RegisteredServices() {
		if _, found := s.groups[name]; !found {
			s.groups[name] = &group{Group: dhsteer.NewGroup(name)}
		}
	}
	revision := c.Revision(dhcatalog.KindZone, dhcatalog.KindInstance, dhcatalog.KindService, dhcatalog.KindEvacuation)
	s.reachability.upstreams = 0
	for name, g := range s.groups {
		if records := c.UpstreamsOf(name); !g.isCurrent(records, revision) {
			s.updateGroup(now, g, records, s.topology(revision))
		}
		s.reachability.upstreams += g.Size()
	}
}

// updateGroup applies the records of the upstreams of a group.
func (s *State) updateGroup(now dhclock.Millis, g *group, records []dhcatalog.Upstream, t dhsteer.Topology) {
	c := s.view.Catalog()
	position, instances := s.instancePosition()
	service, _ := c.Service(g.Service())
	t.ColdStart = service.ColdStart()
	t.ColdRate = coldRateShares(service, position, instances)
	var registrations []dhsteer.Registration
	for _, u := range records {
		if u.State() != dhcatalog.UpstreamGone && g.isUsable(u) {
			registrations = append(registrations, dhsteer.NewRegistration(u, c.RegionOf(u.Zone()), c.Evacuated(u.Zone())))
		}
	}
	g.Update(now, registrations, t)
	g.retryBucket.setClusterShare(s.clusterRetries, instances)
	g.records, g.topologyRevision = records, t.Revision
}

// isUsable reports whether an upstream's record has no error. A member's record was checked
// when it became one.
func (g *group) isUsable(u dhcatalog.Upstream) bool {
	m := g.Member(u.Name())
	return m != nil && m.Record() == u || dhcatalog.CheckUpstream(u) == nil
}

// topology returns the local region and the number of instances in each region,
// which groups use to divide load among the regions, at a revision of the objects that they
// depend on.
func (s *State) topology(revision uint64) dhsteer.Topology {
	c := s.view.Catalog()
	t := dhsteer.Topology{
		LocalRegion: c.RegionOf(s.zone), EntryInstances: map[string]int{}, Revision: revision,
		Instance: s.instance, MaxConnections: s.maxConnections,
	}
	for _, z := range c.Zones() {
		if n := len(c.InstancesIn(z.Name())); n > 0 {
			t.EntryInstances[z.Region()] += n
		}
	}
	return t
}

// coldStartBurstPercent is what all instances together may send to a cold
// upstream within a second, in percent of its cold rate. At 100 percent most
// instances would have a share of zero and send nothing to an upstream in slow
// start.
const coldStartBurstPercent = 150

// coldRateShares returns a function from a cold upstream's name to this
// instance's share of its rate, in requests per second, or a negative number if
// the rate is unlimited. The rate is divided evenly; the hash of the name selects
// the instances that get the remainder, so that they differ between upstreams.
func coldRateShares(service dhcatalog.Service, position, count int) func(upstream string) int {
	if service.ColdRate() == 0 {
		return func(string) int { return -1 }
	}
	total := int(service.ColdRate() * coldStartBurstPercent / 100 / dhcatalog.ColdRateUnit)
	return func(upstream string) int {
		if position < 0 {
			return 0
		}
		offset := int(dhsteer.HashObject(upstream) % uint64(count))
		share := total / count
		if (position+offset)%count < total%count {
			share++
		}
		return share
	}
}

// instancePosition returns this instance's index among all declared instances,
// or -1 if it isn't declared, and the number of declared instances.
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

// acquireMember forwards a request to a registered upstream or refuses it at
// once. Requests for registered upstreams don't queue: slots at them belong to no
// single instance, so there is no release that a queue here could wait for.
func (s *State) acquireMember(now dhclock.Millis, g *group, r *request, out *dheffect.List) {
	if s.reachability.isolated && r.fromPeer {
		s.refuse(now, r, dheffect.NewRefusal(dheffect.RefuseNoUpstream, false, shortRetryAfter), out)
		return
	}
	r.group = g
	if !s.forwardInGroup(now, r, out) {
		s.refuse(now, r, s.noCapacityRefusal(now, r, dheffect.NewRefusal(dheffect.RefuseNoCapacity, false, longRetryAfter)), out)
	}
}

// forwardInGroup forwards a request to a fallback peer if this instance is isolated, else
// to an upstream of its group. It reports false if there is none, or if the request has had
// an attempt and the retry budget is exhausted.
func (s *State) forwardInGroup(now dhclock.Millis, r *request, out *dheffect.List) bool {
	to := s.fallbackPeer(now, r)
	var m *dhsteer.Member
	if to == nil {
		m = r.group.Select(now, s.criteria(r))
	}
	if to == nil && m == nil || r.attempts > 0 && !r.group.retryBucket.acquire() {
		return false
	}
	if to != nil {
		s.forwardToFallbackPeer(now, r, to, out)
	} else {
		s.forwardToMember(now, r, m, out)
	}
	return true
}

// criteria returns what a request needs of its upstream. Affinity by object
// applies only on routes that have it.
func (s *State) criteria(r *request) dhsteer.Criteria {
	criteria := dhsteer.Criteria{Random: r.random, Tried: r.triedMembers, Objective: r.route.Objective()}
	if r.route.Affinity() {
		criteria.Object = r.object
	}
	organisation, _ := s.view.Catalog().Organisation(r.organisation)
	criteria.Priority = organisation.Priority(r.route)
	criteria.HomeRegions = [2][]string{r.route.HomeRegions(), organisation.HomeRegions()}
	return criteria
}

// forwardToMember starts an attempt at a registered upstream, unless the
// caller's key has been revoked in the meantime or the upstream may have departed.
func (s *State) forwardToMember(now dhclock.Millis, r *request, m *dhsteer.Member, out *dheffect.List) {
	refusal, ok := s.mayForward(now, r)
	if ok {
		refusal, ok = s.checkDepartures(now)
	}
	if !ok {
		s.refuse(now, r, refusal, out)
		return
	}
	r.phase, r.member = running, m
	r.attempts++
	if r.attempts == 1 && r.unsentAttempts == 0 {
		r.group.retryBucket.credit()
	}
	r.recordSent(now, s.configAge(now), m.Name(), m.Limit())
	r.group.Acquire(now, m)
	out.Add(dheffect.NewForwardToUpstream(dheffect.ForwardToUpstreamOptions{
		RequestID: r.id, Service: r.group.Service(), Upstream: m.Name(), Address: m.Address(), Organisation: r.organisation,
		Timeout: r.remaining(now), Claimed: r.claimGranted, Registered: true, SendBefore: s.sendBefore(),
		// The transport can resend a request without a body on a pooled connection.
		NewConnection: !r.route.Idempotent() && r.bodyBytes == 0,
		NeedsProof:    s.needsProof(r),
	}))
}

// maxUnsentAttempts bounds the attempts of one request that reached no upstream while
// this instance was isolated.
const maxUnsentAttempts = 6

// retryOnMember retries a request on another registered upstream, or through a peer if
// this instance is isolated. It refuses the request if the route's attempts, the
// deadline or the retry budget is exhausted; see uncountUnsent. It looks the route up
// again, because the route may have changed since the request was received.
func (s *State) retryOnMember(now dhclock.Millis, r *request, refusal dheffect.Refusal, out *dheffect.List) {
	route, found := s.view.Catalog().RouteFor(r.host, r.path)
	if !found || !routesTo(route, r.service) || !r.hasAttemptsLeft(route) || r.remaining(now) <= 0 || s.quarantine(now, r) > 0 {
		s.refuse(now, r, refusal, out)
		return
	}
	r.route = route
	if !s.forwardInGroup(now, r, out) {
		s.refuse(now, r, refusal, out)
	}
}

// hasAttemptsLeft reports whether a request may have another attempt. It may not after
// a fallback peer got it, which has made attempts of its own.
func (r *request) hasAttemptsLeft(route dhcatalog.Route) bool {
	return !r.sentToFallback && r.attempts < route.MaxAttempts() && r.unsentAttempts < maxUnsentAttempts
}

// routesTo reports whether a route sends requests to a service.
func routesTo(route dhcatalog.Route, service string) bool {
	if len(route.Split()) == 0 {
		return route.Service() == service
	}
	return slices.ContainsFunc(route.Split(), func(w dhcatalog.WeightedService) bool { return w.Service() == service })
}
