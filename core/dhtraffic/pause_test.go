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

// TestInstancesReturnTogetherAfterAPause lets an upstream ask 200 instances for the same
// pause. If they all returned at its end, they would overload it again.
func TestInstancesReturnTogetherAfterAPause(t *testing.T) {
	const end = 1000 + 3000
	returned := 0
	for i := range 200 {
		s := newPauseTest(t, true)
		s.request = uint64(i) * 1000
		s.sendUntil(1000, 1200, 3000, "u0", "u1", "u2")
		if s.sendUntil(end+10, end+100, 3000)[""] == 0 {
			returned++
		}
	}
	if returned > 100 {
		t.Errorf("%d of 200 instances send requests within 100 ms after the pause", returned)
	}
}

// TestUpstreamIsFloodedAfterItsPause sends many requests at the end of a pause and keeps
// them open. Few of them must reach the upstream at once, and many within two seconds.
func TestUpstreamIsFloodedAfterItsPause(t *testing.T) {
	s := newPauseTest(t, true)
	s.sendUntil(1000, 1100, 2000, "u0", "u1", "u2")
	forwarded := func(now dhclock.Millis) int {
		n := 0
		for range 40 {
			if _, ok := s.send(now, "/any/", false).(*dheffect.ForwardToUpstream); ok {
				n++
			}
		}
		return n
	}
	now := dhclock.Millis(2000)
	first := 0
	for ; first == 0 && now < 5000; now++ {
		first = forwarded(now)
	}
	if now <= 3000 || first > 2 {
		t.Errorf("%d of 40 requests were sent at %d ms, want at most 2 after 3000 ms", first, now)
	}
	if n := forwarded(now + 2000); n != 40 {
		t.Errorf("%d of 40 requests were sent two seconds later", n)
	}
}

// TestPausedUpstreamIsProbed lets two of three announced upstreams fail
// and the third one ask for a pause. Requests that probe ejected upstreams must not go to
// the paused one.
func TestPausedUpstreamIsProbed(t *testing.T) {
	s := newPauseTest(t, false)
	counts := map[string]int{}
	pause := dhclock.Millis(3000)
	for now := dhclock.Millis(1000); now < 3900; now += 10 {
		for _, name := range []string{"u0", "u1", "u2"} {
			s.announce(now, name)
		}
		forward, ok := s.send(now, "/any/", false).(*dheffect.ForwardToUpstream)
		if !ok {
			continue
		}
		counts[forward.Upstream()]++
		o := dhevent.AttemptEndedOptions{End: dhevent.EndBroken, Latency: 1}
		if forward.Upstream() == "u1" {
			o = dhevent.AttemptEndedOptions{End: dhevent.EndRefused, Latency: 1, RetryAfter: &pause}
		}
		s.end(now+1, o)
	}
	if counts["u1"] != 1 || counts["u0"] < 4 {
		t.Errorf("got requests %v, want 1 for u1 and probes of the others", counts)
	}
}

// TestRequestsWaitForConnections sends more requests at once than the instance may have
// connections. No upstream may get more of them, since a request that waits for a connection
// doesn't learn that the upstream asks for a pause.
func TestRequestsWaitForConnections(t *testing.T) {
	const maxConnections = 7
	for _, isRegistered := range []bool{true, false} {
		t.Run(fmt.Sprint("registered ", isRegistered), func(t *testing.T) {
			s := newPauseTest(t, isRegistered)
			s.maxConnections = new(maxConnections)
			clear(s.groups)
			s.setGroups(950)
			for name := range s.pools {
				for _, u := range s.pools[name].Upstreams() {
					s.announce(950, u.Name())
				}
			}
			counts := map[string]int{}
			for range 10 * maxConnections {
				if forward, ok := s.send(1000, "/any/", false).(*dheffect.ForwardToUpstream); ok {
					counts[forward.Upstream()]++
				}
			}
			for name, n := range counts {
				if n > maxConnections {
					t.Errorf("%s got %d requests, want at most %d", name, n, maxConnections)
				}
			}
			if len(counts) == 0 {
				t.Error("no upstream got a request")
			}
		})
	}
}

