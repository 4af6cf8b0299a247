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
	// maxRefusalTime is the longest time in which a connection is refused: a round trip
	// between distant regions. Later failures are time-outs.
	maxRefusalTime dhclock.Millis = 250
	// probeInterval is the time between two probes of an isolated instance.
	probeInterval dhclock.Millis = 250
	// suspicionInterval is the least time between probes after first failures, so that
	// probes don't add to the load of a congested link.
	suspicionInterval dhclock.Millis = 1000
	// peerAvoidance is how long an isolated instance forwards nothing to a peer that
	// it couldn't reach or that is isolated too.
	peerAvoidance dhclock.Millis = 1000
	// unreachablePeersThreshold is how many peers must not answer a new connection, with
	// no attempt in between that ended otherwise, before an isolated instance ceases to
	// forward.
	unreachablePeersThreshold = 2
)

// reachability tracks whether this instance can open connections to registered upstreams.
// If it can't reach any, its own links have failed rather than the upstreams. It is
// isolated then, and forwards requests to peers.
type reachability struct {
	// upstreams is the number of registered upstreams of all services.
	upstreams int
	// lastConnected is when the last connection that succeeded was started.
	lastConnected dhclock.Millis
	// lastResponse is when the last response of an upstream arrived, on any
	// connection.
	lastResponse dhclock.Millis
	// unreachable holds the last failed connection to each upstream to which a later
	// one has not succeeded.
	unreachable map[*dhsteer.Member]failedConnection
	isolated    bool
	// probeFailed is set if a probe has failed since the last connection that
	// succeeded.
	probeFailed  bool
	lastProbe    dhclock.Millis
	probes       int                       // how many were sent
	avoidedPeers map[string]dhclock.Millis // by name: until when
	// timedOutPeers are the peers to which connections timed out since an attempt
	// through a peer last ended in another way.
	timedOutPeers map[string]bool
}

// failedConnection is a connection that was refused or timed out.
type failedConnection struct {
	startedAt dhclock.Millis
	timedOut  bool
}

// connectsAgain is the text of the log line at the usual end of an isolation.
const connectsAgain = "connects to upstreams again"

func newReachability() reachability {
	return reachability{unreachable: map[*dhsteer.Member]failedConnection{}, avoidedPeers: map[string]dhclock.Millis{}, timedOutPeers: map[string]bool{}}
}

// recordConnect updates the reachability with the result of a new connection to an
// upstream. Results are compared by their starts, because a failure is
// known later than a success. A failure is no evidence either if some upstream has
// responded since its start: on a congested link connections time out while responses
// arrive. Upstreams that refuse connections may have crashed: if any upstream has ever
// responded, a failed probe of another one must confirm the isolation.
func (r *reachability) recordConnect(startedAt, latency dhclock.Millis, m *dhsteer.Member, connected bool) {
	if connected {
		r.probeFailed = false
		r.lastConnected = max(r.lastConnected, startedAt)
		maps.DeleteFunc(r.unreachable, func(_ *dhsteer.Member, f failedConnection) bool { return f.startedAt < startedAt })
	} else if startedAt >= max(r.lastConnected, r.lastResponse) {
		r.unreachable[m] = failedConnection{startedAt: startedAt, timedOut: latency > maxRefusalTime}
	}
	isConfirmed := r.probeFailed || r.lastResponse == 0 || !r.isRefused()
	r.isolated = r.isSuspected() && isConfirmed
}

// isRefused reports whether an upstream refused the last connection to it.
func (r *reachability) isRefused() bool {
	for _, f := range r.unreachable {
		if !f.timedOut {
			return true
		}
	}
	return false
}

// isSuspected reports whether enough upstreams are unreachable for this instance to be
// isolated.
func (r *reachability) isSuspected() bool {
	return r.upstreams > 0 && len(r.unreachable) >= min(isolationThreshold, r.upstreams)
}

// recordResponse records that an attempt at an upstream may have ended with a response.
// No response arrives on links that hang, so connections that timed out are no evidence
// any more. Refused ones are: connections may live on where new ones are refused.
func (r *reachability) recordResponse(now dhclock.Millis, end dhevent.AttemptEnd) {
	switch end {
	case dhevent.EndAnswered, dhevent.EndRefused, dhevent.EndUnattributed, dhevent.EndUnproven, dhevent.EndMisplaced:
		r.lastResponse = now
		maps.DeleteFunc(r.unreachable, func(_ *dhsteer.Member, f failedConnection) bool { return f.timedOut })
		r.isolated = r.isolated && r.isSuspected()
	case dhevent.EndNotSent, dhevent.EndBroken, dhevent.EndTimedOut, dhevent.EndCallerGone, dhevent.EndAbandoned, dhevent.EndUntried:
	}
}

