package dhtraffic

import (
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
)

// TestWaitingRequestOutlastsTheStop schedules a stop while a request waits for a slot or a claim.
// The request must be refused at the stop, or its connection ends without an answer.
func TestWaitingRequestOutlastsTheStop(t *testing.T) {
	for _, path := range []string{"/slot/", "/claim/"} {
		t.Run(path[1:len(path)-1], func(t *testing.T) {
			s := newTestState(t, 1_000_000,
				dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "a1", Region: "a"}),
				dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "s"}),
				dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: "o"}),
				dhcatalog.NewKey(dhcatalog.KeyOptions{Name: "k", Organisation: "o", Hash: dhcatalog.Hash{1}}),
				dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: "slot", PathPrefix: "/slot/", Service: "s", Open: true, Timeout: 30_000, QueueWait: 20_000}),
				dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: "claim", PathPrefix: "/claim/", Service: "s", ClaimRequired: true, Timeout: 30_000, Retention: 60_000}),
				dhcatalog.NewInstance(dhcatalog.InstanceOptions{Name: "a1-1", Zone: "a1", CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2"}),
			)
			var out dheffect.List
			s.HandleRequest(dhevent.NewRequestReceived(1000, dhevent.RequestReceivedOptions{
				RequestID: 1, Path: path, APIKeyHash: dhcatalog.Hash{1}, IdempotencyKey: "x",
			}), &out)
			if refuse, ok := lastDecision(&out).(*dheffect.Refuse); ok {
				t.Fatalf("the request is refused as %s, want it to wait", refuse.Refusal().Kind())
			}
			s.HandleStopScheduled(dhevent.NewStopScheduled(2000, dhevent.StopScheduledOptions{RefuseFrom: 4000, StopAt: 5000}))
			out.Reset()
			s.Tick(5000, &out)
			if _, ok := lastDecision(&out).(*dheffect.Refuse); !ok || s.OpenRequests() > 0 {
				t.Errorf("got decision %T, and %d requests are open at the stop; want a refusal and none", lastDecision(&out), s.OpenRequests())
			}
		})
	}
}
