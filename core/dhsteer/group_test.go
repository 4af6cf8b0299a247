package dhsteer

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// threeRegionTopology has three regions with three entry instances each; a is
// the local region.
func threeRegionTopology() Topology {
	return Topology{
		LocalRegion: "a", EntryInstances: map[string]int{"a": 3, "b": 3, "c": 3}, ColdStart: 3000,
		ColdRate: func(string) int { return -1 },
	}
}

// warmRegistration returns a registration of an upstream without a cold start.
func warmRegistration(name, region string, slots int) Registration {
	return NewRegistration(dhcatalog.NewUpstream(dhcatalog.UpstreamOptions{
		Name: name, Service: "s", Address: "10.0.0.1:80", Zone: region + "1", Slots: slots, Incarnation: 1,
	}), region, false)
}

// evenRegistrations returns n upstreams, spread evenly over three regions.
func evenRegistrations(n int) []Registration {
	var list []Registration
	for i := range n {
		list = append(list, warmRegistration(fmt.Sprintf("u%03d", i), string(rune('a'+i%3)), 4))
	}
	return list
}

func newTestGroup(list []Registration) *Group {
	g := NewGroup("s")
	g.Update(1, list, threeRegionTopology())
	return g
}

// assignments returns the name of the member that Select returns for each object.
func assignments(g *Group, objects int) []string {
	list := make([]string, objects)
	for i := range list {
		if m := g.Select(10, Criteria{Object: uint64(i + 1)}); m != nil {
			list[i] = m.Name()
		}
	}
	return list
}

// TestRemovedMemberMovesOnlyItsOwnObjects removes each upstream in turn. Objects
// of the other upstreams must not move, since each move is a cache miss, and all
// objects of the removed one must get another member. Other objects may move only
// if the removed upstream is in the local region, whose planned share drops.
func TestRemovedMemberMovesOnlyItsOwnObjects(t *testing.T) {
	const objects = 2000
	all := evenRegistrations(18)
	before := assignments(newTestGroup(all), objects)
	for removed := range all {
		rest := append(append([]Registration{}, all[:removed]...), all[removed+1:]...)
		after := assignments(newTestGroup(rest), objects)
		name := all[removed].record.Name()
		for i := range before {
			if before[i] != name && before[i] != after[i] && all[removed].region != "a" {
				t.Fatalf("object %d moved from %s to %s when %s was removed", i, before[i], after[i], name)
			}
			if after[i] == name || after[i] == "" {
				t.Fatalf("object %d is assigned to %q, want one of the remaining members", i, after[i])
			}
		}
	}
}

// TestObjectsAreSharedInProportionToSlots has one upstream with three times the
// slots of each of the three others, which must get half of the objects.
func TestObjectsAreSharedInProportionToSlots(t *testing.T) {
	g := newTestGroup([]Registration{warmRegistration("big", "a", 9), warmRegistration("x", "a", 3), warmRegistration("y", "a", 3), warmRegistration("z", "a", 3)})
	counts := map[string]int{}
	for _, name := range assignments(g, 6000) {
		counts[name]++
	}
	if share := float64(counts["big"]) / 6000; share < 0.47 || share > 0.53 {
		t.Errorf("the upstream with half of the slots has a share of %.3f of the objects, want 0.47 to 0.53: %v", share, counts)
	}
}

// TestRegionShortOfSlotsOffloadsAFixedShareOfObjects gives the local region a
// ninth of the slots for a third of the demand. It must keep the planned share of
// the objects, and the same objects each time.
func TestRegionShortOfSlotsOffloadsAFixedShareOfObjects(t *testing.T) {
	list := []Registration{warmRegistration("a0", "a", 4)}
	for i := range 4 {
		list = append(list, warmRegistration(fmt.Sprint("b", i), "b", 4), warmRegistration(fmt.Sprint("c", i), "c", 4))
	}
	g := newTestGroup(list)
	first := assignments(g, 3000)
	local := 0
	for _, name := range first {
		if name == "a0" {
			local++
		}
	}
	want := regionCapacityPercent / 100.0 * (1.0 / 9) / (1.0 / 3)
	if share := float64(local) / 3000; share < want-0.04 || share > want+0.04 {
		t.Errorf("a share of %.2f of the objects stays local, want %.2f", share, want)
	}
	for i, name := range assignments(g, 3000) {
		if name != first[i] {
			t.Fatalf("object %d moved without a change of the group", i)
		}
	}
}

