package dhsteer

import (
	"fmt"
	"testing"

	"dogwoodhitch/core/dhclock"
)

func newTestPool(n, slots int) *Pool {
	p := NewPool("service")
	for i := range n {
		p.Announce(0, 0, NewAnnouncement(AnnouncementOptions{Name: fmt.Sprintf("u%02d", i), Service: "service", Address: "10.0.0.1:80", Slots: slots}))
	}
	return p
}

// TestSlotsAreNeverExceeded acquires slots until none is free. No further
// upstream may be selected.
func TestSlotsAreNeverExceeded(t *testing.T) {
	p := newTestPool(3, 2)
	for range 6 {
		p.Acquire(0, p.Select(0, nil), false)
	}
	if u := p.Select(0, nil); u != nil {
		t.Errorf("%s was selected with %d requests running on %d slots", u.Name(), u.Running(), u.Slots())
	}
	for _, u := range p.Upstreams() {
		if u.Running() != 2 {
			t.Errorf("%s runs %d requests, want 2", u.Name(), u.Running())
		}
	}
}

// TestEjectedUpstreamsAreProbedWhenMostAreEjected ejects every upstream. The pool
// must still offer them for probes, as a last resort, because the cause may lie
// elsewhere; it must stop doing so once most upstreams are no longer ejected.
func TestEjectedUpstreamsAreProbedWhenMostAreEjected(t *testing.T) {
	p := newTestPool(4, 2)
	for _, u := range p.Upstreams() {
		for range ejectAfterFailures {
			p.Acquire(0, u, false)
			p.Release(0, u, false, Failed, 0, Response{})
		}
	}
	if p.Select(10, nil) != nil || p.SelectEjected(10, nil) == nil {
		t.Error("with every upstream ejected, Select must return none and SelectEjected one")
	}
	good := p.Upstreams()[:3]
	for _, u := range good {
		u.ejectedUntil = 0
	}
	for range 100 {
		if u := p.Select(10, nil); u == p.Upstreams()[3] || p.SelectEjected(10, nil) != nil {
			t.Fatal("an ejected upstream was selected although most are not ejected")
		}
	}
}

// TestFalseLoadReportsDoNotBlockOrFloodAnUpstream reports one upstream as idle
// and another as overloaded. Both must get requests up to their slots.
func TestFalseLoadReportsDoNotBlockOrFloodAnUpstream(t *testing.T) {
	p := newTestPool(2, 4)
	busy, idle := p.Upstreams()[0], p.Upstreams()[1]
	for now := dhclock.Millis(0); now < 100; now++ {
		p.Announce(now, 0, NewAnnouncement(AnnouncementOptions{Name: busy.Name(), Address: "10.0.0.1:80", Slots: 4, Running: 1 << 30}))
		p.Announce(now, 0, NewAnnouncement(AnnouncementOptions{Name: idle.Name(), Address: "10.0.0.1:80", Slots: 4, Running: 0}))
		if u := p.Select(now, nil); u != nil {
			p.Acquire(now, u, false)
		}
	}
	if busy.Running() != 4 || idle.Running() != 4 {
		t.Errorf("%d requests run at the upstream reported as overloaded, %d at the one reported as idle, want 4 each", busy.Running(), idle.Running())
	}
}

// TestLeavingAndUnresponsiveUpstreamsAreNotSelected deregisters one upstream, and
// lets the announcement of the other expire.
func TestLeavingAndUnresponsiveUpstreamsAreNotSelected(t *testing.T) {
	p := newTestPool(2, 4)
	p.Deregister("u00")
	if u := p.Select(0, nil); u.Name() != "u01" {
		t.Errorf("%s was selected after u00 was deregistered, want u01", u.Name())
	}
	if u := p.Select(AnnouncementTTL+1, nil); u != nil {
		t.Errorf("%s was selected after its announcement expired", u.Name())
	}
}

// TestSlowStartRaisesSlotsGradually announces a new upstream. Its allowed slots
// must rise in proportion to the time, up to all of them.
func TestSlowStartRaisesSlotsGradually(t *testing.T) {
	p := NewPool("service")
	announce := NewAnnouncement(AnnouncementOptions{Name: "u", Address: "10.0.0.1:80", Slots: 10})
	last := 0
	for now := dhclock.Millis(0); now <= 1000; now += 100 {
		p.Announce(now, 1000, announce)
		all, _ := p.Slots(now)
		if all < last || all > 1+int(now/100) {
			t.Errorf("%d slots allowed after %d ms, want no fewer than before and at most one per 100 ms", all, now)
		}
		last = all
	}
	if last != 10 {
		t.Errorf("%d slots allowed after the slow start, want 10", last)
	}
}

// TestFloodDoesNotDelayOtherOrganisations floods the queue from one organisation.
// A request of another organisation may wait for one of them at most; a request
// of lower priority waits for all.
func TestFloodDoesNotDelayOtherOrganisations(t *testing.T) {
	p := newTestPool(1, 1)
	wait := func(id uint64, organisation string, priority int) {
		p.Enqueue(NewWaiter(WaiterOptions{Request: id, Organisation: organisation, Priority: priority, Deadline: 1000}))
	}
	wait(900, "renewals", 5)
	for id := range uint64(100) {
		wait(id, "flood", 1)
	}
	wait(500, "small", 1)
	order := map[uint64]int{}
	for i := 0; p.Waiting() > 0; i++ {
		order[p.Dequeue().Request()] = i
	}
	if order[500] > 1 {
		t.Errorf("the small organisation's request was dequeued at position %d, want at most 1", order[500])
	}
	if order[900] != 101 {
		t.Errorf("the request of low priority was dequeued at position %d, want 101", order[900])
	}
}

// TestFullQueueDropsFromTheLongestFlow fills the queue from one organisation. The
// queue must refuse its next request, and drop its newest one for a request of
// another organisation.
func TestFullQueueDropsFromTheLongestFlow(t *testing.T) {
	p := newTestPool(1, 1)
	for id := range uint64(MaxWaiting) {
		p.Enqueue(NewWaiter(WaiterOptions{Request: id, Organisation: "flood"}))
	}
	if _, ok := p.Enqueue(NewWaiter(WaiterOptions{Request: 1 << 20, Organisation: "flood"})); ok {
		t.Error("the full queue accepted a request of the organisation with the longest flow")
	}
	dropped, ok := p.Enqueue(NewWaiter(WaiterOptions{Request: 1 << 21, Organisation: "small"}))
	if !ok || dropped == nil || dropped.Request() != MaxWaiting-1 {
		t.Errorf("the small organisation's request must be accepted and the flood's newest one dropped: dropped %v", dropped)
	}
}

// BenchmarkPoolSelect measures one selection among 9, 18 and 36 upstreams.
func BenchmarkPoolSelect(b *testing.B) {
	for _, n := range []int{9, 18, 36} {
		p := newTestPool(n, 9)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				u := p.Select(1, nil)
				p.Acquire(1, u, false)
				p.Release(1, u, false, Answered, 5, Response{})
			}
		})
	}
}
