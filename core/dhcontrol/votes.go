package dhcontrol

import (
	"cmp"
	"slices"
)

// seat is a member of the consensus group, as far as it matters for its vote.
type seat struct {
	region, zone string
	isVoter      bool
	isLeader     bool
	// isReady is set if the member has caught up and can get a vote.
	isReady bool
	// isSilent is set if the member hasn't responded for so long that it counts as lost.
	isSilent bool
	// isInContact is set if the member has responded just now.
	isInContact bool
	// isPunctual is set if the member has answered one of the last heartbeats.
	isPunctual bool
	// isLeaving is set if the member is about to stop.
	isLeaving bool
}

// isLasting reports whether the seat's vote counts after the losses and stops that are known.
func (s seat) isLasting() bool { return s.isVoter && !s.isSilent && !s.isLeaving }

// canGetVote reports whether the member can become a voter.
func (s seat) canGetVote() bool { return !s.isVoter && s.isReady && !s.isLeaving }

// voteChange describes a change of one vote in the log.
type voteChange string

// Changes of votes.
const (
	keepVotes       voteChange = ""
	demoteSilent    voteChange = "takes the vote from a silent voter"
	demoteLeaving   voteChange = "takes the vote from a voter that stops"
	demoteSurplus   voteChange = "takes a vote that is left over"
	promoteMissing  voteChange = "gives a learner a vote"
	promoteBalanced voteChange = "gives a learner a vote to spread the votes"
)

// planVote returns the seat whose vote changes next, and how; keepVotes if none. The votes that
// last are kept at a number and spread evenly over regions, then over zones, so that the loss of
// a region, a zone or any minority leaves a majority. To move a vote, a learner gets one before a
// voter loses its own: a voter that stops ends as soon as it has none, and a silent one may return
// and be needed. Silent voters lose theirs first, one at a time, only if the majority would depend on
// a learner that may be lost. A leader that stops loses its own last, since nobody moves the others
// until the next one is elected.
func planVote(seats []seat, votes int) (index int, change voteChange) {
	voters, lasting, inContact, members := 0, 0, 0, 0
	for _, s := range seats {
		if s.isVoter {
			voters++
		}
		if s.isVoter || !s.isSilent && !s.isLeaving {
			members++
		}
		if s.isVoter && s.isInContact {
			inContact++
		}
		if s.isLasting() {
			lasting++
		}
	}
	learner, isSurplus := bestLearner(seats), voters > votes
	takeFirst := learner >= 0 && voters == votes && inContact <= (voters+1)/2 && mayBeLost(seats, learner)
	canTake := isSurplus || learner < 0 && hasSpareVote(members, voters, votes)
	leavingLeader := -1
	for i, s := range seats {
		switch {
		case s.isVoter && s.isSilent && (takeFirst || canTake):
			return i, demoteSilent
		case s.isVoter && s.isLeaving && s.isLeader:
			leavingLeader = i
		case s.isVoter && s.isLeaving && canTake:
			return i, demoteLeaving
		}
	}
	switch {
	case isSurplus && lasting > votes:
		return worstVoter(seats), demoteSurplus
	case learner >= 0 && lasting < votes:
		return learner, promoteMissing
	case learner >= 0 && voters == votes && canBalance(seats, learner):
		return learner, promoteBalanced
	case leavingLeader >= 0 && canTake:
		return leavingLeader, demoteLeaving
	default:
		return -1, keepVotes
	}
}

// hasSpareVote reports whether a vote can be taken without another one in its place. Where fewer
// members than votes exist, no learner completes the votes, and of an even number more than three
// one that is lost only raises the majority.
func hasSpareVote(members, voters, votes int) bool {
	return members < votes && voters > 3 && voters%2 == 0
}

// mayBeLost reports whether a learner may be lost as the silent voters are: it has missed
// heartbeats, or all of them are in its region.
func mayBeLost(seats []seat, learner int) bool {
	return !seats[learner].isPunctual || !slices.ContainsFunc(seats, func(s seat) bool {
		return s.isVoter && s.isSilent && s.region != seats[learner].region
	})
}

// canBalance reports whether the votes are spread more evenly if a learner gets one of them. It
// is false unless all voters are in contact and their regions known.
func canBalance(seats []seat, learner int) bool {
	for _, s := range seats {
		if s.isVoter && (!s.isInContact || s.isLeaving || s.region == "") {
			return false
		}
	}
	if !seats[learner].isInContact || seats[learner].region == "" {
		return false
	}
	next := withVote(seats, learner, true)
	return spreadOf(withVote(next, worstVoter(next), false), seat.isLasting).compare(spreadOf(seats, seat.isLasting)) < 0
}

// bestLearner returns the learner with which the lasting votes are spread most evenly, and then
// all votes; -1 if no learner can get one.
func bestLearner(seats []seat) int {
	best := -1
	var bestLasting, bestAll spread
	for i, s := range seats {
		if !s.canGetVote() {
			continue
		}
		next := withVote(seats, i, true)
		lasting, all := spreadOf(next, seat.isLasting), spreadOf(next, func(s seat) bool { return s.isVoter })
		if best < 0 || cmp.Or(lasting.compare(bestLasting), all.compare(bestAll)) < 0 {
			best, bestLasting, bestAll = i, lasting, all
		}
	}
	return best
}

// worstVoter returns a voter that isn't in contact, or else the one without which the votes are
// spread most evenly. The leader keeps its vote.
func worstVoter(seats []seat) int {
	worst := -1
	var least spread
	for i, s := range seats {
		if !s.isVoter || s.isLeader {
			continue
		}
		if !s.isInContact {
			return i
		}
		if without := spreadOf(withVote(seats, i, false), seat.isLasting); worst < 0 || without.compare(least) < 0 {
			worst, least = i, without
		}
	}
	return worst
}

// withVote returns the seats after a change of one vote.
func withVote(seats []seat, i int, isVoter bool) []seat {
	next := slices.Clone(seats)
	next[i].isVoter = isVoter
	return next
}

// spread is the sum of the squares of the votes of each region, and of each zone. It is least if
// the votes are spread evenly.
type spread struct{ regions, zones int }

func spreadOf(seats []seat, counts func(seat) bool) spread {
	regions, zones := map[string]int{}, map[string]int{}
	var total spread
	for _, s := range seats {
		if counts(s) {
			// A square grows from n*n to (n+1)*(n+1) by 2n + 1.
			total.regions += 2*regions[s.region] + 1
			total.zones += 2*zones[s.zone] + 1
			regions[s.region]++
			zones[s.zone]++
		}
	}
	return total
}

func (a spread) compare(b spread) int {
	return cmp.Or(cmp.Compare(a.regions, b.regions), cmp.Compare(a.zones, b.zones))
}
