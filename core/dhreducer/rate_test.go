package dhreducer

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhsteer"
	"dogwoodhitch/core/dhtraffic"
)

const (
	limitRate  = 100
	limitBurst = 60
)

// trafficCluster adds traffic state to the entry instances of a network and records
// when requests are admitted.
type trafficCluster struct {
	*network
	traffic     map[string]*State
	lastRequest uint64
	admitted    []dhclock.Millis
	refused     int
	version     uint64
	// effectHandler gets what becomes of requests, in place of the default, which
	// answers every attempt at once.
	effectHandler func(m *machine, e dheffect.Effect)
}

// newTrafficCluster returns a fleet whose one organisation has a limit in force.
func newTrafficCluster(t fatalReporter, voters int, entries ...string) *trafficCluster {
	f := &trafficCluster{network: newNetwork(t, voters, entries...), traffic: map[string]*State{}}
	f.network.postToTraffic = f.postToTraffic
	for _, m := range f.machines {
		f.startTraffic(m)
	}
	f.run(2000)
	puts := []dhcatalog.Object{
		dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: "org"}),
		dhcatalog.NewKey(dhcatalog.KeyOptions{Name: "key", Organisation: "org", Hash: dhcatalog.KeyHash{1}}),
		dhcatalog.NewLimit(dhcatalog.LimitOptions{Name: "limit", Organisation: "org", Rate: limitRate, Burst: limitBurst}),
		dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "service"}),
		dhcatalog.NewRoute(dhcatalog.RouteOptions{
			Name: "route", PathPrefix: "/", Service: "service", Idempotent: true, Timeout: 1000, QueueWait: 200,
		}),
		dhcatalog.NewRoute(dhcatalog.RouteOptions{
			Name: "once", PathPrefix: "/once/", Service: "service", ClaimRequired: true, Timeout: 3000, QueueWait: 1000, Retention: 600_000,
		}),
	}
	f.applyChange(append(puts, instanceObjects(entries...)...)...)
	return f
}

func instanceObjects(names ...string) []dhcatalog.Object {
	var list []dhcatalog.Object
	for _, name := range names {
		list = append(list,
			dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: name[:2], Region: name[:1]}),
			dhcatalog.NewInstance(dhcatalog.InstanceOptions{
				Name: name, Zone: name[:2], CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2",
			}))
	}
	return withoutDuplicates(list)
}

func withoutDuplicates(list []dhcatalog.Object) []dhcatalog.Object {
	seen := map[dhcatalog.Ref]bool{}
	var out []dhcatalog.Object
	for _, o := range list {
		if !seen[o.Ref()] {
			out = append(out, o)
		}
		seen[o.Ref()] = true
	}
	return out
}

func (f *trafficCluster) applyChange(puts ...dhcatalog.Object) {
	f.version++
	f.propose(f.machines[0], dhmessage.NewChange(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
		ID: fmt.Sprint("change-", f.version), Base: f.version - 1, Author: "test", Puts: puts,
	})))
	f.run(1500)
}

func (f *trafficCluster) startTraffic(m *machine) {
	if m.disk != nil {
		return
	}
	f.traffic[m.name] = NewTraffic(dhtraffic.Options{Instance: m.name, Zone: m.zone, StartID: f.next(), Now: f.clock(m)})
	f.handleTraffic(m, dhevent.NewUpstreamAnnounced(f.clock(m), dhevent.UpstreamAnnouncedOptions{
		Announcement: dhsteer.NewAnnouncement(dhsteer.AnnouncementOptions{Name: "u", Service: "service", Address: "10.0.0.9:1", Slots: 10_000}),
	}))
}

func (f *trafficCluster) postToTraffic(m *machine, e dhevent.Event) { f.handleTraffic(m, e) }

