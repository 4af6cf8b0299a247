package dhconsensus

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// newVoter returns a newly started voter of a group of three.
func newVoter() *Node {
	var founders []dhmessage.Member
	for _, name := range []string{"a", "b", "c"} {
		founders = append(founders, dhmessage.NewMember(dhmessage.NewPeer(name, name+"1"), name+":1", false))
	}
	return New(Options{Self: dhmessage.NewPeer("a", "a1"), Founders: founders, Now: 10_000})
}

// newLeader returns a leader of term 1 whose no-op entry is committed.
func newLeader(t *testing.T) *Node {
	t.Helper()
	n := newVoter()
	var out dheffect.List
	n.Tick(20_000, 1, &out)
	b := dhmessage.NewPeer("b", "b1")
	n.Step(20_000, b, dhmessage.NewVoteResponse(dhmessage.VoteResponseOptions{Term: 1, Granted: true, PreVote: true}), &out)
	n.Step(20_000, b, dhmessage.NewVoteResponse(dhmessage.VoteResponseOptions{Term: 1, Granted: true}), &out)
	n.RecordSynced(1, 1)
	n.Step(20_010, b, dhmessage.NewAppendResponse(dhmessage.AppendResponseOptions{Term: 1, Accepted: true, MatchIndex: 1, Round: 1}), &out)
	if !n.IsLeader() || n.CommitIndex() != 1 {
		t.Fatalf("leader: %t, commit index %d; want true, 1", n.IsLeader(), n.CommitIndex())
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

// TestVotePersistedBeforeResponse checks that the Persist effect of a granted
// vote precedes the response, and that a voter grants one vote per term.
// Otherwise a voter that restarts could vote twice in a term.
func TestVotePersistedBeforeResponse(t *testing.T) {
	n := newVoter()
	var out dheffect.List
	n.Step(20_000, dhmessage.NewPeer("b", "b1"), dhmessage.NewVoteRequest(dhmessage.VoteRequestOptions{Term: 3}), &out)
	persisted := false
	for _, e := range out.Items() {
		switch e := e.(type) {
		case *dheffect.Persist:
			persisted = e.Term() == 3 && e.VotedFor() == "b@b1"
		case *dheffect.Send:
			if response := e.Message().(*dhmessage.VoteResponse); !persisted || !response.Granted() {
				t.Errorf("vote response sent with the vote persisted: %t, granted: %t; want both", persisted, response.Granted())
			}
		}
	}
	if !persisted {
		t.Error("no Persist effect for the granted vote")
	}
	out.Reset()
	n.Step(30_000, dhmessage.NewPeer("c", "c1"), dhmessage.NewVoteRequest(dhmessage.VoteRequestOptions{Term: 3}), &out)
	for _, e := range out.Items() {
		if s, ok := e.(*dheffect.Send); ok && s.Message().(*dhmessage.VoteResponse).Granted() {
			t.Error("a second vote was granted in the same term")
		}
	}
}

// TestCommitLimitedToMatchingEntries sends a follower entries of an old leader,
// then a commit index of a new leader that covers them. The follower may commit
// only entries that the new leader has confirmed as matching.
func TestCommitLimitedToMatchingEntries(t *testing.T) {
	n := newVoter()
	var out dheffect.List
	n.Step(10_000, dhmessage.NewPeer("b", "b1"), dhmessage.NewAppendRequest(dhmessage.AppendRequestOptions{Term: 1, Entries: noopEntries(1, 1, 2, 3)}), &out)
	n.Step(10_010, dhmessage.NewPeer("c", "c1"), dhmessage.NewAppendRequest(dhmessage.AppendRequestOptions{
		Term: 2, PreviousIndex: 1, PreviousTerm: 1, CommitIndex: 3,
	}), &out)
	if n.CommitIndex() != 1 {
		t.Errorf("commit index %d; want 1, the only entry confirmed as matching", n.CommitIndex())
	}
}

// TestAckOfReplacedDataFolderIgnored sends acknowledgements of an empty data
// folder under a voter's name. They must not count towards a commit, since the
// vote belongs to the member's recorded folder.
func TestAckOfReplacedDataFolderIgnored(t *testing.T) {
	n := newLeader(t)
	var out dheffect.List
	index, _ := n.Propose(dhmessage.Noop{}, &out)
	n.RecordSynced(index, 1)
	empty := dhmessage.NewPeer("c", "c2")
	accepted := dhmessage.NewAppendResponse(dhmessage.AppendResponseOptions{Term: 1, Accepted: true, MatchIndex: index, Round: 99})
	n.Step(20_020, empty, accepted, &out)
	if n.CommitIndex() == index {
		t.Error("the acknowledgement of the empty folder counted towards the commit")
	}
	n.Step(20_030, dhmessage.NewPeer("c", "c1"), accepted, &out)
	if n.CommitIndex() != index {
		t.Error("the acknowledgement of the recorded folder did not count towards the commit")
	}
}

// TestLeaseExpiresBeforeNextElection checks that a leader's lease ends before
// voters that had contact with it may vote for another candidate. Otherwise two
// leaders could hold a lease at once.
func TestLeaseExpiresBeforeNextElection(t *testing.T) {
	n := newLeader(t)
	confirmed, ok := n.ConfirmedAt()
	if !ok || !n.HoldsLease(confirmed) {
		t.Fatal("a leader confirmed by a majority holds no lease")
	}
	if n.HoldsLease(confirmed + ElectionTimeout) {
		t.Error("the lease lasts longer than the time for which voters grant no vote")
	}
	follower := newVoter()
	var out dheffect.List
	follower.Step(20_000, dhmessage.NewPeer("b", "b1"), dhmessage.NewAppendRequest(dhmessage.AppendRequestOptions{Term: 1}), &out)
	out.Reset()
	follower.Step(20_000+ElectionTimeout-1, dhmessage.NewPeer("c", "c1"), dhmessage.NewVoteRequest(dhmessage.VoteRequestOptions{Term: 2}), &out)
	for _, e := range out.Items() {
		if s, ok := e.(*dheffect.Send); ok && s.Message().(*dhmessage.VoteResponse).Granted() {
			t.Error("a vote was granted within the election timeout")
		}
	}
}

// TestMemberChangesOneVoteAtATime checks that changes of members that overlap
// or change two votes are refused: the majorities before and after such a
// change might not intersect.
func TestMemberChangesOneVoteAtATime(t *testing.T) {
	n := newLeader(t)
	members := n.Members()
	if err := n.CheckMembers(members[:1]); err == nil {
		t.Error("a change that removes two votes was allowed")
	}
	if err := n.CheckMembers(members[:2]); err != nil {
		t.Error(err)
	}
	var out dheffect.List
	n.Propose(dhmessage.NewMembers(members[:2]), &out)
	if err := n.CheckMembers(members); err == nil {
		t.Error("a second change was allowed before the first was committed")
	}
}

// TestAppendedGapEndsAVoter sends a voter entries that don't follow each other or the entry
// before them. It must neither panic nor store them at other indexes than their own.
func TestAppendedGapEndsAVoter(t *testing.T) {
	leader := dhmessage.NewPeer("b", "b1")
	for _, indexes := range [][]uint64{{3}, {4}, {1, 3}, {2, 2}, {2, 4}, {2, 3, 1}, {0}, {math.MaxUint64}, {1 << 63}, {2, 1 << 63}} {
		n := newVoter()
		var out dheffect.List
		n.Step(10_000, leader, dhmessage.NewAppendRequest(dhmessage.AppendRequestOptions{Term: 1, Entries: noopEntries(1, 1)}), &out)
		n.Step(10_010, leader, dhmessage.NewAppendRequest(dhmessage.AppendRequestOptions{
			Term: 1, PreviousIndex: 1, PreviousTerm: 1, Entries: noopEntries(2, indexes...), CommitIndex: math.MaxUint64,
		}), &out)
		for i := uint64(1); i < 5; i++ {
			if e, found := n.Entry(i); found && e.Index() != i {
				t.Errorf("%d: entry %d is stored at index %d", indexes, e.Index(), i)
			}
		}
		if n.CommitIndex() > 1 {
			t.Errorf("%d: the commit index is %d, want at most 1", indexes, n.CommitIndex())
		}
	}
}

// sentEntries returns the previous index of each AppendRequest with entries to a member.
func sentEntries(out *dheffect.List, to string) []uint64 {
	var list []uint64
	for _, e := range out.Items() {
		if s, ok := e.(*dheffect.Send); ok && s.To() == to {
			if m, ok := s.Message().(*dhmessage.AppendRequest); ok && len(m.Entries()) > 0 {
				list = append(list, m.PreviousIndex())
			}
		}
	}
	return list
}

// TestStaleRejectionsRepeatNoEntries rejects heartbeats that were under way to a member when
// the leader sent it the entries that it lacks. The leader must not send them again for each.
// A rejection that asks for earlier entries, and one of a later heartbeat, must be served.
func TestStaleRejectionsRepeatNoEntries(t *testing.T) {
	n := newLeader(t)
	c := dhmessage.NewPeer("c", "c1")
	reject := func(now dhclock.Millis, hint, round uint64) []uint64 {
		var out dheffect.List
		n.Step(now, c, dhmessage.NewAppendResponse(dhmessage.AppendResponseOptions{Term: 1, MatchIndex: hint, Round: round}), &out)
		return sentEntries(&out, "c")
	}
	var out dheffect.List
	for i := range dhclock.Millis(5) {
		n.Propose(dhmessage.Noop{}, &out)
		n.Tick(20_100+i*HeartbeatInterval, 1, &out)
		n.Flush(&out)
	}
	round := n.leaderState.round
	if got := reject(20_600, 2, round-2); !slices.Equal(got, []uint64{2}) {
		t.Errorf("the first rejection is answered with entries after %v, want [2]", got)
	}
	for _, stale := range []uint64{round - 1, round} {
		if got := reject(20_610, 2, stale); len(got) > 0 {
			t.Errorf("a rejection of the earlier round %d is answered with entries after %v, want none", stale, got)
		}
	}
	if got := reject(20_620, 0, round); !slices.Equal(got, []uint64{0}) {
		t.Errorf("a rejection that asks for earlier entries is answered with entries after %v, want [0]", got)
	}
	n.Tick(20_700, 1, &out)
	if got := reject(20_710, 0, round+1); !slices.Equal(got, []uint64{0}) {
		t.Errorf("a rejection of a later heartbeat is answered with entries after %v, want [0]", got)
	}
}

// TestMembersGetRequestsOfTheirOwn has a leader send an entry to two other voters that lack the
// same. They must get the same request, which is encoded once.
func TestMembersGetRequestsOfTheirOwn(t *testing.T) {
	n := newLeader(t)
	var out dheffect.List
	if _, ok := n.Propose(dhmessage.Noop{}, &out); !ok {
		t.Fatal("the node doesn't lead")
	}
	n.Flush(&out)
	requests := map[*dhmessage.AppendRequest]int{}
	for _, e := range out.Items() {
		if s, ok := e.(*dheffect.Send); ok {
			requests[s.Message().(*dhmessage.AppendRequest)]++
		}
	}
	if len(requests) != 1 {
		t.Errorf("the members get %d different requests, want one", len(requests))
	}
}

// TestChangesTakeAMessageToEachLearner has a leader of five voters and 22 learners append an entry
// every 20 ms for a second. All members respond after 10 ms. A learner may get 16
// messages, a third of one for each change, must have all entries a heartbeat later, and no commit may wait for it.
func TestChangesTakeAMessageToEachLearner(t *testing.T) {
	var founders []dhmessage.Member
	for i := range 27 {
		name := fmt.Sprintf("m%02d", i)
		founders = append(founders, dhmessage.NewMember(dhmessage.NewPeer(name, name), name+":1", i >= 5))
	}
	n := New(Options{Self: founders[0].Peer(), Founders: founders, ExternalPromotion: true, Now: 10_000})
	var out dheffect.List
	n.Tick(20_000, 1, &out)
	for _, pre := range []bool{true, false} {
		for _, m := range founders[1:3] {
			n.Step(20_000, m.Peer(), dhmessage.NewVoteResponse(dhmessage.VoteResponseOptions{Term: 1, Granted: true, PreVote: pre}), &out)
		}
	}
	n.RecordSynced(1, 1)
	type response struct {
		at   dhclock.Millis
		from dhmessage.Peer
		m    *dhmessage.AppendResponse
	}
	var responses []response
	sent, has := map[string]int{}, map[string]uint64{}
	run := func(from, to dhclock.Millis, propose bool) {
		for now := from; now < to; now += 10 {
			out.Reset()
			for len(responses) > 0 && responses[0].at <= now {
				n.Step(now, responses[0].from, responses[0].m, &out)
				responses = responses[1:]
			}
			if propose && now%20 == 0 {
				index, _ := n.Propose(dhmessage.Noop{}, &out)
				n.RecordSynced(index, 1)
			}
			n.Flush(&out)
			n.Tick(now, 1, &out)
			for _, e := range out.Items() {
				s, ok := e.(*dheffect.Send)
				if !ok {
					continue
				}
				m, ok := s.Message().(*dhmessage.AppendRequest)
				if !ok {
					continue
				}
				sent[s.To()]++
				has[s.To()] = max(has[s.To()], m.PreviousIndex()+uint64(len(m.Entries())))
				responses = append(responses, response{now + 10, dhmessage.NewPeer(s.To(), s.To()), dhmessage.NewAppendResponse(dhmessage.AppendResponseOptions{
					Term: 1, Accepted: true, MatchIndex: has[s.To()], Round: m.Round(),
				})})
			}
		}
	}
	run(20_000, 21_000, true)
	if lag := n.LastIndex() - n.CommitIndex(); lag > 2 {
		t.Errorf("%d entries aren't committed", lag)
	}
	if got := sent["m20"]; got > 16 {
		t.Errorf("a learner gets %d messages in a second, want at most 16", got)
	}
	run(21_000, 21_000+2*HeartbeatInterval, false)
	if has["m20"] < n.LastIndex() {
		t.Errorf("a learner has entry %d of %d after two heartbeats", has["m20"], n.LastIndex())
	}
}

// TestLeaderGivesWayWithItsLease ticks a leader of three voters that nobody but a stranger responds to.
// It must lead for as long as its lease may last, then give way without a message, and vote at once.
func TestLeaderGivesWayWithItsLease(t *testing.T) {
	n := newLeader(t)
	b := dhmessage.NewPeer("b", "b1")
	for now := dhclock.Millis(20_020); now < 22_000; now += 10 {
		var out dheffect.List
		held := n.HoldsLease(now)
		n.Step(now, dhmessage.NewPeer("c", "other"), dhmessage.NewAppendResponse(dhmessage.AppendResponseOptions{Term: 1, Accepted: true}), &out)
		out = dheffect.List{}
		n.Tick(now, 1, &out)
		if n.IsLeader() {
			continue
		}
		sends := slices.ContainsFunc(out.Items(), func(e dheffect.Effect) bool { _, ok := e.(*dheffect.Send); return ok })
		if held || n.HoldsLease(now) || sends || now < 20_010+quorumTimeout {
			t.Errorf("%d: gives way; holds its lease: %t, sends: %t", now, held, sends)
		}
		n.Step(now, b, dhmessage.NewVoteRequest(dhmessage.VoteRequestOptions{Term: 2, LastIndex: 1, LastTerm: 1}), &out)
		if n.Term() != 2 {
			t.Errorf("%d: it gives no vote, term %d", now, n.Term())
		}
		return
	}
	t.Error("a leader without responses leads on")
}
