package dhtraffic

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// outcomePatience is how long the outcome of a claim is offered to the voters,
// in milliseconds.
const outcomePatience = 60 * dhclock.Second

// claimRetry is after how long a request whose earlier attempt still runs asks
// again what became of it, in milliseconds.
const claimRetry dhclock.Millis = 40

// tickClaims asks again for the requests whose earlier attempt still ran.
func (s *State) tickClaims(now dhclock.Millis, out *dheffect.List) {
	kept := s.reclaims[:0]
	for _, r := range s.reclaims {
		switch {
		case s.requests[r.id] != r:
		case r.claimAt <= now:
			s.seekClaim(now, r, out)
		default:
			kept = append(kept, r)
		}
	}
	clear(s.reclaims[len(kept):])
	s.reclaims = kept
}

// seekClaim asks the voters to let this attempt run the request. Nothing is
// sent to an upstream before a majority has stored the claim.
func (s *State) seekClaim(now dhclock.Millis, r *request, out *dheffect.List) {
	r.phase = waitsForClaim
	out.Add(dheffect.NewToControl(dheffect.ToControlOptions{
		Event: dhevent.NewProposalWanted(now, dhevent.ProposalWantedOptions{
			Ticket: r.id,
			Command: dhmessage.NewClaim(dhmessage.ClaimOptions{
				Key: *r.claim, Claimant: s.claimant(r), Digest: r.digest,
				Deadline: r.timeout(now) + r.route.Timeout(), Retention: r.route.Retention(),
			}),
			Patience: r.timeout(now),
		}),
	}))
}

func (s *State) claimant(r *request) dhmessage.Claimant {
	return dhmessage.NewClaimant(s.instance, s.stream, r.id)
}

// Claimed takes the voters' word on a claim.
func (s *State) Claimed(e *dhevent.ClaimAnswered, out *dheffect.List) {
	r, found := s.requests[e.Request()]
	if !found || r.phase != waitsForClaim {
		return
	}
	now := e.At()
	if e.Result().Err() != nil || e.Result().Unsure() {
		// An unsure claim may still be granted later. It is released: whichever
		// of the two is committed first, nothing runs under it.
		r.claimed = e.Result().Unsure()
		s.refuse(now, r, dheffect.NewRefusal(dheffect.RefuseClaimFailed, false, retryLater), out)
		return
	}
	switch e.Result().Claim() {
	case dhmessage.ClaimGranted:
		r.claimed = true
		s.seekSlot(now, r, out)
	case dhmessage.ClaimDone:
		out.Add(dheffect.NewReplay(dheffect.ReplayOptions{Request: r.id, Answer: e.Result().Answer()}))
		s.end(now, r, "", e.Result().Answer().Status(), out)
	case dhmessage.ClaimMismatch:
		s.refuse(now, r, dheffect.NewRefusal(dheffect.RefuseClaimReused, false, 0), out)
	case dhmessage.ClaimOpen:
		if now+claimRetry < r.waitUntil {
			r.claimAt = now + claimRetry
			s.reclaims = append(s.reclaims, r)
			return
		}
		s.refuse(now, r, dheffect.NewRefusal(dheffect.RefuseClaimOpen, true, retryLater), out)
	case dhmessage.ClaimRan:
		s.refuse(now, r, dheffect.NewRefusal(dheffect.RefuseClaimRan, true, 0), out)
	default:
		s.refuse(now, r, dheffect.NewRefusal(dheffect.RefuseClaimUnclear, true, 0), out)
	}
}

// settleClaim tells the voters how a claimed request ended. The command is
// offered until it is committed; it may be repeated without harm.
func (s *State) settleClaim(now dhclock.Millis, r *request, state dhmessage.ClaimState, a *dhmessage.Answer, out *dheffect.List) {
	r.claimed = false
	out.Add(dheffect.NewToControl(dheffect.ToControlOptions{
		Event: dhevent.NewProposalWanted(now, dhevent.ProposalWantedOptions{
			Command:  dhmessage.NewOutcome(*r.claim, s.claimant(r), state, a),
			Patience: outcomePatience,
		}),
	}))
}