// handleTraffic drives a machine's traffic state. Every Forward is an admission;
// its attempt is answered at once.
func (f *trafficCluster) handleTraffic(m *machine, e dhevent.Event) {
	s := f.traffic[m.name]
	if s == nil || m.frozen {
		return
	}
	var out dheffect.List
	Reduce(s, e, &out)
	for _, x := range out.Items() {
		if f.effectHandler != nil {
			f.effectHandler(m, x)
		}
		switch x := x.(type) {
		case *dheffect.ForwardToUpstream:
			if f.effectHandler != nil {
				continue
			}
			f.admitted = append(f.admitted, f.now)
			f.handleTraffic(m, dhevent.NewAttemptEnded(f.clock(m), dhevent.AttemptEndedOptions{RequestID: x.RequestID(), Status: 200}))
		case *dheffect.Refuse:
			f.refused++
		case *dheffect.PostToControl:
			f.handle(m, x.Event())
		case *dheffect.Send:
			f.packets = append(f.packets, packet{from: m.self(), to: x.To(), body: x.Message(), due: f.now + f.messageDelay})
		}
	}
}

// views hands the newest view of each machine to its traffic state.
func (f *trafficCluster) tickTraffic() {
	for _, m := range f.machines {
		if m.disk == nil && m.state != nil && m.view != nil {
			f.handleTraffic(m, dhevent.NewViewPublished(f.clock(m), dhevent.ViewPublishedOptions{View: m.view}))
			f.handleTraffic(m, dhevent.NewUpstreamAnnounced(f.clock(m), dhevent.UpstreamAnnouncedOptions{
				Announcement: dhsteer.NewAnnouncement(dhsteer.AnnouncementOptions{Name: "u", Service: "service", Address: "10.0.0.9:1", Slots: 10_000}),
			}))
			f.handleTraffic(m, dhevent.NewTrafficTicked(f.clock(m)))
		}
	}
}

// runTraffic lets time pass for control and traffic, with so many requests a
// second at each of some machines.
func (f *trafficCluster) runTraffic(span dhclock.Millis, perSecond int, at ...*machine) {
	const step dhclock.Millis = 20
	owed := 0
	for end := f.now + span; f.now < end; {
		f.run(step)
		f.tickTraffic()
		for owed += perSecond * int(step); owed >= 1000; owed -= 1000 {
			for _, m := range at {
				f.sendRequest(m)
			}
		}
	}
}

func (f *trafficCluster) sendRequest(m *machine) {
	if m.disk != nil || m.state == nil {
		return
	}
	f.lastRequest++
	f.handleTraffic(m, dhevent.NewRequestReceived(f.clock(m), dhevent.RequestReceivedOptions{
		RequestID: f.lastRequest, Path: "/x", APIKeyHash: dhcatalog.KeyHash{1},
	}))
}

// overshoot returns by how many requests the admissions of the worst window
// exceed burst + rate x window.
func overshoot(admitted []dhclock.Millis, rate, burst int64) int64 {
	worst := int64(-1 << 62)
	least := int64(1 << 62)
	for i, at := range admitted {
		// In thousandths of a request: i - rate x time.
		start := int64(i)*1000 - rate*int64(at)
		least = min(least, start)
		worst = max(worst, start+1000-least-burst*1000)
	}
	return worst / 1000
}

// TestRateLimitHoldsUnderRandomFaults lets a flood arrive at entry instances that freeze, crash-loop, are
// cut off, restart, and lose, repeat and delay messages, while leaders fail and
// instances are added. No window may see more than its burst and rate.
func TestRateLimitHoldsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTrafficCluster(t, 3, "a1-1", "a1-2", "b1-1")
		f.random = rapid.Uint64().Draw(t, "seed")
		f.lossPercent, f.delayPercent, f.duplicatePercent = f.next()%20, f.next()%40, f.next()%20
		actions := map[string]func(*rapid.T){}
		all := f.actions()
		for _, name := range []string{"cut", "freeze", "crash", "crashBeforeSync", "restart"} {
			actions[name] = all[name]
		}
		pick := func(t *rapid.T) *machine { return rapid.SampledFrom(f.machines).Draw(t, "machine") }
		actions["restartTraffic"] = func(t *rapid.T) { f.restartTraffic(pick(t)) }
		actions["restartLeader"] = func(*rapid.T) {
			if lead := f.leader(); lead != nil {
				f.stop(lead)
				f.start(lead)
			}
		}
		actions["addInstance"] = func(t *rapid.T) {
			f.propose(f.machines[0], dhmessage.NewChange(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
				ID: fmt.Sprint("instance-", f.now), Base: f.machines[0].version, Author: "test",
				Puts: instanceObjects(fmt.Sprintf("b1-%d", rapid.IntRange(2, 4).Draw(t, "number"))),
			})))
		}
		actions["flood"] = func(*rapid.T) {}
		actions[""] = func(t *rapid.T) {
			f.runTraffic(dhclock.Millis(rapid.IntRange(20, 1200).Draw(t, "span")), 150, f.machines...)
		}
		t.Repeat(actions)
		f.heal()
		f.runTraffic(3000, 150, f.machines...)
		checkRate(t, f)
	})
}

