package dhtraffic

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// Parameters of the admission of requests that peers forward to this instance.
const (
	// reservationTTL is the time after which a reservation expires, in
	// milliseconds.
	reservationTTL dhclock.Millis = 1000
	// initialAdmissionPercent is the part of the remote admission limit that
	// applies at the start of a ramp. The limit rises to 100 percent over the
	// service's cold-start time.
	initialAdmissionPercent = 20
)

// reservation is a number of slots kept for one peer.
type reservation struct {
	slots  int
	expiry dhclock.Millis
}

// remoteAdmission limits the requests that peers forward to this instance.
// Slots of a reservation count as used until the reservation expires.
type remoteAdmission struct {
	reservations map[string]reservation
	rampStart    dhclock.Millis // start of the current ramp
	lastActivity dhclock.Millis // last request or reservation request of a peer
}

// spillPercent returns the remote admission limit of a pool's service, in
// percent of its slots.
func (s *State) spillPercent(p *pool) int {
	service, _ := s.view.Catalog().Service(p.Service())
	return service.SpillPercent()
}

// limitPercent returns the remote admission limit that applies now, in percent of
// the slots. The limit ramps up when peers start to forward requests, because
// the caches of the upstreams here are cold for these clients.
func (a *remoteAdmission) limitPercent(now, coldStart dhclock.Millis, spill int) int {
	if now.Since(a.lastActivity) > coldStart+reservationTTL || a.lastActivity == 0 {
		a.rampStart = now
	}
	a.lastActivity = now
	if coldStart <= 0 || now.Since(a.rampStart) >= coldStart {
		return spill
	}
	first := spill * initialAdmissionPercent / 100
	return first + int(int64(spill-first)*int64(now.Since(a.rampStart))/int64(coldStart))
}

// headroom returns how many more requests from peers may run here.
func (a *remoteAdmission) headroom(now dhclock.Millis, p *pool, spill int) int {
	return p.RemoteCapacity(now, a.limitPercent(now, p.coldStart, spill))
}

// reserve replaces a peer's reservation and returns the number of slots that it
// got. That is at most what it requested, what other reservations leave of the
// remote admission limit, and what other reservations and waiting requests leave
// of the slots that are free or run requests from peers.
func (a *remoteAdmission) reserve(now dhclock.Millis, p *pool, peer string, requested, spill int) int {
	others := 0
	for name, r := range a.reservations {
		if r.expiry <= now {
			delete(a.reservations, name)
			continue
		}
		if name != peer {
			others += r.slots
		}
	}
	total, free := p.Slots(now)
	limit := total * a.limitPercent(now, p.coldStart, spill) / 100
	slots := max(0, min(requested, limit-others, free+p.RemoteRunning()-p.Waiting()-others))
	if slots == 0 {
		delete(a.reservations, peer)
		return 0
	}
	a.reservations[peer] = reservation{slots: slots, expiry: now + reservationTTL}
	return slots
}

// HandleReservationRequest reserves slots for a peer and sends it the response. An instance
// that is about to stop reserves none, because the peer may use them until after the stop.
func (s *State) HandleReservationRequest(e *dhevent.ReservationRequested, out *dheffect.List) {
	slots := 0
	if p, found := s.pools[e.Request().Service()]; found && s.stop == nil {
		slots = p.remote.reserve(e.At(), p, e.Instance(), e.Request().Slots(), s.spillPercent(p))
	}
	out.Add(dheffect.NewSend(dheffect.SendOptions{
		To: e.Instance(),
		Message: dhmessage.NewReservationResponse(dhmessage.ReservationResponseOptions{
			Service: e.Request().Service(), RequestSentAt: e.Request().SentAt(), TTL: reservationTTL, Slots: slots,
		}),
	}))
}
