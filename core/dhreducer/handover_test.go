package dhreducer

import (
	"fmt"
	"slices"
	"testing"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
)

// TestStoppingLeaderHasTheLongestLog replaces the leader and another voter as planned, and kills
// two others as they stop, while an entry is on the leader's disk alone. Only the leader can win
// an election then. A declaration must be accepted.
func TestStoppingLeaderHasTheLongestLog(t *testing.T) {
	for i := range 5 {
		for j := range i {
			n := newReplacementNetwork(t, 6)
			lead, voters := n.leaderAndVoters()
			if i >= len(voters) {
				continue
			}
			killed := []*machine{voters[i], voters[j]}
			other := voters[slices.IndexFunc(voters, func(m *machine) bool { return !slices.Contains(killed, m) })]
			n.startSuccessors([]*machine{lead, other})
			n.run(replacementTime + 100)
			n.propose(lead, declareCommand(2))
			n.run(20)
			n.packets = nil // the proposal has arrived, and none of the appends
			n.stopAll(killed)
			n.shutDown(lead, other)
			n.requireDeclaration(3, fmt.Sprintf("%s and %s replaced, %v killed:", lead.name, other.name, namesOf(killed)))
		}
	}
}

// TestStopOfOneOfThreeKeepsAVote replaces up to three control processes of three in turn, as
// planned, and kills another one as soon as the last has stopped. A declaration must be accepted.
func TestStopOfOneOfThreeKeepsAVote(t *testing.T) {
	for i := range 3 {
		for j := range 3 {
			for replaced := 1; replaced <= 3; replaced++ {
				n := newReplacementNetwork(t, 3)
				old := n.controls()
				for k := range replaced {
					m := old[(i+k)%3]
					n.startSuccessorOfFew(m)
					n.run(replacementTime + 100)
					n.shutDown(m)
				}
				votes, lost := n.votes(), n.controls()[j]
				n.stop(lost)
				n.requireDeclaration(2, fmt.Sprintf("%d replaced from %s on, the votes with %v, then %s lost:", replaced, old[i].name, votes, lost.name))
			}
		}
	}
}

// TestFarStoppingLeaderAndTwoLostEndTheMajority replaces the leader and another process as planned,
// with up to 100 ms between any two, and kills two others as they have stopped. A declaration must be
// accepted.
func TestFarStoppingLeaderAndTwoLostEndTheMajority(t *testing.T) {
	for _, delay := range []dhclock.Millis{20, 60, 100} {
		for i := range 5 {
			n := newReplacementNetwork(t, 6)
			n.messageDelay = delay
			n.run(4000)
			lead := n.leader()
			others := slices.DeleteFunc(n.controls(), func(m *machine) bool { return m == lead })
			n.startSuccessors([]*machine{lead, others[i]})
			n.run(replacementTime + 100)
			n.shutDown(lead, others[i])
			killed := []*machine{others[(i+1)%5], others[(i+2)%5]}
			n.stopAll(killed)
			n.requireDeclaration(2, fmt.Sprintf("%d ms, %s and %s replaced, %v killed:", delay, lead.name, others[i].name, namesOf(killed)))
		}
	}
}

// TestFarStoppingLeaderKeepsItsVote lets the leader stop with up to 150 ms between any two
// processes. It must end without its vote.
func TestFarStoppingLeaderKeepsItsVote(t *testing.T) {
	for _, delay := range []dhclock.Millis{20, 60, 100, 150} {
		n := newReplacementNetwork(t, 6)
		n.messageDelay = delay
		n.run(4000)
		lead := n.leader()
		n.shutDown(lead)
		if n.replies[n.lastCorrelationID].OutcomeUnknown() {
			t.Errorf("%d ms: %s may have its vote after it has stopped", delay, lead.name)
		}
	}
}

// TestStoppingVoterHasTheLongestLog kills the leader and another voter while an entry is on the
// disks of the leader and of a voter that stops, as planned, at that moment. Only that one can win
// an election then. A declaration must be accepted.
func TestStoppingVoterHasTheLongestLog(t *testing.T) {
	for i := range 4 {
		for j := range 4 {
			n := newReplacementNetwork(t, 6)
			lead, voters := n.leaderAndVoters()
			stopping, killed := voters[i], voters[j]
			if stopping == killed {
				continue
			}
			n.startSuccessors([]*machine{stopping})
			n.run(replacementTime + 100)
			n.propose(lead, declareCommand(2))
			n.run(20) // the proposal has arrived, and none of the appends
			n.packets = slices.DeleteFunc(n.packets, func(p packet) bool { return p.to != stopping.name })
			n.stopAll([]*machine{lead, killed})
			n.run(40)
			n.shutDown(stopping)
			n.requireDeclaration(3, fmt.Sprintf("%s and %s killed, %s stopped:", lead.name, killed.name, stopping.name))
		}
	}
}

