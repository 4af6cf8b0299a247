package dhtraffic

import (
	"fmt"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhsteer"
)

// pauseTest drives an instance with three upstreams, which are registered or announced.
type pauseTest struct {
	*reachabilityTest
}

func newPauseTest(t *testing.T, isRegistered bool) *pauseTest {
	objects := []dhcatalog.Object{
		dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "a1", Region: "a"}),
		dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "s"}),
		dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: "r", PathPrefix: "/any/", Service: "s", Open: true, Timeout: 3000, MaxAttempts: 1}),
		dhcatalog.NewInstance(dhcatalog.InstanceOptions{Name: "a1-1", Zone: "a1", CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2"}),
	}
	names := []string{"u0", "u1", "u2"}
	for _, name := range names {
		if isRegistered {
			objects = append(objects, dhcatalog.NewUpstream(dhcatalog.UpstreamOptions{
				Name: name, Service: "s", Address: "10.0.1.1:1", Zone: "a1", Slots: 100, Incarnation: 1,
			}))
		}
	}
	s := &pauseTest{&reachabilityTest{State: newTestState(t, 1_000_000, objects...)}}
	if !isRegistered {
		for _, name := range names {
			s.announce(900, name)
		}
	}
	return s
}

func (s *pauseTest) announce(now dhclock.Millis, name string) {
	var out dheffect.List
	s.HandleAnnouncement(dhevent.NewUpstreamAnnounced(now, dhevent.UpstreamAnnouncedOptions{
		Announcement: dhsteer.NewAnnouncement(dhsteer.AnnouncementOptions{Name: name, Service: "s", Address: "10.0.1.1:1", Slots: 100}),
	}), &out)
}

// sendUntil sends a request every 10 ms and counts them by the upstream that gets them, ""
// for none. Each upstream in the list refuses and asks for a pause.
func (s *pauseTest) sendUntil(from, to, pause dhclock.Millis, refusing ...string) map[string]int {
	counts := map[string]int{}
	for now := from; now < to; now += 10 {
		for name := range s.pools {
			for _, u := range s.pools[name].Upstreams() {
				s.announce(now, u.Name())
			}
		}
		var out dheffect.List
		s.Tick(now, &out)
		forward, ok := s.send(now, "/any/", false).(*dheffect.ForwardToUpstream)
		if !ok {
			counts[""]++
			continue
		}
		counts[forward.Upstream()]++
		o := dhevent.AttemptEndedOptions{End: dhevent.EndAnswered, Status: 200, Latency: 1}
		for _, name := range refusing {
			if name == forward.Upstream() {
				o = dhevent.AttemptEndedOptions{End: dhevent.EndRefused, Latency: 1, RetryAfter: &pause}
			}
		}
		s.end(now+1, o)
	}
	return counts
}

// TestRefusingUpstreamGetsRequestsBeforeItsRetryAfter lets an upstream refuse a request and
// ask for a pause of 3 s. It must get no other request within that time, and get requests
// again afterwards.
func TestRefusingUpstreamGetsRequestsBeforeItsRetryAfter(t *testing.T) {
	for _, isRegistered := range []bool{true, false} {
		t.Run(fmt.Sprint("registered ", isRegistered), func(t *testing.T) {
			s := newPauseTest(t, isRegistered)
			if n := s.sendUntil(1000, 3990, 3000, "u1")["u1"]; n != 1 {
				t.Errorf("the upstream got %d requests in 2990 ms, want 1", n)
			}
			if n := s.sendUntil(4000, 7000, 3000)["u1"]; n == 0 {
				t.Error("the upstream gets no requests after its pause")
			}
		})
	}
}

// TestCallersLearnWhenPausesEnd lets all upstreams ask for a pause. Requests must be
// refused at once with the time after which the first pause ends.
func TestCallersLearnWhenPausesEnd(t *testing.T) {
	for _, isRegistered := range []bool{true, false} {
		t.Run(fmt.Sprint("registered ", isRegistered), func(t *testing.T) {
			s := newPauseTest(t, isRegistered)
			s.sendUntil(1000, 1500, 3000, "u0", "u1", "u2")
			refuse, ok := s.send(2000, "/any/", false).(*dheffect.Refuse)
			if !ok {
				t.Fatal("a request is forwarded or waits although all upstreams asked for a pause")
			}
			if got := refuse.Refusal().RetryAfter(); got < 2000 || got > 2800 {
				t.Errorf("the caller may retry after %d ms, want about 2000 ms", got)
			}
		})
	}
}
