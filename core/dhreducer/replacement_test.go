package dhreducer

import (
	"fmt"
	"slices"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhevent"
)

// Times of the replacement of control processes in tests, in milliseconds.
const (
	// replacementTime is how long a lost process counts as lost after its successor started.
	replacementTime dhclock.Millis = 4000
	// successorDelay is how long after a loss the successor starts.
	successorDelay dhclock.Millis = 1000
	// contactTime is how long an instance has to have a path to the control processes to count as
	// in touch.
	contactTime dhclock.Millis = 3000
	// handoverTimeout is how long a process that stops waits for a successor of its vote.
	handoverTimeout dhclock.Millis = 2400
	// recoveryLimit is how long after the end of all faults every process must be a member.
	recoveryLimit = 15 * dhclock.Second
)

// newReplacementNetwork returns a managed cluster of control processes in three regions, with
// 20 ms between any two, that has formed and accepted a declaration. They are spread over the
// given zones in turn, if there are any, each of which is in the region of its first letter.
func newReplacementNetwork(t fatalReporter, controls int, zones ...string) *network {
	n := newManagedNetwork(t, controls)
	n.managed.ReplacementTime = replacementTime
	n.messageDelay = 20
	if len(zones) > 0 {
		n.managed.Zones = nil
	}
	for _, z := range zones {
		n.managed.Zones = append(n.managed.Zones, dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: z, Region: z[:1]}))
	}
	for i, m := range n.machines {
		if len(zones) > 0 {
			m.zone = zones[i%len(zones)]
		}
		n.stop(m)
		n.start(m)
	}
	n.run(8000)
	n.requireDeclaration(1, "after the start")
	return n
}

// controls returns the running control processes.
func (n *network) controls() []*machine {
	return slices.DeleteFunc(slices.Clone(n.machines), func(m *machine) bool { return m.disk == nil || m.state == nil })
}

// requireDeclaration lets a running process propose a declaration, which must be accepted
// within 4 s.
func (n *network) requireDeclaration(number uint64, when string) {
	id := n.propose(n.controls()[0], declareCommand(number))
	for range 200 {
		n.run(20)
		if r, found := n.replies[id]; found {
			if r.OutcomeUnknown() || r.Err() != nil {
				break
			}
			return
		}
	}
	n.t.Fatalf("%s no declaration is accepted; %s", when, n.describeControl())
}

// startSuccessor starts an empty control process of a new name in the region of another one, and
// returns it. Its seeds are three of those that run.
func (n *network) startSuccessor(old *machine) *machine {
	running := namesOf(n.controls())
	return n.startSuccessorWith(old, running[:min(3, len(running))]...)
}

// startSuccessorWith is startSuccessor with given seeds.
func (n *network) startSuccessorWith(old *machine, seeds ...string) *machine {
	n.voters = seeds
	n.addControls(len(n.machines) + 1)
	m := n.machines[len(n.machines)-1]
	m.zone = old.zone
	n.start(m)
	return m
}

// startSuccessors starts a successor of each process in a list.
func (n *network) startSuccessors(list []*machine) {
	for _, m := range list {
		n.startSuccessor(m)
	}
}

// stopAll kills the processes in a list.
func (n *network) stopAll(list []*machine) {
	for _, m := range list {
		n.stop(m)
	}
}

// namesOf returns the names of machines.
func namesOf(list []*machine) []string {
	var names []string
	for _, m := range list {
		names = append(names, m.name)
	}
	return names
}

// shutDown lets processes stop as after SIGTERM: they leave, and end once they have replied.
func (n *network) shutDown(list ...*machine) { n.awaitEnd(n.startLeaving(list, handoverTimeout)) }

// startLeaving lets processes leave within a time, and returns them by correlation ID.
func (n *network) startLeaving(list []*machine, timeout dhclock.Millis) map[uint64]*machine {
	ids := map[uint64]*machine{}
	for _, m := range list {
		n.lastCorrelationID++
		ids[n.lastCorrelationID] = m
		n.handle(m, dhevent.NewLeaveStarted(n.clock(m), dhevent.LeaveStartedOptions{
			CorrelationID: n.lastCorrelationID, Timeout: timeout,
		}))
	}
	return ids
}

// awaitEnd lets time pass until processes that leave have ended.
func (n *network) awaitEnd(ids map[uint64]*machine) {
	for len(ids) > 0 {
		n.run(20)
		for id, m := range ids {
			if _, replied := n.replies[id]; replied {
				n.stop(m)
				delete(ids, id)
			}
		}
	}
}

