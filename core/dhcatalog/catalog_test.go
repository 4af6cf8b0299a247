package dhcatalog

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestMain sets a fixed seed for rapid unless the command line sets another.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// newCatalogWithSites returns version 1 with the zone z, the sites s0, s1 and
// so on up to n, and more objects.
func newCatalogWithSites(t testing.TB, n int, more ...Object) *Catalog {
	t.Helper()
	puts := append([]Object{NewZone(ZoneOptions{Name: "z", Region: "r"})}, more...)
	for i := range n {
		puts = append(puts, NewSite(SiteOptions{Name: fmt.Sprint("s", i), Zone: "z", TimeToLive: 1000}))
	}
	return apply(t, New(), puts, nil)
}

func apply(t testing.TB, c *Catalog, puts []Object, blocks []BlockChange) *Catalog {
	t.Helper()
	next, err := c.Apply(NewChangeSet(ChangeSetOptions{ID: "x", Base: c.Version(), Author: "test", Puts: puts, Blocks: blocks}))
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// TestApplyRejectsInvalidChangeSets applies change sets with one problem each.
// The error names the problem or its remedy.
func TestApplyRejectsInvalidChangeSets(t *testing.T) {
	cases := []struct {
		name string
		set  ChangeSetOptions
		text string // part of the error
	}{
		{"missing reference", ChangeSetOptions{Puts: []Object{NewSite(SiteOptions{Name: "s", Zone: "none", TimeToLive: 1})}}, "zone/none"},
		{"invalid name", ChangeSetOptions{Puts: []Object{NewOrganisation(OrganisationOptions{Name: "a b"})}}, "letters"},
		{"object put twice", ChangeSetOptions{Puts: []Object{NewService(ServiceOptions{Name: "s"}), NewService(ServiceOptions{Name: "s"})}}, "once"},
		{"value out of range", ChangeSetOptions{Puts: []Object{NewService(ServiceOptions{Name: "s", SpillPercent: 200})}}, "from 0 to 100"},
		{"host name as address", ChangeSetOptions{Puts: []Object{NewInstance(InstanceOptions{Name: "i", Zone: "z", CallerAddress: "host:1", PeerAddress: "10.0.0.1:1"})}}, "IP number"},
		{"delete a referenced zone", ChangeSetOptions{Deletes: []Ref{NewRef(KindZone, "z")}}, "zone/z"},
		{"delete a missing object", ChangeSetOptions{Deletes: []Ref{NewRef(KindZone, "q")}}, "no such object"},
		{"two keys with one hash", ChangeSetOptions{Puts: []Object{
			NewOrganisation(OrganisationOptions{Name: "o"}),
			NewKey(KeyOptions{Name: "a", Organisation: "o", Hash: Hash{1}}), NewKey(KeyOptions{Name: "b", Organisation: "o", Hash: Hash{1}}),
		}}, "another secret"},
		{"claim on an open route", ChangeSetOptions{Puts: []Object{
			NewService(ServiceOptions{Name: "s"}),
			NewRoute(RouteOptions{Name: "r", PathPrefix: "/", Service: "s", Open: true, ClaimRequired: true, Timeout: 1, Retention: 1}),
		}}, "claimRequired"},
		{"drain ramp below the time to live", ChangeSetOptions{Puts: []Object{NewDrain(DrainOptions{Name: "d", Target: NewRef(KindZone, "z"), Ramp: 10})}}, "time to live"},
		{"overlapping blocks", ChangeSetOptions{Blocks: []BlockChange{
			NewBlockChange(NewBlock(1<<40, 24, false), "s0"), NewBlockChange(NewBlock(1<<40, 28, false), "s0"),
		}}, "overlaps"},
		{"link to a region without zones", ChangeSetOptions{Puts: []Object{NewLink(LinkOptions{Name: "l", Regions: [2]string{"r", "q"}, KilobytesPerSecond: 1})}}, "no zone is in"},
		{"empty change set", ChangeSetOptions{}, "at least one"},
	}
	c := newCatalogWithSites(t, 1)
	for _, x := range cases {
		x.set.ID, x.set.Author, x.set.Base = "x", "test", c.Version()
		_, err := c.Apply(NewChangeSet(x.set))
		var invalid InvalidError
		if !errors.As(err, &invalid) || !strings.Contains(err.Error(), x.text) {
			t.Errorf("%s: got error %v, want an InvalidError with %q", x.name, err, x.text)
		}
	}
}

// TestBlockTableMatchesMap applies random block changes to a catalog and to a
// map and compares look-ups of every block. A change rebuilds the chunks of the
// table that it modifies; a mistake there loses blocks or assigns them to the
// wrong site.
func TestBlockTableMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, err := New().Apply(NewChangeSet(ChangeSetOptions{ID: "x", Author: "test", Puts: []Object{
			NewZone(ZoneOptions{Name: "z", Region: "r"}),
			NewSite(SiteOptions{Name: "s0", Zone: "z", TimeToLive: 1}), NewSite(SiteOptions{Name: "s1", Zone: "z", TimeToLive: 1}),
		}}))
		if err != nil {
			t.Fatal(err)
		}
		model := map[uint64]string{}
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			var blocks []BlockChange
			seen := map[uint64]bool{}
			for range rapid.IntRange(1, 3000).Draw(t, "edits") {
				start := uint64(rapid.IntRange(0, 5000).Draw(t, "block")) << 40
				if seen[start] {
					continue
				}
				seen[start] = true
				site := rapid.SampledFrom([]string{"s0", "s1", ""}).Draw(t, "site")
				if _, found := model[start]; site == "" && !found {
					continue
				}
				blocks = append(blocks, NewBlockChange(NewBlock(start, 24, false), site))
				if model[start] = site; site == "" {
					delete(model, start)
				}
			}
			if len(blocks) == 0 {
				continue
			}
			if c, err = c.Apply(NewChangeSet(ChangeSetOptions{ID: "x", Base: c.Version(), Author: "test", Blocks: blocks})); err != nil {
				t.Fatal(err)
			}
		}
		for i := range uint64(5001) {
			site, found := c.SiteOf(i<<40|77, false)
			if want, has := model[i<<40]; has != found || found && site.Name() != want {
				t.Fatalf("block %d is assigned to %q, want %q", i, site.Name(), want)
			}
		}
		if c.BlockCount() != len(model) {
			t.Fatalf("catalog holds %d blocks, want %d", c.BlockCount(), len(model))
		}
	})
}

