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

// workload describes one of the users' systems at its present size: three regions
// with two zones each, and one entry instance per zone.
type workload struct {
	name          string
	regionDelay   dhclock.Millis // one-way latency between regions
	upstreamCount int            // upstreams of the busiest service
	slots         int            // per upstream
	serviceTime   dhclock.Millis
	organisations int
	rate          int64 // limit per organisation and second
	demand        int   // requests per organisation and second
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

// fakeUpstream simulates an upstream: it counts running requests, and each ends
// after a random time.
type fakeUpstream struct {
	name            string
	entry           *machine
	running         int
	down            bool
	serviceTime     dhclock.Millis
	reportedRunning int // running requests that it reports; -1 for the real number
}

// timedAction is a function to call at a time.
type timedAction struct {
	at  dhclock.Millis
	run func()
}

// loadRequest is a request of the simulated load.
type loadRequest struct {
	organisation  int
	arrived       dhclock.Millis
	origin        *machine
	originRequest uint64 // request ID at the origin if forwarded by a peer, else 0
}

// loadSimulation runs a cluster's reducers against simulated upstreams.
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
	minHeadroom int // lowest share of free slots of any region, in percent
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
			dhcatalog.NewKey(dhcatalog.KeyOptions{Name: name, Organisation: name, Hash: dhcatalog.Hash{2, byte(i)}}),
			dhcatalog.NewLimit(dhcatalog.LimitOptions{Name: name, Organisation: name, Rate: w.rate, Burst: w.rate / 2}))
	}
	l.applyChange(puts...)
	for i := range w.upstreamCount {
		u := &fakeUpstream{name: fmt.Sprintf("s%02d", i), entry: l.find(entries[i%len(entries)]), serviceTime: w.serviceTime, reportedRunning: -1}
		l.upstreams[u.name] = u
	}
	l.effectHandler = l.handleEffect
	l.step(6000, nil)
	return l
}

func (l *loadSimulation) schedule(after dhclock.Millis, run func()) {
	l.pending = append(l.pending, timedAction{l.now + after, run})
}

