package dhconsensus

import (
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// follow accepts the sender as leader of its term. It returns false for a
// leader of an older term, which is told so.
func (n *Node) follow(from dhmessage.Peer, term, round uint64, out *dheffect.List) bool {
	if term < n.term {
		n.answer(from, false, 0, round, out)
		return false
	}
	if term > n.term {
		n.adopt(term, out)
	}
	if n.role != follower {
		n.becomeFollower()
	}
	n.leader = from.Name()
	n.heard = n.now
	return true
}

func (n *Node) answer(to dhmessage.Peer, accepted bool, match, round uint64, out *dheffect.List) {
	n.send(to.Name(), dhmessage.NewAppendAnswer(dhmessage.AppendAnswerOptions{
		Term: n.term, Accepted: accepted, Match: match, Round: round,
	}), out)
}

func (n *Node) onAppend(from dhmessage.Peer, m *dhmessage.Append, out *dheffect.List) {
	if !n.follow(from, m.Term(), m.Round(), out) {
		return
	}
	if hint, matches := n.matches(m.PreviousIndex(), m.PreviousTerm()); !matches {
		n.answer(from, false, hint, m.Round(), out)
		return
	}
	if fresh := n.store(m.Entries()); len(fresh) > 0 {
		n.persist(fresh, out)
	}
	last := m.PreviousIndex() + uint64(len(m.Entries()))
	n.commit = max(n.commit, min(m.Commit(), last))
	n.answer(from, true, last, m.Round(), out)
}

// matches tells whether the log holds the entry before an Append's first, or
// gives an index from which the leader should try again.
func (n *Node) matches(index, term uint64) (hint uint64, ok bool) {
	if index <= n.commit {
		return 0, true
	}
	if index > n.log.lastIndex() {
		return n.log.lastIndex(), false
	}
	mine, _ := n.log.term(index)
	if mine == term {
		return 0, true
	}
	hint = index - 1
	for hint > n.commit {
		if t, _ := n.log.term(hint); t != mine {
			break
		}
		hint--
	}
	return hint, false
}

// store appends the entries that the log lacks and returns them.
func (n *Node) store(entries []dhmessage.Entry) []dhmessage.Entry {
	for i, e := range entries {
		if e.Index() <= n.commit {
			continue
		}
		if term, found := n.log.term(e.Index()); found && term == e.Term() {
			continue
		}
		for _, f := range entries[i:] {
			n.log.append(f)
		}
		n.grown = n.now
		return entries[i:]
	}
	return nil
}

func (n *Node) onInstall(from dhmessage.Peer, m *dhmessage.Install, out *dheffect.List) {
	if !n.follow(from, m.Term(), m.Round(), out) {
		return
	}
	s := m.Snapshot()
	if s.Index() > n.commit {
		n.log.compact(s)
		n.commit = s.Index()
		n.grown = n.now
		n.save(s, true, out)
	}
	n.answer(from, true, s.Index(), m.Round(), out)
}

// Base returns the snapshot that the log starts from.
func (n *Node) Base() dhmessage.Snapshot { return n.log.base }

// Compact lets the log start from a snapshot of the committed state.
func (n *Node) Compact(s dhmessage.Snapshot, out *dheffect.List) {
	if s.Index() <= n.log.base.Index() || s.Index() > n.commit {
		return
	}
	n.log.compact(s)
	n.save(s, false, out)
}

func (n *Node) save(s dhmessage.Snapshot, installed bool, out *dheffect.List) {
	out.Add(dheffect.NewSaveSnapshot(dheffect.SaveSnapshotOptions{
		Snapshot: s, Installed: installed, Term: n.term, Vote: n.vote, Rest: n.log.entries,
	}))
}
