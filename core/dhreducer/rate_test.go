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

// trafficCluster adds traffic state to the entry instances of a network, and
// records when requests are admitted.
type trafficCluster struct {
	*network
	traffic     map[string]*State
	lastRequest uint64
	admitted    []dhclock.Millis
	refused     int
	version     uint64
	// effectHandler handles the effects of traffic state. If it is nil, every attempt
	// is answered at once.
	effectHandler func(m *machine, e dheffect.Effect)
}

// newTrafficCluster returns a cluster with one organisation whose rate limit is in
// force.
func newTrafficCluster(t fatalReporter, voters int, entries ...string) *trafficCluster {
	c := &trafficCluster{network: newNetwork(t, voters, entries...), traffic: map[string]*State{}}
	c.network.postToTraffic = c.postToTraffic
	for _, m := range c.machines {
		c.startTraffic(m)
	}
	c.run(2000)
	puts := []dhcatalog.Object{
		dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: "org"}),
		dhcatalog.NewKey(dhcatalog.KeyOptions{Name: "key", Organisation: "org", Hash: dhcatalog.Hash{1}}),
		dhcatalog.NewLimit(dhcatalog.LimitOptions{Name: "limit", Organisation: "org", Rate: limitRate, Burst: limitBurst}),
		dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "service"}),
		dhcatalog.NewRoute(dhcatalog.RouteOptions{
			Name: "route", PathPrefix: "/", Service: "service", Idempotent: true, Timeout: 1000, QueueWait: 200,
		}),
		dhcatalog.NewRoute(dhcatalog.RouteOptions{
			Name: "once", PathPrefix: "/once/", Service: "service", ClaimRequired: true, Timeout: 3000, QueueWait: 1000, Retention: 600_000,
		}),
	}
	c.applyChange(append(puts, instanceObjects(entries...)...)...)
	return c
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

func (c *trafficCluster) applyChange(puts ...dhcatalog.Object) {
	c.version++
	c.propose(c.machines[0], dhmessage.NewChange(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
		ID: fmt.Sprint("change-", c.version), Base: c.version - 1, Author: "test", Puts: puts,
	})))
	c.run(1500)
}

func (c *trafficCluster) startTraffic(m *machine) {
	if m.disk != nil {
		return
	}
	c.traffic[m.name] = NewTraffic(dhtraffic.Options{Instance: m.name, Zone: m.zone, StartID: c.nextRandom(), Now: c.clock(m)})
	c.handleTraffic(m, dhevent.NewUpstreamAnnounced(c.clock(m), dhevent.UpstreamAnnouncedOptions{
		Announcement: dhsteer.NewAnnouncement(dhsteer.AnnouncementOptions{Name: "u", Service: "service", Address: "10.0.0.9:1", Slots: 10_000}),
	}))
}

func (c *trafficCluster) postToTraffic(m *machine, e dhevent.Event) { c.handleTraffic(m, e) }

// handleTraffic reduces an event on a machine's traffic state and executes the
// effects. Every forwarded request counts as admitted.
func (c *trafficCluster) handleTraffic(m *machine, e dhevent.Event) {
	s := c.traffic[m.name]
	if s == nil || m.frozen {
		return
	}
	var out dheffect.List
	Reduce(s, e, &out)
	for _, x := range out.Items() {
		if c.effectHandler != nil {
			c.effectHandler(m, x)
		}
		switch x := x.(type) {
		case *dheffect.ForwardToUpstream:
			if c.effectHandler != nil {
				continue
			}
			c.admitted = append(c.admitted, c.now)
			c.handleTraffic(m, dhevent.NewAttemptEnded(c.clock(m), dhevent.AttemptEndedOptions{RequestID: x.RequestID(), Status: 200}))
		case *dheffect.Refuse:
			c.refused++
		case *dheffect.PostToControl:
			c.handle(m, x.Event())
		case *dheffect.Send:
			c.packets = append(c.packets, packet{from: m.self(), to: x.To(), body: x.Message(), due: c.now + c.messageDelay})
		}
	}
}

