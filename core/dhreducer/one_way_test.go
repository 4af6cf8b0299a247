package dhreducer

import (
	"maps"
	"slices"
	"testing"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
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

// TestMemberThatHearsNothingIsAddedAgainAndAgain cuts one way of the connections of a voter, to the
// leader alone or to all, for a minute. Its vote must move, and it mustn't change between member and
// none.
func TestMemberThatHearsNothingIsAddedAgainAndAgain(t *testing.T) {
	t.Parallel()
	for i := range 4 {
		isTo, isLinkOnly := i%2 == 0, i/2 == 0
		n := newLostInstanceNetwork(t)
		lead, voters := n.leaderAndVoters()
		cut, changes := voters[0].name, 0
		n.recordLog = func(m *machine, e *dheffect.Log) {
			if m == lead && e.Peer() == cut && e.Layer() == "fleet" {
				changes++
			}
		}
		n.cutWay(isTo, cut)
		if isLinkOnly {
			maps.DeleteFunc(n.cutLinks, func(l link, _ bool) bool { return l.from != lead.name && l.to != lead.name })
		}
		n.run(60 * dhclock.Second)
		if l := n.leader(); l != lead || changes > 2 || slices.Contains(n.votes(), cut+"@"+cut+"-folder") {
			t.Errorf("messages to %s are cut: %t, at the leader alone: %t: %d changes of its membership, the votes are %v", cut, isTo, isLinkOnly, changes, n.votes())
		}
		n.cutWay(isTo)
		n.run(contactTime)
		if !slices.ContainsFunc(n.status(n.leader()).Members(), func(v dheffect.MemberStatus) bool { return v.Name() == cut }) {
			t.Errorf("messages to %s were cut: %t, at the leader alone: %t: it is no member after the cut", cut, isTo, isLinkOnly)
		}
	}
}
