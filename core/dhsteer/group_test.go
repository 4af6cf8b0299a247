package dhsteer

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
)

// fleetLayout is three regions with as many entries each, of which a is local.
func fleetLayout() Layout {
	return Layout{
		Local: "a", Entries: map[string]int{"a": 3, "b": 3, "c": 3}, ColdStart: 3000,
		ColdShare: func(string) int { return -1 },
	}
}

// registered returns a registration of a warm upstream.
func registered(name, region string, slots int) Registration {
	return NewRegistration(dhcatalog.NewUpstream(dhcatalog.UpstreamOptions{
		Name: name, Service: "s", Address: "10.0.0.1:80", Zone: region + "1", Slots: slots, Incarnation: 1,
	}), region, false)
}

// evenFleet returns n upstreams dealt out to three regions.
func evenFleet(n int) []Registration {
	var list []Registration
	for i := range n {
		list = append(list, registered(fmt.Sprintf("u%03d", i), string(rune('a'+i%3)), 4))
	}
	return list
}

func groupOf(list []Registration) *Group {
	g := NewGroup("s")
	g.Update(1, list, fleetLayout())
	return g
}

// assignments returns the member of each of so many objects.
func assignments(g *Group, objects int) []string {
	list := make([]string, objects)
	for i := range list {
		if m := g.Choose(10, Wish{Object: uint64(i + 1)}); m != nil {
			list[i] = m.Name()
		}
	}
	return list
}

// TestOnlyObjectsOfAMemberThatGoesMove takes each upstream away in turn: every
// object of another one stays, and the lost one's are dealt out.
func TestOnlyObjectsOfAMemberThatGoesMove(t *testing.T) {
	const objects = 2000
	fleet := evenFleet(18)
	before := assignments(groupOf(fleet), objects)
	for gone := range fleet {
		rest := append(append([]Registration{}, fleet[:gone]...), fleet[gone+1:]...)
		after := assignments(groupOf(rest), objects)
		name := fleet[gone].record.Name()
		for i := range before {
			if before[i] != name && before[i] != after[i] && fleet[gone].region != "a" {
				t.Fatalf("object %d moved from %s to %s when %s went", i, before[i], after[i], name)
			}
			if after[i] == name || after[i] == "" {
				t.Fatalf("object %d is at %q", i, after[i])
			}
		}
	}
}

// TestObjectsFollowSlots gives one upstream of the local region three times the
// slots of the others.
func TestObjectsFollowSlots(t *testing.T) {
	g := groupOf([]Registration{registered("big", "a", 9), registered("x", "a", 3), registered("y", "a", 3), registered("z", "a", 3)})
	counts := map[string]int{}
	for _, name := range assignments(g, 6000) {
		counts[name]++
	}
	if share := float64(counts["big"]) / 6000; share < 0.47 || share > 0.53 {
		t.Errorf("the big one has %.3f of the objects, of which half are due: %v", share, counts)
	}
}

// TestShortRegionSendsObjectsElsewhere leaves the local region a ninth of the
// slots for a third of the demand: a part of the objects stays, always the same.
func TestShortRegionSendsObjectsElsewhere(t *testing.T) {
	list := []Registration{registered("a0", "a", 4)}
	for i := range 4 {
		list = append(list, registered(fmt.Sprint("b", i), "b", 4), registered(fmt.Sprint("c", i), "c", 4))
	}
	g := groupOf(list)
	first := assignments(g, 3000)
	local := 0
	for _, name := range first {
		if name == "a0" {
			local++
		}
	}
	want := headroomPercent / 100.0 * (1.0 / 9) / (1.0 / 3)
	if share := float64(local) / 3000; share < want-0.04 || share > want+0.04 {
		t.Errorf("%.2f of the objects stay, %.2f are planned", share, want)
	}
	for i, name := range assignments(g, 3000) {
		if name != first[i] {
			t.Fatalf("object %d moved by itself", i)
		}
	}
}

