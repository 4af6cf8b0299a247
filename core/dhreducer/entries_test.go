package dhreducer

import (
	"fmt"
	"math"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
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

// TestUnknownServiceTakesAnUpstreamsPlace sends heartbeats of a service that isn't configured
// under the name and at the address of an upstream whose service is. The upstream must stay
// registered. Elsewhere such a heartbeat registers an upstream, whose service may be configured
// later.
func TestUnknownServiceTakesAnUpstreamsPlace(t *testing.T) {
	n := newManagedNetwork(t, 3, "a1-1")
	n.run(5000)
	entry, record := n.find("a1-1"), upstreamRecord("u", dhcatalog.UpstreamReady)
	n.propose(n.leader(), dhmessage.NewDeclare(dhcatalog.NewDeclaration(1, "1"), []dhcatalog.Object{
		dhcatalog.NewService(dhcatalog.ServiceOptions{Name: record.Service}),
	}))
	n.sendHeartbeat(n.machines[1], record)
	n.run(1000)
	early := record
	early.Name, early.Address, early.Service = "early", "10.0.1.2:80", "later"
	n.sendHeartbeat(n.machines[1], early)
	for i, change := range []func(u *dhcatalog.UpstreamOptions){
		func(*dhcatalog.UpstreamOptions) {},
		func(u *dhcatalog.UpstreamOptions) { u.State = dhcatalog.UpstreamDraining },
		func(u *dhcatalog.UpstreamOptions) { u.Address = "10.0.1.3:80" },
		func(u *dhcatalog.UpstreamOptions) { u.Name = "v" },
		func(u *dhcatalog.UpstreamOptions) { u.Name, u.Incarnation = "w", record.Incarnation },
	} {
		odd := record
		odd.Service, odd.Incarnation = "unknown", record.Incarnation+1
		change(&odd)
		correlationID := n.sendHeartbeat(n.machines[i%3], odd)
		n.run(1000)
		if r, answered := n.replies[correlationID]; !answered || r.Err() != nil || r.OutcomeUnknown() != (odd.State == dhcatalog.UpstreamDraining) {
			t.Errorf("%+v was answered with %+v", odd, r)
		}
		if !entry.isReady(record) {
			t.Errorf("%+v took the place of the upstream", odd)
		}
		if entry.isReady(odd) {
			t.Errorf("%+v is registered", odd)
		}
	}
	if !entry.isReady(early) {
		t.Error("the upstream of a service that may be configured later isn't registered")
	}
}

// TestInstanceOfAnUnknownZoneKeepsOthersOut starts entry instances of which one is set to a zone
// that the deployment doesn't have. The others and the zones must be added all the same.
func TestInstanceOfAnUnknownZoneKeepsOthersOut(t *testing.T) {
	n := newManagedNetwork(t, 3, "a1-1", "zz-1", "b1-1")
	n.run(6000)
	c := n.find("a1-1").view.Catalog()
	for _, name := range []string{"a1-1", "b1-1"} {
		if _, found := c.Instance(name); !found {
			t.Errorf("instance %s isn't in the configuration", name)
		}
	}
	if _, found := c.Instance("zz-1"); found || len(c.Zones()) != 2 {
		t.Errorf("instance zz-1 found: %v, zones: %v, want 2 zones without the instance", found, c.Zones())
	}
}

// TestOddHeartbeatLosesItsBatch sends heartbeats that must be refused between those of upstreams,
// whose records share one proposal. All upstreams must be registered by it, and nothing else.
func TestOddHeartbeatLosesItsBatch(t *testing.T) {
	n := newManagedNetwork(t, 3, "a1-1")
	n.run(5000)
	odd := map[string]func(u *dhcatalog.UpstreamOptions){
		"slots":   func(u *dhcatalog.UpstreamOptions) { u.Slots = 0 },
		"most":    func(u *dhcatalog.UpstreamOptions) { u.Slots = math.MaxInt },
		"address": func(u *dhcatalog.UpstreamOptions) { u.Address = "10.0.1.1:65536" },
		"service": func(u *dhcatalog.UpstreamOptions) { u.Service = "\xff" },
		"zone":    func(u *dhcatalog.UpstreamOptions) { u.Zone = "" },
		"state":   func(u *dhcatalog.UpstreamOptions) { u.State = 7 },
		"cold":    func(u *dhcatalog.UpstreamOptions) { u.ColdRemaining = math.MinInt64 },
		"na/me":   func(*dhcatalog.UpstreamOptions) {},
	}
	before, good := n.status(n.leader()).Version(), 0
	for name, change := range odd {
		for _, prefix := range []string{"", "a-", "z-"} {
			record := upstreamRecord(prefix+name, dhcatalog.UpstreamReady)
			record.Address = fmt.Sprint("10.0.1.1:", 1000+good)
			if prefix == "" {
				change(&record)
			} else {
				record.Name = fmt.Sprint(prefix, good)
				good++
			}
			n.sendHeartbeat(n.machines[1], record)
		}
	}
	n.run(1000)
	if got := n.status(n.leader()).Version() - before; got > 2 {
		t.Errorf("the records took %d versions, want at most 2", got)
	}
	if list := n.find("a1-1").view.Catalog().List(dhcatalog.KindUpstream); len(list) != good {
		t.Errorf("registered %v, want %d upstreams", list, good)
	}
}

// TestUnknownServiceKeepsAnUpstreamOut sends heartbeats of a service that isn't configured, with a
// later start time, before an upstream registers under the same name or at the same address. The
// upstream must get requests at once, and keep them while those heartbeats go on.
func TestUnknownServiceKeepsAnUpstreamOut(t *testing.T) {
	for _, name := range []string{"u", "v"} {
		t.Run(name, func(t *testing.T) {
			n := newManagedNetwork(t, 3, "a1-1")
			n.run(5000)
			entry, record := n.find("a1-1"), upstreamRecord("u", dhcatalog.UpstreamReady)
			n.propose(n.leader(), dhmessage.NewDeclare(dhcatalog.NewDeclaration(1, "1"), []dhcatalog.Object{
				dhcatalog.NewService(dhcatalog.ServiceOptions{Name: record.Service}),
			}))
			odd := record
			odd.Name, odd.Service, odd.Incarnation = name, "unknown", record.Incarnation+1
			n.sendHeartbeat(n.machines[0], odd)
			n.run(1000)
			if !entry.isReady(odd) {
				t.Fatal("the heartbeat of the unknown service took no effect")
			}
			for i := range 30 {
				n.sendHeartbeat(n.machines[i%3], record)
				n.run(500)
				n.sendHeartbeat(n.machines[(i+1)%3], odd)
				n.run(500)
				if !entry.isReady(record) {
					t.Fatalf("the upstream isn't registered after %d s", i+1)
				}
			}
		})
	}
}
