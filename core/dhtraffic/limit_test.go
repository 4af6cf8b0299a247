package dhtraffic

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhsteer"
	"dogwoodhitch/core/dhview"
)

// Times of a limitSimulation, in milliseconds.
const (
	limitedFrom    dhclock.Millis = 2000
	limitedUntil   dhclock.Millis = 22_000
	simulationEnd  dhclock.Millis = 42_000
	responseTime   dhclock.Millis = 40
	learningTime   dhclock.Millis = 500  // after which an instance that got a report must observe it
	limitGrace     dhclock.Millis = 3000 // after the first report
	limitWindow    dhclock.Millis = 4000
	simulationStep dhclock.Millis = 5
)

// limitSimulation runs the traffic states of several instances against six
// upstreams of a service. One of them reports a limit for some time.
type limitSimulation struct {
	states    []*State
	random    *rand.Rand
	now       dhclock.Millis
	request   uint64
	running   []runningAttempt
	limit     dhsteer.RateLimit
	learnedAt []dhclock.Millis // of each instance's first report; 0 before it
	arrivals  []dhclock.Millis // at the limited upstream
	counted   []dhclock.Millis // those from instances that must observe the limit
}

type runningAttempt struct {
	instance int
	request  uint64
	upstream string
	endsAt   dhclock.Millis
}

func newLimitSimulation(t *testing.T, instances int, perSecond float64) *limitSimulation {
	t.Helper()
	s := &limitSimulation{
		random: rand.New(rand.NewPCG(1, uint64(instances))), learnedAt: make([]dhclock.Millis, instances),
		limit: dhsteer.NewRateLimit(dhmessage.Tokens(perSecond * float64(dhmessage.Token))),
	}
	objects := []dhcatalog.Object{
		dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "a1", Region: "a"}),
		dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "s"}),
		dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: "r", PathPrefix: "/", Service: "s", Open: true, Affinity: true, Idempotent: true, Timeout: 1000}),
	}
	for i := range instances {
		objects = append(objects, dhcatalog.NewInstance(dhcatalog.InstanceOptions{
			Name: fmt.Sprint("i", i), Zone: "a1", CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2",
		}))
	}
	for i := range 6 {
		objects = append(objects, dhcatalog.NewUpstream(dhcatalog.UpstreamOptions{
			Name: fmt.Sprint("u", i), Service: "s", Address: fmt.Sprintf("10.0.1.%d:1", i), Zone: "a1", Slots: 100, Incarnation: 1,
		}))
	}
	c, err := dhcatalog.New().Apply(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{ID: "x", Author: "test", Puts: objects}))
	if err != nil {
		t.Fatal(err)
	}
	for i := range instances {
		state := New(Options{Instance: fmt.Sprint("i", i), Zone: "a1"})
		state.HandleView(dhevent.NewViewPublished(1, dhevent.ViewPublishedOptions{
			View: dhview.New(dhview.Options{Catalog: c, EverConfirmed: true, ConfirmedAt: simulationEnd}),
		}))
		s.states = append(s.states, state)
	}
	return s
}

// run sends requests at random times, the given number per second on average, until
// the simulation ends.
func (s *limitSimulation) run(perSecond float64) {
	for s.now = simulationStep; s.now < simulationEnd; s.now += simulationStep {
		for i := range s.states {
			for expected := perSecond * float64(simulationStep) / float64(dhclock.Second) / float64(len(s.states)); expected > s.random.Float64(); expected-- {
				s.send(i)
			}
			var out dheffect.List
			s.states[i].Tick(s.now, &out)
		}
		s.endAttempts()
	}
}

func (s *limitSimulation) send(instance int) {
	s.request++
	var out dheffect.List
	s.states[instance].HandleRequest(dhevent.NewRequestReceived(s.now, dhevent.RequestReceivedOptions{
		RequestID: s.request, Path: "/", ObjectHash: 1 + s.random.Uint64N(200), Random: s.random.Uint64(),
	}), &out)
	s.execute(instance, &out)
}

