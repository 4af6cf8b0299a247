package dhtraffic

import (
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

// canFinish reports whether a new request may be started although a stop may be scheduled.
// One that must not be repeated may only if its deadline precedes the stop, because its
// caller couldn't learn whether an aborted one ran. The others end with the stop.
func (s *State) canFinish(r *request) bool {
	if s.stop == nil || r.deadline <= s.stop.StopAt() {
		return true
	}
	r.limitDeadline(s.stop.StopAt())
	return r.route.Idempotent()
}

// leavingRefusal returns the refusal of a request that another instance should serve, which
// it can at once.
func leavingRefusal() dheffect.Refusal {
	return dheffect.NewRefusal(dheffect.RefuseInstanceLeaving, false, leavingRetryAfter)
}
