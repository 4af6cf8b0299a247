package dhreducer

import (
	"fmt"
	"testing"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// TestLeaderWithoutMajorityTakesInstancesForLost cuts the leader off from the other control
// processes, which elect another one or are too few to. Instances reach all of them. No process may
// take an instance for lost during the cut or after it.
func TestLeaderWithoutMajorityTakesInstancesForLost(t *testing.T) {
	const noDelivery dhclock.Millis = 1 << 40
	zones := []string{"a1", "b1", "c1", "a2", "b2", "c2"}
	for _, frozen := range []int{0, 3} {
		n := newReplacementNetwork(t, 6, zones...)
		for _, z := range zones {
			for i := range 4 {
				m := &machine{name: fmt.Sprint(z, "-", i+1), zone: z, offset: dhclock.Millis(500_000 + i*104_729)}
				n.machines = append(n.machines, m)
				n.start(m)
			}
		}
		n.run(8000)
		leader, lost := n.leader(), n.followers()[:frozen]
		n.linkDelay = func(from *machine, to string, _ dhmessage.Message) dhclock.Millis {
			target := n.find(to)
			if from.disk != nil && target.disk != nil && from != target && (from == leader || target == leader) {
				return noDelivery
			}
			return 0
		}
		for _, m := range lost {
			m.frozen = true
		}
		check := func(what string, span dhclock.Millis) {
			for end := n.now + span; n.now < end; {
				n.run(100)
				for _, m := range n.controls() {
					if list := m.view.Unavailable(); len(list) > 0 && !m.frozen {
						t.Fatalf("%d frozen, %s: %s takes %d of %d instances for lost", frozen, what, m.name, len(list), 4*len(zones))
					}
				}
			}
		}
		check("cut", 12_000)
		n.linkDelay = nil
		for _, m := range lost {
			m.frozen = false
		}
		check("after the cut", 6000)
	}
}
