package dhtraffic

import (
	"maps"
	"slices"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhsteer"
)

// Parameters of finding out whether this instance can reach the registered upstreams,
// in milliseconds unless noted.
const (
	// isolationThreshold is how many upstreams must refuse or not answer a new
	// connection, with no success in between, before this instance counts as isolated.
	isolationThreshold = 3
	// probeInterval is the time between two probes of an isolated instance.
	probeInterval dhclock.Millis = 250
	// peerAvoidance is how long an isolated instance forwards nothing to a peer that
	// it couldn't reach or that is isolated too.
	peerAvoidance dhclock.Millis = 1000
)

// reachability tracks whether this instance can open connections to registered upstreams.
// If it can't reach any, its own links have failed rather than the upstreams. It is
// isolated then, and forwards requests to peers.
type reachability struct {
	// lastConnected is when the last connection that succeeded was started.
	lastConnected dhclock.Millis
	// lastResponse is when the last response of an upstream arrived, on any
	// connection.
	lastResponse dhclock.Millis
	// unreachable holds, for each upstream to which a later connection has failed,
	// when that one was started.
	unreachable  map[*dhsteer.Member]dhclock.Millis
	isolated     bool
	lastProbe    dhclock.Millis
	probes       int                       // how many were sent
	avoidedPeers map[string]dhclock.Millis // by name: until when
}

func newReachability() reachability {
	return reachability{unreachable: map[*dhsteer.Member]dhclock.Millis{}, avoidedPeers: map[string]dhclock.Millis{}}
}

// recordConnect updates the reachability with the result of a new connection to one of a
// number of upstreams. Results are compared by their starts, because a failure is
// known later than a success. A failure is no evidence either if some upstream has
// responded since its start: on a congested link connections time out while responses
// arrive.
func (r *reachability) recordConnect(startedAt dhclock.Millis, m *dhsteer.Member, connected bool, upstreams int) {
	if connected {
		r.lastConnected = max(r.lastConnected, startedAt)
		maps.DeleteFunc(r.unreachable, func(_ *dhsteer.Member, failedAt dhclock.Millis) bool { return failedAt < startedAt })
	} else if startedAt >= max(r.lastConnected, r.lastResponse) {
		r.unreachable[m] = startedAt
	}
	r.isolated = upstreams > 0 && len(r.unreachable) >= min(isolationThreshold, upstreams)
}

// recordResponse records that an attempt at an upstream has ended with a response.
func (r *reachability) recordResponse(now dhclock.Millis, end dhevent.AttemptEnd) {
	switch end {
	case dhevent.EndAnswered, dhevent.EndRefused, dhevent.EndMisplaced:
		r.lastResponse = now
	case dhevent.EndNotSent, dhevent.EndBroken, dhevent.EndTimedOut, dhevent.EndCallerGone:
	}
}

// recordPeer records how an attempt through a peer ended.
func (r *reachability) recordPeer(now dhclock.Millis, peer string, end dhevent.AttemptEnd) {
	if end == dhevent.EndNotSent || end == dhevent.EndBroken {
		r.avoidedPeers[peer] = now + peerAvoidance
	}
}

// HandleProbe records the result of a probe.
func (s *State) HandleProbe(e *dhevent.UpstreamProbed, out *dheffect.List) {
	g, found := s.groups[e.Service()]
	if !found {
		return
	}
	if m := g.Member(e.Upstream()); m != nil {
		s.recordConnect(e.At(), e.Latency(), m, e.Connected(), out)
	}
}

// recordConnect updates the reachability with the result of a new connection to an upstream.
// The first failure is followed by probes of two other upstreams, which show whether
// it is that upstream's or this instance's. Once connections succeed again, failures
// of the time between count no more.
func (s *State) recordConnect(now, latency dhclock.Millis, m *dhsteer.Member, connected bool, out *dheffect.List) {
	upstreams := 0
	for _, g := range s.groups {
		upstreams += g.Size()
	}
	isolated, suspected := s.reachability.isolated, len(s.reachability.unreachable) > 0
	s.reachability.recordConnect(now-latency, m, connected, upstreams)
	switch {
	case s.reachability.isolated && !isolated:
		out.Add(dheffect.NewLog(dheffect.LogOptions{Layer: "upstreams", Text: "can't connect to any upstream", Peer: m.Name(), Number: uint64(len(s.reachability.unreachable))}))
	case isolated && !s.reachability.isolated:
		out.Add(dheffect.NewLog(dheffect.LogOptions{Layer: "upstreams", Text: "connects to upstreams again", Peer: m.Name()}))
		for _, g := range s.groups {
			g.ForgetFailures()
		}
	case !suspected && len(s.reachability.unreachable) > 0:
		for range isolationThreshold - 1 {
			s.probe(now, out)
		}
	}
}

// tickReachability probes an upstream once per probeInterval while this instance is isolated.
func (s *State) tickReachability(now dhclock.Millis, out *dheffect.List) {
	if s.reachability.isolated && now.Since(s.reachability.lastProbe) >= probeInterval {
		s.probe(now, out)
	}
}

// probe probes the next upstream in turn that isn't known to be unreachable; if all
// are, any in turn.
func (s *State) probe(now dhclock.Millis, out *dheffect.List) {
	type candidate struct {
		service string
		member  *dhsteer.Member
	}
	var untried, all []candidate
	for _, service := range slices.Sorted(maps.Keys(s.groups)) {
		for _, m := range s.groups[service].Members() {
			c := candidate{service, m}
			all = append(all, c)
			if _, failed := s.reachability.unreachable[m]; !failed {
				untried = append(untried, c)
			}
		}
	}
	if len(all) == 0 {
		return
	}
	if len(untried) == 0 {
		untried = all
	}
	turn := dhsteer.HashObject(s.instance) + uint64(s.reachability.probes)
	next := untried[turn%uint64(len(untried))]
	s.reachability.lastProbe = now
	s.reachability.probes++
	out.Add(dheffect.NewProbeUpstream(dheffect.ProbeUpstreamOptions{
		Service: next.service, Upstream: next.member.Name(), Address: next.member.Address(),
	}))
}
