package dhtraffic

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// outcomeTimeout is how long the outcome of a claim is proposed to the voters
// before the proposal is given up, in milliseconds.
const outcomeTimeout = 60 * dhclock.Second

// claimRetryInterval is the time between two claims of a request while another
// request holds the claim, in milliseconds.
const claimRetryInterval dhclock.Millis = 40

// retryDueClaims repeats the due claims of requests that found the claim held by
// another request.
func (s *State) retryDueClaims(now dhclock.Millis, out *dheffect.List) {
	notDue := s.claimRetries[:0]
	for _, r := range s.claimRetries {
		switch {
		case s.requests[r.id] != r:
		case r.claimRetryAt <= now:
			s.requestClaim(now, r, out)
		default:
			notDue = append(notDue, r)
		}
	}
	clear(s.claimRetries[len(notDue):])
	s.claimRetries = notDue
}

// requestClaim proposes a claim on the request's idempotency key to the voters.
// The request goes to an upstream only after a majority has stored the claim.
func (s *State) requestClaim(now dhclock.Millis, r *request, out *dheffect.List) {
	r.phase = waitingForClaim
	out.Add(dheffect.NewPostToControl(dheffect.PostToControlOptions{
		Event: dhevent.NewProposalRequested(now, dhevent.ProposalRequestedOptions{
			CorrelationID: r.id,
			Command: dhmessage.NewClaim(dhmessage.ClaimOptions{
				Key: *r.claimKey, Claimant: s.claimant(r), Digest: r.digest,
				Timeout: r.remaining(now) + r.route.Timeout(), Retention: r.route.Retention(),
			}),
			Timeout: r.remaining(now),
		}),
	}))
}

func (s *State) claimant(r *request) dhmessage.Claimant {
	return dhmessage.NewClaimant(s.instance, s.startID, r.id)
}

// HandleClaimResult continues a request whose claim is granted, replays the
// recorded response of an earlier request with the same idempotency key,
// schedules another claim while that request may still run, or refuses the
// request.
func (s *State) HandleClaimResult(e *dhevent.ClaimResultReceived, out *dheffect.List) {
	r, found := s.requests[e.RequestID()]
	if !found || r.phase != waitingForClaim {
		return
	}
	now := e.At()
	if e.Result().Err() != nil || e.Result().OutcomeUnknown() {
		// A claim whose outcome is unknown may still be committed. Refusing the
		// request releases the claim: whichever of the two commands is committed
		// first, nothing runs under it.
		r.claimGranted = e.Result().OutcomeUnknown()
		s.refuse(now, r, dheffect.NewRefusal(dheffect.RefuseClaimUnavailable, false, longRetryAfter), out)
		return
	}
	switch e.Result().ClaimState() {
	case dhmessage.ClaimGranted:
		r.claimGranted = true
		s.acquireSlot(now, r, out)
	case dhmessage.ClaimDone:
		out.Add(dheffect.NewReplay(dheffect.ReplayOptions{RequestID: r.id, Response: e.Result().Response()}))
		s.end(now, r, "", e.Result().Response().Status(), out)
	case dhmessage.ClaimMismatch:
		s.refuse(now, r, dheffect.NewRefusal(dheffect.RefuseIdempotencyKeyReused, false, 0), out)
	case dhmessage.ClaimOpen:
		if now+claimRetryInterval < r.queueDeadline {
			r.claimRetryAt = now + claimRetryInterval
			s.claimRetries = append(s.claimRetries, r)
			return
		}
		s.refuse(now, r, dheffect.NewRefusal(dheffect.RefuseAlreadyRunning, true, longRetryAfter), out)
	case dhmessage.ClaimRan:
		s.refuse(now, r, dheffect.NewRefusal(dheffect.RefuseAlreadyRan, true, 0), out)
	default:
		s.refuse(now, r, dheffect.NewRefusal(dheffect.RefuseOutcomeUnknown, true, 0), out)
	}
}

// proposeClaimOutcome proposes the outcome of a claimed request to the voters.
// The proposal is repeated until it is committed, at most for outcomeTimeout;
// the command is idempotent.
func (s *State) proposeClaimOutcome(now dhclock.Millis, r *request, state dhmessage.ClaimState, response *dhmessage.Response, out *dheffect.List) {
	r.claimGranted = false
	out.Add(dheffect.NewPostToControl(dheffect.PostToControlOptions{
		Event: dhevent.NewProposalRequested(now, dhevent.ProposalRequestedOptions{
			Command: dhmessage.NewOutcome(*r.claimKey, s.claimant(r), state, response),
			Timeout: outcomeTimeout,
		}),
	}))
}
