package dhtraffic

import (
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// newForwardingState returns the state of an instance without upstreams and with
// a peer in another region, behind a link of the given capacity in kB/s.
func newForwardingState(t testing.TB, kilobytes int64) *State {
	t.Helper()
	return newTestState(t, 1<<40,
		dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "a1", Region: "a"}),
		dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "b1", Region: "b"}),
		dhcatalog.NewInstance(dhcatalog.InstanceOptions{Name: "a1-1", Zone: "a1", CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2"}),
		dhcatalog.NewInstance(dhcatalog.InstanceOptions{Name: "b1-1", Zone: "b1", CallerAddress: "10.0.0.2:1", PeerAddress: "10.0.0.2:2"}),
		dhcatalog.NewLink(dhcatalog.LinkOptions{Name: "ab", Regions: [2]string{"b", "a"}, KilobytesPerSecond: kilobytes}),
		dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "s"}),
		dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: "r", PathPrefix: "/", Service: "s", Open: true, Idempotent: true, Timeout: 60_000, QueueWait: 100}),
	)
}

// TestLinkTrafficStaysWithinBudget forwards as many requests as the state allows.
// The bytes of requests and responses on the link must stay within this region's
// half of the capacity, plus one second of saved budget and the responses to
// requests in flight.
func TestLinkTrafficStaysWithinBudget(t *testing.T) {
	const kilobytes, size, duration = 1000, 20_000, 20 * dhclock.Second
	s := newForwardingState(t, kilobytes)
	request, carried := uint64(0), 0
	const start = 10 * dhclock.Second
	for now := start; now < start+duration; now += 10 {
		var out dheffect.List
		s.HandleReservationResponse(dhevent.NewReservationReceived(now, dhevent.ReservationReceivedOptions{
			Instance: "b1-1", Response: dhmessage.NewReservationResponse(dhmessage.ReservationResponseOptions{Service: "s", RequestSentAt: now, TTL: 1000, Slots: 4}),
		}), &out)
		for range 4 {
			request++
			s.HandleRequest(dhevent.NewRequestReceived(now, dhevent.RequestReceivedOptions{RequestID: request, Path: "/x", BodyBytes: size}), &out)
		}
		s.Tick(now, &out)
		for _, e := range out.Items() {
			if p, ok := e.(*dheffect.ForwardToPeer); ok {
				carried += 2 * size
				s.HandleAttemptEnd(dhevent.NewAttemptEnded(now, dhevent.AttemptEndedOptions{RequestID: p.RequestID(), Status: 200, BodyBytes: size}), &out)
			}
		}
	}
	allowed := kilobytes * bytesPerKilobyte / 2 * (int(duration/dhclock.Second) + 1)
	if carried > allowed+8*size || carried < allowed/2 {
		t.Errorf("%d bytes on the link in %d ms, budget %d", carried, duration, allowed)
	}
}
