package dhprocess

import (
	"testing"
	"time"

	"dogwoodhitch/core/dhcatalog"
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
