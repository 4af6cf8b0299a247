package dhreducer

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhsteer"
)

// workload is one of the users' systems at its present size: three regions
// with two zones each, an entry instance a zone.
type workload struct {
	name          string
	regionDelay   dhclock.Millis // one way between regions
	upstreamCount int            // of the busiest service
	slots         int            // of each
	serviceTime   dhclock.Millis
	organisations int
	rate          int64 // of each organisation, a second
	demand        int   // requests a second of each organisation
	spill         int
	queueWait     dhclock.Millis
}

func cairnpassWorkload() workload {
	return workload{
		name: "cairnpass gate", regionDelay: 20, upstreamCount: 18, slots: 9, serviceTime: 40, organisations: 8,
		rate: 220, demand: 160, spill: 50, queueWait: 300,
	}
}

func regieWorkload() workload {
	return workload{
		name: "regie corrections", regionDelay: 55, upstreamCount: 14, slots: 6, serviceTime: 30, organisations: 8,
		rate: 160, demand: 120, spill: 50, queueWait: 300,
	}
}

// fakeUpstream is a fake upstream: a timer with slots.
type fakeUpstream struct {
	name            string
	entry           *machine
	running         int
	down            bool
	serviceTime     dhclock.Millis
	reportedRunning int // what it claims to run; -1 for the truth
}

// timedAction is something due at a time.
type timedAction struct {
	at  dhclock.Millis
	run func()
}

// loadRequest is a request of the load.
type loadRequest struct {
	organisation  int
	arrived       dhclock.Millis
	origin        *machine
	originRequest uint64 // the request at the origin, for one passed on
}

// loadSimulation drives a fleet's real decisions against fake upstreams.
type loadSimulation struct {
	*trafficCluster
	workload    workload
	upstreams   map[string]*fakeUpstream
	requests    map[uint64]*loadRequest
	pending     []timedAction
	latencies   []dhclock.Millis
	served      []int
	entitled    []int
	refused     map[dheffect.RefusalKind]int
	total       int
	minHeadroom int // least free slots of any region, in percent
	buckets     []int64
}

func newLoadSimulation(t testing.TB, w workload) *loadSimulation {
	t.Helper()
	entries := []string{"a1-1", "a2-1", "b1-1", "b2-1", "c1-1", "c2-1"}
	l := &loadSimulation{
		trafficCluster: newTrafficCluster(t, 3, entries...), workload: w, upstreams: map[string]*fakeUpstream{}, requests: map[uint64]*loadRequest{},
		served: make([]int, w.organisations), entitled: make([]int, w.organisations),
		refused: map[dheffect.RefusalKind]int{}, minHeadroom: 100, buckets: make([]int64, w.organisations),
	}
	puts := []dhcatalog.Object{
		dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "busy", SpillPercent: w.spill, ColdStart: 2000}),
		dhcatalog.NewRoute(dhcatalog.RouteOptions{
			Name: "busy", PathPrefix: "/busy/", Service: "busy", Idempotent: true, Timeout: 2000, QueueWait: w.queueWait,
		}),
	}
	for i := range w.organisations {
		name := fmt.Sprint("org-", i)
		puts = append(puts, dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: name}),
			dhcatalog.NewKey(dhcatalog.KeyOptions{Name: name, Organisation: name, Hash: dhcatalog.KeyHash{2, byte(i)}}),
			dhcatalog.NewLimit(dhcatalog.LimitOptions{Name: name, Organisation: name, Rate: w.rate, Burst: w.rate / 2}))
	}
	l.applyChange(puts...)
	for i := range w.upstreamCount {
		s := &fakeUpstream{name: fmt.Sprintf("s%02d", i), entry: l.find(entries[i%len(entries)]), serviceTime: w.serviceTime, reportedRunning: -1}
		l.upstreams[s.name] = s
	}
	l.effectHandler = l.handleEffect
	l.step(6000, nil)
	return l
}

func (l *loadSimulation) schedule(after dhclock.Millis, do func()) {
	l.pending = append(l.pending, timedAction{l.now + after, do})
}

// step lets time pass in steps of 2 ms; arrive is called at each.
func (l *loadSimulation) step(span dhclock.Millis, arrive func()) {
	const tick dhclock.Millis = 2
	for end := l.now + span; l.now < end; {
		l.now += tick
		for i := 0; i < len(l.pending); i++ {
			if e := l.pending[i]; e.at <= l.now {
				l.pending = slices.Delete(l.pending, i, i+1)
				i--
				e.run()
			}
		}
		if l.now%20 == 0 {
			l.background()
		}
		if arrive != nil {
			arrive()
		}
	}
}

