package dhreducer

import (
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhtraffic"
)

// departureTest drives a cluster whose instance a1-1 sends requests to two registered upstreams.
type departureTest struct {
	*trafficCluster
	entry      *machine
	forwarded  map[string][]dhclock.Millis // by upstream
	refusals   int
	firstAfter dhclock.Millis // the time from which on refusals count
}

const testDepartureBound dhclock.Millis = 2500

func departingUpstream(name string, state dhcatalog.UpstreamState) dhcatalog.Upstream {
	return dhcatalog.NewUpstream(dhcatalog.UpstreamOptions{
		Name: name, Service: "registered", Address: "10.0.0." + name[1:] + ":1", Zone: "a1", Slots: 1000, Incarnation: 1, State: state,
	})
}

func newDepartureTest(t *testing.T) *departureTest {
	d := &departureTest{trafficCluster: newTrafficCluster(t, 3, "a1-1"), forwarded: map[string][]dhclock.Millis{}}
	d.messageDelay = 20
	d.entry = d.find("a1-1")
	d.traffic["a1-1"] = NewTraffic(dhtraffic.Options{Instance: "a1-1", Zone: "a1", StartID: 1, Now: d.clock(d.entry), DepartureBound: testDepartureBound})
	d.effectHandler = func(m *machine, e dheffect.Effect) {
		switch e := e.(type) {
		case *dheffect.ForwardToUpstream:
			d.forwarded[e.Upstream()] = append(d.forwarded[e.Upstream()], d.now)
			d.handleTraffic(m, dhevent.NewAttemptEnded(d.clock(m), dhevent.AttemptEndedOptions{RequestID: e.RequestID(), Status: 200}))
		case *dheffect.Refuse:
			if d.now >= d.firstAfter {
				d.refusals++
			}
		}
	}
	d.applyChange(
		dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "registered"}),
		dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: "open", PathPrefix: "/open/", Service: "registered", Open: true, Timeout: 1000}),
		departingUpstream("u1", dhcatalog.UpstreamReady), departingUpstream("u2", dhcatalog.UpstreamReady),
	)
	d.runRequests(3000)
	if len(d.forwarded["u1"]) == 0 || len(d.forwarded["u2"]) == 0 {
		t.Fatalf("requests go to %v, want both upstreams", d.forwarded)
	}
	return d
}

// runRequests sends a request every 20 ms.
func (d *departureTest) runRequests(span dhclock.Millis) {
	for end := d.now + span; d.now < end; {
		d.run(20)
		d.tickTraffic()
		d.lastRequest++
		d.handleTraffic(d.entry, dhevent.NewRequestReceived(d.clock(d.entry), dhevent.RequestReceivedOptions{
			RequestID: d.lastRequest, Path: "/open/x", Random: d.nextRandom(),
		}))
	}
}

// TestRequestsReachDepartedUpstreamsOnLateNews has a packet wait 2.7 s at the link of an instance
// that still hears the control processes. After the drain of an upstream was accepted, the
// instance may send it requests for the departure bound at most.
func TestRequestsReachDepartedUpstreamsOnLateNews(t *testing.T) {
	d := newDepartureTest(t)
	d.entryLinkDelay = 2700
	d.runRequests(6000)
	for round := range 8 {
		name := []string{"u1", "u2"}[round%2]
		d.runRequests(dhclock.Millis(300 + 137*round)) // another phase of the polls in each round
		drain := d.propose(d.leader(), dhmessage.NewEdit("registry", []dhcatalog.Object{departingUpstream(name, dhcatalog.UpstreamDraining)}, nil))
		for _, accepted := d.replies[drain]; !accepted; _, accepted = d.replies[drain] {
			d.runRequests(20)
		}
		acceptedAt := d.now
		d.runRequests(8000)
		sent := d.forwarded[name]
		if last := sent[len(sent)-1]; last > acceptedAt+testDepartureBound {
			t.Errorf("round %d: %s gets a request %d ms after its drain was accepted, want at most %d ms", round, name, last-acceptedAt, testDepartureBound)
		}
		back := d.propose(d.leader(), dhmessage.NewEdit("registry", []dhcatalog.Object{dhcatalog.NewUpstream(dhcatalog.UpstreamOptions{
			Name: name, Service: "registered", Address: "10.0.0." + name[1:] + ":1", Zone: "a1", Slots: 1000, Incarnation: int64(round + 2),
		})}, nil))
		for _, accepted := d.replies[back]; !accepted; _, accepted = d.replies[back] {
			d.runRequests(20)
		}
		d.runRequests(8000)
	}
}

// TestDepartureBoundRefusesWithoutNewerNews cuts an instance off, and stops a majority of voters.
// Nothing newer is to be had then, so the instance must go on with what it has: at once without
// a majority, and once it has heard nothing for the contact timeout when it is cut off.
func TestDepartureBoundRefusesWithoutNewerNews(t *testing.T) {
	t.Run("cut off", func(t *testing.T) {
		d := newDepartureTest(t)
		d.partitioned["a1-1"] = true
		d.firstAfter = d.now + 3100
		d.runRequests(10_000)
		if d.refusals > 0 {
			t.Errorf("%d requests are refused later than 3.1 s after the cut", d.refusals)
		}
	})
	t.Run("no majority", func(t *testing.T) {
		d := newDepartureTest(t)
		leader := d.leader()
		for _, name := range d.voters {
			if m := d.find(name); m != leader {
				d.stop(m)
			}
		}
		d.firstAfter = d.now
		d.runRequests(10_000)
		if d.refusals > 0 {
			t.Errorf("%d requests are refused without a majority", d.refusals)
		}
	})
}

