package dhtraffic

import (
	"fmt"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhview"
)

// largeFleet returns the objects of a fleet of 273 instances, 891 upstreams of three services
// and 190 organisations.
func largeFleet() []dhcatalog.Object {
	var puts []dhcatalog.Object
	for z := range 9 {
		zone := fmt.Sprint("z", z)
		puts = append(puts, dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: zone, Region: fmt.Sprint("r", z%3)}))
		for i := range 30 {
			puts = append(puts, dhcatalog.NewInstance(dhcatalog.InstanceOptions{
				Name: fmt.Sprintf("%s-%02d", zone, i), Zone: zone, CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2",
			}))
		}
	}
	for i := range 3 {
		name := fmt.Sprint("s", i)
		puts = append(puts, dhcatalog.NewService(dhcatalog.ServiceOptions{Name: name, ColdRate: 2800}),
			dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: name, PathPrefix: "/" + name + "/", Service: name, Open: true, Timeout: 1000}))
	}
	for i := range 891 {
		puts = append(puts, fleetUpstream(i, 1))
	}
	for i := range 190 {
		name := fmt.Sprint("o", i)
		puts = append(puts, dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: name}),
			dhcatalog.NewKey(dhcatalog.KeyOptions{Name: name, Organisation: name, Hash: dhcatalog.Hash{byte(i), 1}}),
			dhcatalog.NewLimit(dhcatalog.LimitOptions{Name: name, Organisation: name, Rate: 100, Burst: 100}))
	}
	return puts
}

func fleetUpstream(i int, incarnation int64) dhcatalog.Upstream {
	return dhcatalog.NewUpstream(dhcatalog.UpstreamOptions{
		Name: fmt.Sprintf("u%03d", i), Service: fmt.Sprint("s", i%3), Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250+1),
		Zone: fmt.Sprint("z", i/3%9), Slots: 9, Incarnation: incarnation,
	})
}

// BenchmarkNewVersion measures what each version of a large fleet's configuration costs an
// instance: one upstream registers again.
func BenchmarkNewVersion(b *testing.B) {
	c, err := dhcatalog.New().Apply(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{ID: "x", Author: "test", Puts: largeFleet()}))
	if err != nil {
		b.Fatal(err)
	}
	s := New(Options{Instance: "z0-00", Zone: "z0"})
	now := dhclock.Millis(10_000)
	publish := func() {
		s.HandleView(dhevent.NewViewPublished(now, dhevent.ViewPublishedOptions{
			View: dhview.New(dhview.Options{Catalog: c, EverConfirmed: true, ConfirmedAt: now}),
		}))
	}
	publish()
	i := 0
	for b.Loop() {
		i++
		now += 10
		c, err = c.Follow(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
			ID: fmt.Sprint(i), Base: c.Version(), Author: "test", Puts: []dhcatalog.Object{fleetUpstream(i%891, int64(i+1))},
		}))
		if err != nil {
			b.Fatal(err)
		}
		publish()
	}
}

// TestVersionOfOneUpstreamCostsTheWholeFleet counts what a version that changes one upstream of
// a large fleet allocates at an instance: it must stay far below one allocation for each
// upstream and organisation.
func TestVersionOfOneUpstreamCostsTheWholeFleet(t *testing.T) {
	c, err := dhcatalog.New().Apply(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{ID: "x", Author: "test", Puts: largeFleet()}))
	if err != nil {
		t.Fatal(err)
	}
	s := New(Options{Instance: "z0-00", Zone: "z0"})
	i := 0
	publish := func() {
		i++
		s.HandleView(dhevent.NewViewPublished(10_000, dhevent.ViewPublishedOptions{
			View: dhview.New(dhview.Options{Catalog: c, EverConfirmed: true, ConfirmedAt: 10_000}),
		}))
	}
	publish()
	got := testing.AllocsPerRun(20, func() {
		next, err := c.Follow(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
			ID: fmt.Sprint(i), Base: c.Version(), Author: "test", Puts: []dhcatalog.Object{fleetUpstream(i, int64(i+1))},
		}))
		if err != nil {
			t.Fatal(err)
		}
		c = next
		publish()
	})
	if got > 300 {
		t.Errorf("a version allocates %.0f times, want at most 300", got)
	}
}
