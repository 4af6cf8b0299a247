package dhtraffic

import (
	"fmt"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
)

// reachabilityTest drives the instance a1-1, which has peers in its own and in another region
// and six registered upstreams.
type reachabilityTest struct {
	*State
	request uint64
}

func newReachabilityTest(t *testing.T) *reachabilityTest {
	t.Helper()
	return newReachabilityTestWith(t, 6)
}

// newReachabilityTestWith is like newReachabilityTest with another number of upstreams.
func newReachabilityTestWith(t *testing.T, upstreams int) *reachabilityTest {
	t.Helper()
	objects := []dhcatalog.Object{
		dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "a1", Region: "a"}),
		dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "b1", Region: "b"}),
		dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "s"}),
		dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: "r", PathPrefix: "/any/", Service: "s", Open: true, Timeout: 3000, MaxAttempts: 2}),
		dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: "h", PathPrefix: "/home/", Service: "s", Open: true, Timeout: 3000, MaxAttempts: 2, HomeRegions: []string{"b"}}),
	}
	for _, name := range []string{"a1-1", "a1-2", "a1-3", "b1-1"} {
		objects = append(objects, dhcatalog.NewInstance(dhcatalog.InstanceOptions{
			Name: name, Zone: name[:2], CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2",
		}))
	}
	for i := range upstreams {
		objects = append(objects, dhcatalog.NewUpstream(dhcatalog.UpstreamOptions{
			Name: fmt.Sprint("u", i), Service: "s", Address: "10.0.1.1:1", Zone: []string{"a1", "b1"}[i%2], Slots: 100, Incarnation: 1,
		}))
	}
	s := &reachabilityTest{State: newTestState(t, 1_000_000, objects...)}
	s.groups["s"].retryBucket = retryBucket{level: 1000 * retryUnit, capacity: 1000 * retryUnit}
	return s
}

// send sends a request and returns the first decision on it.
func (s *reachabilityTest) send(now dhclock.Millis, path string, fromPeer bool) dheffect.Effect {
	s.request++
	var out dheffect.List
	s.HandleRequest(dhevent.NewRequestReceived(now, dhevent.RequestReceivedOptions{
		RequestID: s.request, Path: path, FromPeer: fromPeer, Random: s.request * 0x9e3779b97f4a7c15,
	}), &out)
	return lastDecision(&out)
}

// end ends the attempt of the last request and returns the next decision on it.
func (s *reachabilityTest) end(now dhclock.Millis, o dhevent.AttemptEndedOptions) dheffect.Effect {
	o.RequestID = s.request
	var out dheffect.List
	s.HandleAttemptEnd(dhevent.NewAttemptEnded(now, o), &out)
	return lastDecision(&out)
}

func lastDecision(out *dheffect.List) dheffect.Effect {
	var decision dheffect.Effect
	for _, e := range out.Items() {
		switch e.(type) {
		case *dheffect.ForwardToUpstream, *dheffect.ForwardToPeer, *dheffect.Refuse:
			decision = e
		}
	}
	return decision
}

// isolate sends requests whose connections to upstreams all fail, until one is
// forwarded to a peer.
func (s *reachabilityTest) isolate(t *testing.T, now dhclock.Millis) *dheffect.ForwardToPeer {
	t.Helper()
	decision := s.send(now, "/any/", false)
	for failures := 0; failures < isolationThreshold; {
		if _, refused := decision.(*dheffect.Refuse); refused {
			decision = s.send(now, "/any/", false)
		}
		if _, ok := decision.(*dheffect.ForwardToUpstream); !ok {
			t.Fatalf("got decision %T after %d failed connections, want a ForwardToUpstream", decision, failures)
		}
		decision = s.end(now, dhevent.AttemptEndedOptions{End: dhevent.EndNotSent, Connected: new(false)})
		failures++
	}
	forward, ok := decision.(*dheffect.ForwardToPeer)
	if !ok {
		t.Fatalf("got decision %T after %d failed connections, want a ForwardToPeer", decision, isolationThreshold)
	}
	return forward
}