// TestHomeRegionsAreRespected restricts the regions by route and by organisation:
// the selected member must be in a region that both allow.
func TestHomeRegionsAreRespected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newTestGroup(evenRegistrations(9))
		regions := rapid.SampledFrom([][]string{nil, {"a"}, {"b", "c"}, {"c"}, {"none"}})
		c := Criteria{Object: rapid.Uint64().Draw(t, "object"), HomeRegions: [2][]string{regions.Draw(t, "route"), regions.Draw(t, "organisation")}}
		m := g.Select(10, c)
		possible := false
		for _, r := range []string{"a", "b", "c"} {
			possible = possible || c.Allows(r)
		}
		if (m != nil) != possible {
			t.Fatalf("home regions %v: got member %v", c.HomeRegions, m)
		}
		if m != nil && !c.Allows(m.Region()) {
			t.Fatalf("home regions %v: got a member in region %s", c.HomeRegions, m.Region())
		}
	})
}

// TestUnavailableMemberIsNotSelected covers the changes of configuration that
// exclude an upstream from selection.
func TestUnavailableMemberIsNotSelected(t *testing.T) {
	draining := func(s dhcatalog.UpstreamState) Registration {
		r := warmRegistration("u", "a", 4)
		r.record = r.record.WithState(s)
		return r
	}
	evacuated := warmRegistration("u", "a", 4)
	evacuated.evacuated = true
	for name, list := range map[string][]Registration{
		"draining": {draining(dhcatalog.UpstreamDraining)}, "gone": {draining(dhcatalog.UpstreamGone)},
		"evacuated": {evacuated}, "removed": nil,
	} {
		g := newTestGroup([]Registration{warmRegistration("u", "a", 4)})
		if g.Select(5, Criteria{Object: 1}) == nil {
			t.Fatal("the ready upstream was not selected")
		}
		g.Update(6, list, threeRegionTopology())
		if m := g.Select(7, Criteria{Object: 1}); m != nil {
			t.Errorf("%s upstream %s was selected", name, m.Name())
		}
	}
}

// TestMemberIsColdAfterAnEvacuation ends an evacuation: the upstream's caches may
// have expired meanwhile, so it must be cold for the service's cold-start time.
func TestMemberIsColdAfterAnEvacuation(t *testing.T) {
	g := newTestGroup([]Registration{warmRegistration("u", "a", 4)})
	evacuated := warmRegistration("u", "a", 4)
	evacuated.evacuated = true
	g.Update(1000, []Registration{evacuated}, threeRegionTopology())
	g.Update(2000, []Registration{warmRegistration("u", "a", 4)}, threeRegionTopology())
	m := g.Select(2001, Criteria{Object: 1})
	if m == nil || !m.Cold(2001+2900) || m.Cold(2001+3100) {
		t.Errorf("the member must be cold for 3000 ms after the evacuation ends at 2000: got %+v", m)
	}
}

// TestMisplacedMemberIsExcludedUntilItsRecordChanges ends an attempt with a
// response from another upstream at the address. The member must be excluded
// until it registers again.
func TestMisplacedMemberIsExcludedUntilItsRecordChanges(t *testing.T) {
	g := newTestGroup([]Registration{warmRegistration("u", "a", 4)})
	m := g.Select(5, Criteria{Object: 1})
	g.Acquire(5, m)
	g.Release(6, m, Misplaced, 1, Response{})
	g.Update(7, []Registration{warmRegistration("u", "a", 4)}, threeRegionTopology())
	if g.Select(8, Criteria{Object: 1}) != nil {
		t.Error("the member was selected although another upstream has its address")
	}
	next := warmRegistration("u", "a", 4)
	next.record = dhcatalog.NewUpstream(dhcatalog.UpstreamOptions{
		Name: "u", Service: "s", Address: "10.0.0.1:80", Zone: "a1", Slots: 4, Incarnation: 2,
	})
	g.Update(9, []Registration{next}, threeRegionTopology())
	if g.Select(10, Criteria{Object: 1}) == nil {
		t.Error("the member was not selected after it registered again")
	}
}

