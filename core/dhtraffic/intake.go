package dhtraffic

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// Constants of the intake of requests from other instances.
const (
	// reservationLife is how long a reservation of slots holds, in milliseconds.
	reservationLife dhclock.Millis = 1000
	// intakeFirstPercent is the share of the cap that is open at once; the
	// rest opens over the service's cold-start time.
	intakeFirstPercent = 20
)

// reservation is slots kept for another instance.
type reservation struct {
	slots  int
	expiry dhclock.Millis
}

// intake caps the requests that other instances pass to this one. A reservation
// that has not run out counts as used.
type intake struct {
	reserved map[string]reservation
	since    dhclock.Millis // when the present shift began
	latest   dhclock.Millis // when there was last a remote request or a reservation
}

// spill returns the share of slots open to other instances, in percent.
func (s *State) spill(p *pool) int {
	o, _ := s.view.Catalog().Service(p.Service())
	return o.SpillPercent()
}

// percent returns the open share of slots now: it ramps up from the start of a
// shift, because caches here are cold for the clients that come.
func (k *intake) percent(now, ramp dhclock.Millis, spill int) int {
	if now.Since(k.latest) > ramp+reservationLife || k.latest == 0 {
		k.since = now
	}
	k.latest = now
	if ramp <= 0 || now.Since(k.since) >= ramp {
		return spill
	}
	first := spill * intakeFirstPercent / 100
	return first + int(int64(spill-first)*int64(now.Since(k.since))/int64(ramp))
}

// room returns how many more remote requests may run here.
func (k *intake) room(now dhclock.Millis, p *pool, spill int) int {
	return p.RemoteRoom(now, k.percent(now, p.coldRamp, spill))
}

// reserve keeps slots for an instance and returns how many.
func (k *intake) reserve(now dhclock.Millis, p *pool, name string, want, spill int) int {
	others := 0
	for other, q := range k.reserved {
		if q.expiry <= now {
			delete(k.reserved, other)
			continue
		}
		if other != name {
			others += q.slots
		}
	}
	all, free := p.Slots(now)
	open := all * k.percent(now, p.coldRamp, spill) / 100
	slots := max(0, min(want, open-others, free+p.Remote()-p.Waiting()-others))
	if slots == 0 {
		delete(k.reserved, name)
		return 0
	}
	k.reserved[name] = reservation{slots: slots, expiry: now + reservationLife}
	return slots
}

// IntakeAsked answers another instance's wish to pass requests on.
func (s *State) IntakeAsked(e *dhevent.IntakeAsked, out *dheffect.List) {
	slots := 0
	if p, found := s.pools[e.Ask().Service()]; found {
		slots = p.intake.reserve(e.At(), p, e.Instance(), e.Ask().Want(), s.spill(p))
	}
	out.Add(dheffect.NewSend(dheffect.SendOptions{
		To: e.Instance(),
		Message: dhmessage.NewIntakeGive(dhmessage.IntakeGiveOptions{
			Service: e.Ask().Service(), Sent: e.Ask().Sent(), Life: reservationLife, Slots: slots,
		}),
	}))
}