// flood sends 40 requests at once, which stay open, and returns the IDs of those that go to an
// upstream.
func (s *pauseTest) flood(now dhclock.Millis, upstream string) []uint64 {
	var list []uint64
	for range 40 {
		if forward, ok := s.send(now, "/any/", false).(*dheffect.ForwardToUpstream); ok && forward.Upstream() == upstream {
			list = append(list, forward.RequestID())
		}
	}
	return list
}

// endRequest ends the attempt of a request.
func (s *pauseTest) endRequest(now dhclock.Millis, requestID uint64, o dhevent.AttemptEndedOptions) {
	o.RequestID = requestID
	s.HandleAttemptEnd(dhevent.NewAttemptEnded(now, o), &dheffect.List{})
}

// TestRequestsFollowAMissedAnswerTogether lets an attempt end without the response of the
// upstream, which may have asked for a pause. Only one request at a time may go there until one
// is answered.
func TestRequestsFollowAMissedAnswerTogether(t *testing.T) {
	ends := []dhevent.AttemptEnd{dhevent.EndTimedOut, dhevent.EndCallerGone, dhevent.EndBroken, dhevent.EndUnattributed}
	for _, end := range ends {
		for _, isRegistered := range []bool{true, false} {
			t.Run(fmt.Sprint(end, ", registered ", isRegistered), func(t *testing.T) {
				s := newPauseTest(t, isRegistered)
				forward, ok := s.send(1000, "/any/", false).(*dheffect.ForwardToUpstream)
				if !ok {
					t.Fatal("the first request isn't sent to an upstream")
				}
				s.end(1900, dhevent.AttemptEndedOptions{End: end, Latency: 900, ResponseMissed: new(true)})
				trials := s.flood(2000, forward.Upstream())
				if len(trials) != 1 {
					t.Fatalf("%d requests were sent after the missed answer, want 1", len(trials))
				}
				s.endRequest(2500, trials[0], dhevent.AttemptEndedOptions{End: dhevent.EndTimedOut, Latency: 500, ResponseMissed: new(true)})
				if trials = s.flood(2600, forward.Upstream()); len(trials) != 1 {
					t.Fatalf("%d requests were sent after a second missed answer, want 1", len(trials))
				}
				s.endRequest(2601, trials[0], dhevent.AttemptEndedOptions{End: dhevent.EndAnswered, Status: 200, Latency: 1})
				if n := len(s.flood(2700, forward.Upstream())); n < 2 {
					t.Errorf("%d requests were sent after an answer, want more", n)
				}
			})
		}
	}
}

// TestCallersThatLeaveThrottleAnUpstream lets a caller leave while the upstream answers
// others. Its requests must not be limited.
func TestCallersThatLeaveThrottleAnUpstream(t *testing.T) {
	for _, isRegistered := range []bool{true, false} {
		t.Run(fmt.Sprint("registered ", isRegistered), func(t *testing.T) {
			s := newPauseTest(t, isRegistered)
			for _, name := range []string{"u0", "u1", "u2"} {
				open := s.flood(1000, name)
				if len(open) < 2 {
					t.Fatalf("%d requests were sent to %s, want more", len(open), name)
				}
				s.endRequest(1100, open[0], dhevent.AttemptEndedOptions{End: dhevent.EndAnswered, Status: 200, Latency: 100})
				s.endRequest(1200, open[1], dhevent.AttemptEndedOptions{End: dhevent.EndCallerGone, Latency: 200, ResponseMissed: new(true)})
			}
			if n := len(s.flood(1300, "u1")); n < 2 {
				t.Errorf("%d requests were sent after a caller has left, want more", n)
			}
		})
	}
}

// TestLongTrialHoldsUpRequests lets the first request after a missed answer run for a long
// time. Other requests must not wait for its end.
func TestLongTrialHoldsUpRequests(t *testing.T) {
	s := newPauseTest(t, true)
	forward, ok := s.send(1000, "/any/", false).(*dheffect.ForwardToUpstream)
	if !ok {
		t.Fatal("the first request isn't sent to an upstream")
	}
	s.end(1900, dhevent.AttemptEndedOptions{End: dhevent.EndTimedOut, Latency: 900, ResponseMissed: new(true)})
	for now, want := dhclock.Millis(2000), 1; now < 5000; now += 500 {
		if n := len(s.flood(now, forward.Upstream())); n != want {
			t.Errorf("%d requests were sent at %d ms, want %d", n, now, want)
		}
		want = 1 - want
	}
}
