package dhtraffic

import (
	"slices"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhsteer"
)

// farPatience is how long a request waits for a slot in its own region before
// it may be passed to another, in milliseconds.
const farPatience dhclock.Millis = 50

// seekSlot sends a request to an upstream here, or passes it to another
// instance, or lets it wait, or refuses it.
func (s *State) seekSlot(now dhclock.Millis, r *request, out *dheffect.List) {
	if r.timeout(now) <= 0 {
		s.refuse(now, r, dheffect.NewRefusal(dheffect.RefuseTimeout, false, 0), out)
		return
	}
	if g, found := s.groups[r.service]; found {
		s.seekMember(now, g, r, out)
		return
	}
	p := s.poolOf(r.service)
	r.pool = p
	if r.passed {
		s.seekRemoteSlot(now, p, r, out)
		return
	}
	if p.Waiting() == 0 {
		if u := p.Choose(now, r.tried); u != nil {
			s.forward(now, p, r, u, out)
			return
		}
	}
	if g := s.peerFor(now, p, r); g != nil {
		s.pass(now, p, r, g, out)
		return
	}
	if u := p.ChooseEjected(now, r.tried); u != nil && p.Waiting() == 0 {
		s.forward(now, p, r, u, out)
		return
	}
	s.waitForSlot(now, p, r, out)
}

// seekRemoteSlot serves a request from another instance at once or refuses it
// truly: it never waits here while its origin could go elsewhere.
func (s *State) seekRemoteSlot(now dhclock.Millis, p *pool, r *request, out *dheffect.List) {
	if p.intake.room(now, p, s.spill(p)) > 0 {
		if u := p.Choose(now, r.tried); u != nil {
			s.forward(now, p, r, u, out)
			return
		}
	}
	s.refuse(now, r, dheffect.NewRefusal(dheffect.RefuseNoCapacity, false, retrySoon), out)
}

func (s *State) waitForSlot(now dhclock.Millis, p *pool, r *request, out *dheffect.List) {
	if r.waitUntil <= now {
		s.refuse(now, r, s.noSlot(now, p), out)
		return
	}
	r.phase = waitsForSlot
	r.waiter = dhsteer.NewWaiter(dhsteer.WaiterOptions{
		Request: r.id, Organisation: r.organisation, Weight: r.weight,
		Priority: r.route.Priority(), Deadline: r.waitUntil,
	})
	dropped, ok := p.Wait(r.waiter)
	if dropped != nil {
		s.refuse(now, s.requests[dropped.Request()], s.noSlot(now, p), out)
	}
	if !ok {
		r.waiter = nil
		s.refuse(now, r, s.noSlot(now, p), out)
		return
	}
	s.askPeers(now, p, out)
}

// noSlot is the refusal of a request that found no slot in time.
func (s *State) noSlot(now dhclock.Millis, p *pool) dheffect.Refusal {
	if all, _ := p.Slots(now); all == 0 {
		return dheffect.NewRefusal(dheffect.RefuseNoUpstream, false, retryLater)
	}
	return dheffect.NewRefusal(dheffect.RefuseNoCapacity, false, retrySoon)
}

// forward starts an attempt at an upstream, unless the caller's key was
// withdrawn while the request waited.
func (s *State) forward(now dhclock.Millis, p *pool, r *request, u *dhsteer.Upstream, out *dheffect.List) {
	if refusal, ok := s.allowed(now, r); !ok {
		s.refuse(now, r, refusal, out)
		return
	}
	r.phase = runs
	r.upstream = u
	r.waiter = nil
	r.attempts++
	p.earnRetry(now)
	p.Take(u, r.passed)
	r.noteSent(now, u.Name())
	out.Add(dheffect.NewForward(dheffect.ForwardOptions{
		Request: r.id, Service: p.Service(), Upstream: u.Name(), Address: u.Address(), Organisation: r.organisation,
		Timeout: r.timeout(now), Claimed: r.claimed, Fresh: !r.route.Idempotent(), Echoes: u.Echoes(),
	}))
}

// dispatch gives free slots to the requests that wait.
func (s *State) dispatch(now dhclock.Millis, p *pool, out *dheffect.List) {
	for p.Waiting() > 0 {
		u := p.Choose(now, nil)
		if u == nil {
			u = p.ChooseEjected(now, nil)
		}
		if u == nil {
			return
		}
		r := s.requests[p.Next().Request()]
		if slices.Contains(r.tried, u) {
			u = p.Choose(now, r.tried)
		}
		r.waiter = nil
		if u == nil {
			s.refuse(now, r, s.noSlot(now, p), out)
			continue
		}
		s.forward(now, p, r, u, out)
	}
}

// tickPools ends waits that are over and uses slots that time has opened.
func (s *State) tickPools(now dhclock.Millis, out *dheffect.List) {
	for _, name := range sortedPools(s.pools) {
		p := s.pools[name]
		p.Sweep(now)
		s.passWaiting(now, p, out)
		s.dispatch(now, p, out)
		for _, w := range p.Expired(now) {
			p.Cancel(w)
			s.refuse(now, s.requests[w.Request()], s.noSlot(now, p), out)
		}
		if p.Waiting() > 0 || now < p.passUntil {
			s.askPeers(now, p, out)
		}
	}
}
