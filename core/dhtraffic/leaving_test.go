package dhtraffic

import (
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhview"
)

// sendTo sends requests until one goes to an upstream, and leaves that one open.
func (s *reachabilityTest) sendTo(t *testing.T, now dhclock.Millis, upstream string) {
	t.Helper()
	for range 200 {
		forward, ok := s.send(now, "/any/", false).(*dheffect.ForwardToUpstream)
		if ok && forward.Upstream() == upstream {
			return
		}
		s.end(now, dhevent.AttemptEndedOptions{End: dhevent.EndAnswered, Status: 200})
	}
	t.Fatalf("no request goes to %s", upstream)
}

// count sends 200 requests and counts those that go to an upstream.
func (s *reachabilityTest) count(now dhclock.Millis, upstream string) int {
	n := 0
	for range 200 {
		if forward, ok := s.send(now, "/any/", false).(*dheffect.ForwardToUpstream); ok {
			if forward.Upstream() == upstream {
				n++
			}
			s.end(now, dhevent.AttemptEndedOptions{End: dhevent.EndAnswered, Status: 200})
		}
	}
	return n
}

// reportLeaving reports that the upstream of the last request is about to stop, or that
// of a peer's response if a name is given.
func (s *reachabilityTest) reportLeaving(now dhclock.Millis, upstream, address string) {
	var out dheffect.List
	s.HandleUpstreamLeaving(dhevent.NewUpstreamLeaving(now, dhevent.UpstreamLeavingOptions{
		RequestID: s.request, Upstream: upstream, Address: address,
	}), &out)
}

// apply publishes a view with a changed catalog.
func (s *reachabilityTest) apply(t *testing.T, now dhclock.Millis, o dhcatalog.ChangeSetOptions) {
	t.Helper()
	c := s.view.Catalog()
	o.ID, o.Author, o.Base = "change", "test", c.Version()
	c, err := c.Apply(dhcatalog.NewChangeSet(o))
	if err != nil {
		t.Fatal(err)
	}
	s.HandleView(dhevent.NewViewPublished(now, dhevent.ViewPublishedOptions{
		View: dhview.New(dhview.Options{Catalog: c, EverConfirmed: true, ConfirmedAt: 1_000_000}),
	}))
}

// putUpstream returns a change of the record of u1.
func putUpstream(slots int, incarnation int64, address string) dhcatalog.ChangeSetOptions {
	return dhcatalog.ChangeSetOptions{Puts: []dhcatalog.Object{dhcatalog.NewUpstream(dhcatalog.UpstreamOptions{
		Name: "u1", Service: "s", Address: address, Zone: "a1", Slots: slots, Incarnation: incarnation,
	})}}
}

// TestLeavingUpstreamGetsRequestsBehindAPartition lets an upstream say in a response that it
// is about to stop, while its record stays ready, as at an instance that is cut off. It must
// get no further request, whatever becomes of its record, and its successor must get some.
func TestLeavingUpstreamGetsRequestsBehindAPartition(t *testing.T) {
	const address = "10.0.1.1:1"
	s := newPauseTest(t, true)
	s.sendTo(t, 1000, "u1")
	s.reportLeaving(1000, "", "")
	s.end(1001, dhevent.AttemptEndedOptions{End: dhevent.EndAnswered, Status: 200})
	check := func(when string, now dhclock.Millis) {
		if n := s.count(now, "u1"); n != 0 {
			t.Errorf("%s: the upstream got %d of 200 requests", when, n)
		}
	}
	check("at once", 1002)
	check("after ten minutes", 600_000)
	s.apply(t, 600_001, putUpstream(50, 1, address))
	check("with a changed record", 600_002)
	s.apply(t, 600_003, dhcatalog.ChangeSetOptions{Deletes: []dhcatalog.Ref{dhcatalog.NewRef(dhcatalog.KindUpstream, "u1")}})
	s.apply(t, 600_004, putUpstream(50, 1, address))
	check("registered again", 600_005)
	s.apply(t, 600_006, putUpstream(50, 2, address))
	if s.count(600_007, "u1") == 0 {
		t.Error("a new process of the same name gets no requests")
	}
}

// TestLeavingUpstreamGetsRequestsAfterIsolation lets a peer forward the response of an
// upstream that is about to stop. Only the upstream at that address must get no further
// requests from here.
func TestLeavingUpstreamGetsRequestsAfterIsolation(t *testing.T) {
	for _, c := range []struct {
		address string
		want    bool // whether it gets requests
	}{{"10.0.1.1:1", false}, {"10.0.1.9:1", true}} {
		s := newReachabilityTest(t)
		s.isolate(t, 1000)
		s.reportLeaving(1001, "u2", c.address)
		s.end(1001, dhevent.AttemptEndedOptions{End: dhevent.EndAnswered, Status: 200})
		for _, name := range []string{"u0", "u2"} {
			s.HandleProbe(dhevent.NewUpstreamProbed(1300, dhevent.UpstreamProbedOptions{Service: "s", Upstream: name, Connected: true, Latency: 1}), &dheffect.List{})
		}
		if got := s.count(5000, "u2") > 0; got != c.want {
			t.Errorf("response from %s: the upstream gets requests: %t, want %t", c.address, got, c.want)
		}
	}
}

// TestLeavingAnnouncedUpstreamGetsRequests lets an announced upstream say in a response that
// it is about to stop.
func TestLeavingAnnouncedUpstreamGetsRequests(t *testing.T) {
	s := newPauseTest(t, false)
	s.sendTo(t, 1000, "u1")
	s.reportLeaving(1000, "", "")
	s.end(1001, dhevent.AttemptEndedOptions{End: dhevent.EndAnswered, Status: 200})
	if n := s.count(1100, "u1"); n != 0 {
		t.Errorf("the upstream got %d of 200 requests", n)
	}
}