// TestNextLeaderIsLostDuringAHandover stops two voters as planned, kills the leader at that moment
// and the next leader once there is one, with random numbers for the elections. A declaration must be
// accepted.
func TestNextLeaderIsLostDuringAHandover(t *testing.T) {
	for k := range 120 {
		later := dhclock.Millis(500 + k%10*40)
		n := newReplacementNetwork(t, 6)
		n.random = uint64(k)
		lead, voters := n.leaderAndVoters()
		n.startSuccessors(voters[:2])
		n.run(replacementTime + 100)
		ids := n.startLeaving(voters[:2], handoverTimeout)
		n.stop(lead)
		n.run(later)
		next := n.leader()
		if next == nil {
			continue
		}
		n.stop(next)
		n.awaitEnd(ids)
		id := n.propose(n.controls()[0], declareCommand(2))
		n.run(acceptanceLimit)
		if r, replied := n.replies[id]; !replied || r.Err() != nil || r.OutcomeUnknown() {
			t.Errorf("%s and %s stop, %s is lost and %s %d ms later: no declaration is accepted; %s",
				voters[0].name, voters[1].name, lead.name, next.name, later, n.describeControl())
		}
	}
}

// TestDemotedLeaderHasTheLongestLog lets the leader stop, and kills all before another process has
// the entry that takes the leader's vote. Each pair of other voters loses its disks. The leader alone
// can win an election then, although its own list says that it has no vote. A declaration must be
// accepted.
func TestDemotedLeaderHasTheLongestLog(t *testing.T) {
	for i := range 4 {
		for j := range i {
			n := newReplacementNetwork(t, 6)
			lead, voters := n.leaderAndVoters()
			n.handle(lead, dhevent.NewLeaveStarted(n.clock(lead), dhevent.LeaveStartedOptions{Timeout: handoverTimeout}))
			for n.tick(20); n.hasVote(lead); n.tick(20) {
				for count := len(n.packets); count > 0; count-- {
					n.deliverWithFaults()
				}
			}
			n.packets = nil
			all := n.controls()
			n.stopAll(all)
			for _, m := range all {
				if m == voters[i] || m == voters[j] {
					n.wipe(m)
				} else {
					n.start(m)
				}
			}
			n.run(recoveryLimit)
			n.requireDeclaration(2, fmt.Sprintf("%s was about to lose its vote, %s and %s lost their disks:", lead.name, voters[i].name, voters[j].name))
		}
	}
}

// TestVoterThatStopsAfterItsStartKeepsItsVote replaces a voter as planned that has just come back, and
// kills two others as it has stopped. Its log alone says that it has a vote, until it hears from the
// leader. A declaration must be accepted.
func TestVoterThatStopsAfterItsStartKeepsItsVote(t *testing.T) {
	for i := range 4 {
		n := newReplacementNetwork(t, 6)
		_, voters := n.leaderAndVoters()
		stopping := voters[i]
		n.startSuccessors([]*machine{stopping})
		n.run(replacementTime + 100)
		n.stop(stopping)
		n.run(300)
		n.start(stopping)
		n.shutDown(stopping)
		killed := slices.DeleteFunc(voters, func(m *machine) bool { return m == stopping })[:2]
		n.stopAll(killed)
		n.requireDeclaration(2, fmt.Sprintf("%s stopped after its start, %v killed:", stopping.name, namesOf(killed)))
	}
}

// hasVote reports whether a process has a vote by its own list of members.
func (n *network) hasVote(m *machine) bool {
	return slices.ContainsFunc(n.status(m).Members(), func(v dheffect.MemberStatus) bool { return v.Name() == m.name && !v.Learner() })
}

// TestTwoElectionsAtOnceSplitTheVotes loses the leader and another voter, with 100 ms between any two
// processes and random numbers for the elections, so that all voters that are left are needed. The
// other half of the time after which voters count as silent is for the election.
func TestTwoElectionsAtOnceSplitTheVotes(t *testing.T) {
	for k := range 200 {
		n := newReplacementNetwork(t, 6)
		n.messageDelay = 100
		n.random = uint64(k) * 7919
		n.run(3000)
		lead, voters := n.leaderAndVoters()
		n.stopAll([]*machine{lead, voters[0]})
		n.run(replacementTime / 2)
		if n.leader() == nil {
			t.Errorf("%d: no leader %d ms after the loss of %s and %s", k, replacementTime/2, lead.name, voters[0].name)
		}
	}
}
