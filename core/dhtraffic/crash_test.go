package dhtraffic

import (
	"fmt"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// TestResetConnectionIsNoCrash breaks attempts at an upstream that still accepts
// connections, or that doesn't respond. Neither may count against the requests.
func TestResetConnectionIsNoCrash(t *testing.T) {
	for _, latency := range []dhclock.Millis{1, maxRefusalTime + 250} {
		s := newReachabilityTest(t)
		for range 10 {
			s.request++
			var out dheffect.List
			s.HandleRequest(dhevent.NewRequestReceived(1000, dhevent.RequestReceivedOptions{
				RequestID: s.request, Path: "/any/", ContentHash: &dhcatalog.Hash{1}, Random: s.request * 0x9e3779b97f4a7c15,
			}), &out)
			forward, ok := lastDecision(&out).(*dheffect.ForwardToUpstream)
			if !ok {
				t.Fatalf("got decision %T, want a ForwardToUpstream", lastDecision(&out))
			}
			s.end(1001, dhevent.AttemptEndedOptions{End: dhevent.EndBroken})
			s.HandleProbe(dhevent.NewUpstreamProbed(1002+latency, dhevent.UpstreamProbedOptions{
				Service: "s", Upstream: forward.Upstream(), Connected: latency == 1, Latency: latency,
			}), &out)
			s.groups["s"].ForgetFailures()
			s.reachability = newReachability()
		}
		if n := s.suspects.Changes(); n > 0 {
			t.Errorf("probes that take %d ms make %d changes to the suspects, want none", latency, n)
		}
	}
}

// TestAnnouncedUpstreamCrashesOverAndOver crashes the only announced upstream with the same
// request. Each crash counts once, however many connections break by it, and the third one
// quarantines the request: the announcements don't tell that the process is another one, and
// a restart may take longer than the pool remembers the upstream.
func TestAnnouncedUpstreamCrashesOverAndOver(t *testing.T) {
	for _, isForgotten := range []bool{false, true} {
		t.Run(fmt.Sprint("forgotten by the pool ", isForgotten), func(t *testing.T) { crashAnnouncedUpstream(t, isForgotten) })
	}
}

func crashAnnouncedUpstream(t *testing.T, isForgotten bool) {
	t.Helper()
	s := newPauseTest(t, false)
	s.pools["s"].Deregister("u1")
	s.pools["s"].Deregister("u2")
	send := func(now dhclock.Millis, content byte) dheffect.Effect {
		s.request++
		var out dheffect.List
		s.HandleRequest(dhevent.NewRequestReceived(now, dhevent.RequestReceivedOptions{
			RequestID: s.request, Path: "/any/", ContentHash: &dhcatalog.Hash{content},
		}), &out)
		return lastDecision(&out)
	}
	now := dhclock.Millis(1000)
	for crash := range 3 {
		for broken := range 3 { // connections to the same process
			if _, ok := send(now, 1).(*dheffect.ForwardToUpstream); !ok {
				t.Fatalf("crash %d, attempt %d: the request isn't forwarded", crash, broken)
			}
			s.end(now+1, dhevent.AttemptEndedOptions{End: dhevent.EndBroken})
			var out dheffect.List
			s.HandleProbe(dhevent.NewUpstreamProbed(now+2, dhevent.UpstreamProbedOptions{Service: "s", Upstream: "u0", Latency: 1}), &out)
			if n := s.suspects.Quarantine(now+3, dhmessage.NewFingerprint("", dhcatalog.Hash{1})) > 0; n != (crash == 2) {
				t.Fatalf("quarantined after %d crashes: %t", crash+1, n)
			}
			if crash == 2 {
				return
			}
			now += 500
		}
		now += 10_000
		if isForgotten {
			s.Tick(now, new(dheffect.List))
			if n := len(s.pools["s"].Upstreams()); n > 0 {
				t.Fatalf("the pool has %d upstreams 10 s after the crash, want none", n)
			}
		}
		s.announce(now, "u0")
		send(now, 2)
		s.end(now+1, dhevent.AttemptEndedOptions{End: dhevent.EndAnswered, Status: 200})
	}
}

// TestHarmlessRequestIsRefusedAfterItsUpstreamsCrash has requests with the same content in
// flight at three upstreams that crash at once for another reason. Later ones must be served
// by the upstreams that are left.
func TestHarmlessRequestIsRefusedAfterItsUpstreamsCrash(t *testing.T) {
	s := newReachabilityTest(t)
	s.send(900, "/any/", false)
	s.end(901, dhevent.AttemptEndedOptions{End: dhevent.EndAnswered, Status: 200})
	send := func(now dhclock.Millis) dheffect.Effect {
		s.request++
		var out dheffect.List
		s.HandleRequest(dhevent.NewRequestReceived(now, dhevent.RequestReceivedOptions{
			RequestID: s.request, Path: "/any/", ContentHash: &dhcatalog.Hash{1}, Random: s.request * 0x9e3779b97f4a7c15,
		}), &out)
		return lastDecision(&out)
	}
	crashed, inFlight := map[string]bool{}, []uint64{}
	for range 30 {
		forward, ok := send(1000).(*dheffect.ForwardToUpstream)
		if !ok {
			t.Fatal("a request isn't forwarded before the crash")
		}
		crashed[forward.Upstream()] = true
		inFlight = append(inFlight, s.request)
	}
	if len(crashed) != 3 {
		t.Fatalf("requests are in flight at %d upstreams, want the 3 of the region", len(crashed))
	}
	var out dheffect.List
	for _, id := range inFlight {
		s.HandleAttemptEnd(dhevent.NewAttemptEnded(1001, dhevent.AttemptEndedOptions{RequestID: id, End: dhevent.EndBroken}), &out)
	}
	for name := range crashed {
		s.HandleProbe(dhevent.NewUpstreamProbed(1002, dhevent.UpstreamProbedOptions{Service: "s", Upstream: name, Latency: 1}), &out)
	}
	if refuse, ok := send(2000).(*dheffect.Refuse); ok {
		t.Errorf("a harmless request is refused as %s for %d ms", refuse.Refusal().Kind(), refuse.Refusal().RetryAfter())
	}
}
