package dhtraffic

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhsteer"
)

// Lowest and highest status code that count as a failure of the upstream: 502,
// 503 and 504 report that it can't serve the request.
const (
	statusBadGateway     = 502
	statusGatewayTimeout = 504
)

// HandleAttemptEnd releases the slot of an ended attempt and completes, retries
// or refuses its request. A refusal states whether the request may have run.
func (s *State) HandleAttemptEnd(e *dhevent.AttemptEnded, out *dheffect.List) {
	r, found := s.requests[e.RequestID()]
	if !found || r.phase != running {
		return
	}
	now := e.At()
	p := r.pool
	if e.Resent() {
		r.mayHaveRun = true
	}
	s.finishAttempt(now, p, r, e, out)
	switch e.End() {
	case dhevent.EndAnswered:
		s.acquit(now, r, e.Status(), out)
		s.handleResponse(now, r, e, out)
	case dhevent.EndNotSent, dhevent.EndRefused, dhevent.EndMisplaced, dhevent.EndUntried:
		s.retry(now, r, s.noCapacityRefusal(now, r, dheffect.NewRefusal(notRunRefusalKind(e.End()), false, shortRetryAfter)), out)
	case dhevent.EndUnproven:
		s.acquit(now, r, e.Status(), out)
		s.handleUnclearEnd(now, r, e, out)
	case dhevent.EndBroken, dhevent.EndTimedOut, dhevent.EndUnattributed:
		s.handleUnclearEnd(now, r, e, out)
	case dhevent.EndCallerGone:
		if r.claimGranted {
			s.proposeClaimOutcome(now, r, dhmessage.ClaimUnclear, nil, out)
		}
		s.end(now, r, dheffect.CallerGone, 0, out)
	case dhevent.EndAbandoned:
		switch {
		case r.claimGranted && r.mayHaveRun:
			s.proposeClaimOutcome(now, r, dhmessage.ClaimUnclear, nil, out)
		case r.claimGranted:
			s.proposeClaimOutcome(now, r, dhmessage.ClaimReleased, nil, out)
		}
		s.end(now, r, dheffect.CallerGone, 0, out)
	}
	if p != nil {
		s.dispatch(now, p, out)
	}
}

// notRunRefusalKind returns the refusal kind for an attempt that certainly did
// not run.
func notRunRefusalKind(end dhevent.AttemptEnd) dheffect.RefusalKind {
	if end == dhevent.EndNotSent {
		return dheffect.RefuseUpstreamUnreachable
	}
	return dheffect.RefuseNoCapacity
}

// finishAttempt releases the slot of an attempt and reports its outcome to the
// pool or group, which ejects outliers. An upstream whose attempt got no
// complete response, and a peer in any case, is excluded from the request's next
// attempts.
func (s *State) finishAttempt(now dhclock.Millis, p *pool, r *request, e *dhevent.AttemptEnded, out *dheffect.List) {
	r.recordEnded(e)
	if e.End() == dhevent.EndBroken {
		s.recordBroken(now, r, out)
	}
	if r.member != nil {
		limit := r.member.Limit()
		r.group.Release(now, r.member, attemptOutcome(e), e.Latency(), responseOf(r, e))
		logLimitChange(limit, r.member, out)
		logRetryAfter(r.member.Name(), e, out)
		s.recordResponse(now, r.member, e.End(), out)
		if e.Connected() != nil {
			s.recordConnect(now, e.Latency(), r.service, r.member, *e.Connected(), out)
		}
		s.uncountUnsent(r, e)
		if e.End() != dhevent.EndAnswered {
			r.triedMembers = append(r.triedMembers, r.member)
		}
		r.member = nil
		return
	}
	if r.peer != nil {
		s.chargeLink(now, r.peer, e.BodyBytes())
		s.recordPeer(r.peer.instance.Name(), e, out)
		s.uncountUnsent(r, e)
		r.peer.releaseSlot(e.End())
		r.triedPeers = append(r.triedPeers, r.peer)
		r.peer = nil
		return
	}
	logRetryAfter(r.upstream.Name(), e, out)
	if e.End() == dhevent.EndAnswered || e.End() == dhevent.EndUnproven {
		s.crashes.recordResponse(now, upstreamName{r.service, r.upstream.Name()})
	}
	p.Release(now, r.upstream, r.fromPeer, attemptOutcome(e), e.Latency(), responseOf(r, e))
	if e.End() != dhevent.EndAnswered {
		r.triedUpstreams = append(r.triedUpstreams, r.upstream)
	}
	r.upstream = nil
}

// responseOf returns what the response to an attempt of a request reported.
func responseOf(r *request, e *dhevent.AttemptEnded) dhsteer.Response {
	response := dhsteer.Response{Load: e.ReportedLoad(), Limit: e.ReportedLimit(), Random: r.random, Arrival: arrivalOf(e)}
	if e.RetryAfter() != nil {
		response.Pause = *e.RetryAfter()
	}
	return response
}

// arrivalOf returns whether the response to an ended attempt arrived.
func arrivalOf(e *dhevent.AttemptEnded) dhsteer.Arrival {
	if e.ResponseMissed() {
		return dhsteer.ResponseMissed
	}
	switch e.End() {
	case dhevent.EndNotSent, dhevent.EndMisplaced, dhevent.EndAbandoned, dhevent.EndUntried:
		return dhsteer.NoResponse
	default:
		return dhsteer.ResponseArrived
	}
}