// TestColdRateIsNeverExceeded sends as fast as the group allows to a cold
// upstream. No window of a second may have more requests than its rate.
func TestColdRateIsNeverExceeded(t *testing.T) {
	topology := threeRegionTopology()
	topology.ColdRate = func(string) int { return 3 }
	cold := warmRegistration("u", "a", 4)
	cold.record = cold.record.WithColdReport(3000, 1)
	g := NewGroup("s")
	g.Update(0, []Registration{cold}, topology)
	var sent []dhclock.Millis
	for now := dhclock.Millis(1); now < 3000; now += 7 {
		if m := g.Select(now, Criteria{Object: 1}); m != nil {
			g.Acquire(now, m)
			g.Release(now, m, Answered, 1, Response{})
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
			t.Fatalf("%d requests within a second from %d ms, limit 3", count, at)
		}
	}
	if len(sent) < 9 {
		t.Errorf("%d requests sent in 3 s, want at least 9", len(sent))
	}
}

// TestOverloadedMemberOffloadsObjectsAndRegainsThem reports one upstream as
// overloaded and the others as idle. Only its own objects may move, a few per
// step, and all must return after the overload.
func TestOverloadedMemberOffloadsObjectsAndRegainsThem(t *testing.T) {
	g := newTestGroup([]Registration{warmRegistration("u0", "a", 4), warmRegistration("u1", "a", 4), warmRegistration("u2", "a", 4)})
	before := assignments(g, 3000)
	report := func(from, to dhclock.Millis, busy int) {
		for now := from; now < to; now += 250 {
			for _, m := range g.Members() {
				l := NewLoadReport(1, 0, 4)
				if m.Name() == "u0" {
					l = NewLoadReport(busy, 0, 4)
				}
				g.Acquire(now, m)
				g.Release(now, m, Answered, 10, Response{Load: &l})
			}
			g.Balance(now)
		}
	}
	moved := func() int {
		count := 0
		for i, name := range assignments(g, 3000) {
			if name != before[i] {
				if before[i] != "u0" {
					t.Fatalf("an object moved away from %s, which isn't overloaded", before[i])
				}
				count++
			}
		}
		return count
	}
	report(1000, 5000, 8)
	g.lastBalanced = 5000
	some := moved()
	if some == 0 || some > 600 {
		t.Errorf("%d of 3000 objects moved in 4 s, want 1 to 600", some)
	}
	report(5250, 40_000, 1)
	if back := moved(); back != 0 {
		t.Errorf("%d objects did not return after the overload", back)
	}
}

// TestOverloadRefusesLowPriorityFirst reports more requests than slots. While
// responses meet the objective, all requests must be admitted; once they are
// late, only a part, and fewer of low priority.
func TestOverloadRefusesLowPriorityFirst(t *testing.T) {
	g := newTestGroup([]Registration{warmRegistration("u", "a", 4)})
	m := g.Select(5, Criteria{Object: 1})
	l := NewLoadReport(4, 2, 4)
	for now := dhclock.Millis(10); now < 1000; now += 50 {
		g.Acquire(now, m)
		g.Release(now, m, Answered, 600, Response{Load: &l})
	}
	admitted := func(priority int, objective dhclock.Millis) int {
		count := 0
		for i := range 1000 {
			if g.Select(1000, Criteria{Object: 1, Random: uint64(i), Priority: priority, Objective: objective}) != nil {
				count++
			}
		}
		return count
	}
	if all := admitted(0, 5000); all != 1000 {
		t.Errorf("%d of 1000 requests admitted although responses meet the objective, want all", all)
	}
	high, low := admitted(0, 300), admitted(3, 300)
	if high <= low || low == 0 || high > 700 {
		t.Errorf("admitted %d requests of high and %d of low priority, of 1000 each", high, low)
	}
}

// BenchmarkGroupSelect measures one selection by object.
func BenchmarkGroupSelect(b *testing.B) {
	for _, n := range []int{36, 300} {
		g := newTestGroup(evenRegistrations(n))
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				g.Select(10, Criteria{Object: uint64(i), Objective: 300})
			}
		})
	}
}

// TestOverloadedRegionsDoNotSwapObjects reports the local region as overloaded.
// While the other regions are overloaded too, no objects may move; while they are
// idle, a part must.
func TestOverloadedRegionsDoNotSwapObjects(t *testing.T) {
	localShare := func(others int) float64 {
		g := newTestGroup(evenRegistrations(9))
		for now := dhclock.Millis(1000); now < 8000; now += 250 {
			for _, m := range g.Members() {
				l := NewLoadReport(others, 0, 4)
				if m.Region() == "a" {
					l = NewLoadReport(6, 0, 4)
				}
				g.Acquire(now, m)
				g.Release(now, m, Answered, 10, Response{Load: &l})
			}
			g.Balance(now)
		}
		return g.localShare / shareScale
	}
	if share := localShare(6); share < 1 {
		t.Errorf("with all regions overloaded, a share of %.2f of the objects stays local, want 1", share)
	}
	if share := localShare(1); share > 0.9 || share < 0.6 {
		t.Errorf("with the other regions idle, a share of %.2f of the objects stays local, want 0.6 to 0.9", share)
	}
}

