package dhreducer

import (
	"fmt"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// TestLeaderWithoutMajorityRemovesUpstreams cuts the leader off while too few others are left to
// elect one, for longer than an upstream may be silent. Upstreams whose heartbeats other processes
// received all the time must keep their records once the cut has ended.
func TestLeaderWithoutMajorityRemovesUpstreams(t *testing.T) {
	const upstreams, heartbeatInterval = 20, 1500
	n := newManagedNetwork(t, 6, "a1-1")
	n.run(4000)
	service := dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "s", HealthPath: "/health"})
	n.propose(n.leader(), dhmessage.NewEdit("test", []dhcatalog.Object{service}, nil))
	n.run(500)
	leader, others := n.leader(), n.followers()
	receiver, lost := others[0], others[1:4]
	entry := n.find("a1-1")
	var lastSent dhclock.Millis
	step := func() {
		if n.now-lastSent >= heartbeatInterval {
			lastSent = n.now
			for i := range upstreams {
				record := upstreamRecord(fmt.Sprint("u", i), dhcatalog.UpstreamReady)
				record.Address = fmt.Sprint("10.0.1.1:", 1000+i)
				n.sendHeartbeat(receiver, record)
			}
		}
		n.run(100)
	}
	count := func() int { return len(entry.view.Catalog().List(dhcatalog.KindUpstream)) }
	for end := n.now + 12*dhclock.Second; n.now < end; {
		step()
	}
	if count() != upstreams {
		t.Fatalf("%d upstreams are registered, want %d", count(), upstreams)
	}
	n.partitioned[leader.name] = true
	for _, m := range lost {
		m.frozen = true
	}
	for end := n.now + 15*dhclock.Second; n.now < end; {
		step()
	}
	delete(n.partitioned, leader.name)
	for _, m := range lost {
		m.frozen = false
	}
	for end := n.now + 15*dhclock.Second; n.now < end; {
		step()
		if count() != upstreams {
			t.Fatalf("%d ms after the cut: %d of %d upstreams are registered; led by %v", n.now-end+15*dhclock.Second, count(), upstreams, n.leader() != nil)
		}
	}
	if n.leader() == nil {
		t.Error("there is no leader after the cut")
	}
}
