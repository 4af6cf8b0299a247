package dhreducer

import (
	"fmt"
	"slices"
	"testing"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// requireFiveVotes loses two control processes, kills all after a declaration was accepted, and
// loses two disks of those that ran. There must be five votes before, and the declaration must
// survive: of five votes a majority is on three disks.
func requireFiveVotes(t *testing.T, n *network, lost ...*machine) {
	t.Helper()
	n.stopAll(lost)
	n.run(replacementTime + 1000)
	if votes := n.votes(); len(votes) != 5 {
		t.Errorf("%v lost: the votes are %v, want 5", namesOf(lost), votes)
	}
	n.requireDeclaration(2, fmt.Sprintf("%v lost:", namesOf(lost)))
	rest := n.controls()
	n.stopAll(rest)
	n.wipe(rest[0])
	n.wipe(rest[1])
	for _, m := range append(rest[2:], lost...) {
		n.start(m)
	}
	n.run(recoveryLimit)
	for _, m := range n.controls() {
		if m.view == nil || n.declarationNumber(m) != 2 {
			t.Errorf("%v lost, then the disks of %v: %s hasn't declaration 2; %s", namesOf(lost), namesOf(rest[:2]), m.name, n.describeControl())
			return
		}
	}
}

// TestTwoSilentVotersLeaveFourVotes loses each pair of voters while one learner runs.
func TestTwoSilentVotersLeaveFourVotes(t *testing.T) {
	for i := range 6 {
		for j := range i {
			n := newReplacementNetwork(t, 6)
			a, b, learner := n.machines[i], n.machines[j], n.learnerOf()
			if a != learner && b != learner {
				requireFiveVotes(t, n, a, b)
			}
		}
	}
}

// TestLostLearnerCountsAsReady loses the learner and each voter at once.
func TestLostLearnerCountsAsReady(t *testing.T) {
	for i := range 6 {
		n := newReplacementNetwork(t, 6)
		voter, learner := n.machines[i], n.learnerOf()
		if voter != learner {
			requireFiveVotes(t, n, voter, learner)
		}
	}
}

// TestNewLeaderWaitsAnewForASilentVoter loses a voter, then the leader before it has taken that
// vote, both for good, and a third one as soon as the successor of the first counts. Vote requests
// take 400 ms. A declaration must be accepted.
func TestNewLeaderWaitsAnewForASilentVoter(t *testing.T) {
	for later := successorDelay; later <= 2000; later += 100 {
		n := newReplacementNetwork(t, 6)
		n.linkDelay = func(_ *machine, _ string, m dhmessage.Message) dhclock.Millis {
			if _, ok := m.(*dhmessage.VoteRequest); ok {
				return 400
			}
			return 0
		}
		lead, voters := n.leaderAndVoters()
		first, third := voters[0], voters[1]
		n.stop(first)
		n.run(successorDelay)
		n.startSuccessor(first)
		n.run(later - successorDelay)
		n.stop(lead)
		n.run(successorDelay)
		n.startSuccessor(lead)
		n.run(replacementTime + 20 - later)
		n.stop(third)
		n.requireDeclaration(2, fmt.Sprintf("%s lost, %s lost %d ms later, then %s:", first.name, lead.name, later, third.name))
	}
}

// TestVoteIsTakenBeforeALearnerHasIt loses a voter, and two others for good at each of many times
// around the move of its vote. With the return of the first, three of five disks are there: a
// declaration must be accepted again.
func TestVoteIsTakenBeforeALearnerHasIt(t *testing.T) {
	for later := replacementTime / 2; later < replacementTime/2+600; later += 20 {
		n := newReplacementNetwork(t, 6)
		_, voters := n.leaderAndVoters()
		n.stop(voters[0])
		n.run(later)
		n.stopAll(voters[1:3])
		n.run(successorDelay)
		n.startSuccessors(voters[1:3])
		n.run(10 * dhclock.Second)
		n.start(voters[0])
		n.run(recoveryLimit)
		n.requireDeclaration(2, fmt.Sprintf("%v lost %d ms after %s:", namesOf(voters[1:3]), later, voters[0].name))
	}
}

// TestSuccessorOfOneOfThreeLeavesFourVotes loses each of three control processes for good, starts
// its successor at several times after that, and loses each other one once the successor counts.
// A declaration must be accepted.
func TestSuccessorOfOneOfThreeLeavesFourVotes(t *testing.T) {
	for i := range 3 {
		for j := range 4 {
			for _, delay := range []dhclock.Millis{500, successorDelay, 3000, 10_000} {
				if i == j {
					continue
				}
				n := newReplacementNetwork(t, 3)
				first := n.machines[i]
				n.stop(first)
				n.run(delay)
				n.startSuccessorOfFew(first)
				n.run(replacementTime + 100)
				votes, second := n.votes(), n.machines[j]
				n.stop(second)
				n.requireDeclaration(2, fmt.Sprintf("%s lost, its successor %d ms later, the votes with %v, then %s lost:", first.name, delay, votes, second.name))
			}
		}
	}
}

// TestLearnerLostAfterAVoterLeavesFourVotes loses each voter and, at many times after it, the
// learner.
func TestLearnerLostAfterAVoterLeavesFourVotes(t *testing.T) {
	for i := range 6 {
		for after := dhclock.Millis(20); after < replacementTime; after += 100 {
			n := newReplacementNetwork(t, 6)
			voter, learner := n.machines[i], n.learnerOf()
			if voter == learner {
				continue
			}
			n.stop(voter)
			n.run(after)
			requireFiveVotes(t, n, voter, learner)
		}
	}
}

// TestFarLearnerGetsNoVoteWhileEntriesCommit loses a voter while a declaration is proposed every
// 100 ms and the learner is further away than a majority of the voters. It must get the vote
// within the replacement time.
func TestFarLearnerGetsNoVoteWhileEntriesCommit(t *testing.T) {
	for _, delay := range []dhclock.Millis{0, 50, 100, 150} {
		n := newReplacementNetwork(t, 6)
		learner := n.learnerOf()
		n.linkDelay = func(from *machine, to string, _ dhmessage.Message) dhclock.Millis {
			if from == learner || to == learner.name {
				return delay
			}
			return 0
		}
		lost := n.find("c2")
		n.stop(lost)
		for number := uint64(2); number < 2+uint64(replacementTime/100); number++ {
			n.propose(n.leader(), declareCommand(number))
			n.run(100)
		}
		if votes := n.votes(); !slices.Contains(votes, learner.self().String()) {
			t.Errorf("%d ms further away: %s is lost and %s has no vote after %d ms: %v", delay, lost.name, learner.name, replacementTime, votes)
		}
	}
}

// TestTwoVotesAreTakenBeforeALearnerHasOne loses two voters, and two others for good at each of many
// times around the move of their votes. With the return of the first two, three of five disks are
// there: a declaration must be accepted again.
func TestTwoVotesAreTakenBeforeALearnerHasOne(t *testing.T) {
	for later := replacementTime/2 - 600; later < replacementTime/2+800; later += 20 {
		n := newReplacementNetwork(t, 6)
		_, voters := n.leaderAndVoters()
		n.stopAll(voters[:2])
		n.run(later)
		n.stopAll(voters[2:])
		n.run(successorDelay)
		n.startSuccessors(voters[2:])
		n.run(10 * dhclock.Second)
		n.start(voters[0])
		n.start(voters[1])
		n.run(recoveryLimit)
		n.requireDeclaration(2, fmt.Sprintf("%v lost %d ms after %v:", namesOf(voters[2:]), later, namesOf(voters[:2])))
	}
}

// TestLeaderWithoutMajorityTakesAVote loses two voters, and cuts off the leader and another voter
// before the two count as silent. The leader must take no vote: the change would stay pending, and
// with four votes, of which three are needed, the two that were lost don't help when they return.
func TestLeaderWithoutMajorityTakesAVote(t *testing.T) {
	for later := dhclock.Second; later < 2*dhclock.Second; later += 20 {
		n := newReplacementNetwork(t, 6)
		lead, voters := n.leaderAndVoters()
		n.stopAll(voters[:2])
		n.run(later)
		n.partitioned[lead.name], n.partitioned[voters[2].name] = true, true
		n.run(3 * dhclock.Second)
		votes := 0
		for _, m := range n.status(lead).Members() {
			if !m.Learner() {
				votes++
			}
		}
		if votes < 5 {
			t.Errorf("cut off %d ms after the loss of %v: the leader has %d votes, want 5 or more", later, namesOf(voters[:2]), votes)
		}
	}
}
