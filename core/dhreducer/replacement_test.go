package dhreducer

import (
	"fmt"
	"slices"
	"testing"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhevent"
)

// Times of the replacement of control processes in tests, in milliseconds.
const (
	// replacementTime is how long a lost process counts as lost after its successor started.
	replacementTime dhclock.Millis = 4000
	// successorDelay is how long after a loss the successor starts.
	successorDelay dhclock.Millis = 1000
	// handoverTimeout is how long a process that stops waits for a successor of its vote.
	handoverTimeout dhclock.Millis = 2400
)

// newReplacementNetwork returns a managed cluster of control processes in three regions, with
// 20 ms between any two, that has formed and accepted a declaration.
func newReplacementNetwork(t fatalReporter, controls int) *network {
	n := newManagedNetwork(t, controls)
	n.managed.ReplacementTime = replacementTime
	n.messageDelay = 20
	for _, m := range n.machines {
		n.stop(m)
		n.start(m)
	}
	n.run(8000)
	n.requireDeclaration(1, "after the start")
	return n
}

// controls returns the running control processes.
func (n *network) controls() []*machine {
	return slices.DeleteFunc(slices.Clone(n.machines), func(m *machine) bool { return m.state == nil })
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
	n.t.Fatalf("%s no declaration is accepted; %s", when, n.describeRunning())
}

// describeRunning returns what each running control process knows of the members.
func (n *network) describeRunning() string {
	text := ""
	for _, m := range n.controls() {
		s := n.status(m)
		text += fmt.Sprintf("%s leads %v term %d:", m.name, s.IsLeader(), s.Term())
		for _, v := range s.Members() {
			text += fmt.Sprintf(" %s learner %v,", v.Name(), v.Learner())
		}
	}
	return text
}

// startSuccessor starts an empty control process of a new name in the region of another one.
// Its seeds are three of those that run.
func (n *network) startSuccessor(old *machine) {
	n.voters = nil
	for _, m := range n.controls()[:3] {
		n.voters = append(n.voters, m.name)
	}
	n.addControls(len(n.machines) + 1)
	m := n.machines[len(n.machines)-1]
	m.zone = old.zone
	n.start(m)
}

// shutDown lets processes stop as after SIGTERM: they leave, and end once they have replied.
func (n *network) shutDown(list ...*machine) {
	ids := map[uint64]*machine{}
	for _, m := range list {
		n.lastCorrelationID++
		ids[n.lastCorrelationID] = m
		n.handle(m, dhevent.NewLeaveStarted(n.clock(m), dhevent.LeaveStartedOptions{
			CorrelationID: n.lastCorrelationID, Timeout: handoverTimeout,
		}))
	}
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

// orderedPairs calls test with each pair of different indexes below a number.
func orderedPairs(number int, test func(i, j int)) {
	for i := range number {
		for j := range number {
			if i != j {
				test(i, j)
			}
		}
	}
}

// TestReplacedPairsOfControlProcessesEndTheMajority replaces all control processes in pairs, as
// planned work: two successors start, and two others stop once the successors count. The next
// pair follows at once. A declaration must be accepted after each pair.
func TestReplacedPairsOfControlProcessesEndTheMajority(t *testing.T) {
	orderedPairs(6, func(i, j int) {
		n := newReplacementNetwork(t, 6)
		old := slices.Clone(n.machines)
		pairs := [][]*machine{{old[i], old[j]}}
		rest := slices.DeleteFunc(slices.Clone(old), func(m *machine) bool { return m == old[i] || m == old[j] })
		pairs = append(pairs, rest[:2], rest[2:])
		for k, pair := range pairs {
			n.startSuccessor(pair[0])
			n.startSuccessor(pair[1])
			n.run(replacementTime + 100)
			n.shutDown(pair...)
			n.run(100)
			n.requireDeclaration(uint64(k+2), fmt.Sprintf("c%d and c%d first: after pair %d", i+1, j+1, k+1))
		}
	})
}

// TestControlProcessesLostInPairsEndTheMajority kills two control processes for good, starts
// their successors a second later, and kills the next two as soon as the successors count. A
// declaration must be accepted after each pair.
func TestControlProcessesLostInPairsEndTheMajority(t *testing.T) {
	orderedPairs(6, func(i, j int) {
		n := newReplacementNetwork(t, 6)
		old := slices.Clone(n.machines)
		rest := slices.DeleteFunc(slices.Clone(old), func(m *machine) bool { return m == old[i] || m == old[j] })
		for k, pair := range [][]*machine{{old[i], old[j]}, rest[:2], rest[2:]} {
			n.stop(pair[0])
			n.stop(pair[1])
			n.run(successorDelay)
			n.startSuccessor(pair[0])
			n.startSuccessor(pair[1])
			n.run(replacementTime + 100)
			if k == 2 {
				break
			}
			n.stop(rest[2*k])
			n.stop(rest[2*k+1])
			n.requireDeclaration(uint64(k+2), fmt.Sprintf("c%d and c%d first: after pair %d", i+1, j+1, k+2))
		}
	})
}

// TestLossRightAfterAReplacementEndsTheMajority replaces two control processes as planned work
// and kills two others as soon as those have stopped. A declaration must be accepted.
func TestLossRightAfterAReplacementEndsTheMajority(t *testing.T) {
	orderedPairs(6, func(i, j int) {
		n := newReplacementNetwork(t, 6)
		old := slices.Clone(n.machines)
		rest := slices.DeleteFunc(slices.Clone(old), func(m *machine) bool { return m == old[i] || m == old[j] })
		n.startSuccessor(old[i])
		n.startSuccessor(old[j])
		n.run(replacementTime + 100)
		n.shutDown(old[i], old[j])
		n.stop(rest[0])
		n.stop(rest[1])
		n.requireDeclaration(2, fmt.Sprintf("c%d and c%d replaced, %s and %s killed:", i+1, j+1, rest[0].name, rest[1].name))
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
