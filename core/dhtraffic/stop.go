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