// TestFailuresOfOwnLinksEjectNoUpstream guards against ejections that outlast a
// partition: once a probe succeeds, the upstreams get requests again at once.
func TestFailuresOfOwnLinksEjectNoUpstream(t *testing.T) {
	s := newReachabilityTest(t)
	s.isolate(t, 1000)
	var out dheffect.List
	s.Tick(1000+probeInterval, &out)
	var probe *dheffect.ProbeUpstream
	for _, e := range out.Items() {
		if p, ok := e.(*dheffect.ProbeUpstream); ok {
			probe = p
		}
	}
	if probe == nil {
		t.Fatal("an isolated instance probes no upstream")
	}
	s.HandleProbe(dhevent.NewUpstreamProbed(1300, dhevent.UpstreamProbedOptions{
		Service: probe.Service(), Upstream: probe.Upstream(), Connected: true, Latency: 1,
	}), &out)
	reached := map[string]bool{}
	for range 200 {
		forward, ok := s.send(1301, "/any/", false).(*dheffect.ForwardToUpstream)
		if !ok {
			t.Fatal("a request isn't sent to an upstream after a probe has succeeded")
		}
		reached[forward.Upstream()] = true
		s.end(1301, dhevent.AttemptEndedOptions{Status: 200, Latency: 1})
	}
	if len(reached) != 3 {
		t.Errorf("%d upstreams get requests after a probe has succeeded, want all 3 of the region", len(reached))
	}
}

// TestDeadUpstreamIsNoIsolation has one upstream refuse connections while the others
// accept them. The instance must not take that for a failure of its own links.
func TestDeadUpstreamIsNoIsolation(t *testing.T) {
	s := newReachabilityTest(t)
	for i := range 200 {
		now := dhclock.Millis(1000 + 10*i)
		decision := s.send(now, "/any/", false)
		for decision != nil {
			forward, ok := decision.(*dheffect.ForwardToUpstream)
			if !ok {
				t.Fatalf("got decision %T, want a ForwardToUpstream", decision)
			}
			o := dhevent.AttemptEndedOptions{Status: 200, Latency: 1, Connected: new(true)}
			if forward.Upstream() == "u0" {
				o = dhevent.AttemptEndedOptions{End: dhevent.EndNotSent, Latency: 1, Connected: new(false)}
			}
			decision = s.end(now+1, o)
		}
	}
}

// TestIsolatedPeersAreSkipped has the peer that gets a request report that it is
// isolated too. The request goes to another peer, one of another region last, and is
// refused as not run when none is left.
func TestIsolatedPeersAreSkipped(t *testing.T) {
	s := newReachabilityTest(t)
	tried := []string{s.isolate(t, 1000).Instance()}
	decision := s.end(1001, dhevent.AttemptEndedOptions{End: dhevent.EndNotSent})
	if forward, ok := decision.(*dheffect.ForwardToPeer); ok {
		tried = append(tried, forward.Instance())
	}
	if len(tried) != 2 || tried[0] == tried[1] || tried[0] == "b1-1" || tried[1] == "b1-1" {
		t.Fatalf("the request was forwarded to %v, want a1-2 and a1-3", tried)
	}
	if got := s.send(1002, "/any/", false); got.(*dheffect.ForwardToPeer).Instance() == tried[0] {
		t.Errorf("the next request was forwarded to %s, which is isolated", tried[0])
	}
	refuse, ok := s.send(1003, "/any/", true).(*dheffect.Refuse)
	if !ok || refuse.Refusal().Kind() != dheffect.RefuseNoUpstream || refuse.Refusal().MayHaveRun() {
		t.Errorf("a request from a peer got %+v, want refusal noUpstream that didn't run", refuse)
	}
}