// TestHomesBind allows one region by the route and two by the organisation.
func TestHomesBind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := groupOf(evenFleet(9))
		regions := rapid.SampledFrom([][]string{nil, {"a"}, {"b", "c"}, {"c"}, {"none"}})
		w := Wish{Object: rapid.Uint64().Draw(t, "object"), Homes: [2][]string{regions.Draw(t, "route"), regions.Draw(t, "organisation")}}
		m := g.Choose(10, w)
		possible := false
		for _, r := range []string{"a", "b", "c"} {
			possible = possible || w.allows(r)
		}
		if (m != nil) != possible {
			t.Fatalf("homes %v: got %v", w.Homes, m)
		}
		if m != nil && !w.allows(m.Region()) {
			t.Fatalf("homes %v: got %s", w.Homes, m.Region())
		}
	})
}

// TestLeavingGetsNothing covers what takes an upstream out of the choice.
func TestLeavingGetsNothing(t *testing.T) {
	draining := func(s dhcatalog.UpstreamState) Registration {
		r := registered("u", "a", 4)
		r.record = r.record.WithState(s)
		return r
	}
	evacuated := registered("u", "a", 4)
	evacuated.evacuated = true
	for name, list := range map[string][]Registration{
		"draining": {draining(dhcatalog.UpstreamDraining)}, "gone": {draining(dhcatalog.UpstreamGone)},
		"evacuated": {evacuated}, "forgotten": nil,
	} {
		g := groupOf([]Registration{registered("u", "a", 4)})
		if g.Choose(5, Wish{Object: 1}) == nil {
			t.Fatal("a ready upstream isn't chosen")
		}
		g.Update(6, list, fleetLayout())
		if m := g.Choose(7, Wish{Object: 1}); m != nil {
			t.Errorf("%s: got %s", name, m.Name())
		}
	}
}

// TestReturnFromEvacuationIsCold takes an evacuation back.
func TestReturnFromEvacuationIsCold(t *testing.T) {
	g := groupOf([]Registration{registered("u", "a", 4)})
	evacuated := registered("u", "a", 4)
	evacuated.evacuated = true
	g.Update(1000, []Registration{evacuated}, fleetLayout())
	g.Update(2000, []Registration{registered("u", "a", 4)}, fleetLayout())
	m := g.Choose(2001, Wish{Object: 1})
	if m == nil || !m.Cold(2001+2900) || m.Cold(2001+3100) {
		t.Errorf("got %+v", m)
	}
}

// TestMisplacedStaysOutUntilItsRecordChanges ends an attempt with another
// upstream's answer.
func TestMisplacedStaysOutUntilItsRecordChanges(t *testing.T) {
	g := groupOf([]Registration{registered("u", "a", 4)})
	m := g.Choose(5, Wish{Object: 1})
	g.Take(5, m)
	g.Finish(6, m, Misplaced, 1, nil)
	g.Update(7, []Registration{registered("u", "a", 4)}, fleetLayout())
	if g.Choose(8, Wish{Object: 1}) != nil {
		t.Error("chosen although another upstream has the address")
	}
	next := registered("u", "a", 4)
	next.record = dhcatalog.NewUpstream(dhcatalog.UpstreamOptions{
		Name: "u", Service: "s", Address: "10.0.0.1:80", Zone: "a1", Slots: 4, Incarnation: 2,
	})
	g.Update(9, []Registration{next}, fleetLayout())
	if g.Choose(10, Wish{Object: 1}) == nil {
		t.Error("not chosen after it registered again")
	}
}

// TestColdRateHolds sends as fast as the group allows, and counts every window
// of a second.
func TestColdRateHolds(t *testing.T) {
	l := fleetLayout()
	l.ColdShare = func(string) int { return 3 }
	cold := registered("u", "a", 4)
	cold.record = cold.record.WithColdReport(3000, 1)
	g := NewGroup("s")
	g.Update(0, []Registration{cold}, l)
	var sent []dhclock.Millis
	for now := dhclock.Millis(1); now < 3000; now += 7 {
		if m := g.Choose(now, Wish{Object: 1}); m != nil {
			g.Take(now, m)
			g.Finish(now, m, Answered, 1, nil)
			sent = append(sent, now)
		}
	}
	for i, at := range sent {
		count := 0
		for _, later := range sent[i:] {
			if later-at < 1000 {
				count++
			}
		}
		if count > 3 {
			t.Fatalf("%d requests within a second from %d", count, at)
		}
	}
	if len(sent) < 9 {
		t.Errorf("only %d sent in 3 s", len(sent))
	}
}

