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
	between       dhclock.Millis // one way between regions
	servers       int            // of the busiest service
	slots         int            // of each
	work          dhclock.Millis
	organisations int
	rate          int64 // of each organisation, a second
	demand        int   // requests a second of each organisation
	spill         int
	queueWait     dhclock.Millis
}

func cairnpass() workload {
	return workload{
		name: "cairnpass gate", between: 20, servers: 18, slots: 9, work: 40, organisations: 8,
		rate: 220, demand: 160, spill: 50, queueWait: 300,
	}
}

func regie() workload {
	return workload{
		name: "regie corrections", between: 55, servers: 14, slots: 6, work: 30, organisations: 8,
		rate: 160, demand: 120, spill: 50, queueWait: 300,
	}
}

// server is a fake upstream: a timer with slots.
type server struct {
	name    string
	at      *machine
	running int
	down    bool
	work    dhclock.Millis
	report  int // what it claims to run; -1 for the truth
}

// event is something due at a time.
type event struct {
	at dhclock.Millis
	do func()
}

// job is a request of the load.
type job struct {
	organisation int
	arrived      dhclock.Millis
	origin       *machine
	passedFrom   uint64 // the request at the origin, for one passed on
}

// load drives a fleet's real decisions against fake upstreams.
type load struct {
	*fleet
	w         workload
	servers   map[string]*server
	jobs      map[uint64]*job
	due       []event
	latencies []dhclock.Millis
	served    []int
	allowed   []int
	refused   map[dheffect.RefusalKind]int
	total     int
	least     int // least free slots of any region, in percent
	buckets   []int64
}