// TestIsolatedInstanceKeepsHomes forwards requests of a route with a home in another
// region: only peers there may get their bodies.
func TestIsolatedInstanceKeepsHomes(t *testing.T) {
	s := newReachabilityTest(t)
	s.isolate(t, 1000)
	for i := range 20 {
		forward, ok := s.send(dhclock.Millis(1001+i), "/home/", false).(*dheffect.ForwardToPeer)
		if !ok || forward.Instance() != "b1-1" {
			t.Fatalf("got %+v, want a forward to b1-1", forward)
		}
	}
}

// TestPeerWithOlderDeclarationRefuses guards against a peer that serves a request of an
// isolated instance by an older configuration than the caller has already seen.
func TestPeerWithOlderDeclarationRefuses(t *testing.T) {
	s := newReachabilityTest(t)
	forward := s.isolate(t, 1000)
	if forward.MinDeclaration() == nil {
		t.Fatal("an isolated instance doesn't tell the peer its declaration")
	}
	var out dheffect.List
	newer := *forward.MinDeclaration() + 1
	newReachabilityTest(t).HandleRequest(dhevent.NewRequestReceived(1000, dhevent.RequestReceivedOptions{
		RequestID: 1, Path: "/any/", FromPeer: true, MinDeclaration: &newer,
	}), &out)
	refuse, ok := lastDecision(&out).(*dheffect.Refuse)
	if !ok || refuse.Refusal().Kind() != dheffect.RefuseConfigurationStale || refuse.Refusal().MayHaveRun() {
		t.Errorf("got %+v, want refusal configurationStale that didn't run", refuse)
	}
}

// TestCongestedLinkIsNoIsolation has connections to several upstreams time out while
// others respond on pooled connections, as on a congested link. Forwarding to peers
// would only load the link more.
func TestCongestedLinkIsNoIsolation(t *testing.T) {
	s := newReachabilityTest(t)
	for i := range 50 {
		now := dhclock.Millis(1000 + 100*i)
		s.send(now, "/any/", false)
		s.end(now, dhevent.AttemptEndedOptions{Status: 200, Latency: 50})
		decision := s.send(now, "/any/", false)
		for decision != nil {
			if forward, ok := decision.(*dheffect.ForwardToPeer); ok {
				t.Fatalf("the request was forwarded to %s", forward.Instance())
			}
			if _, ok := decision.(*dheffect.Refuse); ok {
				break
			}
			decision = s.end(now+90, dhevent.AttemptEndedOptions{End: dhevent.EndNotSent, Latency: 500, Connected: new(false)})
		}
	}
}

// TestResponseEndsIsolationByTimeouts has connections time out until the instance is
// isolated, and a response to an earlier request arrive: the links are slow, not cut.
func TestResponseEndsIsolationByTimeouts(t *testing.T) {
	s := newReachabilityTest(t)
	s.send(1000, "/any/", false)
	early := s.request
	for i := 0; !s.reachability.isolated; i++ {
		if i == 2*isolationThreshold {
			t.Fatal("the instance isn't isolated after its connections timed out")
		}
		s.send(1000, "/any/", false)
		s.end(1500, dhevent.AttemptEndedOptions{End: dhevent.EndNotSent, Latency: 500, Connected: new(false)})
	}
	var out dheffect.List
	s.HandleAttemptEnd(dhevent.NewAttemptEnded(1600, dhevent.AttemptEndedOptions{RequestID: early, Status: 200, Latency: 600}), &out)
	if _, ok := s.send(1601, "/any/", false).(*dheffect.ForwardToUpstream); !ok {
		t.Error("the instance still forwards to peers after an upstream has responded")
	}
}

