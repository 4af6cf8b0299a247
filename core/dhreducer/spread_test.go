package dhreducer

import (
	"fmt"
	"slices"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// BenchmarkDistribution measures by the project's clock, with every message 55 ms
// under way, from the proposal of a change set until instances have it and
// until that is known. Steps of 20 ms are the resolution.
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
			var times, known []dhclock.Millis
			for round := range uint64(20) {
				n.run(dhclock.Millis(round * 37)) // at another point of the polls each time
				t, k := measureDistribution(n, round+1, []dhcatalog.Object{dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: "o"})})
				times, known = append(times, t...), append(known, k)
			}
			slices.Sort(times)
			slices.Sort(known)
			fmt.Printf("%d instances: have it after p50 %d ms, p99 %d ms, most %d ms; known after p50 %d ms, most %d ms\n", len(names),
				times[len(times)/2], times[len(times)*99/100], times[len(times)-1], known[len(known)/2], known[len(known)-1])
		}
	}
}

// measureDistribution proposes a change at the leader, and returns after how long
// each instance had it and after how long the leader knew.
func measureDistribution(n *network, base uint64, puts []dhcatalog.Object) (times []dhclock.Millis, known dhclock.Millis) {
	lead := n.leader()
	n.propose(lead, dhmessage.NewChange(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
		ID: fmt.Sprint("id-", base), Base: base, Author: "test", Puts: puts,
	})))
	started := n.now
	seen := map[string]bool{}
	for known == 0 && n.now < started+20_000 {
		n.run(20)
		for _, m := range n.machines {
			if m.disk == nil && m.version > base && !seen[m.name] {
				seen[m.name] = true
				times = append(times, n.now-started)
			}
		}
		if lead.view.InForce() > base {
			known = n.now - started
		}
	}
	return times, known
}