// recordPeer records how an attempt through a peer ended. Where connections to peers time
// out like those to upstreams, the links of this instance are congested or cut altogether:
// forwarding helps nobody then, and adds to the load.
func (r *reachability) recordPeer(peer string, e *dhevent.AttemptEnded) {
	if e.End() == dhevent.EndNotSent || e.End() == dhevent.EndBroken {
		r.avoidedPeers[peer] = e.At() + peerAvoidance
	}
	if e.Connected() == nil || *e.Connected() || e.Latency() <= maxRefusalTime {
		if e.End() != dhevent.EndTimedOut && !isNeutral(e.End()) {
			clear(r.timedOutPeers)
		}
		return
	}
	r.timedOutPeers[peer] = true
	if r.isolated && len(r.timedOutPeers) >= unreachablePeersThreshold {
		r.isolated = false
		clear(r.timedOutPeers)
		clear(r.unreachable)
	}
}

// HandleProbe records the result of a probe.
func (s *State) HandleProbe(e *dhevent.UpstreamProbed, out *dheffect.List) {
	if g, found := s.groups[e.Service()]; found {
		if m := g.Member(e.Upstream()); m != nil {
			if !e.Connected() && !s.crashes.isSuspected(upstreamName{e.Service(), e.Upstream()}) {
				s.reachability.probeFailed = true
			}
			s.recordConnect(e.At(), e.Latency(), e.Service(), m, e.Connected(), out)
			return
		}
	}
	s.recordConnection(e.At(), e.Latency(), upstreamName{e.Service(), e.Upstream()}, e.Connected(), out)
}

// recordConnect updates the reachability with the result of a new connection to an
// upstream. The first failure is followed by probes of two other upstreams, which show
// whether it is that upstream's or this instance's.
func (s *State) recordConnect(now, latency dhclock.Millis, service string, m *dhsteer.Member, connected bool, out *dheffect.List) {
	isolated, suspected := s.reachability.isolated, len(s.reachability.unreachable) > 0
	s.reachability.recordConnect(now-latency, latency, m, connected)
	s.handleIsolationChange(isolated, m.Name(), connectsAgain, out)
	s.recordConnection(now, latency, upstreamName{service, m.Name()}, connected, out)
	if s.reachability.isolated {
		return
	}
	interval := probeInterval
	if !s.reachability.isSuspected() {
		interval = suspicionInterval
	}
	hasFirstFailure := !suspected && len(s.reachability.unreachable) > 0
	if (hasFirstFailure || s.reachability.isSuspected()) && now.Since(s.reachability.lastProbe) >= interval {
		for range isolationThreshold - 1 {
			s.probe(now, out)
		}
	}
}

// recordResponse updates the reachability with the end of an attempt at an upstream.
func (s *State) recordResponse(now dhclock.Millis, m *dhsteer.Member, end dhevent.AttemptEnd, out *dheffect.List) {
	isolated := s.reachability.isolated
	s.reachability.recordResponse(now, end)
	s.handleIsolationChange(isolated, m.Name(), connectsAgain, out)
}

// recordPeer updates the reachability with the end of an attempt through a peer.
func (s *State) recordPeer(peer string, e *dhevent.AttemptEnded, out *dheffect.List) {
	isolated := s.reachability.isolated
	s.reachability.recordPeer(peer, e)
	s.handleIsolationChange(isolated, peer, "can't connect to peers either", out)
}

// handleIsolationChange logs a change of isolated, which an upstream or peer has caused, and
// the reason if the instance is no longer isolated. The failures of the time between count no
// more then.
func (s *State) handleIsolationChange(before bool, cause, endReason string, out *dheffect.List) {
	switch {
	case s.reachability.isolated && !before:
		out.Add(dheffect.NewLog(dheffect.LogOptions{Layer: "upstreams", Text: "can't connect to any upstream", Peer: cause, Number: uint64(len(s.reachability.unreachable))}))
	case before && !s.reachability.isolated:
		out.Add(dheffect.NewLog(dheffect.LogOptions{Layer: "upstreams", Text: endReason, Peer: cause}))
		for _, g := range s.groups {
			g.ForgetFailures()
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
