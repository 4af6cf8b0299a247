package dhtraffic

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// Constants of the intake of requests from other instances.
const (
	// reservationTTL is how long a reservation of slots holds, in milliseconds.
	reservationTTL dhclock.Millis = 1000
	// initialAdmissionPercent is the share of the cap that is open at once; the
	// rest opens over the service's cold-start time.
	initialAdmissionPercent = 20
)

// reservation is slots kept for another instance.
type reservation struct {
	slots  int
	expiry dhclock.Millis
}

// remoteAdmission caps the requests that other instances pass to this one. A reservation
// that has not run out counts as used.
type remoteAdmission struct {
	reservations map[string]reservation
	rampStart    dhclock.Millis // when the present shift began
	lastActivity dhclock.Millis // when there was last a remote request or a reservation
}

// spillPercent returns the share of slots open to other instances, in percent.
func (s *State) spillPercent(p *pool) int {
	o, _ := s.view.Catalog().Service(p.Service())
	return o.SpillPercent()
}

// openPercent returns the open share of slots now: it ramps up from the start of a
// shift, because caches here are cold for the clients that come.
func (k *remoteAdmission) openPercent(now, ramp dhclock.Millis, spill int) int {
	if now.Since(k.lastActivity) > ramp+reservationTTL || k.lastActivity == 0 {
		k.rampStart = now
	}
	k.lastActivity = now
	if ramp <= 0 || now.Since(k.rampStart) >= ramp {
		return spill
	}
	first := spill * initialAdmissionPercent / 100
	return first + int(int64(spill-first)*int64(now.Since(k.rampStart))/int64(ramp))
}

// headroom returns how many more remote requests may run here.
func (k *remoteAdmission) headroom(now dhclock.Millis, p *pool, spill int) int {
	return p.RemoteRoom(now, k.openPercent(now, p.coldStart, spill))
}

// reserve keeps slots for an instance and returns how many.
func (k *remoteAdmission) reserve(now dhclock.Millis, p *pool, name string, want, spill int) int {
	others := 0
	for other, q := range k.reservations {
		if q.expiry <= now {
			delete(k.reservations, other)
			continue
		}
		if other != name {
			others += q.slots
		}
	}
	all, free := p.Slots(now)
	open := all * k.openPercent(now, p.coldStart, spill) / 100
	slots := max(0, min(want, open-others, free+p.Remote()-p.Waiting()-others))
	if slots == 0 {
		delete(k.reservations, name)
		return 0
	}
	k.reservations[name] = reservation{slots: slots, expiry: now + reservationTTL}
	return slots
}

// HandleReservationRequest answers another instance's wish to pass requests on.
func (s *State) HandleReservationRequest(e *dhevent.IntakeAsked, out *dheffect.List) {
	slots := 0
	if p, found := s.pools[e.Ask().Service()]; found {
		slots = p.remote.reserve(e.At(), p, e.Instance(), e.Ask().Want(), s.spillPercent(p))
	}
	out.Add(dheffect.NewSend(dheffect.SendOptions{
		To: e.Instance(),
		Message: dhmessage.NewIntakeGive(dhmessage.IntakeGiveOptions{
			Service: e.Ask().Service(), Sent: e.Ask().Sent(), Life: reservationTTL, Slots: slots,
		}),
	}))
}