// background is what happens every 20 ms: control, announcements, ticks.
func (l *loadSimulation) background() {
	l.now -= 20
	l.run(20)
	for _, name := range slices.Sorted(maps.Keys(l.upstreams)) {
		s := l.upstreams[name]
		if s.down || s.entry.state == nil || l.now%1000 != 0 {
			continue
		}
		running := s.running
		if s.reportedRunning >= 0 {
			running = s.reportedRunning
		}
		l.handleTraffic(s.entry, dhevent.NewUpstreamAnnounced(l.clock(s.entry), dhevent.UpstreamAnnouncedOptions{
			Announcement: dhsteer.NewAnnouncement(dhsteer.AnnouncementOptions{
				Name: s.name, Service: "busy", Address: "10.0.0.1:80", Slots: l.workload.slots, Running: running,
			}),
		}))
	}
	l.tickTraffic()
	l.recordHeadroom()
	for i := range l.buckets { // each organisation's true bucket, in thousandths
		l.buckets[i] = min(l.workload.rate*500, l.buckets[i]+l.workload.rate*20)
	}
}

// recordHeadroom notes the least share of free slots in any region that has some.
func (l *loadSimulation) recordHeadroom() {
	all, free := map[byte]int{}, map[byte]int{}
	for _, s := range l.upstreams {
		if !s.down && s.entry.state != nil {
			all[s.entry.name[0]] += l.workload.slots
			free[s.entry.name[0]] += l.workload.slots - s.running
		}
	}
	for r, n := range all {
		l.minHeadroom = min(l.minHeadroom, 100*free[r]/n)
	}
}

// send lets an organisation's request arrive.
func (l *loadSimulation) send(m *machine, organisation int) {
	l.total++
	within := l.buckets[organisation] >= 1000
	if within {
		l.buckets[organisation] -= 1000
		l.entitled[organisation]++
	}
	if m.state == nil {
		return
	}
	l.lastRequest++
	l.requests[l.lastRequest] = &loadRequest{organisation: organisation, arrived: l.now, origin: m}
	l.handleTraffic(m, dhevent.NewRequestReceived(l.clock(m), dhevent.RequestReceivedOptions{
		RequestID: l.lastRequest, Path: "/busy/x", APIKeyHash: dhcatalog.KeyHash{2, byte(organisation)},
	}))
}

func (l *loadSimulation) handleEffect(m *machine, e dheffect.Effect) {
	switch e := e.(type) {
	case *dheffect.ForwardToUpstream:
		l.forwardToUpstream(m, e)
	case *dheffect.ForwardToPeer:
		l.forwardToPeer(m, e)
	case *dheffect.Refuse:
		l.refuse(m, e)
	}
}

func (l *loadSimulation) forwardToUpstream(m *machine, e *dheffect.ForwardToUpstream) {
	s, started := l.upstreams[e.Upstream()], l.now
	s.running++
	if s.running > l.workload.slots {
		l.t.Fatalf("%s runs %d requests on %d slots", s.name, s.running, l.workload.slots)
	}
	l.schedule(s.serviceTime+dhclock.Millis(l.next()%uint64(s.serviceTime)), func() {
		s.running--
		end := dhevent.EndAnswered
		if s.down {
			end = dhevent.EndBroken
		}
		l.endAttempt(m, e.RequestID(), end, l.now-started)
	})
}

// endAttempt ends an attempt, and the one at the origin that waits for it.
func (l *loadSimulation) endAttempt(m *machine, request uint64, end dhevent.AttemptEnd, took dhclock.Millis) {
	j := l.requests[request]
	if m.state == nil {
		return
	}
	l.handleTraffic(m, dhevent.NewAttemptEnded(l.clock(m), dhevent.AttemptEndedOptions{
		RequestID: request, End: end, Latency: took, Status: 200,
	}))
	if end != dhevent.EndAnswered {
		return
	}
	if j.originRequest == 0 {
		if j.organisation > 0 {
			l.latencies = append(l.latencies, l.now-j.arrived)
		}
		l.served[j.organisation]++
		return
	}
	l.schedule(l.distance(j.origin, m), func() { l.endAttempt(j.origin, j.originRequest, end, took) })
}

func (l *loadSimulation) distance(a, b *machine) dhclock.Millis {
	if a.name[0] == b.name[0] {
		return 2
	}
	return l.workload.regionDelay
}

func (l *loadSimulation) forwardToPeer(m *machine, e *dheffect.ForwardToPeer) {
	to := l.find(e.Instance())
	origin := l.requests[e.RequestID()]
	l.schedule(l.distance(m, to), func() {
		if to.state == nil {
			l.endAttempt(m, e.RequestID(), dhevent.EndNotSent, 0)
			return
		}
		l.lastRequest++
		l.requests[l.lastRequest] = &loadRequest{organisation: origin.organisation, arrived: origin.arrived, origin: m, originRequest: e.RequestID()}
		l.handleTraffic(to, dhevent.NewRequestReceived(l.clock(to), dhevent.RequestReceivedOptions{
			RequestID: l.lastRequest, Path: "/busy/x", FromPeer: true, Organisation: e.Organisation(), Timeout: e.Timeout(),
		}))
	})
}

