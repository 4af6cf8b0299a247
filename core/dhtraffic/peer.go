package dhtraffic

import (
	"cmp"
	"maps"
	"slices"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// Parameters of forwarding requests to peers.
const (
	// reservationInterval is the least time between two rounds of reservation
	// requests, in milliseconds.
	reservationInterval dhclock.Millis = 100
	// peersPerDistance is how many peers of each distance get a reservation
	// request in one round.
	peersPerDistance = 3
	// spareSlots is how many slots a reservation request has beyond the present
	// need.
	spareSlots = 2
	// reservationKeepAlive is how long reservations are renewed after the last
	// request was forwarded to a peer, in milliseconds.
	reservationKeepAlive dhclock.Millis = 2000
)

// distance orders peers by the network distance to them.
type distance int

const (
	sameZone distance = iota
	sameRegion
	otherRegion
)

// peer is another instance with the slots that it has reserved for this one in
// one service.
type peer struct {
	instance dhcatalog.Instance
	distance distance
	region   string
	slots    int
	running  int
	expiry   dhclock.Millis
}

// hasFreeSlot reports whether the reservation is valid and has a free slot.
func (p *peer) hasFreeSlot(now dhclock.Millis) bool { return p.running < p.slots && now < p.expiry }

// isNeutral reports whether the end of an attempt says nothing about the other side: the
// caller disconnected, or this process didn't try.
func isNeutral(end dhevent.AttemptEnd) bool {
	return end == dhevent.EndCallerGone || end == dhevent.EndAbandoned || end == dhevent.EndUntried
}

// releaseSlot releases a reserved slot at the end of an attempt. If the attempt
// failed, the peer gets no more requests until its next reservation response.
func (p *peer) releaseSlot(end dhevent.AttemptEnd) {
	p.running--
	if end != dhevent.EndAnswered && end != dhevent.EndUnproven && !isNeutral(end) {
		p.slots = 0
	}
}

// peerFor returns the nearest peer with a free reserved slot, or nil. A peer in
// another region is eligible only if there are no slots here at all, the request
// has waited for crossRegionDelay, or an attempt has failed, and only while the
// link has budget.
func (s *State) peerFor(now dhclock.Millis, p *pool, r *request) *peer {
	if r.fromPeer {
		return nil
	}
	total, _ := p.Slots(now)
	crossRegion := total == 0 || now.Since(r.receivedAt) >= crossRegionDelay || r.attempts > 0
	var best *peer
	for _, name := range slices.Sorted(maps.Keys(p.peers)) {
		candidate := p.peers[name]
		if !candidate.hasFreeSlot(now) || s.view.IsUnavailable(name) || slices.Contains(r.triedPeers, candidate) {
			continue
		}
		if candidate.distance == otherRegion && (!crossRegion || !s.linkHasBudget(now, candidate.region)) {
			continue
		}
		if best == nil || preferred(candidate, best) {
			best = candidate
		}
	}
	return best
}

// preferred reports whether a is nearer than b, or as near with more free slots.
func preferred(a, b *peer) bool {
	return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.slots-b.running, a.slots-a.running)) < 0
}

// forwardToPeer starts an attempt at a peer with a reserved slot.
func (s *State) forwardToPeer(now dhclock.Millis, p *pool, r *request, to *peer, out *dheffect.List) {
	if s.sendToPeer(now, r, to, nil, out) {
		p.reserveUntil = now + reservationKeepAlive
		p.creditRetries(now)
	}
}

