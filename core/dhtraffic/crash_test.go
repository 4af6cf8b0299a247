package dhtraffic

import (
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
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