// tickTraffic sends each machine's traffic state the newest view, an announcement
// of an upstream and a tick.
func (c *trafficCluster) tickTraffic() {
	for _, m := range c.machines {
		if m.disk == nil && m.state != nil && m.view != nil {
			c.handleTraffic(m, dhevent.NewViewPublished(c.clock(m), dhevent.ViewPublishedOptions{View: m.view}))
			c.handleTraffic(m, dhevent.NewUpstreamAnnounced(c.clock(m), dhevent.UpstreamAnnouncedOptions{
				Announcement: dhsteer.NewAnnouncement(dhsteer.AnnouncementOptions{Name: "u", Service: "service", Address: "10.0.0.9:1", Slots: 10_000}),
			}))
			c.handleTraffic(m, dhevent.NewTrafficTicked(c.clock(m)))
		}
	}
}

// runTraffic advances the time for control and traffic, and sends the given number
// of requests per second to each of the machines.
func (c *trafficCluster) runTraffic(span dhclock.Millis, perSecond int, at ...*machine) {
	const step dhclock.Millis = 20
	owed := 0
	for end := c.now + span; c.now < end; {
		c.run(step)
		c.tickTraffic()
		for owed += perSecond * int(step); owed >= 1000; owed -= 1000 {
			for _, m := range at {
				c.sendRequest(m)
			}
		}
	}
}

func (c *trafficCluster) sendRequest(m *machine) {
	if m.disk != nil || m.state == nil {
		return
	}
	c.lastRequest++
	c.handleTraffic(m, dhevent.NewRequestReceived(c.clock(m), dhevent.RequestReceivedOptions{
		RequestID: c.lastRequest, Path: "/x", APIKeyHash: dhcatalog.Hash{1},
	}))
}

// overshoot returns by how many requests the worst window exceeds its limit, which
// is burst + rate x window.
func overshoot(admitted []dhclock.Millis, rate, burst int64) int64 {
	worst := int64(-1 << 62)
	lowest := int64(1 << 62)
	for i, at := range admitted {
		// i - rate x time, in thousandths of a request.
		start := int64(i)*1000 - rate*int64(at)
		lowest = min(lowest, start)
		worst = max(worst, start+1000-lowest-burst*1000)
	}
	return worst / 1000
}

// TestRateLimitHoldsUnderRandomFaults floods entry instances that freeze, crash
// repeatedly, restart, are cut off, and lose, duplicate and delay messages, while
// leaders fail and instances are added. In no window may the cluster admit more
// than burst + rate x window.
func TestRateLimitHoldsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTrafficCluster(t, 3, "a1-1", "a1-2", "b1-1")
		c.random = rapid.Uint64().Draw(t, "seed")
		c.lossPercent, c.delayPercent, c.duplicatePercent = c.nextRandom()%20, c.nextRandom()%40, c.nextRandom()%20
		actions := map[string]func(*rapid.T){}
		all := c.actions()
		for _, name := range []string{"cut", "freeze", "crash", "crashBeforeSync", "restart"} {
			actions[name] = all[name]
		}
		pick := func(t *rapid.T) *machine { return rapid.SampledFrom(c.machines).Draw(t, "machine") }
		actions["restartTraffic"] = func(t *rapid.T) { c.restartTraffic(pick(t)) }
		actions["restartLeader"] = func(*rapid.T) {
			if lead := c.leader(); lead != nil {
				c.stop(lead)
				c.start(lead)
			}
		}
		actions["addInstance"] = func(t *rapid.T) {
			c.propose(c.machines[0], dhmessage.NewChange(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
				ID: fmt.Sprint("instance-", c.now), Base: c.machines[0].version, Author: "test",
				Puts: instanceObjects(fmt.Sprintf("b1-%d", rapid.IntRange(2, 4).Draw(t, "number"))),
			})))
		}
		actions["flood"] = func(*rapid.T) {}
		actions[""] = func(t *rapid.T) {
			c.runTraffic(dhclock.Millis(rapid.IntRange(20, 1200).Draw(t, "span")), 150, c.machines...)
		}
		t.Repeat(actions)
		c.heal()
		c.runTraffic(3000, 150, c.machines...)
		checkRate(t, c)
	})
}

