package dhlookup

import (
	"fmt"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhview"
)

// newTestCatalog returns a catalog of two regions with two zones each and three
// instances per zone. All address blocks belong to the site of the first zone.
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

// countByZone looks up 1000 blocks and counts the answers by zone.
func countByZone(now dhclock.Millis, v *dhview.View) map[string]int {
	count := map[string]int{}
	for i := range uint64(1000) {
		a := Find(now, v, i<<40|5, false)
		count[a.Zone()]++
	}
	return count
}

// TestAnswerNamesTheNearestAvailableInstances makes two instances, then their
// zone, then their region unavailable. Answers must name the nearest instances
// that are left, and must spread the clients of the failed region evenly over the
// zones of the other one, so that no zone gets them all.
func TestAnswerNamesTheNearestAvailableInstances(t *testing.T) {
	c := newTestCatalog(t)
	v := dhview.New(dhview.Options{Catalog: c})
	if got := countByZone(0, v); got["a1"] != 1000 {
		t.Errorf("with all instances available, look-ups by zone are %v, want all in a1", got)
	}
	unavailable := []dhmessage.UnavailableInstance{dhmessage.NewUnavailableInstance("a1-0", true), dhmessage.NewUnavailableInstance("a1-1", false)}
	v = dhview.New(dhview.Options{Catalog: c, Unavailable: unavailable})
	for i := range uint64(1000) {
		a := Find(0, v, i<<40, false)
		if list := a.Targets(); len(list) != 1 || list[0].Name() != "a1-2" {
			t.Fatalf("with two instances of a1 unavailable, targets are %v, want only a1-2", list)
		}
	}
	v = dhview.New(dhview.Options{Catalog: c, Unavailable: append(unavailable, dhmessage.NewUnavailableInstance("a1-2", false))})
	if got := countByZone(0, v); got["a2"] != 1000 {
		t.Errorf("with zone a1 unavailable, look-ups by zone are %v, want all in a2", got)
	}
	for i := range 3 {
		unavailable = append(unavailable, dhmessage.NewUnavailableInstance(fmt.Sprint("a2-", i), false))
	}
	v = dhview.New(dhview.Options{Catalog: c, Unavailable: append(unavailable, dhmessage.NewUnavailableInstance("a1-2", false))})
	if got := countByZone(0, v); got["b1"]+got["b2"] != 1000 || got["b1"] < 400 || got["b2"] < 400 {
		t.Errorf("with region a unavailable, look-ups by zone are %v, want an even split of b1 and b2", got)
	}
}

// TestDrainMovesNoMoreThanItsRampPerTimeToLive follows a drain over its ramp. The
// look-ups that move within one time to live must not exceed its share of the
// ramp: cached and new answers would otherwise add up to more load than planned.
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
			t.Errorf("at %d ms: %d of 1000 look-ups moved within one time to live", now, step)
		}
		if moved < before {
			t.Errorf("at %d ms: look-ups moved back to the drained zone", now)
		}
		before = moved
	}
	if before != 1000 {
		t.Errorf("%d of 1000 look-ups moved by the end of the ramp, want all", before)
	}
}

// TestRegionDrainMovesAllItsZones drains a region: half of the look-ups must have
// left it half-way through the ramp, and none may fall back to its second zone.
func TestRegionDrainMovesAllItsZones(t *testing.T) {
	c := newTestCatalog(t, dhcatalog.NewDrain(dhcatalog.DrainOptions{
		Name: "d", Target: dhcatalog.NewRef(dhcatalog.KindRegion, "a"), Ramp: 10_000,
	}))
	v := dhview.New(dhview.Options{Catalog: c, DrainStarts: map[string]dhclock.Millis{"d": 0}})
	if got := countByZone(5000, v); got["a2"] > 0 || got["a1"] < 400 || got["a1"] > 600 {
		t.Errorf("half-way through the ramp, look-ups by zone are %v, want half in a1 and none in a2", got)
	}
	if got := countByZone(10_000, v); got["b1"]+got["b2"] != 1000 {
		t.Errorf("after the ramp, look-ups by zone are %v, want all in region b", got)
	}
}

// TestRegionFailureDuringADrainLeavesTargets fails one region during the drain of
// a zone in the other. Every client must still get an available instance that
// isn't drained for it.
func TestRegionFailureDuringADrainLeavesTargets(t *testing.T) {
	c := newTestCatalog(t, dhcatalog.NewDrain(dhcatalog.DrainOptions{
		Name: "d", Target: dhcatalog.NewRef(dhcatalog.KindZone, "a1"), Ramp: 10_000,
	}))
	var unavailable []dhmessage.UnavailableInstance
	for _, z := range []string{"b1", "b2"} {
		for i := range 3 {
			unavailable = append(unavailable, dhmessage.NewUnavailableInstance(fmt.Sprintf("%s-%d", z, i), false))
		}
	}
	v := dhview.New(dhview.Options{Catalog: c, Unavailable: unavailable, DrainStarts: map[string]dhclock.Millis{"d": 0}})
	for now := dhclock.Millis(0); now <= 10_000; now += 1000 {
		got := countByZone(now, v)
		if got["a1"]+got["a2"] != 1000 || got["a2"] < int(now/10)-60 {
			t.Errorf("at %d ms: look-ups by zone are %v, want all in region a and the drained share in a2", now, got)
		}
	}
}

// BenchmarkFind measures one look-up of a client address.
func BenchmarkFind(b *testing.B) {
	v := dhview.New(dhview.Options{Catalog: newTestCatalog(b)})
	b.ReportAllocs()
	address := uint64(1)
	for b.Loop() {
		address += 1 << 40
		Find(0, v, address%(1000<<40), false)
	}
}
