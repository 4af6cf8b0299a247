package dhconsensus

import (
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// startElection asks the other voters for a pre-vote, or for a vote in a new term.
func (n *Node) startElection(pre bool, out *dheffect.List) {
	n.role = candidate
	n.preVote = pre
	n.leader = ""
	n.grantedVotes = map[string]bool{n.self.Name(): true}
	n.lastContact = n.now
	n.resetElectionTimeout()
	term := n.term + 1
	if pre {
		n.electionTimeout = preVoteRetryInterval + n.jitter(preVoteJitter)
	} else {
		n.term = term
		n.votedFor = n.self.String()
		n.persist(nil, out)
	}
	m := dhmessage.NewVoteAsk(dhmessage.VoteAskOptions{
		Term: term, LastIndex: n.log.lastIndex(), LastTerm: n.log.lastTerm(), Pre: pre,
	})
	for _, v := range n.log.members() {
		if !v.Learner() && v.Peer().Name() != n.self.Name() {
			n.send(v.Peer().Name(), m, out)
		}
	}
	n.tallyVotes(out)
}

// handleVoteRequest answers whatever this node believes about the members: its list may
// be older than the candidate's. The candidate counts only answers from the
// folders that have a vote by its own list, so a blank folder's never count.
func (n *Node) handleVoteRequest(from dhmessage.Peer, m *dhmessage.VoteAsk, out *dheffect.List) {
	granted := n.canGrantVote(from, m)
	if !m.Pre() && m.Term() > n.term && granted {
		n.stepDown(m.Term(), out)
	}
	if granted && !m.Pre() {
		n.votedFor = from.String()
		n.lastContact = n.now
		n.persist(nil, out)
	}
	term := n.term
	if m.Pre() && granted {
		term = m.Term()
	}
	n.send(from.Name(), dhmessage.NewVoteAnswer(dhmessage.VoteAnswerOptions{
		Term: term, Granted: granted, Pre: m.Pre(),
	}), out)
}

// canGrantVote applies the rules of a vote. A voter that heard from a leader
// within the election timeout gives no vote, so that a leader's lease holds
// and a voter that comes back from a partition doesn't disturb.
func (n *Node) canGrantVote(from dhmessage.Peer, m *dhmessage.VoteAsk) bool {
	if m.Term() < n.term || m.Pre() && m.Term() == n.term {
		return false
	}
	if m.Term() == n.term && n.votedFor != "" && n.votedFor != from.String() {
		return false
	}
	if n.role == leader {
		return false
	}
	if (n.role == follower) && n.now.Since(n.lastContact) < ElectionTimeout {
		return false
	}
	if m.LastTerm() != n.log.lastTerm() {
		return m.LastTerm() > n.log.lastTerm()
	}
	return m.LastIndex() >= n.log.lastIndex()
}

func (n *Node) handleVoteResponse(from dhmessage.Peer, m *dhmessage.VoteAnswer, out *dheffect.List) {
	wouldGrant := m.Pre() && m.Granted()
	if m.Term() > n.term && !wouldGrant {
		n.stepDown(m.Term(), out)
		return
	}
	wanted := n.term
	if n.preVote {
		wanted++
	}
	if n.role != candidate || m.Pre() != n.preVote || m.Term() != wanted || !m.Granted() || !n.isVoter(from) {
		return
	}
	n.grantedVotes[from.Name()] = true
	n.tallyVotes(out)
}

func (n *Node) tallyVotes(out *dheffect.List) {
	if len(n.grantedVotes) < n.quorum() {
		return
	}
	if n.preVote {
		n.startElection(false, out)
		return
	}
	n.becomeLeader(out)
}