// TestResponseEndsIsolationByRefusals has all upstreams, or isolationThreshold of them, refuse
// new connections, and a response to an earlier request arrive. The instance must go on
// forwarding to peers, whatever the number of upstreams.
func TestResponseEndsIsolationByRefusals(t *testing.T) {
	for _, upstreams := range []int{1, 2, 3, 6} {
		t.Run(fmt.Sprint(upstreams, " upstreams"), func(t *testing.T) {
			s := newReachabilityTestWith(t, upstreams)
			s.send(1000, "/any/", false)
			early := s.request
			var out dheffect.List
			for _, m := range s.groups["s"].Members()[:min(isolationThreshold, upstreams)] {
				s.recordConnect(1001, 1, "s", m, false, &out)
			}
			if _, ok := s.send(1002, "/any/", false).(*dheffect.ForwardToPeer); !ok {
				t.Fatal("the instance isn't isolated after upstreams refused its connections")
			}
			s.HandleAttemptEnd(dhevent.NewAttemptEnded(1003, dhevent.AttemptEndedOptions{RequestID: early, Status: 200, Latency: 3}), &out)
			if forward, ok := s.send(1004, "/any/", false).(*dheffect.ForwardToUpstream); ok {
				t.Errorf("the request was sent to %s, which refuses connections", forward.Upstream())
			}
		})
	}
}

// countProbes counts the probes among the effects.
func countProbes(out *dheffect.List) int {
	probes := 0
	for _, e := range out.Items() {
		if _, ok := e.(*dheffect.ProbeUpstream); ok {
			probes++
		}
	}
	return probes
}

// TestCrashedUpstreamsAreNoIsolation lets three upstreams refuse connections while another
// one responds. The instance must not take that for the loss of its own links until a
// probe of an upstream that hasn't crashed fails too.
func TestCrashedUpstreamsAreNoIsolation(t *testing.T) {
	for _, isProbeAnswered := range []bool{true, false} {
		s := newReachabilityTest(t)
		s.send(1000, "/any/", false)
		s.end(1001, dhevent.AttemptEndedOptions{End: dhevent.EndAnswered, Status: 200})
		var out dheffect.List
		members := s.groups["s"].Members()
		for i := range isolationThreshold {
			s.recordConnect(dhclock.Millis(1100+i), 1, "s", members[i], false, &out)
		}
		if s.reachability.isolated {
			t.Fatal("isolated although an upstream responds and no probe has failed")
		}
		if countProbes(&out) == 0 {
			t.Fatal("no probe was sent")
		}
		s.HandleProbe(dhevent.NewUpstreamProbed(1200, dhevent.UpstreamProbedOptions{
			Service: "s", Upstream: members[isolationThreshold].Name(), Connected: isProbeAnswered, Latency: 2,
		}), &out)
		if s.reachability.isolated == isProbeAnswered {
			t.Errorf("probe answered: %v; isolated: %v", isProbeAnswered, s.reachability.isolated)
		}
	}
}

// TestPeersBehindACongestedLinkGetRequests lets connections to upstreams time out until the
// instance is isolated, and then those to two peers. The instance must not forward further
// requests to peers over the same link, unless a peer has responded in between.
func TestPeersBehindACongestedLinkGetRequests(t *testing.T) {
	for _, responds := range []bool{false, true} {
		t.Run(fmt.Sprint("a peer responds ", responds), func(t *testing.T) {
			s := newReachabilityTest(t)
			timedOut := dhevent.AttemptEndedOptions{End: dhevent.EndNotSent, Latency: 500, Connected: new(false)}
			decision := s.send(1000, "/any/", false)
			for i := 0; !s.reachability.isolated && i < 2*isolationThreshold; i++ {
				if _, ok := decision.(*dheffect.ForwardToUpstream); !ok {
					s.send(1000, "/any/", false)
				}
				decision = s.end(1500, timedOut)
			}
			if _, ok := decision.(*dheffect.ForwardToPeer); !ok {
				t.Fatalf("got decision %T after connections timed out, want a ForwardToPeer", decision)
			}
			s.end(2000, timedOut)
			if responds {
				s.send(2001, "/any/", false)
				s.end(2100, dhevent.AttemptEndedOptions{Status: 200, Latency: 100})
			}
			if _, ok := s.send(2101, "/any/", false).(*dheffect.ForwardToPeer); ok {
				s.end(2601, timedOut)
			}
			_, isForwarded := s.send(2602, "/any/", false).(*dheffect.ForwardToPeer)
			if isForwarded != responds {
				t.Errorf("forwarded to a peer: %t, want %t", isForwarded, responds)
			}
		})
	}
}
