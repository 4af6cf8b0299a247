package dhreducer

import (
	"slices"
	"testing"

	"dogwoodhitch/core/dhclock"
)

// cutWay drops the messages to some machines, or those from them, on their links with all others.
func (n *network) cutWay(isTo bool, names ...string) {
	n.cutLinks = map[link]bool{}
	for _, name := range names {
		for _, m := range n.machines {
			switch {
			case slices.Contains(names, m.name):
			case isTo:
				n.cutLinks[link{m.name, name}] = true
			default:
				n.cutLinks[link{name, m.name}] = true
			}
		}
	}
}

// TestInstanceThatHearsNothingIsNamed cuts one way of all connections of an instance, and of a zone.
// Without confirmations they refuse keyed requests, so look-ups must leave them out until they have
// contact again.
func TestInstanceThatHearsNothingIsNamed(t *testing.T) {
	t.Parallel()
	for _, names := range [][]string{{"a1-2"}, {"a1-1", "a1-2"}} {
		for _, isTo := range []bool{true, false} {
			n := newLostInstanceNetwork(t)
			n.cutWay(isTo, names...)
			n.run(lostInstanceLimit)
			for _, m := range n.controls() {
				for _, name := range []string{"a1-1", "a1-2", "b1-1", "b1-2"} {
					if m.view.IsUnavailable(name) != slices.Contains(names, name) {
						t.Errorf("messages to %v are cut: %t: %s leaves out %v", names, isTo, m.name, m.view.Unavailable())
					}
				}
			}
			n.cutWay(isTo)
			n.run(contactTime)
			when := "after the cut"
			n.runAvailable(dhclock.Second, "", &when)
		}
	}
}