func (s *limitSimulation) execute(instance int, out *dheffect.List) {
	for _, e := range out.Items() {
		forward, ok := e.(*dheffect.ForwardToUpstream)
		if !ok {
			continue
		}
		s.running = append(s.running, runningAttempt{instance, forward.RequestID(), forward.Upstream(), s.now + responseTime})
		if forward.Upstream() != "u0" {
			continue
		}
		s.arrivals = append(s.arrivals, s.now)
		if at := s.learnedAt[instance]; at > 0 && s.now >= at+learningTime && s.now >= limitedFrom+limitGrace && s.now < limitedUntil {
			s.counted = append(s.counted, s.now)
		}
	}
}

// endAttempts responds to the attempts that are due. The limited upstream reports
// its limit in each response.
func (s *limitSimulation) endAttempts() {
	for len(s.running) > 0 && s.running[0].endsAt <= s.now {
		a := s.running[0]
		s.running = s.running[1:]
		ended := dhevent.AttemptEndedOptions{RequestID: a.request, End: dhevent.EndAnswered, Status: 200, Latency: responseTime}
		if a.upstream == "u0" && s.now >= limitedFrom && s.now < limitedUntil {
			ended.ReportedLimit = &s.limit
			if s.learnedAt[a.instance] == 0 {
				s.learnedAt[a.instance] = s.now
			}
		}
		var out dheffect.List
		s.states[a.instance].HandleAttemptEnd(dhevent.NewAttemptEnded(s.now, ended), &out)
		s.execute(a.instance, &out)
	}
}

// mostInWindow returns the highest number of times within limitWindow.
func mostInWindow(times []dhclock.Millis) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Since(times[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// countBetween returns how many times are in a period.
func countBetween(times []dhclock.Millis, from, until dhclock.Millis) int {
	n := 0
	for _, at := range times {
		if at >= from && at < until {
			n++
		}
	}
	return n
}

// TestInstancesTogetherKeepAnUpstreamsLimit guards against instances that each send
// their usual rate to an upstream that has reported a limit. All together may send
// one and a half times the limit and 5 requests in any 4 s. The upstream must also
// get a part of what it accepts, and its usual share after the limit has ended.
func TestInstancesTogetherKeepAnUpstreamsLimit(t *testing.T) {
	for _, c := range []struct {
		instances int
		perSecond float64
	}{{1, 0.5}, {1, 40}, {8, 8.2}, {10, 2.3}, {10, 0}, {10, 30}, {89, 2.5}, {89, 20}, {300, 8}} {
		t.Run(fmt.Sprintf("%d instances, limit %g", c.instances, c.perSecond), func(t *testing.T) {
			usual := max(5, 2*c.perSecond) // requests per second to each upstream
			s := newLimitSimulation(t, c.instances, c.perSecond)
			s.run(6 * usual)
			seconds := float64(limitWindow) / float64(dhclock.Second)
			if got, allowed := mostInWindow(s.counted), int(1.5*c.perSecond*seconds+5); got > allowed {
				t.Errorf("the upstream got %d requests in 4 s, want at most %d", got, allowed)
			}
			limited := float64(limitedUntil-limitedFrom-limitGrace) / float64(dhclock.Second)
			if got := countBetween(s.arrivals, limitedFrom+limitGrace, limitedUntil); float64(got) < c.perSecond*limited/3 {
				t.Errorf("the upstream got %d requests in %g s, want at least a third of its limit", got, limited)
			}
			const after = 10
			if got := countBetween(s.arrivals, simulationEnd-after*dhclock.Second, simulationEnd); c.instances <= 10 && float64(got) < usual*after/2 {
				t.Errorf("the upstream got %d requests in the last %d s, want at least half of its usual %g a second", got, after, usual)
			}
		})
	}
}