// sendToPeer starts an attempt at a peer, unless the caller's key has been revoked in
// the meantime. The peer refuses it with an older declaration than minDeclaration.
// sendToPeer reports whether it has started an attempt.
func (s *State) sendToPeer(now dhclock.Millis, r *request, to *peer, minDeclaration *uint64, out *dheffect.List) bool {
	if refusal, ok := s.mayForward(now, r); !ok {
		s.refuse(now, r, refusal, out)
		return false
	}
	r.phase = running
	r.waiter = nil
	r.peer = to
	r.attempts++
	to.running++
	r.recordSent(now, s.configAge(now), to.instance.Name(), nil)
	s.chargeLink(now, to, r.bodyBytes)
	out.Add(dheffect.NewForwardToPeer(dheffect.ForwardToPeerOptions{
		RequestID: r.id, Instance: to.instance.Name(), Address: to.instance.PeerAddress(),
		Organisation: r.organisation, Timeout: r.remaining(now), Claimed: r.claimGranted, MinDeclaration: minDeclaration,
		NeedsProof: s.needsProof(r),
	}))
	return true
}

// forwardWaitingToPeers forwards waiting requests to peers with free reserved
// slots. It stops at the first request without a peer, which stays at the head
// of the queue.
func (s *State) forwardWaitingToPeers(now dhclock.Millis, p *pool, out *dheffect.List) {
	for p.Waiting() > 0 {
		w := p.Dequeue()
		r := s.requests[w.Request()]
		to := s.peerFor(now, p, r)
		if to == nil {
			p.Requeue(w)
			return
		}
		s.forwardToPeer(now, p, r, to, out)
	}
}

// requestReservations sends reservation requests to some peers of each distance,
// at most once per reservationInterval. A request covers the waiting requests and
// those that already run at the peer.
func (s *State) requestReservations(now dhclock.Millis, p *pool, out *dheffect.List) {
	if now.Since(p.lastReservationRequest) < reservationInterval && p.lastReservationRequest > 0 {
		return
	}
	p.lastReservationRequest = now
	for _, i := range s.reservationPeers(now) {
		slots := p.Waiting() + spareSlots
		if to, found := p.peers[i.Name()]; found {
			slots += to.running
		}
		out.Add(dheffect.NewSend(dheffect.SendOptions{
			To:      i.Name(),
			Message: dhmessage.NewReservationRequest(dhmessage.ReservationRequestOptions{Service: p.Service(), SentAt: now, Slots: slots}),
		}))
	}
}

// reservationPeers returns the available peers for the next round of reservation
// requests: up to peersPerDistance of each distance, in rotation.
func (s *State) reservationPeers(now dhclock.Millis) []dhcatalog.Instance {
	var byDistance [otherRegion + 1][]dhcatalog.Instance
	for _, z := range s.view.Catalog().Zones() {
		for _, i := range s.view.Catalog().InstancesIn(z.Name()) {
			if i.Name() != s.instance && !s.view.IsUnavailable(i.Name()) {
				d := s.distanceTo(i.Zone())
				byDistance[d] = append(byDistance[d], i)
			}
		}
	}
	var list []dhcatalog.Instance
	for _, peers := range byDistance {
		round := int(now / reservationInterval)
		for k := range min(peersPerDistance, len(peers)) {
			list = append(list, peers[(round*peersPerDistance+k)%len(peers)])
		}
	}
	return list
}

func (s *State) distanceTo(zone string) distance {
	if zone == s.zone {
		return sameZone
	}
	here, _ := s.view.Catalog().Zone(s.zone)
	there, _ := s.view.Catalog().Zone(zone)
	if here.Region() == there.Region() {
		return sameRegion
	}
	return otherRegion
}

// HandleReservationResponse records the slots that a peer has reserved for this
// instance and forwards waiting requests to peers.
func (s *State) HandleReservationResponse(e *dhevent.ReservationReceived, out *dheffect.List) {
	i, found := s.view.Catalog().Instance(e.Instance())
	if !found {
		return
	}
	p := s.poolOf(e.Response().Service())
	from, found := p.peers[i.Name()]
	if !found {
		from = &peer{}
		p.peers[i.Name()] = from
	}
	there, _ := s.view.Catalog().Zone(i.Zone())
	from.instance, from.distance, from.region = i, s.distanceTo(i.Zone()), there.Region()
	from.slots, from.expiry = e.Response().Slots(), e.Response().RequestSentAt()+e.Response().TTL()
	s.forwardWaitingToPeers(e.At(), p, out)
}