// TestBusyMemberGivesObjectsAway reports one upstream as overloaded and the
// others as idle: some of its objects move, by steps, and come back.
func TestBusyMemberGivesObjectsAway(t *testing.T) {
	g := groupOf([]Registration{registered("u0", "a", 4), registered("u1", "a", 4), registered("u2", "a", 4)})
	before := assignments(g, 3000)
	report := func(from, to dhclock.Millis, busy int) {
		for now := from; now < to; now += 250 {
			for _, m := range g.Members() {
				l := NewLoad(1, 0, 4)
				if m.Name() == "u0" {
					l = NewLoad(busy, 0, 4)
				}
				g.Take(now, m)
				g.Finish(now, m, Answered, 10, &l)
			}
			g.Balance(now)
		}
	}
	moved := func() int {
		count := 0
		for i, name := range assignments(g, 3000) {
			if name != before[i] {
				if before[i] != "u0" {
					t.Fatalf("an object of %s moved", before[i])
				}
				count++
			}
		}
		return count
	}
	report(1000, 5000, 8)
	g.balanced = 5000
	some := moved()
	if some == 0 || some > 600 {
		t.Errorf("%d objects moved in 4 s", some)
	}
	report(5250, 40_000, 1)
	if back := moved(); back != 0 {
		t.Errorf("%d objects never came back", back)
	}
}

// TestOverloadTurnsAwayTheLessUrgent reports a queue, with answers that come
// late.
func TestOverloadTurnsAwayTheLessUrgent(t *testing.T) {
	g := groupOf([]Registration{registered("u", "a", 4)})
	m := g.Choose(5, Wish{Object: 1})
	l := NewLoad(4, 2, 4)
	for now := dhclock.Millis(10); now < 1000; now += 50 {
		g.Take(now, m)
		g.Finish(now, m, Answered, 600, &l)
	}
	admitted := func(priority int, objective dhclock.Millis) int {
		count := 0
		for i := range 1000 {
			if g.Choose(1000, Wish{Object: 1, Random: uint64(i), Priority: priority, Objective: objective}) != nil {
				count++
			}
		}
		return count
	}
	if all := admitted(0, 5000); all != 1000 {
		t.Errorf("%d of 1000 admitted although answers are in time", all)
	}
	high, low := admitted(0, 300), admitted(3, 300)
	if high <= low || low == 0 || high > 700 {
		t.Errorf("admitted %d urgent and %d less urgent requests of 1000", high, low)
	}
}

// BenchmarkAffinity measures one decision.
func BenchmarkAffinity(b *testing.B) {
	for _, n := range []int{36, 300} {
		g := groupOf(evenFleet(n))
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				g.Choose(10, Wish{Object: uint64(i), Objective: 300})
			}
		})
	}
}

// TestBusyRegionsDontSwapObjects reports the local region as overloaded, once
// while the others are too, and once while they are idle.
func TestBusyRegionsDontSwapObjects(t *testing.T) {
	stays := func(others int) float64 {
		g := groupOf(evenFleet(9))
		for now := dhclock.Millis(1000); now < 8000; now += 250 {
			for _, m := range g.Members() {
				l := NewLoad(others, 0, 4)
				if m.Region() == "a" {
					l = NewLoad(6, 0, 4)
				}
				g.Take(now, m)
				g.Finish(now, m, Answered, 10, &l)
			}
			g.Balance(now)
		}
		return g.localShare / shareScale
	}
	if share := stays(6); share < 1 {
		t.Errorf("%.2f of the objects stay although all regions are busy", share)
	}
	if share := stays(1); share > 0.9 || share < 0.6 {
		t.Errorf("%.2f of the objects stay although other regions are idle", share)
	}
}
