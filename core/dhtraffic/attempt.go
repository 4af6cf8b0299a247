package dhtraffic

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhsteer"
)

// Status codes by which an upstream says that it is unable.
const (
	statusBadGateway     = 502
	statusGatewayTimeout = 504
)

// HandleAttemptEnd takes the end of an attempt: the request is answered, tried again, or
// refused with the truth about whether it may have run.
func (s *State) HandleAttemptEnd(e *dhevent.AttemptEnded, out *dheffect.List) {
	r, found := s.requests[e.Request()]
	if !found || r.phase != running {
		return
	}
	now := e.At()
	p := r.pool
	s.finishAttempt(now, p, r, e)
	switch e.End() {
	case dhevent.EndAnswered:
		s.handleAnswer(now, r, e, out)
	case dhevent.EndNotSent, dhevent.EndRefused, dhevent.EndMisplaced:
		s.retry(now, r, dheffect.NewRefusal(notRunRefusalKind(e.End()), false, shortRetryAfter), out)
	case dhevent.EndBroken, dhevent.EndTimedOut:
		s.handleUnclearEnd(now, r, e, out)
	case dhevent.EndCallerGone:
		if r.claimGranted {
			s.proposeClaimOutcome(now, r, dhmessage.ClaimUnclear, nil, out)
		}
		s.end(now, r, dheffect.CallerGone, 0, out)
	}
	if p != nil {
		s.dispatch(now, p, out)
	}
}

func notRunRefusalKind(end dhevent.AttemptEnd) dheffect.RefusalKind {
	if end == dhevent.EndNotSent {
		return dheffect.RefuseNotStarted
	}
	return dheffect.RefuseNoCapacity
}

// finishAttempt gives back the slot of an attempt and judges the other side.
func (s *State) finishAttempt(now dhclock.Millis, p *pool, r *request, e *dhevent.AttemptEnded) {
	r.recordEnded(e)
	if r.member != nil {
		r.group.Finish(now, r.member, verdict(e), e.Latency(), e.Load())
		if e.End() != dhevent.EndAnswered {
			r.triedMembers = append(r.triedMembers, r.member)
		}
		r.member = nil
		return
	}
	if r.peer != nil {
		s.chargeLink(now, r.peer, e.Size())
		r.peer.releaseSlot(e.End())
		r.triedPeers = append(r.triedPeers, r.peer)
		r.peer = nil
		return
	}
	p.Finish(now, r.upstream, r.fromPeer, verdict(e), e.Latency())
	if e.End() != dhevent.EndAnswered {
		r.triedUpstreams = append(r.triedUpstreams, r.upstream)
	}
	r.upstream = nil
}

// verdict tells what an attempt says about its upstream.
func verdict(e *dhevent.AttemptEnded) dhsteer.Verdict {
	switch e.End() {
	case dhevent.EndAnswered:
		if e.Status() >= statusBadGateway && e.Status() <= statusGatewayTimeout {
			return dhsteer.Failed
		}
		return dhsteer.Answered
	case dhevent.EndRefused:
		return dhsteer.Shed
	case dhevent.EndNotSent:
		return dhsteer.Unreachable
	case dhevent.EndMisplaced:
		return dhsteer.Misplaced
	case dhevent.EndCallerGone:
		return dhsteer.Neutral
	default:
		return dhsteer.Failed
	}
}

func (s *State) handleAnswer(now dhclock.Millis, r *request, e *dhevent.AttemptEnded, out *dheffect.List) {
	if r.claimGranted {
		state := dhmessage.ClaimDone
		if e.Answer() == nil {
			state = dhmessage.ClaimRan
		}
		s.proposeClaimOutcome(now, r, state, e.Answer(), out)
	}
	s.end(now, r, "", e.Status(), out)
}

// handleUnclearEnd handles an attempt that may have run. Only an idempotent request of
// which the caller has seen nothing is sent again.
func (s *State) handleUnclearEnd(now dhclock.Millis, r *request, e *dhevent.AttemptEnded, out *dheffect.List) {
	kind := dheffect.RefuseBroken
	if e.End() == dhevent.EndTimedOut {
		kind = dheffect.RefuseTimeout
	}
	refusal := dheffect.NewRefusal(kind, true, longRetryAfter)
	if r.route.Idempotent() && !e.Delivered() {
		s.retry(now, r, refusal, out)
		return
	}
	if r.claimGranted {
		s.proposeClaimOutcome(now, r, dhmessage.ClaimUnclear, nil, out)
	}
	s.refuse(now, r, refusal, out)
}

// retry sends a request out once more if the budget, the deadline and the
// choice allow, else refuses it.
func (s *State) retry(now dhclock.Millis, r *request, f dheffect.Refusal, out *dheffect.List) {
	if r.group != nil {
		s.retryOnMember(now, r, f, out)
		return
	}
	if r.attempts >= r.route.MaxAttempts() || r.remaining(now) <= 0 || !r.pool.retryBucket.acquire() {
		s.refuse(now, r, f, out)
		return
	}
	if u := r.pool.Choose(now, r.triedUpstreams); u != nil {
		s.forwardToUpstream(now, r.pool, r, u, out)
		return
	}
	if g := s.peerFor(now, r.pool, r); g != nil {
		s.forwardToPeer(now, r.pool, r, g, out)
		return
	}
	if r.fromPeer || r.route.QueueWait() == 0 {
		s.refuse(now, r, f, out)
		return
	}
	// Nobody can take it now. It waits like a request that has just come; what
	// was tried may be tried again by then.
	r.triedUpstreams, r.triedPeers = nil, nil
	r.setQueueDeadline(now)
	s.waitForSlot(now, r.pool, r, out)
}
