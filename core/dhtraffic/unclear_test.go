package dhtraffic

import (
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhsteer"
)

// newRetryTest returns an instance with upstreams that are registered or announced, and a
// route with two attempts whose requests may be repeated or not.
func newRetryTest(t *testing.T, isIdempotent, isRegistered bool) *pauseTest {
	t.Helper()
	s := newPauseTest(t, isRegistered)
	s.apply(t, 900, dhcatalog.ChangeSetOptions{Puts: []dhcatalog.Object{dhcatalog.NewRoute(dhcatalog.RouteOptions{
		Name: "r", PathPrefix: "/any/", Service: "s", Open: true, Timeout: 3000, MaxAttempts: 2, Idempotent: isIdempotent,
	})}})
	for _, g := range s.groups {
		g.retryBucket = retryBucket{level: 1000 * retryUnit, capacity: 1000 * retryUnit}
	}
	return s
}

// endAll ends each attempt of a request in turn and returns the decision after the last one.
func (s *pauseTest) endAll(t *testing.T, now dhclock.Millis, ends ...dhevent.AttemptEndedOptions) dheffect.Refusal {
	t.Helper()
	decision := s.send(now, "/any/", false)
	for _, o := range ends {
		if _, ok := decision.(*dheffect.ForwardToUpstream); !ok {
			t.Fatalf("got decision %T, want a ForwardToUpstream", decision)
		}
		decision = s.end(now+1, o)
	}
	refuse, ok := decision.(*dheffect.Refuse)
	if !ok {
		t.Fatalf("got decision %T after all attempts, want a Refuse", decision)
	}
	return refuse.Refusal()
}

// TestRetryThatDidNotRunHidesAnAttemptThatMayHaveRun refuses the retry of a request whose
// first attempt broke or timed out. The caller must be told that the request may have run.
func TestRetryThatDidNotRunHidesAnAttemptThatMayHaveRun(t *testing.T) {
	for _, isRegistered := range []bool{true, false} {
		for _, first := range []dhevent.AttemptEnd{dhevent.EndBroken, dhevent.EndTimedOut} {
			for _, second := range []dhevent.AttemptEnd{dhevent.EndRefused, dhevent.EndNotSent, dhevent.EndMisplaced} {
				s := newRetryTest(t, true, isRegistered)
				refusal := s.endAll(t, 1000, dhevent.AttemptEndedOptions{End: first}, dhevent.AttemptEndedOptions{End: second})
				if !refusal.MayHaveRun() || refusal.Kind() != dheffect.RefuseUpstreamBroken {
					t.Errorf("registered %t, %v then %v: got refusal %s, may have run %t", isRegistered, first, second, refusal.Kind(), refusal.MayHaveRun())
				}
			}
		}
		s := newRetryTest(t, true, isRegistered)
		refusal := s.endAll(t, 1000, dhevent.AttemptEndedOptions{End: dhevent.EndRefused}, dhevent.AttemptEndedOptions{End: dhevent.EndRefused})
		if refusal.MayHaveRun() {
			t.Errorf("registered %t: got refusal %s, may have run, after two that did not run", isRegistered, refusal.Kind())
		}
	}
}

// TestUnattributedRefusalDeniesARun ends an attempt with a refusal that may answer another
// request, as an upstream that doesn't echo can send on a pooled connection.
func TestUnattributedRefusalDeniesARun(t *testing.T) {
	s := newRetryTest(t, true, false)
	unattributed := dhevent.AttemptEndedOptions{End: dhevent.EndUnattributed}
	if refusal := s.endAll(t, 1000, unattributed, unattributed); !refusal.MayHaveRun() {
		t.Errorf("got refusal %s that didn't run", refusal.Kind())
	}
}

// TestUnprovenStatusEjectsAnUpstream lets an upstream respond with its own 429 to requests that
// may run at most once. It responds, so it isn't ejected for that.
func TestUnprovenStatusEjectsAnUpstream(t *testing.T) {
	for status, want := range map[int]dhsteer.AttemptOutcome{429: dhsteer.Answered, 503: dhsteer.Failed} {
		e := dhevent.NewAttemptEnded(1, dhevent.AttemptEndedOptions{End: dhevent.EndUnproven, Status: status})
		if got := attemptOutcome(e); got != want {
			t.Errorf("status %d: got outcome %v, want %v", status, got, want)
		}
	}
}
