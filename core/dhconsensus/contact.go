package dhconsensus

import (
	"fmt"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
)

// Role returns the part of this node in the consensus group.
func (n *Node) Role() dheffect.Role {
	switch {
	case n.role == leader:
		return dheffect.RoleLeader
	case n.role == candidate:
		return dheffect.RoleCandidate
	case n.IsVoter():
		return dheffect.RoleFollower
	case n.IsMember():
		return dheffect.RoleLearner
	default:
		return dheffect.RoleNonMember
	}
}

// LeaderHeardAt returns when the last message of another leader arrived; false if there was none.
func (n *Node) LeaderHeardAt() (dhclock.Millis, bool) { return n.leaderHeardAt, n.leaderHeardAt != 0 }

// LostMajorityAt returns when a majority last responded to this node, if it gave way as leader for want
// of one and has known no leader since.
func (n *Node) LostMajorityAt() (dhclock.Millis, bool) {
	return n.lostMajorityAt, n.lostMajorityAt != 0
}

// Election returns why this node isn't in an election or doesn't win it.
func (n *Node) Election() string {
	waits := n.now.Since(n.lastContact) < n.electionTimeout
	switch {
	case n.role == leader:
		return "leads"
	case n.role == candidate && n.grantedVotes == nil:
		return "leaves it to another candidate"
	case n.role == candidate:
		return n.tally()
	case n.leader != "" && waits:
		return "hears the leader " + n.leader
	case !n.mayStand():
		return "may not stand: has no vote"
	case n.resigned:
		return "resigned: leaves elections to others"
	case !n.IsVoter():
		return "may have lost its vote: leaves elections to others"
	case n.votedFor != "" && n.votedFor != n.self.String() && waits:
		return "voted for " + n.votedFor
	default:
		return "waits for its election timeout"
	}
}

// tally returns the votes of the current vote or pre-vote as a text.
func (n *Node) tally() string {
	stage := "vote"
	if n.preVote {
		stage = "pre-vote"
	}
	return fmt.Sprintf("%s: %d of %d votes granted, %d refused, %d needed", stage, len(n.grantedVotes), voteCount(n.log.members()), len(n.refusedVotes), n.quorum())
}

// logLostElection logs, once in a candidacy, that it has won no election for long.
func (n *Node) logLostElection(out *dheffect.List) {
	if n.role != candidate || n.isCandidacyLogged || n.now.Since(n.candidateSince) < candidacyLogDelay {
		return
	}
	n.isCandidacyLogged = true
	out.Add(dheffect.NewLog(dheffect.LogOptions{Layer: layer, Text: "wins no election: " + n.Election(), Number: n.term}))
}

// logCandidacy logs the start of a candidacy, unless the node has won at once as the only voter.
func (n *Node) logCandidacy(formerLeader string, out *dheffect.List) {
	if n.role != candidate {
		return
	}
	n.candidateSince, n.isCandidacyLogged = n.now, false
	out.Add(dheffect.NewLog(dheffect.LogOptions{Layer: layer, Text: "became candidate: hears no leader", Peer: formerLeader, Number: n.term}))
}
