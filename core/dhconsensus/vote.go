package dhconsensus

import (
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// startElection requests a pre-vote, or a vote in a new term, from the other
// voters.
func (n *Node) startElection(pre bool, out *dheffect.List) {
	if pre {
		n.logLostElection(out)
	}
	wasCandidate, formerLeader := n.role == candidate, n.leader
	n.role = candidate
	n.preVote = pre
	n.leader = ""
	n.grantedVotes, n.refusedVotes = map[string]bool{}, map[string]bool{}
	if n.isVoter(n.self) {
		n.grantedVotes[n.self.Name()] = true
	}
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
	m := dhmessage.NewVoteRequest(dhmessage.VoteRequestOptions{
		Term: term, LastIndex: n.log.lastIndex(), LastTerm: n.log.lastTerm(), PreVote: pre,
	})
	for _, member := range n.log.members() {
		if !member.Learner() && member.Peer().Name() != n.self.Name() {
			n.send(member.Peer().Name(), m, out)
		}
	}
	n.tallyVotes(out)
	if !wasCandidate {
		n.logCandidacy(formerLeader, out)
	}
}

// handleVoteRequest responds even to a candidate that isn't a member by this
// node's list, which may be older than the candidate's. The candidate counts
// only responses from data folders that have a vote by its own list, so the
// votes of an empty folder never count.
func (n *Node) handleVoteRequest(from dhmessage.Peer, m *dhmessage.VoteRequest, out *dheffect.List) {
	granted := n.canGrantVote(from, m)
	if !m.PreVote() && m.Term() > n.term && granted {
		n.stepDown(m.Term(), from, out)
	}
	if granted && m.PreVote() && n.role == candidate && n.preVote && n.defersTo(from) {
		n.grantedVotes = nil
		n.lastContact = n.now
	}
	if granted && !m.PreVote() {
		n.votedFor = from.String()
		n.lastContact = n.now
		n.persist(nil, out)
	}
	term := n.term
	if m.PreVote() && granted {
		term = m.Term()
	}
	n.send(from.Name(), dhmessage.NewVoteResponse(dhmessage.VoteResponseOptions{
		Term: term, Granted: granted, PreVote: m.PreVote(),
	}), out)
}

// forgetElections drops what matters only while no leader is known.
func (n *Node) forgetElections() {
	n.lostMajorityAt = 0
	clear(n.deferredSince)
}

// deferTimeout is how long a candidate leaves an election to another one.
const deferTimeout = ElectionTimeout + ElectionJitter

// defersTo reports whether this candidate leaves the election to another one: two elections at once
// would split the votes. A candidate that hasn't won for long may reach others without being reached.
func (n *Node) defersTo(other dhmessage.Peer) bool {
	if other.Name() >= n.self.Name() {
		return false
	}
	since, found := n.deferredSince[other.Name()]
	if !found {
		since = n.now
		n.deferredSince[other.Name()] = since
	}
	return n.now.Since(since) < deferTimeout
}

// canGrantVote applies the rules for granting a vote. A voter that had contact
// with a leader within the election timeout grants no vote, so that the
// leader's lease holds and a voter that returns from a partition doesn't
// disrupt the group.
func (n *Node) canGrantVote(from dhmessage.Peer, m *dhmessage.VoteRequest) bool {
	if m.Term() < n.term || m.PreVote() && m.Term() == n.term {
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

func (n *Node) handleVoteResponse(from dhmessage.Peer, m *dhmessage.VoteResponse, out *dheffect.List) {
	grantedPreVote := m.PreVote() && m.Granted()
	if m.Term() > n.term && !grantedPreVote {
		n.stepDown(m.Term(), from, out)
		return
	}
	requestedTerm := n.term
	if n.preVote {
		requestedTerm++
	}
	if n.role != candidate || n.grantedVotes == nil || m.PreVote() != n.preVote || !n.isVoter(from) {
		return
	}
	if !m.Granted() {
		n.refusedVotes[from.Name()] = true
		return
	}
	if m.Term() != requestedTerm {
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
