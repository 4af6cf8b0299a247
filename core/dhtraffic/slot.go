package dhtraffic

import (
	"slices"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhsteer"
)

// crossRegionDelay is how long a request waits for a slot in its own region
// before it may be forwarded to another region, in milliseconds.
const crossRegionDelay dhclock.Millis = 50

// acquireSlot forwards a request to an upstream, else to a peer with reserved
// slots, else as a probe to an ejected upstream. Without a free slot the request
// is queued or refused. Requests that already wait get the slots of upstreams
// first.
func (s *State) acquireSlot(now dhclock.Millis, r *request, out *dheffect.List) {
	if r.remaining(now) <= 0 {
		s.refuse(now, r, dheffect.NewRefusal(dheffect.RefuseTimeout, false, 0), out)
		return
	}
	if g, found := s.groups[r.service]; found {
		s.acquireMember(now, g, r, out)
		return
	}
	p := s.poolOf(r.service)
	r.pool = p
	if r.fromPeer {
		s.acquireSlotForPeer(now, p, r, out)
		return
	}
	if p.Waiting() == 0 {
		if u := p.Select(now, r.triedUpstreams); u != nil {
			s.forwardToUpstream(now, p, r, u, out)
			return
		}
	}
	if to := s.peerFor(now, p, r); to != nil {
		s.forwardToPeer(now, p, r, to, out)
		return
	}
	if u := p.SelectEjected(now, r.triedUpstreams); u != nil && p.Waiting() == 0 {
		s.forwardToUpstream(now, p, r, u, out)
		return
	}
	s.waitForSlot(now, p, r, out)
}

// acquireSlotForPeer forwards a peer's request to an upstream at once, or refuses
// it as not run. It never queues the request, because the peer may have another
// instance to send it to.
func (s *State) acquireSlotForPeer(now dhclock.Millis, p *pool, r *request, out *dheffect.List) {
	if p.remote.headroom(now, p, s.spillPercent(p)) > 0 {
		if u := p.Select(now, r.triedUpstreams); u != nil {
			s.forwardToUpstream(now, p, r, u, out)
			return
		}
	}
	s.refuse(now, r, dheffect.NewRefusal(dheffect.RefuseNoCapacity, false, shortRetryAfter), out)
}

// waitForSlot queues a request and requests reservations from peers. It refuses a request
// at once that no peer and no upstream can serve before its queue deadline. When the queue
// is full, it refuses the request or the one that the queue drops for it.
func (s *State) waitForSlot(now dhclock.Millis, p *pool, r *request, out *dheffect.List) {
	pausedTooLong := p.PausedUntil(now) >= r.queueDeadline && len(s.reservationPeers(now)) == 0
	if r.queueDeadline <= now || pausedTooLong {
		s.refuse(now, r, s.noSlotRefusal(now, p, r), out)
		return
	}
	r.phase = waitingForSlot
	r.waiter = dhsteer.NewWaiter(dhsteer.WaiterOptions{
		Request: r.id, Organisation: r.organisation, Weight: r.weight,
		Priority: r.route.Priority(), Deadline: r.queueDeadline,
	})
	dropped, ok := p.Enqueue(r.waiter)
	if dropped != nil {
		other := s.requests[dropped.Request()]
		s.refuse(now, other, s.noSlotRefusal(now, p, other), out)
	}
	if !ok {
		r.waiter = nil
		s.refuse(now, r, s.noSlotRefusal(now, p, r), out)
		return
	}
	s.requestReservations(now, p, out)
}

// noSlotRefusal returns the refusal of a request that got no slot in time.
func (s *State) noSlotRefusal(now dhclock.Millis, p *pool, r *request) dheffect.Refusal {
	if total, _ := p.Slots(now); total == 0 {
		return s.noCapacityRefusal(now, r, dheffect.NewRefusal(dheffect.RefuseNoUpstream, false, longRetryAfter))
	}
	return dheffect.NewRefusal(dheffect.RefuseNoCapacity, false, shortRetryAfter)
}

// noCapacityRefusal returns the refusal of a request that no upstream can serve now: a
// given one, or if all upstreams asked for a pause, one with the time until the first
// pause ends, which differs between callers.
func (s *State) noCapacityRefusal(now dhclock.Millis, r *request, otherwise dheffect.Refusal) dheffect.Refusal {
	if pausedUntil := s.pausedUntil(now, r); pausedUntil > 0 {
		return dheffect.NewRefusal(dheffect.RefuseNoCapacity, false, dhsteer.SpreadPause(pausedUntil-now, r.random))
	}
	return otherwise
}

// pausedUntil returns when the first pause ends if all upstreams that a request may go to
// are paused, else 0.
func (s *State) pausedUntil(now dhclock.Millis, r *request) dhclock.Millis {
	switch {
	case r.group != nil:
		return r.group.PausedUntil(now, s.criteria(r))
	case r.pool != nil:
		return r.pool.PausedUntil(now)
	default:
		return 0
	}
}

// forwardToUpstream starts an attempt at an announced upstream, unless the
// caller's key has been revoked while the request waited.
func (s *State) forwardToUpstream(now dhclock.Millis, p *pool, r *request, u *dhsteer.Upstream, out *dheffect.List) {
	if refusal, ok := s.mayForward(now, r); !ok {
		s.refuse(now, r, refusal, out)
		return
	}
	r.phase = running
	r.upstream = u
	r.waiter = nil
	r.attempts++
	p.creditRetries(now)
	p.Acquire(now, u, r.fromPeer)
	r.recordSent(now, s.configAge(now), u.Name(), nil)
	out.Add(dheffect.NewForwardToUpstream(dheffect.ForwardToUpstreamOptions{
		RequestID: r.id, Service: p.Service(), Upstream: u.Name(), Address: u.Address(), Organisation: r.organisation,
		Timeout: r.remaining(now), Claimed: r.claimGranted, NewConnection: !r.route.Idempotent(), EchoesAttemptID: u.EchoesAttemptID(),
		NeedsProof: s.needsProof(r),
	}))
}

// dispatch assigns free slots to waiting requests. A request whose only free
// slots are at upstreams that it has tried is refused.
func (s *State) dispatch(now dhclock.Millis, p *pool, out *dheffect.List) {
	for p.Waiting() > 0 {
		u := p.Select(now, nil)
		if u == nil {
			u = p.SelectEjected(now, nil)
		}
		if u == nil {
			return
		}
		r := s.requests[p.Dequeue().Request()]
		if slices.Contains(r.triedUpstreams, u) {
			u = p.Select(now, r.triedUpstreams)
		}
		r.waiter = nil
		if u == nil {
			s.refuse(now, r, s.noSlotRefusal(now, p, r), out)
			continue
		}
		s.forwardToUpstream(now, p, r, u, out)
	}
}

// tickPools removes unresponsive upstreams, assigns slots that have become
// available, refuses requests past their queue deadline and renews reservations.
func (s *State) tickPools(now dhclock.Millis, out *dheffect.List) {
	for _, name := range sortedPoolNames(s.pools) {
		p := s.pools[name]
		p.RemoveExpired(now)
		s.forwardWaitingToPeers(now, p, out)
		s.dispatch(now, p, out)
		for _, w := range p.Expired(now) {
			p.Cancel(w)
			r := s.requests[w.Request()]
			s.refuse(now, r, s.noSlotRefusal(now, p, r), out)
		}
		if p.Waiting() > 0 || now < p.reserveUntil {
			s.requestReservations(now, p, out)
		}
	}
}
