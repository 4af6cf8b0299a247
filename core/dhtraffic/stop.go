package dhtraffic

import (
	"maps"
	"slices"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
)

// HandleStopScheduled lets all open requests end before the stop, so that each gets an
// answer.
func (s *State) HandleStopScheduled(e *dhevent.StopScheduled) {
	s.stop = e
	for _, r := range s.requests {
		r.limitDeadline(e.StopAt())
	}
}

// tickStop refuses the requests that still wait at the stop. A claim under way is released, so
// that nothing runs under it.
func (s *State) tickStop(now dhclock.Millis, out *dheffect.List) {
	if s.stop == nil || now < s.stop.StopAt() {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		r := s.requests[id]
		if r.phase == running {
			continue
		}
		s.dequeue(r)
		r.claimGranted = r.claimGranted || r.phase == waitingForClaim
		s.refuse(now, r, leavingRefusal(), out)
	}
}

// canFinish reports whether a new request certainly ends before a scheduled stop. Otherwise
// it might be aborted, which costs its caller more than to use another instance at once.
func (s *State) canFinish(r *request) bool {
	return s.stop == nil || r.deadline <= s.stop.StopAt()
}

// leavingRefusal returns the refusal of a request that another instance should serve, which
// it can at once.
func leavingRefusal() dheffect.Refusal {
	return dheffect.NewRefusal(dheffect.RefuseInstanceLeaving, false, leavingRetryAfter)
}
