package dhcontrol

import (
	"maps"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhview"
)

// A control process that is cut off from the majority can't commit anything, and its callers have
// little time. It refers them to a voter that it doesn't hear from: that one is on the other side.

// heardRetention is how long it is kept when a member was last heard that may have left the group.
const heardRetention = 600 * dhclock.Second

// reachability is what a control process knows of its contact with the others.
type reachability struct {
	// lastHeard is when the last message of each member of the consensus group arrived.
	lastHeard map[string]dhclock.Millis
	// hasLeader is set while this process follows a leader or leads, and changedAt is when that
	// last changed.
	hasLeader bool
	changedAt dhclock.Millis
	// majoritySince is since when this process has led with a majority.
	majoritySince dhclock.Millis
	// namedLeader is the leader that another process has named last, at namedAt.
	namedLeader string
	namedAt     dhclock.Millis
	// referralCount rotates the voters to which callers are referred.
	referralCount int
}

func newReachability(now dhclock.Millis) reachability {
	return reachability{lastHeard: map[string]dhclock.Millis{}, changedAt: now}
}

func (r *reachability) recordMessage(from string, now dhclock.Millis) { r.lastHeard[from] = now }

// hears reports whether a message of a member has arrived within contactTimeout.
func (r *reachability) hears(name string, now dhclock.Millis) bool {
	at, found := r.lastHeard[name]
	return found && now.Since(at) <= contactTimeout
}

func (r *reachability) setHasLeader(hasLeader bool, now dhclock.Millis) {
	if hasLeader == r.hasLeader {
		return
	}
	r.hasLeader, r.changedAt = hasLeader, now
	maps.DeleteFunc(r.lastHeard, func(_ string, at dhclock.Millis) bool { return now.Since(at) > heardRetention })
}

// namedLeaderTTL is how long a leader that another process names counts as such, in milliseconds.
const namedLeaderTTL = 2 * dhclock.Second

func (r *reachability) recordNamedLeader(name string, now dhclock.Millis) {
	r.namedLeader, r.namedAt = name, now
}

// leaderNamed returns the leader that another process has named within namedLeaderTTL, or "".
func (r *reachability) leaderNamed(now dhclock.Millis) string {
	if now.Since(r.namedAt) > namedLeaderTTL {
		return ""
	}
	return r.namedLeader
}

// tickReachability records whether this process knows a leader, and whether it leads with a majority.
func (s *State) tickReachability() {
	if s.voter == nil {
		return
	}
	s.reachability.setHasLeader(s.voter.node.Leader() != "", s.now)
	if !s.voter.node.IsLeader() || s.lacksMajority() {
		s.reachability.majoritySince = s.now
	}
}

// lacksMajority reports whether this leader hasn't been confirmed by a majority for contactTimeout.
func (s *State) lacksMajority() bool {
	confirmedAt, _ := s.voter.node.ConfirmedAt()
	return s.now.Since(max(confirmedAt, s.voter.node.ElectedAt())) >= contactTimeout
}

// referral returns the process to which a caller is referred; "" if this process may be able to
// serve the caller itself.
func (s *State) referral() string {
	if s.voter == nil {
		return ""
	}
	n := s.voter.node
	switch {
	case n.IsLeader():
		if !s.lacksMajority() {
			return ""
		}
	case n.Leader() != "":
		// Followers don't hear from each other. Their leader knows whom it reaches.
		confirmedAt, _ := s.distribution.ConfirmedAt()
		if s.now.Since(max(confirmedAt, s.reachability.changedAt)) < dhview.FreshnessLease {
			return ""
		}
		return n.Leader()
	case s.now.Since(s.leaderLostAt()) < contactTimeout:
		// An election is usually over by then, and candidates hear from each voter that they reach.
		return ""
	}
	if name := s.reachability.leaderNamed(s.now); name != "" && name != s.self.Name() {
		// It leads others, although nothing arrives here that it sends.
		return name
	}
	return s.silentVoter()
}

// leaderLostAt returns since when this process, which knows no leader, may have known that.
func (s *State) leaderLostAt() dhclock.Millis {
	if at, gaveWay := s.voter.node.LostMajorityAt(); gaveWay {
		return at
	}
	return s.reachability.changedAt
}

// silentVoter returns a voter from which this process hears nothing, another one each time; "" if
// it hears from a majority.
func (s *State) silentVoter() string {
	var silent []string
	voters, inContact := 0, 0
	for _, m := range s.voter.node.Members() {
		if m.Learner() {
			continue
		}
		voters++
		if name := m.Peer().Name(); name == s.self.Name() || s.reachability.hears(name, s.now) {
			inContact++
		} else {
			silent = append(silent, name)
		}
	}
	if len(silent) == 0 || inContact > voters/2 {
		return ""
	}
	s.reachability.referralCount++
	return silent[s.reachability.referralCount%len(silent)]
}

// unknownOutcome returns the result of a command that isn't known to be committed, with a referral if
// the caller can follow one.
func (s *State) unknownOutcome(isReferable bool) dhmessage.Result {
	o := dhmessage.ResultOptions{OutcomeUnknown: true}
	if isReferable {
		o.Referral = s.referral()
	}
	return dhmessage.NewResult(o)
}
