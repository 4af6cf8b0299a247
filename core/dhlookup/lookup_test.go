package dhlookup

import (
	"fmt"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhview"
)

// newTestCatalog returns two regions with two zones each, and three instances in
// each zone; blocks point to the first zone.
func newTestCatalog(t testing.TB, more ...dhcatalog.Object) *dhcatalog.Catalog {
	t.Helper()
	puts := more
	for _, z := range []string{"a1", "a2", "b1", "b2"} {
		puts = append(puts, dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: z, Region: z[:1]}),
			dhcatalog.NewSite(dhcatalog.SiteOptions{Name: "site-" + z, Zone: z, TimeToLive: 1000}))
		for i := range 3 {
			puts = append(puts, dhcatalog.NewInstance(dhcatalog.InstanceOptions{
				Name: fmt.Sprintf("%s-%d", z, i), Zone: z, CallerAddress: "10.0.0.1:80", PeerAddress: "10.0.0.1:81",
			}))
		}
	}
	var blocks []dhcatalog.BlockChange
	for i := range uint64(1000) {
		blocks = append(blocks, dhcatalog.NewBlockChange(dhcatalog.NewBlock(i<<40, 24, false), "site-a1"))
	}
	c, err := dhcatalog.New().Apply(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{ID: "x", Author: "test", Puts: puts, Blocks: blocks}))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// countByZone counts the look-ups of 1000 blocks by the zone that they are sent to.
func countByZone(now dhclock.Millis, v *dhview.View) map[string]int {
	count := map[string]int{}
	for i := range uint64(1000) {
		a := Find(now, v, i<<40|5, false)
		count[a.Zone()]++
	}
	return count
}

func TestAnswerNamesTheNearestAvailableInstances(t *testing.T) {
	c := newTestCatalog(t)
	v := dhview.New(dhview.Options{Catalog: c})
	if got := countByZone(0, v); got["a1"] != 1000 {
		t.Errorf("all well: %v", got)
	}
	away := []dhmessage.UnavailableInstance{dhmessage.NewUnavailableInstance("a1-0", true), dhmessage.NewUnavailableInstance("a1-1", false)}
	v = dhview.New(dhview.Options{Catalog: c, Unavailable: away})
	for i := range uint64(1000) {
		a := Find(0, v, i<<40, false)
		if list := a.Targets(); len(list) != 1 || list[0].Name() != "a1-2" {
			t.Fatalf("with two instances away: %v", list)
		}
	}
	v = dhview.New(dhview.Options{Catalog: c, Unavailable: append(away, dhmessage.NewUnavailableInstance("a1-2", false))})
	if got := countByZone(0, v); got["a2"] != 1000 {
		t.Errorf("with the zone away, its region should serve: %v", got)
	}
	for i := range 3 {
		away = append(away, dhmessage.NewUnavailableInstance(fmt.Sprint("a2-", i), false))
	}
	v = dhview.New(dhview.Options{Catalog: c, Unavailable: append(away, dhmessage.NewUnavailableInstance("a1-2", false))})
	if got := countByZone(0, v); got["b1"]+got["b2"] != 1000 || got["b1"] < 400 || got["b2"] < 400 {
		t.Errorf("with the region away, the other one should share: %v", got)
	}
}

// TestDrainMovesNoMoreThanItsRampPerTimeToLive follows a drain over its ramp. In no time to live do
// more look-ups move than the ramp's share of it, so that answers still cached
// and new ones together stay under the planned step.
func TestDrainMovesNoMoreThanItsRampPerTimeToLive(t *testing.T) {
	const ramp, timeToLive dhclock.Millis = 10_000, 1000
	c := newTestCatalog(t, dhcatalog.NewDrain(dhcatalog.DrainOptions{
		Name: "d", Target: dhcatalog.NewRef(dhcatalog.KindZone, "a1"), Ramp: ramp,
	}))
	v := dhview.New(dhview.Options{Catalog: c, DrainStarts: map[string]dhclock.Millis{"d": 5000}})
	before := 0
	for now := dhclock.Millis(5000); now <= 5000+ramp; now += timeToLive {
		moved := 1000 - countByZone(now, v)["a1"]
		if step := moved - before; step > 1000*int(timeToLive)/int(ramp)+60 {
			t.Errorf("at %d: %d look-ups in a thousand moved within one time to live", now, step)
		}
		if moved < before {
			t.Errorf("at %d: look-ups came back", now)
		}
		before = moved
	}
	if before != 1000 {
		t.Errorf("%d of 1000 look-ups moved by the end", before)
	}
}

// TestRegionDrainMovesAllItsZones moves both zones of a region away together.
func TestRegionDrainMovesAllItsZones(t *testing.T) {
	c := newTestCatalog(t, dhcatalog.NewDrain(dhcatalog.DrainOptions{
		Name: "d", Target: dhcatalog.NewRef(dhcatalog.KindRegion, "a"), Ramp: 10_000,
	}))
	v := dhview.New(dhview.Options{Catalog: c, DrainStarts: map[string]dhclock.Millis{"d": 0}})
	if got := countByZone(5000, v); got["a2"] > 0 || got["a1"] < 400 || got["a1"] > 600 {
		t.Errorf("half way: %v", got)
	}
	if got := countByZone(10_000, v); got["b1"]+got["b2"] != 1000 {
		t.Errorf("in the end: %v", got)
	}
}

// TestRegionFailureDuringADrainLeavesTargets takes one region away in the middle of a
// drain of a zone in the other: every client is still sent to a live instance
// that isn't drained for it.
func TestRegionFailureDuringADrainLeavesTargets(t *testing.T) {
	c := newTestCatalog(t, dhcatalog.NewDrain(dhcatalog.DrainOptions{
		Name: "d", Target: dhcatalog.NewRef(dhcatalog.KindZone, "a1"), Ramp: 10_000,
	}))
	var away []dhmessage.UnavailableInstance
	for _, z := range []string{"b1", "b2"} {
		for i := range 3 {
			away = append(away, dhmessage.NewUnavailableInstance(fmt.Sprintf("%s-%d", z, i), false))
		}
	}
	v := dhview.New(dhview.Options{Catalog: c, Unavailable: away, DrainStarts: map[string]dhclock.Millis{"d": 0}})
	for now := dhclock.Millis(0); now <= 10_000; now += 1000 {
		got := countByZone(now, v)
		if got["a1"]+got["a2"] != 1000 || got["a2"] < int(now/10)-60 {
			t.Errorf("at %d: %v", now, got)
		}
	}
}

func BenchmarkFind(b *testing.B) {
	v := dhview.New(dhview.Options{Catalog: newTestCatalog(b)})
	b.ReportAllocs()
	address := uint64(1)
	for b.Loop() {
		address += 1 << 40
		Find(0, v, address%(1000<<40), false)
	}
}
