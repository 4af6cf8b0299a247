package dhprocess

import (
	"testing"
	"time"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhview"
)

// TestInstanceIsReadyBeforeItsTrafficStateHasTheConfiguration publishes a confirmed view while the
// events of the traffic state wait. The instance must not be ready, since it refuses requests.
func TestInstanceIsReadyBeforeItsTrafficStateHasTheConfiguration(t *testing.T) {
	c := newCluster(t, 1)
	p := New(c.options("z00-000", "z00", "entry"))
	p.initEntry(1)
	p.publish(dhview.New(dhview.Options{Catalog: dhcatalog.New(), EverConfirmed: true, ConfirmedAt: p.options.Clock.Now() + 1000}))
	if p.Ready() == nil {
		t.Error("the instance is ready before its traffic state has the configuration")
	}
	go p.runTrafficEvents()
	defer p.cancel()
	for range 1000 {
		if p.Ready() == nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("the instance isn't ready 1 s after its traffic state has the configuration")
}

// TestControlProcessIsReadyWithoutItsLoop has the loop of a control process publish nothing for longer
// than the freshness lease. The grace period of an organisation must not keep the process ready.
func TestControlProcessIsReadyWithoutItsLoop(t *testing.T) {
	catalog, err := dhcatalog.New().Apply(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{ID: "grace", Author: "test", Puts: []dhcatalog.Object{
		dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: "o", StaleGrace: dhcatalog.MaxStaleGrace}),
	}}))
	if err != nil {
		t.Fatal(err)
	}
	c := newCluster(t, 1)
	p := New(c.options("c2", "", "control"))
	for age, want := range map[dhclock.Millis]bool{dhview.FreshnessLease - 1000: true, dhview.FreshnessLease + 1000: false} {
		p.publish(dhview.New(dhview.Options{Catalog: catalog, EverConfirmed: true, ConfirmedAt: p.options.Clock.Now() - age}))
		if err := p.Ready(); (err == nil) != want {
			t.Errorf("%v ms after the last confirmation the process says %v; ready: want %v", age, err, want)
		}
	}
}