// step advances the time in steps of 2 ms and calls arrive at each.
func (l *loadSimulation) step(span dhclock.Millis, arrive func()) {
	const tick dhclock.Millis = 2
	for end := l.now + span; l.now < end; {
		l.now += tick
		for i := 0; i < len(l.pending); i++ {
			if a := l.pending[i]; a.at <= l.now {
				l.pending = slices.Delete(l.pending, i, i+1)
				i--
				a.run()
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

// background runs every 20 ms: it runs control, announces upstreams and sends
// ticks.
func (l *loadSimulation) background() {
	l.now -= 20
	l.run(20)
	for _, name := range slices.Sorted(maps.Keys(l.upstreams)) {
		u := l.upstreams[name]
		if u.down || u.entry.state == nil || l.now%1000 != 0 {
			continue
		}
		running := u.running
		if u.reportedRunning >= 0 {
			running = u.reportedRunning
		}
		l.handleTraffic(u.entry, dhevent.NewUpstreamAnnounced(l.clock(u.entry), dhevent.UpstreamAnnouncedOptions{
			Announcement: dhsteer.NewAnnouncement(dhsteer.AnnouncementOptions{
				Name: u.name, Service: "busy", Address: "10.0.0.1:80", Slots: l.workload.slots, Running: running,
			}),
		}))
	}
	l.tickTraffic()
	l.recordHeadroom()
	for i := range l.buckets { // exact token bucket of each organisation, in thousandths
		l.buckets[i] = min(l.workload.rate*500, l.buckets[i]+l.workload.rate*20)
	}
}

// recordHeadroom records the lowest share of free slots of any region that has
// upstreams.
func (l *loadSimulation) recordHeadroom() {
	all, free := map[byte]int{}, map[byte]int{}
	for _, u := range l.upstreams {
		if !u.down && u.entry.state != nil {
			all[u.entry.name[0]] += l.workload.slots
			free[u.entry.name[0]] += l.workload.slots - u.running
		}
	}
	for r, n := range all {
		l.minHeadroom = min(l.minHeadroom, 100*free[r]/n)
	}
}

// send sends a request of an organisation to an entry instance.
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
		RequestID: l.lastRequest, Path: "/busy/x", APIKeyHash: dhcatalog.Hash{2, byte(organisation)},
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
	u, started := l.upstreams[e.Upstream()], l.now
	u.running++
	if u.running > l.workload.slots {
		l.t.Fatalf("upstream %s runs %d requests on %d slots", u.name, u.running, l.workload.slots)
	}
	l.schedule(u.serviceTime+dhclock.Millis(l.nextRandom()%uint64(u.serviceTime)), func() {
		u.running--
		end := dhevent.EndAnswered
		if u.down {
			end = dhevent.EndBroken
		}
		l.endAttempt(m, e.RequestID(), end, l.now-started)
	})
}

// endAttempt ends an attempt and, if a peer forwarded the request, the attempt at
// the peer that waits for it.
func (l *loadSimulation) endAttempt(m *machine, request uint64, end dhevent.AttemptEnd, latency dhclock.Millis) {
	r := l.requests[request]
	if m.state == nil {
		return
	}
	l.handleTraffic(m, dhevent.NewAttemptEnded(l.clock(m), dhevent.AttemptEndedOptions{
		RequestID: request, End: end, Latency: latency, Status: 200,
	}))
	if end != dhevent.EndAnswered {
		return
	}
	if r.originRequest == 0 {
		if r.organisation > 0 {
			l.latencies = append(l.latencies, l.now-r.arrived)
		}
		l.served[r.organisation]++
		return
	}
	l.schedule(l.distance(r.origin, m), func() { l.endAttempt(r.origin, r.originRequest, end, latency) })
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
	r := l.requests[e.RequestID()]
	if r == nil {
		return
	}
	if r.originRequest != 0 {
		l.schedule(l.distance(r.origin, m), func() { l.endAttempt(r.origin, r.originRequest, dhevent.EndRefused, 0) })
		return
	}
	l.refused[e.Refusal().Kind()]++
}

// report prints one row of the measurement. An organisation is entitled to the
// requests for which an exact bucket of its rate and burst had a token. Latencies
// are those of the organisations that stay within their rate.
func (l *loadSimulation) report(scenario string) {
	slices.Sort(l.latencies)
	quantile := func(q float64) dhclock.Millis {
		if len(l.latencies) == 0 {
			return 0
		}
		return l.latencies[int(q*float64(len(l.latencies)-1))]
	}
	worst, within := 1.0, 0
	for i, entitled := range l.entitled {
		if entitled > 0 {
			worst = min(worst, float64(l.served[i])/float64(entitled))
			within += max(0, entitled-l.served[i])
		}
	}
	fmt.Printf("%-18s %-45s p50 %4d ms  p99 %4d ms  worst served %5.1f %%  refused within rate %6.3f %%  minimum headroom %3d %%  refused %v\n",
		l.workload.name, scenario, quantile(0.5), quantile(0.99), 100*worst, 100*float64(within)/float64(max(1, l.total)), l.minHeadroom, l.refused)
}

// arrivals returns a function that sends each organisation's demand of one step,
// spread evenly over the entry instances. Organisation 0 sends the demand times
// factor.
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

// BenchmarkLoad runs both workloads on the simulated clock through normal load, a
// flood, failures and false load reports, and prints a row for each. Variants
// without queueing and without forwarding to peers run for comparison.
func BenchmarkLoad(b *testing.B) {
	scenarios := []struct {
		name string
		run  func(l *loadSimulation, all []*machine)
	}{
		{"normal load", func(l *loadSimulation, all []*machine) { l.step(10_000, l.arrivals(all, 1)) }},
		{"flood of 5x by one organisation", func(l *loadSimulation, all []*machine) { l.step(10_000, l.arrivals(all, 5)) }},
		{"a zone's upstreams fail", func(l *loadSimulation, all []*machine) {
			l.step(2000, l.arrivals(all, 1))
			for _, u := range l.upstreams {
				u.down = u.down || u.entry.zone == "a1"
			}
			l.step(8000, l.arrivals(all, 1))
		}},
		{"a region fails", func(l *loadSimulation, all []*machine) {
			l.step(2000, l.arrivals(all, 1))
			for _, name := range []string{"a1-1", "a2-1"} {
				l.stop(l.find(name))
			}
			l.step(8000, l.arrivals(all[2:], 1))
		}},
		{"a zone drains to cold caches", func(l *loadSimulation, all []*machine) {
			l.step(2000, l.arrivals(all, 1))
			for _, u := range l.upstreams {
				if u.entry.zone == "a2" {
					u.serviceTime *= 2
				}
			}
			l.step(2000, l.arrivals(all[1:], 1))
			for _, u := range l.upstreams {
				u.serviceTime = l.workload.serviceTime
			}
			l.step(6000, l.arrivals(all[1:], 1))
		}},
		{"every load report is false", func(l *loadSimulation, all []*machine) {
			i := 0
			for _, u := range l.upstreams {
				u.reportedRunning = i % 2 * 1000
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
		{", no queueing", func(w *workload) { w.queueWait = 0 }},
		{", no forwarding to peers", func(w *workload) { w.spill = 0 }},
	}
	for b.Loop() {
		for _, w := range []workload{cairnpassWorkload(), regieWorkload()} {
			for _, s := range scenarios {
				for _, v := range variants {
					w := w
					v.edit(&w)
					l := newLoadSimulation(b, w)
					s.run(l, l.machines[3:])
					l.step(2500, nil) // let requests in flight end
					l.report(s.name + v.name)
				}
			}
		}
	}
}
