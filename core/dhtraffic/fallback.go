package dhtraffic

import (
	"slices"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhsteer"
)

// fallbackPeer returns a peer to forward a request to while this instance is isolated,
// or nil if it isn't or there is none. The peer is a random one of the own region, so
// that no single peer gets all requests, else one of another region. Only peers in the
// homes of a request with homes get its body.
func (s *State) fallbackPeer(now dhclock.Millis, r *request) *peer {
	if !s.reachability.isolated || r.fromPeer {
		return nil
	}
	criteria := s.criteria(r)
	var best *peer
	var bestRank uint64
	for _, z := range s.view.Catalog().Zones() {
		if !criteria.Allows(z.Region()) {
			continue
		}
		for _, i := range s.view.Catalog().InstancesIn(z.Name()) {
			candidate := &peer{instance: i, distance: s.distanceTo(i), region: z.Region()}
			if !s.mayFallBackTo(now, r, candidate) {
				continue
			}
			rank := dhsteer.HashObject(i.Name()) ^ r.random
			if best == nil || isCloserRegion(candidate, best) || !isCloserRegion(best, candidate) && rank < bestRank {
				best, bestRank = candidate, rank
			}
		}
	}
	return best
}

// isCloserRegion reports whether only a is in the region of this instance.
func isCloserRegion(a, b *peer) bool { return a.distance != otherRegion && b.distance == otherRegion }

// mayFallBackTo reports whether a peer may get a request while this instance is
// isolated.
func (s *State) mayFallBackTo(now dhclock.Millis, r *request, to *peer) bool {
	name := to.instance.Name()
	if name == s.instance || s.view.IsUnavailable(name) || now < s.reachability.avoidedPeers[name] {
		return false
	}
	if slices.ContainsFunc(r.triedPeers, func(tried *peer) bool { return tried.instance.Name() == name }) {
		return false
	}
	return to.distance != otherRegion || s.linkHasBudget(now, to)
}

// forwardToFallbackPeer forwards a request for a registered upstream to a peer, which
// selects the upstream. A peer whose configuration is older than the one here must not
// serve it, or the caller would see the configuration go back.
func (s *State) forwardToFallbackPeer(now dhclock.Millis, g *group, r *request, to *peer, out *dheffect.List) {
	r.group, r.sentToFallback = g, true
	s.sendToPeer(now, r, to, new(s.declarationNumber()), out)
}

// uncountUnsent takes back an attempt that reached no upstream because this instance is
// isolated, so that the request can go to a fallback peer or to the next one. Otherwise
// such attempts count: waiting for one connection after another takes the caller's
// time, and on a congested link it adds to the load.
func (s *State) uncountUnsent(r *request, e *dhevent.AttemptEnded) {
	if r.group == nil || e.End() != dhevent.EndNotSent || !s.reachability.isolated {
		return
	}
	r.attempts--
	r.unsentAttempts++
	r.sentToFallback = false
}
