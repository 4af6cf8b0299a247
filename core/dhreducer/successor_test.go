package dhreducer

import (
	"fmt"
	"slices"
	"testing"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhevent"
)

// TestSuccessorStaysAloneIfNoSeedLeads loses a control process for good and starts its successor,
// whose seeds are three processes that don't lead, or such a one and two that are gone. The
// successor must become a member, and confirm the newest declaration, by the time it counts.
func TestSuccessorStaysAloneIfNoSeedLeads(t *testing.T) {
	for _, lost := range []string{"c1", "c2", "c3", "c4", "c5", "c6"} {
		for _, gone := range []int{0, 1, 2} {
			n := newReplacementNetwork(t, 6)
			n.stop(n.find(lost))
			n.requireDeclaration(2, lost+" lost:")
			lead := n.leader()
			var seeds []string
			for _, m := range n.controls() {
				if m != lead && len(seeds) < 3 {
					seeds = append(seeds, m.name)
				}
			}
			for i := range gone {
				seeds[i] = fmt.Sprint("gone", i)
			}
			successor := n.startSuccessorWith(n.find(lost), seeds...)
			n.run(replacementTime)
			if successor.view == nil || n.declarationNumber(successor) != 2 {
				t.Errorf("%s succeeds %s with the seeds %v while %s leads: it hasn't declaration 2", successor.name, lost, seeds, lead.name)
			}
		}
	}
}

// setSeeds lets the settings of a machine name other seeds.
func (n *network) setSeeds(m *machine, seeds ...string) {
	m.seeds = seeds
	n.handle(m, dhevent.NewSeedsChanged(n.clock(m), seeds))
}

// TestSuccessorStaysAloneWhenItsSeedsAreGone starts a successor whose seeds have all been replaced.
// It must become a member once its settings name another one.
func TestSuccessorStaysAloneWhenItsSeedsAreGone(t *testing.T) {
	n := newReplacementNetwork(t, 6)
	n.stop(n.find("c6"))
	successor := n.startSuccessorWith(n.find("c6"), "gone1", "gone2", "gone3")
	n.run(10_000)
	n.setSeeds(successor, "gone4", "c5")
	n.run(2 * dhclock.Second)
	if successor.view == nil || n.declarationNumber(successor) != 1 {
		t.Error("the successor has no declaration 2 s after its settings name a process that runs")
	}
}

// TestInstanceThatWasCutOffStaysWithReplacedParents replaces all control processes while an entry
// instance is cut off. It must get the configuration once its settings name one that runs, by the
// time at which it counts as in touch.
func TestInstanceThatWasCutOffStaysWithReplacedParents(t *testing.T) {
	n := newReplacementNetwork(t, 6)
	e := &machine{name: "a1-1", zone: "a1"}
	n.machines = append(n.machines, e)
	n.start(e)
	n.run(2000)
	if n.declarationNumber(e) != 1 {
		t.Fatal("the instance has no configuration")
	}
	n.partitioned[e.name] = true
	n.replaceInPairs(n.controls())
	n.requireDeclaration(2, "after the replacement")
	n.partitioned[e.name] = false
	n.setSeeds(e, namesOf(n.controls()[:3])...)
	n.run(contactTime)
	if n.declarationNumber(e) != 2 {
		t.Errorf("the instance has an older configuration %d ms after its settings name processes that run", contactTime)
	}
}

// TestSuccessorStaysAloneWhenTheSeedThatNamedTheMembersStops kills the leader when a successor with
// one running seed starts, and that seed as soon as it has named the members. The successor must
// request membership from the others.
func TestSuccessorStaysAloneWhenTheSeedThatNamedTheMembersStops(t *testing.T) {
	n := newReplacementNetwork(t, 9)
	votes := n.votes()
	learners := slices.DeleteFunc(n.controls(), func(m *machine) bool { return slices.Contains(votes, m.self().String()) })
	lost, seed := learners[0], learners[1]
	n.stop(lost)
	n.run(successorDelay)
	n.stop(n.leader())
	successor := n.startSuccessorWith(lost, seed.name)
	for range 100 {
		n.run(20)
		if len(successor.reported) > 1 {
			break
		}
	}
	if len(successor.reported) <= 1 {
		t.Fatal("the seed has named no members after 2 s")
	}
	n.stop(seed)
	n.run(replacementTime)
	if successor.view == nil || n.declarationNumber(successor) != 1 {
		t.Errorf("the successor has no declaration %d ms after the loss of its seed", replacementTime)
	}
}

// TestZoneThatWasCutOffStaysWithReplacedParents replaces all control processes while the instances
// of a zone are cut off and their settings name new seeds. They must get the configuration once
// they reach those, by the time at which they count as in touch.
func TestZoneThatWasCutOffStaysWithReplacedParents(t *testing.T) {
	for _, controls := range []int{6, 12} {
		n := newReplacementNetwork(t, controls)
		var entries []*machine
		for i := range 6 {
			e := &machine{name: fmt.Sprintf("a1-%d", i), zone: "a1"}
			entries = append(entries, e)
			n.machines = append(n.machines, e)
			n.start(e)
		}
		n.run(4000)
		for _, e := range entries {
			n.partitioned[e.name] = true
		}
		n.replaceInPairs(n.controls())
		n.requireDeclaration(2, "after the replacement")
		for _, e := range entries {
			n.setSeeds(e, namesOf(n.controls()[:3])...)
		}
		n.run(5 * dhclock.Second)
		n.partitioned = map[string]bool{}
		n.run(contactTime)
		for _, e := range entries {
			if n.declarationNumber(e) != 2 {
				t.Errorf("%s has an older configuration %d ms after it reaches the seeds that replaced %d control processes", e.name, contactTime, controls)
			}
		}
	}
}

// TestReturningProcessStaysAloneAmongReplacedMembers starts a control process again after all others
// were replaced. It must have the configuration by the time it counts, although its own list of
// members is old and only one of its seeds runs.
func TestReturningProcessStaysAloneAmongReplacedMembers(t *testing.T) {
	n := newReplacementNetwork(t, 9)
	old := n.controls()
	n.stop(old[0])
	n.replaceInPairs(old[1:])
	n.run(40 * dhclock.Second)
	n.requireDeclaration(2, "after the replacement")
	for _, seed := range n.controls() {
		n.voters = []string{"gone1", "gone2", seed.name}
		n.start(old[0])
		n.run(replacementTime)
		if old[0].view == nil || n.declarationNumber(old[0]) != 2 {
			t.Errorf("%s hasn't declaration 2 %d ms after its start with the seeds %v", old[0].name, replacementTime, n.voters)
		}
		n.stop(old[0])
		n.run(45 * dhclock.Second)
	}
}
