package dhconsensus

import (
	"slices"

	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// MembersError says why a change of members was refused.
type MembersError struct {
	reason string
	remedy string
}

// Reason tells what is wrong.
func (e MembersError) Reason() string { return e.reason }

// Remedy tells what to do.
func (e MembersError) Remedy() string { return e.remedy }

// Error implements error.
func (e MembersError) Error() string { return e.reason + "; " + e.remedy }

// Changing tells whether a change of members isn't committed yet.
func (n *Node) Changing() bool { return n.log.changedAt() > n.commit }

// CheckMembers tells whether a change of members may be proposed now. Two
// changes never overlap, and each changes at most one vote.
func (n *Node) CheckMembers(next []dhmessage.Voter) error {
	if n.role != leader {
		return MembersError{"this voter doesn't lead", "send the command again"}
	}
	if n.Changing() || n.commit < n.lead.firstTerm {
		return MembersError{"another change of members is under way", "wait until status shows it as done"}
	}
	if countVotes(next) == 0 {
		return MembersError{"no voter would be left", "add a voter before removing the last"}
	}
	if voteDistance(n.log.voters(), next) > 1 {
		return MembersError{"more than one vote would change", "add or remove one voter at a time"}
	}
	return nil
}

func countVotes(list []dhmessage.Voter) int {
	count := 0
	for _, v := range list {
		if !v.Learner() {
			count++
		}
	}
	return count
}

// voteDistance counts the votes that are in one list and not in the other. A
// folder that becomes known doesn't count.
func voteDistance(a, b []dhmessage.Voter) int {
	return missingVotes(a, b) + missingVotes(b, a)
}

func missingVotes(a, b []dhmessage.Voter) int {
	count := 0
	for _, v := range a {
		if v.Learner() {
			continue
		}
		found := slices.ContainsFunc(b, func(w dhmessage.Voter) bool {
			return !w.Learner() && w.Peer().Name() == v.Peer().Name() &&
				(w.Peer().Folder() == v.Peer().Folder() || w.Peer().Folder() == "" || v.Peer().Folder() == "")
		})
		if !found {
			count++
		}
	}
	return count
}

// promote gives a vote to a learner that has synced all that is committed, and
// binds founders to the data folders that answered under their names.
func (n *Node) promote(out *dheffect.List) {
	if n.Changing() || n.commit < n.lead.firstTerm {
		return
	}
	next := slices.Clone(n.log.voters())
	changed := n.bindFounders(next)
	for i, v := range next {
		if changed || n.managed || !v.Learner() {
			continue
		}
		p := n.progressOf(v.Peer().Name())
		if p.folder == v.Peer().Folder() && p.match >= n.commit {
			next[i] = dhmessage.NewVoter(v.Peer(), v.Address(), false)
			changed = true
			out.Add(dheffect.NewLog(dheffect.LogOptions{
				Layer: layer, Text: "promoted a learner that has caught up", Peer: v.Peer().Name(), Number: p.match,
			}))
		}
	}
	if changed {
		n.append(dhmessage.NewMembers(next), out)
	}
}

func (n *Node) bindFounders(next []dhmessage.Voter) bool {
	changed := false
	for i, v := range next {
		if v.Peer().Folder() != "" {
			continue
		}
		folder := n.self.Folder()
		if v.Peer().Name() != n.self.Name() {
			folder = n.progressOf(v.Peer().Name()).folder
		}
		if folder == "" {
			continue
		}
		next[i] = dhmessage.NewVoter(dhmessage.NewPeer(v.Peer().Name(), folder), v.Address(), v.Learner())
		changed = true
	}
	return changed
}
