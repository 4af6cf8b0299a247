package dhcontrol

import (
	"slices"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// pendingLeave is a stop that waits until this process has no vote any more, and gets none.
type pendingLeave struct {
	correlationID uint64
	deadline      dhclock.Millis
}

// startLeaving reports that this process is about to stop. A voter under automatic management
// hands over its vote first: one that is gone would count as lost until the leader has
// noticed, although it has a successor. The leader leads on until it has none.
func (s *State) startLeaving(e *dhevent.LeaveStarted, out *dheffect.List) {
	s.distribution.StartLeaving()
	if s.automation != nil && s.voter != nil {
		s.automation.isLeaving, s.automation.lastJoin = true, 0
		s.voter.node.Resign(out)
	}
	if e.CorrelationID() != 0 {
		s.leave = &pendingLeave{correlationID: e.CorrelationID(), deadline: s.now + e.Timeout()}
	}
}

// completeLeave answers a stop once this process has no vote and can't get one, no other member
// can take it, or the timeout has passed. The outcome is unknown if it may still have its vote.
func (s *State) completeLeave(out *dheffect.List) {
	if s.leave == nil {
		return
	}
	self, isMember := s.ownMembership()
	// A process that has just started doesn't know yet which entries of its log are committed.
	hasVote := isMember && !self.Learner() || s.voter != nil && s.voter.node.IsVoter()
	mayHaveVote := hasVote || isMember && !self.Leaving()
	if mayHaveVote && s.canHandOver() && s.now < s.leave.deadline {
		return
	}
	s.reply(s.leave.correlationID, dhmessage.NewResult(dhmessage.ResultOptions{
		Version: s.distribution.Catalog().Version(), OutcomeUnknown: hasVote,
	}), out)
	s.leave = nil
}

// ownMembership returns this process as a member by the newest committed list of members, which
// says whether leaders know that it is about to stop; false if it is none.
func (s *State) ownMembership() (dhmessage.Member, bool) {
	if s.voter == nil {
		return dhmessage.Member{}, false
	}
	list := s.voter.appliedMembers
	i := slices.IndexFunc(list, func(m dhmessage.Member) bool { return m.Peer().Name() == s.self.Name() })
	if i < 0 {
		return dhmessage.Member{}, false
	}
	return list[i], true
}

// canHandOver reports whether the leader may take this process's vote: if another member can
// get one, or more than needed have one already.
func (s *State) canHandOver() bool {
	if s.automation == nil {
		return false
	}
	votes, learners := 0, 0
	for _, m := range s.voter.node.Members() {
		if m.Learner() {
			learners++
		} else {
			votes++
		}
	}
	return learners > 0 || votes > s.automation.options.Votes || hasSpareVote(votes, votes, s.automation.options.Votes)
}