func checkRate(t fatalReporter, c *trafficCluster) {
	if over := overshoot(c.admitted, limitRate, limitBurst); over > 0 {
		t.Fatalf("%d of %d admitted requests exceed the limit of rate and burst", over, len(c.admitted))
	}
}

// restartTraffic restarts an entry instance, which loses its tokens.
func (c *trafficCluster) restartTraffic(m *machine) {
	if m.disk == nil && m.state != nil {
		c.start(m)
		c.startTraffic(m)
	}
}

// TestRateLimitHoldsUnderEachFault floods the cluster under one kind of fault at a
// time. The admitted requests must stay within rate and burst.
func TestRateLimitHoldsUnderEachFault(t *testing.T) {
	faults := map[string]func(c *trafficCluster, round int){
		"crash loop of every instance": func(c *trafficCluster, round int) {
			c.restartTraffic(c.machines[3+round%3])
		},
		"crash loop of one instance": func(c *trafficCluster, _ int) { c.restartTraffic(c.machines[3]) },
		"restarting leaders": func(c *trafficCluster, round int) {
			if lead := c.leader(); lead != nil && round%8 == 0 {
				c.stop(lead)
				c.start(lead)
			}
		},
		"leaders cut off": func(c *trafficCluster, round int) {
			if lead := c.leader(); lead != nil && round%8 == 0 {
				c.partitioned = map[string]bool{lead.name: true}
			}
		},
		"a leader cut off together with an instance": func(c *trafficCluster, round int) {
			if lead := c.leader(); lead != nil && round%12 == 0 {
				c.partitioned = map[string]bool{lead.name: true, "a1-1": true}
			}
		},
		"instances cut off": func(c *trafficCluster, round int) {
			c.partitioned = map[string]bool{c.machines[3+round/6%3].name: true}
		},
		"frozen instances": func(c *trafficCluster, round int) {
			m := c.machines[3+round/5%3]
			m.frozen = round%5 < 4
		},
		"lost, delayed and duplicated messages": func(c *trafficCluster, _ int) { c.lossPercent, c.delayPercent, c.duplicatePercent = 10, 60, 20 },
		"a growing cluster": func(c *trafficCluster, round int) {
			if round%20 == 0 && c.leader() != nil {
				c.version++
				c.propose(c.machines[0], dhmessage.NewChange(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
					ID: fmt.Sprint("grow-", round), Base: c.version - 1, Author: "test", Puts: instanceObjects(fmt.Sprint("a1-", 3+round/20)),
				})))
			}
		},
		"a changing limit": func(c *trafficCluster, round int) {
			if round%20 == 0 {
				c.version++
				c.propose(c.machines[0], dhmessage.NewChange(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
					ID: fmt.Sprint("limit-", round), Base: c.version - 1, Author: "test",
					Puts: []dhcatalog.Object{dhcatalog.NewLimit(dhcatalog.LimitOptions{
						Name: "limit", Organisation: "org", Rate: limitRate - int64(round%40), Burst: limitBurst - int64(round%40),
					})},
				})))
			}
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			c := newTrafficCluster(t, 3, "a1-1", "a1-2", "b1-1")
			c.runTraffic(5000, 100, c.machines...)
			for round := range 100 {
				fault(c, round)
				c.runTraffic(300, 150, c.machines...)
			}
			checkRate(t, c)
			if len(c.admitted) == 0 {
				t.Error("no request was admitted")
			}
		})
	}
}

// TestUnusedTokensDoNotExceedTheRateLimit lets an instance hold tokens while it is
// idle or frozen, until every bucket is full, and then floods all instances. The
// held tokens must not add to the full buckets.
func TestUnusedTokensDoNotExceedTheRateLimit(t *testing.T) {
	for _, frozen := range []bool{false, true} {
		c := newTrafficCluster(t, 3, "a1-1", "a1-2", "b1-1")
		c.runTraffic(5000, 100, c.machines...)
		for round := range 30 {
			holder := c.machines[3+round%3]
			c.runTraffic(1000, 40, holder)
			holder.frozen = frozen
			c.runTraffic(dhclock.Millis(700+round*100), 0)
			holder.frozen = false
			c.runTraffic(200, 1000, c.machines...)
		}
		checkRate(t, c)
	}
}

