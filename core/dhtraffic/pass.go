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

// Constants of passing requests between instances.
const (
	// reservationInterval is the least time between two rounds of asks, in
	// milliseconds.
	reservationInterval dhclock.Millis = 100
	// peersPerDistance is how many instances of each distance one round asks.
	peersPerDistance = 3
	// spareSlots is how many slots beyond the present need are asked for.
	spareSlots = 2
	// reservationKeepAlive is for how long reservations are kept up after a request was
	// passed, in milliseconds.
	reservationKeepAlive dhclock.Millis = 2000
)

// distance orders instances by how far a request travels.
type distance int

const (
	sameZone distance = iota
	sameRegion
	otherRegion
)

// peer is what this instance knows of another one's room for a service.
type peer struct {
	instance dhcatalog.Instance
	distance distance
	region   string
	slots    int
	running  int
	expiry   dhclock.Millis
}

func (g *peer) hasFreeSlot(now dhclock.Millis) bool { return g.running < g.slots && now < g.expiry }

// releaseSlot gives back a slot at the other instance. One that was not reached or
// had no room gets nothing more until it answers an ask again.
func (g *peer) releaseSlot(end dhevent.AttemptEnd) {
	g.running--
	if end != dhevent.EndAnswered && end != dhevent.EndCallerGone {
		g.slots = 0
	}
}

// peerFor returns the nearest instance that has reserved room, or nil. One
// in another region is used only if this zone has no slots at all, or the
// request has waited for a while.
func (s *State) peerFor(now dhclock.Millis, p *pool, r *request) *peer {
	if r.fromPeer {
		return nil
	}
	all, _ := p.Slots(now)
	farAllowed := all == 0 || now.Since(r.received) >= crossRegionDelay || r.attempts > 0
	var best *peer
	for _, name := range slices.Sorted(maps.Keys(p.peers)) {
		g := p.peers[name]
		if !g.hasFreeSlot(now) || s.view.IsAway(name) || slices.Contains(r.triedPeers, g) {
			continue
		}
		if g.distance == otherRegion && (!farAllowed || !s.linkHasBudget(now, g)) {
			continue
		}
		if best == nil || preferred(g, best) {
			best = g
		}
	}
	return best
}

func preferred(a, b *peer) bool {
	return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.slots-b.running, a.slots-a.running)) < 0
}

// forwardToPeer hands a request to another instance.
func (s *State) forwardToPeer(now dhclock.Millis, p *pool, r *request, g *peer, out *dheffect.List) {
	if refusal, ok := s.checkKey(now, r); !ok {
		s.refuse(now, r, refusal, out)
		return
	}
	r.phase = running
	r.waiter = nil
	r.peer = g
	r.attempts++
	g.running++
	r.recordSent(now, g.instance.Name())
	s.chargeLink(now, g, r.size)
	p.reserveUntil = now + reservationKeepAlive
	p.creditRetries(now)
	out.Add(dheffect.NewPass(dheffect.PassOptions{
		Request: r.id, Instance: g.instance.Name(), Address: g.instance.PeerAddress(),
		Organisation: r.organisation, Timeout: r.remaining(now), Claimed: r.claimGranted,
	}))
}

// forwardWaitingToPeers passes requests that wait here to instances with room.
func (s *State) forwardWaitingToPeers(now dhclock.Millis, p *pool, out *dheffect.List) {
	for p.Waiting() > 0 {
		w := p.Next()
		r := s.requests[w.Request()]
		g := s.peerFor(now, p, r)
		if g == nil {
			p.PutBack(w)
			return
		}
		s.forwardToPeer(now, p, r, g, out)
	}
}

// requestReservations asks a few instances of each distance how much they would take.
func (s *State) requestReservations(now dhclock.Millis, p *pool, out *dheffect.List) {
	if now.Since(p.lastReservationRequest) < reservationInterval && p.lastReservationRequest > 0 {
		return
	}
	p.lastReservationRequest = now
	for _, i := range s.reservationPeers(now) {
		want := p.Waiting() + spareSlots
		if g, found := p.peers[i.Name()]; found {
			want += g.running
		}
		out.Add(dheffect.NewSend(dheffect.SendOptions{
			To:      i.Name(),
			Message: dhmessage.NewIntakeAsk(dhmessage.IntakeAskOptions{Service: p.Service(), Sent: now, Want: want}),
		}))
	}
}

// reservationPeers picks instances to ask: a few of each distance, in turn.
func (s *State) reservationPeers(now dhclock.Millis) []dhcatalog.Instance {
	var near [otherRegion + 1][]dhcatalog.Instance
	for _, z := range s.view.Catalog().Zones() {
		for _, i := range s.view.Catalog().InstancesIn(z.Name()) {
			if i.Name() != s.instance && !s.view.IsAway(i.Name()) {
				d := s.distanceTo(i)
				near[d] = append(near[d], i)
			}
		}
	}
	var list []dhcatalog.Instance
	for _, of := range near {
		turn := int(now / reservationInterval)
		for k := range min(peersPerDistance, len(of)) {
			list = append(list, of[(turn*peersPerDistance+k)%len(of)])
		}
	}
	return list
}

func (s *State) distanceTo(i dhcatalog.Instance) distance {
	if i.Zone() == s.zone {
		return sameZone
	}
	here, _ := s.view.Catalog().Zone(s.zone)
	there, _ := s.view.Catalog().Zone(i.Zone())
	if here.Region() == there.Region() {
		return sameRegion
	}
	return otherRegion
}

// HandleReservationResponse takes another instance's answer and passes on what waits.
func (s *State) HandleReservationResponse(e *dhevent.IntakeArrived, out *dheffect.List) {
	i, found := s.view.Catalog().Instance(e.Instance())
	if !found {
		return
	}
	p := s.poolOf(e.Give().Service())
	g, found := p.peers[i.Name()]
	if !found {
		g = &peer{}
		p.peers[i.Name()] = g
	}
	there, _ := s.view.Catalog().Zone(i.Zone())
	g.instance, g.distance, g.region = i, s.distanceTo(i), there.Region()
	g.slots, g.expiry = e.Give().Slots(), e.Give().Sent()+e.Give().Life()
	s.forwardWaitingToPeers(e.At(), p, out)
}