// TestPausedInstanceTakesItsPauseForSilence pauses an instance for 8 s, in which the drain of an
// upstream is accepted. Requests that it gets before it has heard of anything must not go there.
func TestPausedInstanceTakesItsPauseForSilence(t *testing.T) {
	d := newDepartureTest(t)
	d.entry.frozen = true
	drain := d.propose(d.leader(), dhmessage.NewEdit("registry", []dhcatalog.Object{departingUpstream("u1", dhcatalog.UpstreamDraining)}, nil))
	d.run(8000)
	if r, replied := d.replies[drain]; !replied || !isAccepted(r) {
		t.Fatalf("the drain has the result %+v", r)
	}
	before := len(d.forwarded["u1"])
	d.entry.frozen = false
	d.entryLinkDelay = 1000
	d.runRequests(6000)
	if sent := len(d.forwarded["u1"]) - before; sent > 0 {
		t.Errorf("the upstream gets %d requests after the pause", sent)
	}
}

// reportAt has a control process get an upstream's report and returns its reply.
func (d *departureTest) reportAt(m *machine, report func(correlationID uint64, at dhclock.Millis) dhevent.Event) dhmessage.Result {
	d.lastCorrelationID++
	id := d.lastCorrelationID
	d.handle(m, report(id, d.clock(m)))
	for _, replied := d.replies[id]; !replied; _, replied = d.replies[id] {
		d.runRequests(20)
	}
	return d.replies[id]
}

func (d *departureTest) heartbeatAt(m *machine, u dhcatalog.Upstream) dhmessage.Result {
	return d.reportAt(m, func(id uint64, at dhclock.Millis) dhevent.Event {
		return dhevent.NewUpstreamHeartbeatReceived(at, dhevent.UpstreamHeartbeatReceivedOptions{CorrelationID: id, Upstream: u})
	})
}

func (d *departureTest) leaveAt(m *machine, name string, incarnation, latest int64) dhmessage.Result {
	return d.reportAt(m, func(id uint64, at dhclock.Millis) dhevent.Event {
		return dhevent.NewUpstreamDeregistered(at, dhevent.UpstreamDeregisteredOptions{
			CorrelationID: id, Name: name, Incarnation: incarnation, LatestIncarnation: latest,
		})
	})
}

func isAccepted(r dhmessage.Result) bool { return r.Err() == nil && !r.OutcomeUnknown() }

// incarnationOf returns the record of u3 with an incarnation and a state.
func incarnationOf(incarnation int64, state dhcatalog.UpstreamState) dhcatalog.Upstream {
	return dhcatalog.NewUpstream(dhcatalog.UpstreamOptions{
		Name: "u3", Service: "registered", Address: "10.0.0.3:1", Zone: "a1", Slots: 1000, Incarnation: incarnation, State: state,
	})
}

// TestRegistrationUnderWayUndoesADeparture has an upstream leave at one control process before
// another one proposes its registration, which a late heartbeat repeats. It must get no requests,
// whether or not it reports its start time when it leaves.
func TestRegistrationUnderWayUndoesADeparture(t *testing.T) {
	for _, incarnation := range []int64{500, 0} {
		d := newDepartureTest(t)
		if r := d.leaveAt(d.find("c2"), "u3", incarnation, 900); !isAccepted(r) {
			t.Fatalf("the departure has the result %+v", r)
		}
		for _, name := range []string{"c1", "c3", "c1"} {
			d.heartbeatAt(d.find(name), incarnationOf(500, dhcatalog.UpstreamReady))
			d.runRequests(2000)
		}
		if sent := len(d.forwarded["u3"]); sent > 0 {
			t.Errorf("start time %d: the upstream gets %d requests after its departure was accepted", incarnation, sent)
		}
		d.heartbeatAt(d.find("c1"), incarnationOf(901, dhcatalog.UpstreamReady))
		d.runRequests(3000)
		if len(d.forwarded["u3"]) == 0 {
			t.Errorf("start time %d: the upstream gets no requests after it has started again", incarnation)
		}
	}
}

// TestDrainAfterClockStepIsAcknowledgedAndIgnored has an upstream start again with an earlier start
// time, as after its clock was set back. While requests follow the record of its earlier start,
// neither its drain nor its departure may be accepted.
func TestDrainAfterClockStepIsAcknowledgedAndIgnored(t *testing.T) {
	d := newDepartureTest(t)
	d.heartbeatAt(d.find("c1"), incarnationOf(2500, dhcatalog.UpstreamReady))
	d.runRequests(2000)
	results := map[string]dhmessage.Result{
		"drain": d.heartbeatAt(d.find("c2"), incarnationOf(500, dhcatalog.UpstreamDraining)), "departure": d.leaveAt(d.find("c2"), "u3", 500, 0),
	}
	before := len(d.forwarded["u3"])
	d.runRequests(4000)
	for what, r := range results {
		if isAccepted(r) && len(d.forwarded["u3"]) > before {
			t.Errorf("the %s was accepted and the upstream gets requests", what)
		}
	}
}