// TestLimitMovesOnlyTheMembersOwnObjects has one of six upstreams report a limit of
// half of its usual rate. The objects of the others must not move, since each move is
// a cache miss, and it must go on to get a part of its own ones and no others.
func TestLimitMovesOnlyTheMembersOwnObjects(t *testing.T) {
	const objects, perSecond = 600, 60
	g := NewGroup("s")
	var list []Registration
	for i := range 6 {
		list = append(list, warmRegistration(fmt.Sprint("u", i), "a", 100))
	}
	g.Update(1, list, Topology{LocalRegion: "a", EntryInstances: map[string]int{"a": 1}, ColdRate: func(string) int { return -1 }})
	before := assignments(g, objects)
	limit := NewRateLimit(perSecond / 6 / 2 * dhmessage.Token)
	kept := 0
	for request := range 30 * perSecond {
		now := dhclock.Millis(1000 + request*1000/perSecond)
		g.Balance(now)
		i := request * 7 % objects
		m := g.Select(now, Criteria{Object: uint64(i + 1)})
		g.Acquire(now, m)
		response := Response{}
		if m.Name() == "u0" {
			response.Limit = &limit
			kept++
		}
		g.Release(now, m, Answered, 10, response)
		if m.Name() != before[i] && before[i] != "u0" {
			t.Fatalf("object %d of %s was sent to %s", i, before[i], m.Name())
		}
	}
	if allowed := 30 * perSecond / 6 / 2; kept < allowed/2 || kept > allowed*3/2 {
		t.Errorf("the limited upstream got %d requests, its limit allows %d", kept, allowed)
	}
}

// TestLimitFractionsAddUpToOne adds up the fractions that all instances compute for
// each upstream, in regions with more demand than slots and with more slots than
// demand.
func TestLimitFractionsAddUpToOne(t *testing.T) {
	entries := map[string]int{"a": 5, "b": 2, "c": 1, "none": 2}
	list := []Registration{
		warmRegistration("u1", "a", 2), warmRegistration("u2", "b", 9), warmRegistration("u3", "b", 1), warmRegistration("u4", "c", 4),
	}
	sums := map[string]float64{}
	for region, n := range entries {
		g := NewGroup("s")
		g.Update(1, list, Topology{LocalRegion: region, EntryInstances: entries, ColdRate: func(string) int { return -1 }})
		for _, m := range g.Members() {
			sums[m.Name()] += float64(n) * m.limitFraction
		}
	}
	for name, sum := range sums {
		if sum < 0.999 || sum > 1.001 {
			t.Errorf("the fractions of %s add up to %g, want 1", name, sum)
		}
	}
}

// TestOddLoadReportsShiftObjects lets an upstream report loads that no upstream can have, and
// then its true, low load. It must not look idle after the first ones, and its offloaded share
// and the local region's share must not depend on them longer than on a report of full load.
func TestOddLoadReportsShiftObjects(t *testing.T) {
	for _, odd := range []LoadReport{
		NewLoadReport(math.MaxInt, math.MaxInt, 1), NewLoadReport(math.MaxInt, 0, 1), NewLoadReport(1, math.MaxInt, 0), NewLoadReport(1_000_000, 0, 1),
	} {
		reported := map[LoadReport]int{odd: 0, fullLoad: 0}
		for first := range reported {
			var s loadStats
			s.recordLoad(1000, first)
			if s.utilisation <= highUtilisation {
				t.Errorf("after the report %+v the utilisation is %v", first, s.utilisation)
			}
			for s.utilisation > lowUtilisation && reported[first] < 1000 {
				reported[first]++
				s.recordLoad(1000, NewLoadReport(0, 0, 8))
			}
		}
		if reported[odd] > reported[fullLoad]+8 {
			t.Errorf("the report %+v counts for %d further reports, one of full load for %d", odd, reported[odd], reported[fullLoad])
		}
	}
}