func checkRate(t fatalReporter, f *trafficCluster) {
	if over := overshoot(f.admitted, limitRate, limitBurst); over > 0 {
		t.Fatalf("%d of %d requests too many", over, len(f.admitted))
	}
}

// restartTraffic restarts an entry instance.
func (f *trafficCluster) restartTraffic(m *machine) {
	if m.disk == nil && m.state != nil {
		f.start(m)
		f.startTraffic(m)
	}
}

// TestRateLimitHoldsUnderEachFault holds one fault at a time against a flood.
func TestRateLimitHoldsUnderEachFault(t *testing.T) {
	faults := map[string]func(f *trafficCluster, round int){
		"crash loops": func(f *trafficCluster, round int) {
			f.restartTraffic(f.machines[3+round%3])
		},
		"crash loop of one instance": func(f *trafficCluster, _ int) { f.restartTraffic(f.machines[3]) },
		"leaders that restart": func(f *trafficCluster, round int) {
			if lead := f.leader(); lead != nil && round%8 == 0 {
				f.stop(lead)
				f.start(lead)
			}
		},
		"leaders that are cut off": func(f *trafficCluster, round int) {
			if lead := f.leader(); lead != nil && round%8 == 0 {
				f.partitioned = map[string]bool{lead.name: true}
			}
		},
		"a leader that is cut off with an instance": func(f *trafficCluster, round int) {
			if lead := f.leader(); lead != nil && round%12 == 0 {
				f.partitioned = map[string]bool{lead.name: true, "a1-1": true}
			}
		},
		"instances that are cut off": func(f *trafficCluster, round int) {
			f.partitioned = map[string]bool{f.machines[3+round/6%3].name: true}
		},
		"freezes": func(f *trafficCluster, round int) {
			m := f.machines[3+round/5%3]
			m.frozen = round%5 < 4
		},
		"late and lost messages": func(f *trafficCluster, _ int) { f.lossPercent, f.delayPercent, f.duplicatePercent = 10, 60, 20 },
		"a growing fleet": func(f *trafficCluster, round int) {
			if round%20 == 0 && f.leader() != nil {
				f.version++
				f.propose(f.machines[0], dhmessage.NewChange(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
					ID: fmt.Sprint("grow-", round), Base: f.version - 1, Author: "test", Puts: instanceObjects(fmt.Sprint("a1-", 3+round/20)),
				})))
			}
		},
		"a shrinking and growing limit": func(f *trafficCluster, round int) {
			if round%20 == 0 {
				f.version++
				f.propose(f.machines[0], dhmessage.NewChange(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
					ID: fmt.Sprint("limit-", round), Base: f.version - 1, Author: "test",
					Puts: []dhcatalog.Object{dhcatalog.NewLimit(dhcatalog.LimitOptions{
						Name: "limit", Organisation: "org", Rate: limitRate - int64(round%40), Burst: limitBurst - int64(round%40),
					})},
				})))
			}
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			f := newTrafficCluster(t, 3, "a1-1", "a1-2", "b1-1")
			f.runTraffic(5000, 100, f.machines...)
			for round := range 100 {
				fault(f, round)
				f.runTraffic(300, 150, f.machines...)
			}
			checkRate(t, f)
			if len(f.admitted) == 0 {
				t.Error("nothing was admitted")
			}
		})
	}
}

// TestUnusedTokensDoNotExceedTheRateLimit lets an instance hold tokens while it is quiet or frozen until
// every bucket is full, and then gives the whole fleet a flood.
func TestUnusedTokensDoNotExceedTheRateLimit(t *testing.T) {
	for _, frozen := range []bool{false, true} {
		f := newTrafficCluster(t, 3, "a1-1", "a1-2", "b1-1")
		f.runTraffic(5000, 100, f.machines...)
		for round := range 30 {
			holder := f.machines[3+round%3]
			f.runTraffic(1000, 40, holder)
			holder.frozen = frozen
			f.runTraffic(dhclock.Millis(700+round*100), 0)
			holder.frozen = false
			f.runTraffic(200, 1000, f.machines...)
		}
		checkRate(t, f)
	}
}

