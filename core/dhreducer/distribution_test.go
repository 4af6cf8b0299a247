package dhreducer

import (
	"fmt"
	"slices"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// BenchmarkDistribution measures, on the simulated clock and with a message delay
// of 55 ms, the time from the proposal of a change set until instances have
// applied it and until the leader has learned that all have. The resolution is
// 20 ms.
func BenchmarkDistribution(b *testing.B) {
	for b.Loop() {
		for _, size := range []struct{ zones, each int }{{5, 2}, {36, 6}, {36, 24}} {
			var names []string
			for z := range size.zones {
				for i := range size.each {
					names = append(names, fmt.Sprintf("%c%c-%02d", 'a'+z%11, 'a'+z/11, i))
				}
			}
			n := newNetwork(b, 3, names...)
			n.messageDelay = 55
			n.run(3000)
			measureDistribution(n, 0, instanceObjects(names...))
			n.run(12_000)
			var times, confirmed []dhclock.Millis
			for round := range uint64(20) {
				n.run(dhclock.Millis(round * 37)) // another phase of the poll interval in each round
				t, k := measureDistribution(n, round+1, []dhcatalog.Object{dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: "o"})})
				times, confirmed = append(times, t...), append(confirmed, k)
			}
			slices.Sort(times)
			slices.Sort(confirmed)
			fmt.Printf("%d instances: applied after p50 %d ms, p99 %d ms, max %d ms; confirmed after p50 %d ms, max %d ms\n", len(names),
				times[len(times)/2], times[len(times)*99/100], times[len(times)-1], confirmed[len(confirmed)/2], confirmed[len(confirmed)-1])
		}
	}
}

// measureDistribution proposes a change at the leader. It returns the time until
// each instance applied it, and the time until the leader had learned that all
// did.
func measureDistribution(n *network, base uint64, puts []dhcatalog.Object) (times []dhclock.Millis, confirmed dhclock.Millis) {
	lead := n.leader()
	n.propose(lead, dhmessage.NewChange(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
		ID: fmt.Sprint("id-", base), Base: base, Author: "test", Puts: puts,
	})))
	started := n.now
	seen := map[string]bool{}
	for confirmed == 0 && n.now < started+20_000 {
		n.run(20)
		for _, m := range n.machines {
			if m.disk == nil && m.version > base && !seen[m.name] {
				seen[m.name] = true
				times = append(times, n.now-started)
			}
		}
		if lead.view.InForce() > base {
			confirmed = n.now - started
		}
	}
	return times, confirmed
}

// TestChangeWaitsOnTheLinksOfRelays fills the links of all entry instances of a zone, so that
// each packet waits there for 1 s. Changes must reach every instance within 2.5 s.
func TestChangeWaitsOnTheLinksOfRelays(t *testing.T) {
	var names []string
	for i := range 15 {
		names = append(names, fmt.Sprintf("a1-%02d", i))
	}
	n := newNetwork(t, 3, names...)
	n.messageDelay = 20
	n.run(3000)
	measureDistribution(n, 0, instanceObjects(names...))
	n.run(3000)
	n.entryLinkDelay = 1000
	n.run(6000)
	for round := range uint64(10) {
		n.run(dhclock.Millis(1000 + round*137)) // another phase of the poll interval in each round
		times, _ := measureDistribution(n, round+1, []dhcatalog.Object{dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: "o"})})
		if len(times) < len(names) || slices.Max(times) > 2500 {
			t.Errorf("round %d: %d of %d instances applied a change, the last ones after %v ms", round, len(times), len(names), times[max(0, len(times)-3):])
		}
	}
}