func (l *loadSimulation) refuse(m *machine, e *dheffect.Refuse) {
	j := l.requests[e.RequestID()]
	if j == nil {
		return
	}
	if j.originRequest != 0 {
		l.schedule(l.distance(j.origin, m), func() { l.endAttempt(j.origin, j.originRequest, dhevent.EndRefused, 0) })
		return
	}
	l.refused[e.Refusal().Kind()]++
}

// report writes one row of the measurement. What an organisation may expect is
// the requests for which a bucket of its rate and burst had a token; latencies
// are those of the organisations that keep to their rate.
func (l *loadSimulation) report(scenario string) {
	slices.Sort(l.latencies)
	quantile := func(q float64) dhclock.Millis {
		if len(l.latencies) == 0 {
			return 0
		}
		return l.latencies[int(q*float64(len(l.latencies)-1))]
	}
	worst, within := 1.0, 0
	for i, due := range l.entitled {
		if due > 0 {
			worst = min(worst, float64(l.served[i])/float64(due))
			within += max(0, due-l.served[i])
		}
	}
	fmt.Printf("%-18s %-45s p50 %4d ms  p99 %4d ms  worst served %5.1f %%  refused within rate %6.3f %%  least headroom %3d %%  refused %v\n",
		l.workload.name, scenario, quantile(0.5), quantile(0.99), 100*worst, 100*float64(within)/float64(max(1, l.total)), l.minHeadroom, l.refused)
}

// arrivals spreads each organisation's demand evenly over some entries; one
// organisation may send a multiple.
func (l *loadSimulation) arrivals(at []*machine, factor int) func() {
	owed, turn := make([]int, l.workload.organisations), 0
	return func() {
		for i := range owed {
			demand := l.workload.demand
			if i == 0 {
				demand *= factor
			}
			for owed[i] += demand * 2; owed[i] >= 1000; owed[i] -= 1000 {
				turn++
				l.send(at[turn%len(at)], i)
			}
		}
	}
}

// BenchmarkLoad runs both workloads through calm, a flood, losses and lies, by
// the project's clock, and prints a row each. The variants without waiting and
// without passing on run beside the policy.
func BenchmarkLoad(b *testing.B) {
	scenarios := []struct {
		name string
		run  func(l *loadSimulation, all []*machine)
	}{
		{"calm", func(l *loadSimulation, all []*machine) { l.step(10_000, l.arrivals(all, 1)) }},
		{"flood of 5x by one organisation", func(l *loadSimulation, all []*machine) { l.step(10_000, l.arrivals(all, 5)) }},
		{"a zone's upstreams are lost", func(l *loadSimulation, all []*machine) {
			l.step(2000, l.arrivals(all, 1))
			for _, s := range l.upstreams {
				s.down = s.down || s.entry.zone == "a1"
			}
			l.step(8000, l.arrivals(all, 1))
		}},
		{"a region is lost", func(l *loadSimulation, all []*machine) {
			l.step(2000, l.arrivals(all, 1))
			for _, name := range []string{"a1-1", "a2-1"} {
				l.stop(l.find(name))
			}
			l.step(8000, l.arrivals(all[2:], 1))
		}},
		{"a zone drains to cold caches", func(l *loadSimulation, all []*machine) {
			l.step(2000, l.arrivals(all, 1))
			for _, s := range l.upstreams {
				if s.entry.zone == "a2" {
					s.serviceTime *= 2
				}
			}
			l.step(2000, l.arrivals(all[1:], 1))
			for _, s := range l.upstreams {
				s.serviceTime = l.workload.serviceTime
			}
			l.step(6000, l.arrivals(all[1:], 1))
		}},
		{"every report lies", func(l *loadSimulation, all []*machine) {
			i := 0
			for _, s := range l.upstreams {
				s.reportedRunning = i % 2 * 1000
				i++
			}
			l.step(10_000, l.arrivals(all, 1))
		}},
	}
	variants := []struct {
		name string
		edit func(w *workload)
	}{
		{"", func(*workload) {}},
		{", no waiting", func(w *workload) { w.queueWait = 0 }},
		{", no passing on", func(w *workload) { w.spill = 0 }},
	}
	for b.Loop() {
		for _, w := range []workload{cairnpassWorkload(), regieWorkload()} {
			for _, s := range scenarios {
				for _, v := range variants {
					w := w
					v.edit(&w)
					l := newLoadSimulation(b, w)
					s.run(l, l.machines[3:])
					l.step(2500, nil) // what is under way ends
					l.report(s.name + v.name)
				}
			}
		}
	}
}
