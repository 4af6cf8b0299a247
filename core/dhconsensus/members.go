package dhconsensus

import (
	"slices"

	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// MembersError states why a change of members was refused.
type MembersError struct {
	reason string
	remedy string
}

// Reason returns why the change was refused.
func (e MembersError) Reason() string { return e.reason }

// Remedy returns what the operator can do.
func (e MembersError) Remedy() string { return e.remedy }

// Error implements error.
func (e MembersError) Error() string { return e.reason + "; " + e.remedy }

// MemberChangePending reports whether a change of members isn't committed yet.
func (n *Node) MemberChangePending() bool { return n.log.lastMemberChange() > n.commitIndex }

// CheckMembers returns an error if a change to the given members may not be
// proposed now. Two changes never overlap, and each changes at most one vote.
func (n *Node) CheckMembers(next []dhmessage.Member) error {
	if n.role != leader {
		return MembersError{"this voter doesn't lead", "send the command again"}
	}
	if n.MemberChangePending() || n.commitIndex < n.leaderState.noopIndex {
		return MembersError{"another change of members is under way", "wait until status shows it as done"}
	}
	if voteCount(next) == 0 {
		return MembersError{"no voter would be left", "add a voter before removing the last"}
	}
	if changedVotes(n.log.members(), next) > 1 {
		return MembersError{"more than one vote would change", "add or remove one voter at a time"}
	}
	return nil
}

func voteCount(list []dhmessage.Member) int {
	count := 0
	for _, m := range list {
		if !m.Learner() {
			count++
		}
	}
	return count
}

// changedVotes counts the votes that are in one list and not in the other.
// Recording the data folder of a voter doesn't count as a change.
func changedVotes(a, b []dhmessage.Member) int {
	return votesNotIn(a, b) + votesNotIn(b, a)
}

func votesNotIn(a, b []dhmessage.Member) int {
	count := 0
	for _, x := range a {
		if x.Learner() {
			continue
		}
		found := slices.ContainsFunc(b, func(y dhmessage.Member) bool {
			return !y.Learner() && y.Peer().Name() == x.Peer().Name() &&
				(y.Peer().FolderID() == x.Peer().FolderID() || y.Peer().FolderID() == "" || x.Peer().FolderID() == "")
		})
		if !found {
			count++
		}
	}
	return count
}

// proposeMemberUpdate promotes a learner that has synced all committed entries,
// and binds founders to the data folders that responded under their names.
func (n *Node) proposeMemberUpdate(out *dheffect.List) {
	if n.MemberChangePending() || n.commitIndex < n.leaderState.noopIndex {
		return
	}
	next := slices.Clone(n.log.members())
	changed := n.bindFounderFolders(next)
	for i, member := range next {
		if changed || n.externalPromotion || !member.Learner() {
			continue
		}
		p := n.progressOf(member.Peer().Name())
		if p.folderID == member.Peer().FolderID() && p.matchIndex >= n.commitIndex {
			next[i] = member.WithLearner(false)
			changed = true
			out.Add(dheffect.NewLog(dheffect.LogOptions{
				Layer: layer, Text: "promoted a learner that has caught up", Peer: member.Peer().Name(), Number: p.matchIndex,
			}))
		}
	}
	if changed {
		n.appendEntry(dhmessage.NewMembers(next), out)
	}
}

func (n *Node) bindFounderFolders(next []dhmessage.Member) bool {
	changed := false
	for i, member := range next {
		if member.Peer().FolderID() != "" {
			continue
		}
		folder := n.self.FolderID()
		if member.Peer().Name() != n.self.Name() {
			folder = n.progressOf(member.Peer().Name()).folderID
		}
		if folder == "" {
			continue
		}
		next[i] = member.WithPeer(dhmessage.NewPeer(member.Peer().Name(), folder))
		changed = true
	}
	return changed
}