func withLoad(t testing.TB, w workload) *load {
	t.Helper()
	entries := []string{"a1-1", "a2-1", "b1-1", "b2-1", "c1-1", "c2-1"}
	l := &load{
		fleet: withFleet(t, 3, entries...), w: w, servers: map[string]*server{}, jobs: map[uint64]*job{},
		served: make([]int, w.organisations), allowed: make([]int, w.organisations),
		refused: map[dheffect.RefusalKind]int{}, least: 100, buckets: make([]int64, w.organisations),
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
	l.change(puts...)
	for i := range w.servers {
		s := &server{name: fmt.Sprintf("s%02d", i), at: l.find(entries[i%len(entries)]), work: w.work, report: -1}
		l.servers[s.name] = s
	}
	l.decided = l.decide
	l.step(6000, nil)
	return l
}

func (l *load) later(after dhclock.Millis, do func()) {
	l.due = append(l.due, event{l.now + after, do})
}

// step lets time pass in steps of 2 ms; arrive is called at each.
func (l *load) step(span dhclock.Millis, arrive func()) {
	const tick dhclock.Millis = 2
	for end := l.now + span; l.now < end; {
		l.now += tick
		for i := 0; i < len(l.due); i++ {
			if e := l.due[i]; e.at <= l.now {
				l.due = slices.Delete(l.due, i, i+1)
				i--
				e.do()
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
func (l *load) background() {
	l.now -= 20
	l.run(20)
	for _, name := range slices.Sorted(maps.Keys(l.servers)) {
		s := l.servers[name]
		if s.down || s.at.state == nil || l.now%1000 != 0 {
			continue
		}
		running := s.running
		if s.report >= 0 {
			running = s.report
		}
		l.onTraffic(s.at, dhevent.NewUpstreamAnnounced(l.clock(s.at), dhevent.UpstreamAnnouncedOptions{
			Announcement: dhsteer.NewAnnounce(dhsteer.AnnounceOptions{
				Name: s.name, Service: "busy", Address: "10.0.0.1:80", Slots: l.w.slots, Running: running,
			}),
		}))
	}
	l.tickTraffic()
	l.headroom()
	for i := range l.buckets { // each organisation's true bucket, in thousandths
		l.buckets[i] = min(l.w.rate*500, l.buckets[i]+l.w.rate*20)
	}
}

// headroom notes the least share of free slots in any region that has some.
func (l *load) headroom() {
	all, free := map[byte]int{}, map[byte]int{}
	for _, s := range l.servers {
		if !s.down && s.at.state != nil {
			all[s.at.name[0]] += l.w.slots
			free[s.at.name[0]] += l.w.slots - s.running
		}
	}
	for r, n := range all {
		l.least = min(l.least, 100*free[r]/n)
	}
}

// send lets an organisation's request arrive.
func (l *load) send(m *machine, organisation int) {
	l.total++
	within := l.buckets[organisation] >= 1000
	if within {
		l.buckets[organisation] -= 1000
		l.allowed[organisation]++
	}
	if m.state == nil {
		return
	}
	l.request++
	l.jobs[l.request] = &job{organisation: organisation, arrived: l.now, origin: m}
	l.onTraffic(m, dhevent.NewRequestReceived(l.clock(m), dhevent.RequestReceivedOptions{
		RequestID: l.request, Path: "/busy/x", APIKeyHash: dhcatalog.KeyHash{2, byte(organisation)},
	}))
}

func (l *load) decide(m *machine, e dheffect.Effect) {
	switch e := e.(type) {
	case *dheffect.ForwardToUpstream:
		l.forward(m, e)
	case *dheffect.ForwardToPeer:
		l.pass(m, e)
	case *dheffect.Refuse:
		l.refuse(m, e)
	}
}

func (l *load) forward(m *machine, e *dheffect.ForwardToUpstream) {
	s, started := l.servers[e.Upstream()], l.now
	s.running++
	if s.running > l.w.slots {
		l.t.Fatalf("%s runs %d requests on %d slots", s.name, s.running, l.w.slots)
	}
	l.later(s.work+dhclock.Millis(l.next()%uint64(s.work)), func() {
		s.running--
		end := dhevent.EndAnswered
		if s.down {
			end = dhevent.EndBroken
		}
		l.ended(m, e.RequestID(), end, l.now-started)
	})
}

// ended ends an attempt, and the one at the origin that waits for it.
func (l *load) ended(m *machine, request uint64, end dhevent.AttemptEnd, took dhclock.Millis) {
	j := l.jobs[request]
	if m.state == nil {
		return
	}
	l.onTraffic(m, dhevent.NewAttemptEnded(l.clock(m), dhevent.AttemptEndedOptions{
		RequestID: request, End: end, Latency: took, Status: 200,
	}))
	if end != dhevent.EndAnswered {
		return
	}
	if j.passedFrom == 0 {
		if j.organisation > 0 {
			l.latencies = append(l.latencies, l.now-j.arrived)
		}
		l.served[j.organisation]++
		return
	}
	l.later(l.distance(j.origin, m), func() { l.ended(j.origin, j.passedFrom, end, took) })
}

func (l *load) distance(a, b *machine) dhclock.Millis {
	if a.name[0] == b.name[0] {
		return 2
	}
	return l.w.between
}

func (l *load) pass(m *machine, e *dheffect.ForwardToPeer) {
	to := l.find(e.Instance())
	origin := l.jobs[e.RequestID()]
	l.later(l.distance(m, to), func() {
		if to.state == nil {
			l.ended(m, e.RequestID(), dhevent.EndNotSent, 0)
			return
		}
		l.request++
		l.jobs[l.request] = &job{organisation: origin.organisation, arrived: origin.arrived, origin: m, passedFrom: e.RequestID()}
		l.onTraffic(to, dhevent.NewRequestReceived(l.clock(to), dhevent.RequestReceivedOptions{
			RequestID: l.request, Path: "/busy/x", FromPeer: true, Organisation: e.Organisation(), Timeout: e.Timeout(),
		}))
	})
}

func (l *load) refuse(m *machine, e *dheffect.Refuse) {
	j := l.jobs[e.RequestID()]
	if j == nil {
		return
	}
	if j.passedFrom != 0 {
		l.later(l.distance(j.origin, m), func() { l.ended(j.origin, j.passedFrom, dhevent.EndRefused, 0) })
		return
	}
	l.refused[e.Refusal().Kind()]++
}

// report writes one row of the measurement. What an organisation may expect is
// the requests for which a bucket of its rate and burst had a token; latencies
// are those of the organisations that keep to their rate.
func (l *load) report(scenario string) {
	slices.Sort(l.latencies)
	quantile := func(q float64) dhclock.Millis {
		if len(l.latencies) == 0 {
			return 0
		}
		return l.latencies[int(q*float64(len(l.latencies)-1))]
	}
	worst, within := 1.0, 0
	for i, due := range l.allowed {
		if due > 0 {
			worst = min(worst, float64(l.served[i])/float64(due))
			within += max(0, due-l.served[i])
		}
	}
	fmt.Printf("%-18s %-45s p50 %4d ms  p99 %4d ms  worst served %5.1f %%  refused within rate %6.3f %%  least headroom %3d %%  refused %v\n",
		l.w.name, scenario, quantile(0.5), quantile(0.99), 100*worst, 100*float64(within)/float64(max(1, l.total)), l.least, l.refused)
}

// arrivals spreads each organisation's demand evenly over some entries; one
// organisation may send a multiple.
func (l *load) arrivals(at []*machine, factor int) func() {
	owed, turn := make([]int, l.w.organisations), 0
	return func() {
		for i := range owed {
			demand := l.w.demand
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
		run  func(l *load, all []*machine)
	}{
		{"calm", func(l *load, all []*machine) { l.step(10_000, l.arrivals(all, 1)) }},
		{"flood of 5x by one organisation", func(l *load, all []*machine) { l.step(10_000, l.arrivals(all, 5)) }},
		{"a zone's upstreams are lost", func(l *load, all []*machine) {
			l.step(2000, l.arrivals(all, 1))
			for _, s := range l.servers {
				s.down = s.down || s.at.zone == "a1"
			}
			l.step(8000, l.arrivals(all, 1))
		}},
		{"a region is lost", func(l *load, all []*machine) {
			l.step(2000, l.arrivals(all, 1))
			for _, name := range []string{"a1-1", "a2-1"} {
				l.stop(l.find(name))
			}
			l.step(8000, l.arrivals(all[2:], 1))
		}},
		{"a zone drains to cold caches", func(l *load, all []*machine) {
			l.step(2000, l.arrivals(all, 1))
			for _, s := range l.servers {
				if s.at.zone == "a2" {
					s.work *= 2
				}
			}
			l.step(2000, l.arrivals(all[1:], 1))
			for _, s := range l.servers {
				s.work = l.w.work
			}
			l.step(6000, l.arrivals(all[1:], 1))
		}},
		{"every report lies", func(l *load, all []*machine) {
			i := 0
			for _, s := range l.servers {
				s.report = i % 2 * 1000
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
		for _, w := range []workload{cairnpass(), regie()} {
			for _, s := range scenarios {
				for _, v := range variants {
					w := w
					v.edit(&w)
					l := withLoad(b, w)
					s.run(l, l.machines[3:])
					l.step(2500, nil) // what is under way ends
					l.report(s.name + v.name)
				}
			}
		}
	}
}