// TestRateLimitHoldsAfterALeaderChange lets an instance hold tokens while the leader that granted
// them is lost, and floods the fleet as soon as the next one grants.
func TestRateLimitHoldsAfterALeaderChange(t *testing.T) {
	for quiet := dhclock.Millis(100); quiet < 3000; quiet += 25 {
		f := newTrafficCluster(t, 3, "a1-1", "a1-2", "b1-1")
		f.random += uint64(quiet)
		f.runTraffic(5000, 100, f.machines...)
		f.runTraffic(3000, 0)
		f.runTraffic(300, 130, f.machines...)
		lead := f.leader()
		f.partitioned = map[string]bool{lead.name: true, "a1-1": true}
		f.runTraffic(quiet, 0)
		f.runTraffic(4000, 500, f.machines...)
		checkRate(t, f)
	}
}

// TestGrantsFollowDemandBetweenInstances moves an organisation's whole traffic between
// instances, at nine tenths of its rate. Hardly any of it may be refused.
func TestGrantsFollowDemandBetweenInstances(t *testing.T) {
	f := newTrafficCluster(t, 3, "a1-1", "a1-2", "b1-1")
	f.runTraffic(6000, 50, f.find("a1-1")) // grants and floors are in force
	f.refused, f.lastRequest = 0, 0
	for i := range 30 {
		f.runTraffic(1000, limitRate*9/10, f.machines[3+i%3])
	}
	t.Logf("%d of %d refused", f.refused, f.lastRequest)
	if f.refused*1000 > int(f.lastRequest) {
		t.Errorf("%d of %d requests within the rate were refused, aim under 1 in 1000", f.refused, f.lastRequest)
	}
	checkRate(t, f)
}

// BenchmarkLeaderFailover kills the leader under a demand of half the rate, spread
// over three instances, and counts what is refused.
func BenchmarkLeaderFailover(b *testing.B) {
	for b.Loop() {
		refused, total := 0, uint64(0)
		for seed := range uint64(20) {
			f := newTrafficCluster(b, 3, "a1-1", "a1-2", "b1-1")
			f.random += seed
			f.runTraffic(6000, limitRate/6, f.machines...)
			f.refused, f.lastRequest = 0, 0
			f.stop(f.leader())
			f.runTraffic(10_000, limitRate/6, f.machines...)
			refused, total = refused+f.refused, total+f.lastRequest
			checkRate(b, f)
		}
		fmt.Printf("the leader is lost: %d of %d refused in 20 times 10 s\n", refused, total)
	}
}

// BenchmarkGrantRequest lets a leader answer asks of so many holders, each for 8
// of 64 organisations.
func BenchmarkGrantRequest(b *testing.B) {
	for _, holders := range []int{109, 435, 870} {
		f := newTrafficCluster(b, 1, "a1-1")
		var puts []dhcatalog.Object
		for i := range 64 {
			name := fmt.Sprint("org-", i)
			puts = append(puts, dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: name}),
				dhcatalog.NewLimit(dhcatalog.LimitOptions{Name: name, Organisation: name, Rate: 100_000, Burst: 100_000}))
		}
		f.applyChange(puts...)
		f.run(3000)
		used := make([]dhmessage.Tokens, holders)
		b.Run(fmt.Sprint(holders), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				h := i % holders
				used[h] += dhmessage.Token
				var asks []dhmessage.TokenDemand
				for k := range 8 {
					asks = append(asks, dhmessage.NewTokenDemand(fmt.Sprint("org-", (h+k)%64), dhmessage.Token, used[h], 0))
				}
				m := dhmessage.NewGrantRequest(dhmessage.GrantRequestOptions{StartID: 1, OwnerTerm: 1, Demands: asks})
				var out dheffect.List
				Reduce(f.machines[0].state, dhevent.NewMessageReceived(f.clock(f.machines[0]), dhevent.MessageReceivedOptions{
					From: dhmessage.NewPeer(fmt.Sprint("holder-", h), ""), Message: m,
				}), &out)
			}
		})
	}
}
