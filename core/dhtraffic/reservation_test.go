package dhtraffic

import (
	"fmt"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhsteer"
)

const (
	spillPercent     = 40
	coldStart        = 1000
	upstreamCount    = 5
	slotsPerUpstream = 10
)

// newReceivingState returns the state of an instance whose service admits
// requests from peers.
func newReceivingState(t testing.TB) *State {
	t.Helper()
	return newTestState(t, 1<<40,
		dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "s", SpillPercent: spillPercent, ColdStart: coldStart}),
		dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: "r", PathPrefix: "/", Service: "s", Open: true, Idempotent: true, Timeout: 60_000, QueueWait: 100}),
	)
}

// announceUpstreams renews the announcements of all upstreams.
func announceUpstreams(s *State, now dhclock.Millis) {
	var out dheffect.List
	for i := range upstreamCount {
		s.HandleAnnouncement(dhevent.NewUpstreamAnnounced(now, dhevent.UpstreamAnnouncedOptions{
			Announcement: dhsteer.NewAnnouncement(dhsteer.AnnouncementOptions{Name: fmt.Sprint("u", i), Service: "s", Address: "10.0.0.1:1", Slots: slotsPerUpstream}),
		}), &out)
	}
}

// TestRemoteAdmissionStaysUnderLimit has peers request more slots than there are
// and forward more requests than they have reservations for. Neither the running
// requests from peers nor the sum of reservations may exceed the remote admission
// limit, which starts low and rises during the cold-start time.
func TestRemoteAdmissionStaysUnderLimit(t *testing.T) {
	s := newReceivingState(t)
	const start dhclock.Millis = 10_000
	request := uint64(0)
	atStart := 0
	for now := start - 2*coldStart; now < start; now += 500 {
		announceUpstreams(s, now) // the upstreams finish their slow start before peers forward requests
	}
	for now := start; now <= start+2*coldStart; now += 50 {
		if now == start || now%500 == 0 {
			announceUpstreams(s, now)
		}
		reserved := 0
		for i := range 6 {
			var out dheffect.List
			s.HandleReservationRequest(dhevent.NewReservationRequested(now, dhevent.ReservationRequestedOptions{
				Instance: fmt.Sprint("b", i), Request: dhmessage.NewReservationRequest(dhmessage.ReservationRequestOptions{Service: "s", SentAt: now, Slots: 100}),
			}), &out)
			reserved += out.Items()[0].(*dheffect.Send).Message().(*dhmessage.ReservationResponse).Slots()
		}
		for range 30 {
			var out dheffect.List
			request++
			s.HandleRequest(dhevent.NewRequestReceived(now, dhevent.RequestReceivedOptions{RequestID: request, Path: "/x", FromPeer: true}), &out)
			if f, ok := out.Items()[0].(*dheffect.Refuse); ok && f.Refusal().MayHaveRun() {
				t.Fatal("a request from a peer that was refused for lack of slots is reported as possibly run")
			}
		}
		all, _ := s.pools["s"].Slots(now)
		limit := all * spillPercent / 100
		if remote := s.pools["s"].RemoteRunning(); remote > limit || reserved > limit {
			t.Fatalf("after %d ms: %d requests from peers and %d reserved slots of %d, limit %d", now-start, remote, reserved, all, limit)
		}
		if now == start {
			atStart = s.pools["s"].RemoteRunning()
		}
	}
	most := upstreamCount * slotsPerUpstream * spillPercent / 100
	if got := s.pools["s"].RemoteRunning(); got != most || atStart > most*initialAdmissionPercent/100 {
		t.Errorf("%d requests from peers at the start of the ramp and %d at its end, want %d at its end and at most the initial percentage of that at its start", atStart, got, most)
	}
}

// TestStoppingInstanceReservesSlots asks an instance for slots before and after its stop was
// scheduled. A peer that gets some forwards requests until the instance has ended, which cuts
// them.
func TestStoppingInstanceReservesSlots(t *testing.T) {
	s := newReceivingState(t)
	for now := dhclock.Millis(8000); now < 10_000; now += 500 {
		announceUpstreams(s, now)
	}
	reserved := func() int {
		var out dheffect.List
		s.HandleReservationRequest(dhevent.NewReservationRequested(10_000, dhevent.ReservationRequestedOptions{
			Instance: "p", Request: dhmessage.NewReservationRequest(dhmessage.ReservationRequestOptions{Service: "s", SentAt: 1, Slots: 2}),
		}), &out)
		return out.Items()[0].(*dheffect.Send).Message().(*dhmessage.ReservationResponse).Slots()
	}
	if got := reserved(); got != 2 {
		t.Fatalf("an instance reserves %d slots, want 2", got)
	}
	s.HandleStopScheduled(dhevent.NewStopScheduled(10_000, dhevent.StopScheduledOptions{RefuseFrom: 10_300, StopAt: 11_700}))
	if got := reserved(); got != 0 {
		t.Errorf("a stopping instance reserves %d slots, want none", got)
	}
}

// TestPeerThatGetsNoResponseKeepsSlots lets a peer that gets no response ask for slots for 5 s and
// forward no request. Another peer must get slots.
func TestPeerThatGetsNoResponseKeepsSlots(t *testing.T) {
	s := newReceivingState(t)
	reserve := func(now dhclock.Millis, peer string) int {
		var out dheffect.List
		s.HandleReservationRequest(dhevent.NewReservationRequested(now, dhevent.ReservationRequestedOptions{
			Instance: peer, Request: dhmessage.NewReservationRequest(dhmessage.ReservationRequestOptions{Service: "s", SentAt: now, Slots: 100}),
		}), &out)
		return out.Items()[0].(*dheffect.Send).Message().(*dhmessage.ReservationResponse).Slots()
	}
	for now := dhclock.Millis(8000); now < 15_000; now += 100 {
		announceUpstreams(s, now)
		if now >= 10_000 {
			reserve(now, "silent")
		}
	}
	if got := reserve(15_000, "other"); got == 0 {
		t.Error("a peer gets no slot while another one has reserved all for 5 s and used none")
	}
}