// replacePair replaces two control processes as planned work: two successors start, and the two stop
// once the successors count.
func (n *network) replacePair(pair []*machine) {
	n.startSuccessors(pair)
	n.run(replacementTime + 100)
	n.shutDown(pair...)
	n.run(100)
}

// replaceInPairs replaces an even number of control processes, one pair after the other.
func (n *network) replaceInPairs(list []*machine) {
	for pair := range slices.Chunk(list, 2) {
		n.replacePair(pair)
	}
}

// forEachOrderInPairs calls test with new clusters of six control processes, in pairs: once for
// each ordered first pair, with the others in their order after it.
func forEachOrderInPairs(t *testing.T, test func(n *network, pairs [3][]*machine)) {
	for i := range 6 {
		for j := range 6 {
			if i == j {
				continue
			}
			n := newReplacementNetwork(t, 6)
			first := []*machine{n.machines[i], n.machines[j]}
			rest := slices.DeleteFunc(slices.Clone(n.machines), func(m *machine) bool { return slices.Contains(first, m) })
			test(n, [3][]*machine{first, rest[:2], rest[2:]})
		}
	}
}

// TestReplacedPairsOfControlProcessesEndTheMajority replaces all control processes in pairs, as
// planned work: two successors start, and two others stop once the successors count. The next
// pair follows at once. A declaration must be accepted after each pair.
func TestReplacedPairsOfControlProcessesEndTheMajority(t *testing.T) {
	forEachOrderInPairs(t, func(n *network, pairs [3][]*machine) {
		for k, pair := range pairs {
			n.replacePair(pair)
			n.requireDeclaration(uint64(k+2), fmt.Sprintf("%s first: after pair %d", namesOf(pairs[0]), k+1))
		}
	})
}

// TestControlProcessesLostInPairsEndTheMajority kills two control processes for good, starts
// their successors a second later, and kills the next two as soon as the successors count. A
// declaration must be accepted after each pair.
func TestControlProcessesLostInPairsEndTheMajority(t *testing.T) {
	forEachOrderInPairs(t, func(n *network, pairs [3][]*machine) {
		n.stopAll(pairs[0])
		for k, pair := range pairs {
			n.run(successorDelay)
			n.startSuccessors(pair)
			n.run(replacementTime + 100)
			if k+1 == len(pairs) {
				break
			}
			n.stopAll(pairs[k+1])
			n.requireDeclaration(uint64(k+2), fmt.Sprintf("%s first: after pair %d", namesOf(pairs[0]), k+2))
		}
	})
}

// TestLossRightAfterAReplacementEndsTheMajority replaces two control processes as planned work
// and kills two others as soon as those have stopped. A declaration must be accepted.
func TestLossRightAfterAReplacementEndsTheMajority(t *testing.T) {
	forEachOrderInPairs(t, func(n *network, pairs [3][]*machine) {
		n.startSuccessors(pairs[0])
		n.run(replacementTime + 100)
		n.shutDown(pairs[0]...)
		n.stopAll(pairs[1])
		n.requireDeclaration(2, fmt.Sprintf("%s replaced, %s killed:", namesOf(pairs[0]), namesOf(pairs[1])))
	})
}

// TestStoppedLearnerGetsAVote loses a voter, and stops the learner that gets its vote, as planned,
// at many times around that. The learner must not have a vote after it has stopped.
func TestStoppedLearnerGetsAVote(t *testing.T) {
	for after := replacementTime / 2; after < replacementTime; after += 20 {
		n := newReplacementNetwork(t, 9)
		n.stop(n.find("c2"))
		n.run(after)
		n.shutDown(n.find("c6"))
		n.run(200)
		if votes := n.votes(); slices.Contains(votes, "c6@c6-folder") {
			t.Errorf("c6 stopped %d ms after the loss of c2: the votes are %v", after, votes)
		}
	}
}

// learnerOf returns the only control process without a vote.
func (n *network) learnerOf() *machine {
	votes := n.votes()
	i := slices.IndexFunc(n.machines, func(m *machine) bool { return !slices.Contains(votes, m.name+"@"+m.disk.folder) })
	return n.machines[i]
}

// leaderAndVoters returns the leader and the other voters of a group with one learner.
func (n *network) leaderAndVoters() (lead *machine, voters []*machine) {
	lead, learner := n.leader(), n.learnerOf()
	return lead, slices.DeleteFunc(n.controls(), func(m *machine) bool { return m == lead || m == learner })
}

// startSuccessorOfFew is startSuccessor with all that run as seeds.
func (n *network) startSuccessorOfFew(old *machine) {
	n.startSuccessorWith(old, namesOf(n.controls())...)
}