// TestRollback creates, changes and deletes objects and blocks in three change
// sets and reverts them with a single one. The object that one of them creates
// and a later one deletes must be left out: deleting it again would be refused.
func TestRollback(t *testing.T) {
	start := newCatalogWithSites(t, 2, NewOrganisation(OrganisationOptions{Name: "kept"}), NewOrganisation(OrganisationOptions{Name: "changed", Weight: 1}))
	block := NewBlock(5<<40, 24, false)
	start = apply(t, start, nil, []BlockChange{NewBlockChange(block, "s0")})
	c := start
	var undos []ChangeSet
	for _, o := range []ChangeSetOptions{
		{Puts: []Object{NewOrganisation(OrganisationOptions{Name: "new"}), NewOrganisation(OrganisationOptions{Name: "brief"}), NewOrganisation(OrganisationOptions{Name: "changed", Weight: 2})}},
		{Puts: []Object{NewOrganisation(OrganisationOptions{Name: "changed", Weight: 3})}, Blocks: []BlockChange{NewBlockChange(block, "s1")}},
		{Deletes: []Ref{NewRef(KindOrganisation, "kept"), NewRef(KindOrganisation, "brief")}, Blocks: []BlockChange{NewBlockChange(block, ""), NewBlockChange(NewBlock(9<<40, 24, true), "s1")}},
	} {
		o.ID, o.Author, o.Base = "x", "test", c.Version()
		set := NewChangeSet(o)
		undos = append(undos, c.Undo(set))
		next, err := c.Apply(set)
		if err != nil {
			t.Fatal(err)
		}
		c = next
	}
	restored, err := c.Apply(c.Rollback(ChangeSetOptions{ID: "back", Author: "test", Base: c.Version()}, undos))
	if err != nil {
		t.Fatal(err)
	}
	if !maps.EqualFunc(restored.objects, start.objects, equalObjects) || restored.BlockCount() != 1 {
		t.Errorf("after the rollback: got objects %v and %d blocks, want %v and 1 block", restored.objects, restored.BlockCount(), start.objects)
	}
	if s, found := restored.SiteOf(5<<40|1, false); !found || s.Name() != "s0" {
		t.Errorf("after the rollback the block is assigned to %q, want s0", s.Name())
	}
}

// newCatalogWithBlocks returns a catalog with a number of IPv4 blocks and 260
// sites. The target size of the system is 2.4 million blocks.
func newCatalogWithBlocks(b testing.TB, blocks int) *Catalog {
	const sites = 260
	c := newCatalogWithSites(b, sites)
	list := make([]BlockChange, 0, blocks)
	for i := range blocks {
		list = append(list, NewBlockChange(NewBlock(uint64(i)<<40, 24, false), fmt.Sprint("s", i%sites)))
	}
	return apply(b, c, nil, list)
}

// BenchmarkLookUp looks up the sites of random addresses and reports the heap
// bytes per block.
func BenchmarkLookUp(b *testing.B) {
	for _, blocks := range []int{600_000, 1_200_000, 2_400_000} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := newCatalogWithBlocks(b, blocks)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.Run(fmt.Sprint(blocks), func(b *testing.B) {
			b.ReportAllocs()
			addresses := make([]uint64, 1<<16)
			random := uint64(1)
			for i := range addresses {
				random = random*6364136223846793005 + 1442695040888963407
				addresses[i] = random % (uint64(blocks) << 40)
			}
			for i := 0; b.Loop(); i++ {
				c.SiteOf(addresses[i%len(addresses)], false)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(blocks), "B/block")
		})
		runtime.KeepAlive(c)
	}
}

// BenchmarkBlockDelta applies a change of one block to a table of 2.4 million.
func BenchmarkBlockDelta(b *testing.B) {
	c := newCatalogWithBlocks(b, 2_400_000)
	set := NewChangeSet(ChangeSetOptions{
		ID: "x", Base: c.Version(), Author: "test",
		Blocks: []BlockChange{NewBlockChange(NewBlock(77<<40, 24, false), "s1")},
	})
	for b.Loop() {
		if _, err := c.Apply(set); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkApply applies a change of one object to configurations of several
// sizes and reports the heap bytes per object.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{1000, 2000, 4000} {
		var puts []Object
		for i := range n {
			puts = append(puts, NewOrganisation(OrganisationOptions{Name: fmt.Sprint("o", i)}))
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := apply(b, New(), puts, nil)
		runtime.GC()
		runtime.ReadMemStats(&after)
		set := NewChangeSet(ChangeSetOptions{ID: "x", Base: 1, Author: "test", Puts: puts[:1]})
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if _, err := c.Apply(set); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/object")
		})
		runtime.KeepAlive(c)
	}
}
