package dhconsensus

import (
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// acceptLeader follows the sender as leader of its term. It returns false for a
// leader of an older term and sends it a rejection with the current term.
func (n *Node) acceptLeader(from dhmessage.Peer, term, round uint64, out *dheffect.List) bool {
	if term < n.term {
		n.sendAppendResponse(from, false, 0, round, out)
		return false
	}
	if term > n.term {
		n.stepDown(term, from, out)
	}
	if n.role != follower {
		n.becomeFollower("gives way to a leader", from.Name(), out)
	}
	n.leader = from.Name()
	n.lastContact, n.leaderHeardAt = n.now, n.now
	n.forgetElections()
	return true
}

func (n *Node) sendAppendResponse(to dhmessage.Peer, accepted bool, match, round uint64, out *dheffect.List) {
	n.send(to.Name(), dhmessage.NewAppendResponse(dhmessage.AppendResponseOptions{
		Term: n.term, Accepted: accepted, MatchIndex: match, Round: round,
	}), out)
}

// handleAppend appends the entries of a leader. It ignores a request whose entries don't
// follow each other, which the log can't hold.
func (n *Node) handleAppend(from dhmessage.Peer, m *dhmessage.AppendRequest, out *dheffect.List) {
	if !isContiguous(m) {
		return
	}
	if !n.acceptLeader(from, m.Term(), m.Round(), out) {
		return
	}
	if hint, matches := n.matchPrevious(m.PreviousIndex(), m.PreviousTerm()); !matches {
		n.sendAppendResponse(from, false, hint, m.Round(), out)
		return
	}
	if appended := n.appendMissing(m.Entries()); len(appended) > 0 {
		n.persist(appended, out)
	}
	last := m.PreviousIndex() + uint64(len(m.Entries()))
	n.commitIndex = max(n.commitIndex, min(m.CommitIndex(), last))
	n.sendAppendResponse(from, true, last, m.Round(), out)
}

// isContiguous reports whether the entries of a request follow each other and the entry that
// precedes them.
func isContiguous(m *dhmessage.AppendRequest) bool {
	for i, e := range m.Entries() {
		if e.Index() != m.PreviousIndex()+uint64(i)+1 {
			return false
		}
	}
	return true
}

// matchPrevious reports whether the log holds the entry that precedes an
// AppendRequest; otherwise it returns the index after which the leader
// should retry.
func (n *Node) matchPrevious(index, term uint64) (hint uint64, ok bool) {
	if index <= n.commitIndex {
		return 0, true
	}
	if index > n.log.lastIndex() {
		return n.log.lastIndex(), false
	}
	ownTerm, _ := n.log.term(index)
	if ownTerm == term {
		return 0, true
	}
	hint = index - 1
	for hint > n.commitIndex {
		if t, _ := n.log.term(hint); t != ownTerm {
			break
		}
		hint--
	}
	return hint, false
}

// appendMissing appends the entries that the log lacks and returns them.
func (n *Node) appendMissing(entries []dhmessage.Entry) []dhmessage.Entry {
	for i, e := range entries {
		if e.Index() <= n.commitIndex {
			continue
		}
		if term, found := n.log.term(e.Index()); found && term == e.Term() {
			continue
		}
		for _, f := range entries[i:] {
			n.log.append(f)
		}
		n.lastAppendAt = n.now
		return entries[i:]
	}
	return nil
}

func (n *Node) handleInstallSnapshot(from dhmessage.Peer, m *dhmessage.InstallSnapshot, out *dheffect.List) {
	if !n.acceptLeader(from, m.Term(), m.Round(), out) {
		return
	}
	s := m.Snapshot()
	if s.Index() > n.commitIndex {
		n.log.compact(s)
		n.commitIndex = s.Index()
		n.lastAppendAt = n.now
		n.saveSnapshot(s, true, out)
	}
	n.sendAppendResponse(from, true, s.Index(), m.Round(), out)
}

// Snapshot returns the snapshot that precedes the log's entries.
func (n *Node) Snapshot() dhmessage.Snapshot { return n.log.snapshot }

// Compact replaces the log's entries up to a snapshot of the committed state by
// that snapshot.
func (n *Node) Compact(s dhmessage.Snapshot, out *dheffect.List) {
	if s.Index() <= n.log.snapshot.Index() || s.Index() > n.commitIndex {
		return
	}
	n.log.compact(s)
	n.saveSnapshot(s, false, out)
}

func (n *Node) saveSnapshot(s dhmessage.Snapshot, installed bool, out *dheffect.List) {
	out.Add(dheffect.NewSaveSnapshot(dheffect.SaveSnapshotOptions{
		Snapshot: s, Installed: installed, Term: n.term, VotedFor: n.votedFor, RemainingEntries: n.log.entries,
	}))
}
