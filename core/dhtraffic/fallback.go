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
		to := s.distanceTo(z.Name())
		if !criteria.Allows(z.Region()) || to == otherRegion && !s.linkHasBudget(now, z.Region()) {
			continue
		}
		for _, i := range s.view.Catalog().InstancesIn(z.Name()) {
			if !s.mayFallBackTo(now, r, i.Name()) {
				continue
			}
			rank := dhsteer.HashObject(i.Name()) ^ r.random
			if best == nil || isCloserRegion(to, best.distance) || !isCloserRegion(best.distance, to) && rank < bestRank {
				best, bestRank = &peer{instance: i, distance: to, region: z.Region()}, rank
			}
		}
	}
	return best
}

// isCloserRegion reports whether only a is the distance of a peer in the region of this
// instance.
func isCloserRegion(a, b distance) bool { return a != otherRegion && b == otherRegion }

// mayFallBackTo reports whether the peer with a name may get a request while this instance
// is isolated.
func (s *State) mayFallBackTo(now dhclock.Millis, r *request, name string) bool {
	if name == s.instance || s.view.IsUnavailable(name) || now < s.reachability.avoidedPeers[name] {
		return false
	}
	return !slices.ContainsFunc(r.triedPeers, func(tried *peer) bool { return tried.instance.Name() == name })
}

// forwardToFallbackPeer forwards a request for a registered upstream to a peer, which
// selects the upstream. A peer whose configuration is older than the one here must not
// serve it, or the caller would see the configuration go back.
func (s *State) forwardToFallbackPeer(now dhclock.Millis, r *request, to *peer, out *dheffect.List) {
	r.sentToFallback = true
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
