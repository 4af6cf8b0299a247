package dhconsensus

import (
	"testing"

	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// newVoter returns a voter of three that has just started.
func newVoter() *Node {
	var founders []dhmessage.Voter
	for _, name := range []string{"a", "b", "c"} {
		founders = append(founders, dhmessage.NewVoter(dhmessage.NewPeer(name, name+"1"), name+":1", false))
	}
	return New(Options{Self: dhmessage.NewPeer("a", "a1"), Founders: founders, Now: 10_000})
}

// newLeader returns a leader of term 1 whose no-op is committed.
func newLeader(t *testing.T) *Node {
	t.Helper()
	n := newVoter()
	var out dheffect.List
	n.Tick(20_000, 1, &out)
	b := dhmessage.NewPeer("b", "b1")
	n.Step(20_000, b, dhmessage.NewVoteAnswer(dhmessage.VoteAnswerOptions{Term: 1, Granted: true, Pre: true}), &out)
	n.Step(20_000, b, dhmessage.NewVoteAnswer(dhmessage.VoteAnswerOptions{Term: 1, Granted: true}), &out)
	n.RecordSynced(1, 1)
	n.Step(20_010, b, dhmessage.NewAppendAnswer(dhmessage.AppendAnswerOptions{Term: 1, Accepted: true, Match: 1, Round: 1}), &out)
	if !n.IsLeader() || n.CommitIndex() != 1 {
		t.Fatalf("leads %t, commit %d", n.IsLeader(), n.CommitIndex())
	}
	return n
}

func noopEntries(term uint64, indexes ...uint64) []dhmessage.Entry {
	var list []dhmessage.Entry
	for _, i := range indexes {
		list = append(list, dhmessage.NewEntry(i, term, 0, dhmessage.Noop{}))
	}
	return list
}

// TestVotePersistedBeforeResponse looks at the order of effects: a granted vote leaves
// behind the Persist effect that records it, and is given once a term.
func TestVotePersistedBeforeResponse(t *testing.T) {
	n := newVoter()
	var out dheffect.List
	n.Step(20_000, dhmessage.NewPeer("b", "b1"), dhmessage.NewVoteAsk(dhmessage.VoteAskOptions{Term: 3}), &out)
	recorded := false
	for _, e := range out.Items() {
		switch e := e.(type) {
		case *dheffect.Persist:
			recorded = e.Term() == 3 && e.Vote() == "b@b1"
		case *dheffect.Send:
			if answer := e.Message().(*dhmessage.VoteAnswer); !recorded || !answer.Granted() {
				t.Errorf("recorded %t, granted %t", recorded, answer.Granted())
			}
		}
	}
	if !recorded {
		t.Error("the vote wasn't recorded")
	}
	out.Reset()
	n.Step(30_000, dhmessage.NewPeer("c", "c1"), dhmessage.NewVoteAsk(dhmessage.VoteAskOptions{Term: 3}), &out)
	for _, e := range out.Items() {
		if s, ok := e.(*dheffect.Send); ok && s.Message().(*dhmessage.VoteAnswer).Granted() {
			t.Error("a second vote was given in the term")
		}
	}
}

// TestCommitLimitedToMatchingEntries gives a follower entries of an old leader and a
// commit index that covers them: only what the new leader has confirmed may be
// committed.
func TestCommitLimitedToMatchingEntries(t *testing.T) {
	n := newVoter()
	var out dheffect.List
	n.Step(10_000, dhmessage.NewPeer("b", "b1"), dhmessage.NewAppend(dhmessage.AppendOptions{Term: 1, Entries: noopEntries(1, 1, 2, 3)}), &out)
	n.Step(10_010, dhmessage.NewPeer("c", "c1"), dhmessage.NewAppend(dhmessage.AppendOptions{
		Term: 2, PreviousIndex: 1, PreviousTerm: 1, Commit: 3,
	}), &out)
	if n.CommitIndex() != 1 {
		t.Errorf("commit %d, although only entry 1 is known to match", n.CommitIndex())
	}
}

// TestAckOfReplacedDataFolderIgnored lets a blank data folder answer under a voter's
// name.
func TestAckOfReplacedDataFolderIgnored(t *testing.T) {
	n := newLeader(t)
	var out dheffect.List
	index, _ := n.Propose(dhmessage.Noop{}, &out)
	n.RecordSynced(index, 1)
	blank := dhmessage.NewPeer("c", "c2")
	accepted := dhmessage.NewAppendAnswer(dhmessage.AppendAnswerOptions{Term: 1, Accepted: true, Match: index, Round: 99})
	n.Step(20_020, blank, accepted, &out)
	if n.CommitIndex() == index {
		t.Error("the blank folder's acknowledgement counted")
	}
	n.Step(20_030, dhmessage.NewPeer("c", "c1"), accepted, &out)
	if n.CommitIndex() != index {
		t.Error("the right folder's acknowledgement did not count")
	}
}

// TestLeaseExpiresBeforeNextElection compares the lease with the time for which
// voters that heard the leader give no vote.
func TestLeaseExpiresBeforeNextElection(t *testing.T) {
	n := newLeader(t)
	confirmed, ok := n.ConfirmedAt()
	if !ok || !n.HoldsLease(confirmed) {
		t.Fatal("a leader that a majority has just confirmed holds no lease")
	}
	if n.HoldsLease(confirmed + ElectionTimeout) {
		t.Error("the lease outlasts the time for which voters give no vote")
	}
	follower := newVoter()
	var out dheffect.List
	follower.Step(20_000, dhmessage.NewPeer("b", "b1"), dhmessage.NewAppend(dhmessage.AppendOptions{Term: 1}), &out)
	out.Reset()
	follower.Step(20_000+ElectionTimeout-1, dhmessage.NewPeer("c", "c1"), dhmessage.NewVoteAsk(dhmessage.VoteAskOptions{Term: 2}), &out)
	for _, e := range out.Items() {
		if s, ok := e.(*dheffect.Send); ok && s.Message().(*dhmessage.VoteAnswer).Granted() {
			t.Error("a vote was given within the election timeout")
		}
	}
}

// TestMemberChangesOneVoteAtATime refuses changes of members that overlap or change two
// votes.
func TestMemberChangesOneVoteAtATime(t *testing.T) {
	n := newLeader(t)
	voters := n.Members()
	if err := n.CheckMembers(voters[:1]); err == nil {
		t.Error("two votes may be removed at once")
	}
	if err := n.CheckMembers(voters[:2]); err != nil {
		t.Error(err)
	}
	var out dheffect.List
	n.Propose(dhmessage.NewMembers(voters[:2]), &out)
	if err := n.CheckMembers(voters); err == nil {
		t.Error("a second change may start before the first is committed")
	}
}
