package dhtraffic

import (
	"testing"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
)

// scheduleStop lets the instance stop at a time, and refuse all requests a second before.
func (s *pauseTest) scheduleStop(at dhclock.Millis) {
	s.HandleStopScheduled(dhevent.NewStopScheduled(1000, dhevent.StopScheduledOptions{RefuseFrom: at - 1000, StopAt: at}))
}

// TestStoppingInstanceTakesRequestsThatItMustAbort sends requests to an instance that is about
// to stop. One that may last longer must be refused as not run, whether or not it may be
// repeated.
func TestStoppingInstanceTakesRequestsThatItMustAbort(t *testing.T) {
	for _, isRegistered := range []bool{true, false} {
		for _, isIdempotent := range []bool{true, false} {
			s := newRetryTest(t, isIdempotent, isRegistered)
			s.scheduleStop(5000)
			if _, ok := s.send(1900, "/any/", false).(*dheffect.ForwardToUpstream); !ok {
				t.Errorf("registered %t, idempotent %t: a request that ends before the stop isn't forwarded", isRegistered, isIdempotent)
			}
			refuse, ok := s.send(2100, "/any/", false).(*dheffect.Refuse)
			if !ok || refuse.Refusal().Kind() != dheffect.RefuseInstanceLeaving || refuse.Refusal().MayHaveRun() {
				t.Errorf("registered %t, idempotent %t: a request that may last beyond the stop isn't refused", isRegistered, isIdempotent)
			}
			if _, ok := s.send(4000, "/any/", false).(*dheffect.Refuse); !ok {
				t.Errorf("registered %t, idempotent %t: a request after the end of admission isn't refused", isRegistered, isIdempotent)
			}
		}
	}
}

// TestStoppingInstanceRetriesUntilItIsGone aborts requests at the stop that were open before it
// was scheduled. Each must be answered rather than sent again.
func TestStoppingInstanceRetriesUntilItIsGone(t *testing.T) {
	s := newRetryTest(t, true, true)
	for _, sentAt := range []dhclock.Millis{980, 990} {
		forward, ok := s.send(sentAt, "/any/", false).(*dheffect.ForwardToUpstream)
		if !ok || forward.Timeout() != 3000 {
			t.Fatalf("a request before the stop isn't forwarded with the timeout of its route")
		}
	}
	s.scheduleStop(2000)
	for s.request > 0 {
		decision := s.end(2000, dhevent.AttemptEndedOptions{End: dhevent.EndBroken})
		refuse, ok := decision.(*dheffect.Refuse)
		if !ok || !refuse.Refusal().MayHaveRun() {
			t.Errorf("request %d: got decision %T at the stop, want a refusal that may have run", s.request, decision)
		}
		s.request--
	}
}
