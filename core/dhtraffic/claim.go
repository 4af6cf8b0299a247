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

// claimRetryInterval is the time between two claims of a request whose earlier
// attempt still runs, in milliseconds.
const claimRetryInterval dhclock.Millis = 40

// retryDueClaims proposes the due claims of requests whose earlier attempt was
// still running.
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
	out.Add(dheffect.NewToControl(dheffect.ToControlOptions{
		Event: dhevent.NewProposalWanted(now, dhevent.ProposalWantedOptions{
			Ticket: r.id,
			Command: dhmessage.NewClaim(dhmessage.ClaimOptions{
				Key: *r.claimKey, Claimant: s.claimant(r), Digest: r.digest,
				Deadline: r.remaining(now) + r.route.Timeout(), Retention: r.route.Retention(),
			}),
			Patience: r.remaining(now),
		}),
	}))
}

func (s *State) claimant(r *request) dhmessage.Claimant {
	return dhmessage.NewClaimant(s.instance, s.startID, r.id)
}

// HandleClaimResult continues a request whose claim is granted, replays the
// answer of an earlier attempt, or refuses the request.
func (s *State) HandleClaimResult(e *dhevent.ClaimAnswered, out *dheffect.List) {
	r, found := s.requests[e.Request()]
	if !found || r.phase != waitingForClaim {
		return
	}
	now := e.At()
	if e.Result().Err() != nil || e.Result().Unsure() {
		// A claim whose outcome is unknown may still be committed. Refusing the
		// request releases the claim: whichever of the two commands is committed
		// first, nothing runs under it.
		r.claimGranted = e.Result().Unsure()
		s.refuse(now, r, dheffect.NewRefusal(dheffect.RefuseClaimFailed, false, longRetryAfter), out)
		return
	}
	switch e.Result().Claim() {
	case dhmessage.ClaimGranted:
		r.claimGranted = true
		s.acquireSlot(now, r, out)
	case dhmessage.ClaimDone:
		out.Add(dheffect.NewReplay(dheffect.ReplayOptions{Request: r.id, Answer: e.Result().Answer()}))
		s.end(now, r, "", e.Result().Answer().Status(), out)
	case dhmessage.ClaimMismatch:
		s.refuse(now, r, dheffect.NewRefusal(dheffect.RefuseClaimReused, false, 0), out)
	case dhmessage.ClaimOpen:
		if now+claimRetryInterval < r.queueDeadline {
			r.claimRetryAt = now + claimRetryInterval
			s.claimRetries = append(s.claimRetries, r)
			return
		}
		s.refuse(now, r, dheffect.NewRefusal(dheffect.RefuseClaimOpen, true, longRetryAfter), out)
	case dhmessage.ClaimRan:
		s.refuse(now, r, dheffect.NewRefusal(dheffect.RefuseClaimRan, true, 0), out)
	default:
		s.refuse(now, r, dheffect.NewRefusal(dheffect.RefuseClaimUnclear, true, 0), out)
	}
}

// proposeClaimOutcome proposes the outcome of a claimed request to the voters.
// The proposal is repeated until it is committed, at most for outcomeTimeout;
// the command is idempotent.
func (s *State) proposeClaimOutcome(now dhclock.Millis, r *request, state dhmessage.ClaimState, answer *dhmessage.Answer, out *dheffect.List) {
	r.claimGranted = false
	out.Add(dheffect.NewToControl(dheffect.ToControlOptions{
		Event: dhevent.NewProposalWanted(now, dhevent.ProposalWantedOptions{
			Command:  dhmessage.NewOutcome(*r.claimKey, s.claimant(r), state, answer),
			Patience: outcomeTimeout,
		}),
	}))
}
