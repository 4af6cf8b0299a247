package dhreducer

import (
	"fmt"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
)

// isReady reports whether a machine has an upstream in its catalog as ready, with the given
// start time.
func (m *machine) isReady(u dhcatalog.UpstreamOptions) bool {
	r, found := m.view.Catalog().Get(dhcatalog.NewRef(dhcatalog.KindUpstream, u.Name)).(dhcatalog.Upstream)
	return found && r.State() == dhcatalog.UpstreamReady && r.Incarnation() == u.Incarnation
}

// TestEntryWithALaterStartKeepsAnUpstreamOut sends one heartbeat of another writer with a later
// start time, once under the name of an upstream and once under another name at its address.
// The upstream must get requests again a bounded time after that.
func TestEntryWithALaterStartKeepsAnUpstreamOut(t *testing.T) {
	for _, c := range []struct {
		name, odd string
		bound     dhclock.Millis
	}{
		{"its name", "u", 11_000},
		{"another name", "v", 72_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newManagedNetwork(t, 3, "a1-1")
			n.run(12_000)
			entry, record := n.find("a1-1"), upstreamRecord("u", dhcatalog.UpstreamReady)
			n.sendHeartbeat(n.machines[1], record)
			n.run(1000)
			if !entry.isReady(record) {
				t.Fatal("the upstream isn't registered")
			}
			odd := upstreamRecord(c.odd, dhcatalog.UpstreamReady)
			odd.Incarnation = record.Incarnation + 86_400_000
			n.sendHeartbeat(n.machines[0], odd)
			n.run(500)
			if entry.isReady(record) {
				t.Fatal("the entry took no effect")
			}
			start := n.now
			for !entry.isReady(record) {
				if n.now-start > c.bound {
					t.Fatal(fmt.Sprint("the upstream is out after ", n.now-start, " ms"))
				}
				n.sendHeartbeat(n.machines[1], record)
				n.run(500)
			}
			t.Log("out for ms: ", n.now-start)
		})
	}
}