// logLimitChange logs that a registered upstream has begun or ceased to report a
// limit.
func logLimitChange(before *dhsteer.RateLimit, m *dhsteer.Member, out *dheffect.List) {
	after := m.Limit()
	switch {
	case before == nil && after != nil:
		out.Add(dheffect.NewLog(dheffect.LogOptions{
			Layer: "upstreams", Text: "reports a limit, in requests per 1000 s", Peer: m.Name(), Number: after.PerThousandSeconds(),
		}))
	case before != nil && after == nil:
		out.Add(dheffect.NewLog(dheffect.LogOptions{Layer: "upstreams", Text: "reports no limit any more", Peer: m.Name()}))
	}
}

// logRetryAfter logs that an upstream asks for no requests for a time.
func logRetryAfter(upstream string, e *dhevent.AttemptEnded, out *dheffect.List) {
	if e.RetryAfter() != nil {
		out.Add(dheffect.NewLog(dheffect.LogOptions{
			Layer: "upstreams", Text: "asks for no requests, in ms", Peer: upstream, Number: uint64(e.RetryAfter().Milliseconds()),
		}))
	}
}

// attemptOutcome returns the outcome of an attempt for outlier ejection. A status
// of 502, 503 or 504 counts as a failure of the upstream.
func attemptOutcome(e *dhevent.AttemptEnded) dhsteer.AttemptOutcome {
	switch e.End() {
	case dhevent.EndAnswered, dhevent.EndUnproven:
		if e.Status() >= statusBadGateway && e.Status() <= statusGatewayTimeout {
			return dhsteer.Failed
		}
		return dhsteer.Answered
	case dhevent.EndRefused, dhevent.EndUnattributed:
		return dhsteer.Shed
	case dhevent.EndNotSent:
		return dhsteer.Unreachable
	case dhevent.EndMisplaced:
		return dhsteer.Misplaced
	case dhevent.EndCallerGone, dhevent.EndAbandoned, dhevent.EndUntried:
		return dhsteer.Neutral
	default:
		return dhsteer.Failed
	}
}

// handleResponse ends a request whose attempt got a complete response. The claim
// records the response for replay, or only that the request ran if the event
// holds no response.
func (s *State) handleResponse(now dhclock.Millis, r *request, e *dhevent.AttemptEnded, out *dheffect.List) {
	if r.claimGranted {
		state := dhmessage.ClaimDone
		if e.Response() == nil {
			state = dhmessage.ClaimRan
		}
		s.proposeClaimOutcome(now, r, state, e.Response(), out)
	}
	s.end(now, r, "", e.Status(), out)
}

// needsProof reports whether a response that promises by its status that a request has not run
// must prove it before the caller gets it.
func (s *State) needsProof(r *request) bool { return s.statusesPromise && !r.route.Idempotent() }

// handleUnclearEnd handles an attempt that may have run. It retries only an
// idempotent request, and only if no part of a response has been written to the
// caller.
func (s *State) handleUnclearEnd(now dhclock.Millis, r *request, e *dhevent.AttemptEnded, out *dheffect.List) {
	kind := dheffect.RefuseUpstreamBroken
	if e.End() == dhevent.EndTimedOut {
		kind = dheffect.RefuseTimeout
	}
	r.mayHaveRun = true
	refusal := dheffect.NewRefusal(kind, true, longRetryAfter)
	if r.route.Idempotent() && !e.ResponseStarted() {
		s.retry(now, r, refusal, out)
		return
	}
	if r.claimGranted {
		s.proposeClaimOutcome(now, r, dhmessage.ClaimUnclear, nil, out)
	}
	s.refuse(now, r, refusal, out)
}

// retry starts another attempt, or refuses the request if the route's attempts,
// the deadline or the retry budget is exhausted. A request without a free slot
// returns to the queue; it is refused if a peer forwarded it or its route has no
// queue wait.
func (s *State) retry(now dhclock.Millis, r *request, refusal dheffect.Refusal, out *dheffect.List) {
	if route, found := s.view.Catalog().RouteFor(r.host, r.path); found && r.mayHaveRun && !route.Idempotent() {
		// A newer version forbids to repeat the request.
		s.refuse(now, r, refusal, out)
		return
	}
	if r.group != nil {
		s.retryOnMember(now, r, refusal, out)
		return
	}
	if r.attempts >= r.route.MaxAttempts() || r.remaining(now) <= 0 || s.quarantine(now, r) > 0 || !r.pool.retryBucket.acquire() {
		s.refuse(now, r, refusal, out)
		return
	}
	if u := r.pool.Select(now, r.triedUpstreams); u != nil {
		s.forwardToUpstream(now, r.pool, r, u, out)
		return
	}
	if to := s.peerFor(now, r.pool, r); to != nil {
		s.forwardToPeer(now, r.pool, r, to, out)
		return
	}
	if r.fromPeer || r.route.QueueWait() == 0 {
		s.refuse(now, r, refusal, out)
		return
	}
	// No upstream or peer has a free slot. The request waits like a new one and
	// may use upstreams and peers again that it has tried before.
	r.triedUpstreams, r.triedPeers = nil, nil
	r.setQueueDeadline(now)
	s.waitForSlot(now, r.pool, r, out)
}