// TestRateLimitHoldsAfterALeaderChange lets an instance hold tokens while the
// leader that granted them is cut off, and floods the cluster as soon as the next
// leader grants. The tokens of both leaders together must not exceed the limit.
func TestRateLimitHoldsAfterALeaderChange(t *testing.T) {
	for idle := dhclock.Millis(100); idle < 3000; idle += 25 {
		c := newTrafficCluster(t, 3, "a1-1", "a1-2", "b1-1")
		c.random += uint64(idle)
		c.runTraffic(5000, 100, c.machines...)
		c.runTraffic(3000, 0)
		c.runTraffic(300, 130, c.machines...)
		lead := c.leader()
		c.partitioned = map[string]bool{lead.name: true, "a1-1": true}
		c.runTraffic(idle, 0)
		c.runTraffic(4000, 500, c.machines...)
		checkRate(t, c)
	}
}

// TestGrantsFollowDemandBetweenInstances moves all of an organisation's traffic
// between instances, at nine tenths of its rate. At most one in 1000 requests may
// be refused.
func TestGrantsFollowDemandBetweenInstances(t *testing.T) {
	c := newTrafficCluster(t, 3, "a1-1", "a1-2", "b1-1")
	c.runTraffic(6000, 50, c.find("a1-1")) // grants and floors are in force
	c.refused, c.lastRequest = 0, 0
	for i := range 30 {
		c.runTraffic(1000, limitRate*9/10, c.machines[3+i%3])
	}
	t.Logf("%d of %d refused", c.refused, c.lastRequest)
	if c.refused*1000 > int(c.lastRequest) {
		t.Errorf("%d of %d requests within the rate were refused, want at most 1 in 1000", c.refused, c.lastRequest)
	}
	checkRate(t, c)
}

// BenchmarkLeaderFailover stops the leader under a demand of half the rate, spread
// over three instances, and counts refused requests.
func BenchmarkLeaderFailover(b *testing.B) {
	for b.Loop() {
		refused, total := 0, uint64(0)
		for seed := range uint64(20) {
			c := newTrafficCluster(b, 3, "a1-1", "a1-2", "b1-1")
			c.random += seed
			c.runTraffic(6000, limitRate/6, c.machines...)
			c.refused, c.lastRequest = 0, 0
			c.stop(c.leader())
			c.runTraffic(10_000, limitRate/6, c.machines...)
			refused, total = refused+c.refused, total+c.lastRequest
			checkRate(b, c)
		}
		fmt.Printf("after the loss of the leader: %d of %d requests refused in 20 times 10 s\n", refused, total)
	}
}

// BenchmarkGrantRequest measures how a leader handles grant requests of a number
// of instances, each for 8 of 64 organisations.
func BenchmarkGrantRequest(b *testing.B) {
	for _, holders := range []int{109, 435, 870} {
		c := newTrafficCluster(b, 1, "a1-1")
		var puts []dhcatalog.Object
		for i := range 64 {
			name := fmt.Sprint("org-", i)
			puts = append(puts, dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: name}),
				dhcatalog.NewLimit(dhcatalog.LimitOptions{Name: name, Organisation: name, Rate: 100_000, Burst: 100_000}))
		}
		c.applyChange(puts...)
		c.run(3000)
		consumed := make([]dhmessage.Tokens, holders)
		b.Run(fmt.Sprint(holders), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				h := i % holders
				consumed[h] += dhmessage.Token
				var demands []dhmessage.TokenDemand
				for k := range 8 {
					demands = append(demands, dhmessage.NewTokenDemand(fmt.Sprint("org-", (h+k)%64), dhmessage.Token, consumed[h], 0))
				}
				m := dhmessage.NewGrantRequest(dhmessage.GrantRequestOptions{StartID: 1, OwnerTerm: 1, Demands: demands})
				var out dheffect.List
				Reduce(c.machines[0].state, dhevent.NewMessageReceived(c.clock(c.machines[0]), dhevent.MessageReceivedOptions{
					From: dhmessage.NewPeer(fmt.Sprint("holder-", h), ""), Message: m,
				}), &out)
			}
		})
	}
}
