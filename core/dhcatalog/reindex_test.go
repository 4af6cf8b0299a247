package dhcatalog

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// drawObject returns an object with one of few names and contents, so that the
// same objects are often created, changed and deleted.
func drawObject(t *rapid.T) Object {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
	other := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "other")
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		return NewZone(ZoneOptions{Name: name, Region: other})
	case 1:
		return NewOrganisation(OrganisationOptions{Name: name, StaleGrace: 1000})
	case 2:
		return NewKey(KeyOptions{Name: name, Organisation: other, Hash: Hash{name[0], other[0]}})
	case 3:
		return NewInstance(InstanceOptions{Name: name, Zone: other, CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2"})
	case 4:
		return NewSite(SiteOptions{Name: name, Zone: other, TimeToLive: 1000, Default: name == "a"})
	case 5:
		return NewEvacuation(other)
	case 6:
		return NewDrain(DrainOptions{Name: name, Target: NewRef(KindZone, other), Ramp: 60_000})
	default:
		return NewUpstream(UpstreamOptions{
			Name: name, Service: other, Zone: "z", Slots: 1, Incarnation: 1,
			Address: "10.0.0.1:" + fmt.Sprint(1000+int(rapid.SampledFrom([]byte("123")).Draw(t, "port"))),
		})
	}
}

// TestIncrementalIndexMatchesRebuild applies random change sets and compares
// the index, which shares parts with earlier versions, with an index that is
// built from all objects. A part that is shared although its objects have changed
// would answer look-ups with outdated objects.
func TestIncrementalIndexMatchesRebuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			o := ChangeSetOptions{ID: "x", Base: c.Version(), Author: "test"}
			for range rapid.IntRange(0, 3).Draw(t, "puts") {
				o.Puts = append(o.Puts, drawObject(t))
			}
			for _, r := range c.refs {
				if rapid.IntRange(0, 9).Draw(t, "delete") == 0 {
					o.Deletes = append(o.Deletes, r)
				}
			}
			next, err := c.Apply(NewChangeSet(o))
			if err != nil {
				continue
			}
			c = next
			checkIndexMatchesRebuild(t, c)
		}
	})
}

// checkIndexMatchesRebuild compares the references and the index of a catalog
// with its objects.
func checkIndexMatchesRebuild(t *rapid.T, c *Catalog) {
	for i, r := range c.refs {
		if i > 0 && compareRefs(c.refs[i-1], r) >= 0 || c.objects[r] == nil {
			t.Fatalf("references are not sorted or name a missing object: %v of objects %v", c.refs, c.objects)
		}
	}
	if len(c.refs) != len(c.objects) {
		t.Fatalf("%d references %v of %d objects %v", len(c.refs), c.refs, len(c.objects), c.objects)
	}
	names := map[Kind][]string{}
	for _, r := range c.refs {
		names[r.kind] = append(names[r.kind], r.name)
	}
	for _, kind := range Kinds() {
		if names[kind] == nil {
			names[kind] = []string{}
		}
	}
	if rebuilt := c.reindexed(&index{}, nil, names); !reflect.DeepEqual(c.index, rebuilt) {
		t.Fatalf("the incremental index is\n%+v\nand the rebuilt one\n%+v", c.index, rebuilt)
	}
}

// BenchmarkRegister applies the registration of one upstream to a catalog of
// 400 upstreams, 95 instances, 95 organisations and 95 keys.
func BenchmarkRegister(b *testing.B) {
	puts := []Object{NewZone(ZoneOptions{Name: "z", Region: "r"})}
	for i := range 95 {
		puts = append(puts, NewInstance(InstanceOptions{Name: fmt.Sprint("i", i), Zone: "z", CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2"}))
		puts = append(puts, NewOrganisation(OrganisationOptions{Name: fmt.Sprint("o", i)}))
		puts = append(puts, NewKey(KeyOptions{Name: fmt.Sprint("k", i), Organisation: fmt.Sprint("o", i), Hash: Hash{byte(i), 1}}))
	}
	upstream := func(i int, address string) Upstream {
		return NewUpstream(UpstreamOptions{
			Name: fmt.Sprint("u", i), Service: fmt.Sprint("s", i%3), Address: address, Zone: "z", Slots: 9, Incarnation: 1,
		})
	}
	for i := range 400 {
		puts = append(puts, upstream(i, fmt.Sprintf("10.0.0.1:%d", 1000+i)))
	}
	c := apply(b, New(), puts, nil)
	set := NewChangeSet(ChangeSetOptions{ID: "x", Base: c.Version(), Author: "test", Puts: []Object{upstream(7, "10.0.0.2:1")}})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Apply(set); err != nil {
			b.Fatal(err)
		}
	}
}

// TestRevisionMissesChange applies random change sets. The revision of a kind must rise with
// each version in which one of its objects differs, also after the catalog was restored.
func TestRevisionMissesChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New()
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			o := ChangeSetOptions{ID: "x", Base: c.Version(), Author: "test"}
			for range rapid.IntRange(1, 3).Draw(t, "puts") {
				o.Puts = append(o.Puts, drawObject(t))
			}
			next, err := c.Apply(NewChangeSet(o))
			if err != nil {
				continue
			}
			if rapid.IntRange(0, 4).Draw(t, "restore") == 0 {
				var objects []Object
				for _, r := range next.refs {
					objects = append(objects, next.objects[r])
				}
				b := &Builder{}
				b.AddObjects(objects)
				if next, err = b.Catalog(next.version); err != nil {
					t.Fatal(err)
				}
			}
			for _, kind := range Kinds() {
				if c.Revision(kind) == next.Revision(kind) && !reflect.DeepEqual(c.List(kind), next.List(kind)) {
					t.Fatalf("%s objects %v became %v at revision %d", kind, c.List(kind), next.List(kind), c.Revision(kind))
				}
			}
			c = next
		}
	})
}
