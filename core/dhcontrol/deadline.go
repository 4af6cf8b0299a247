package dhcontrol

import (
	"maps"
	"slices"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// A proposal may be held up on its way to the leader, or arrive twice, and meanwhile its
// caller may have given it up, sent it to another process and sent further commands after it.
// A command for which this matters carries a deadline, after which the leader doesn't append
// it to the log any more, and until then the leader remembers that it was answered.

// canUndoLater reports whether a command could undo another one that was proposed later.
// Records of upstreams, declarations, change sets and claims are ordered by what they contain.
func canUndoLater(c dhmessage.Command) bool {
	switch c := c.(type) {
	case dhmessage.Edit:
		return len(c.Deletes()) > 0 || slices.ContainsFunc(c.Puts(), func(o dhcatalog.Object) bool {
			_, ok := o.(dhcatalog.Upstream)
			return !ok
		})
	case dhmessage.MemberEdit, dhmessage.Resolve:
		return true
	default:
		return false
	}
}

// recordRound records a heartbeat round of the leader and when this process learned of it,
// which isn't before the round started.
func (p *proposals) recordRound(r dhmessage.Round, now dhclock.Millis) {
	if r.Term() > p.round.Term() || r.Term() == p.round.Term() && r.Number() > p.round.Number() {
		p.round, p.roundAt = r, now
	}
}

// leaderDeadline returns the time on the leader's clock after which it must not append a
// proposal's command; nil if there is none. It is earlier than the proposal's deadline by the
// time that the round took to get here.
func (p *proposals) leaderDeadline(o *proposal) *dhmessage.Deadline {
	if !o.expires {
		return nil
	}
	d := dhmessage.NewDeadline(p.round, o.deadline-p.roundAt)
	return &d
}

// answeredProposal is the result of a proposal with a deadline.
type answeredProposal struct {
	result dhmessage.Result
	// expiry is when no copy of the proposal can be in time any more.
	expiry dhclock.Millis
}

// isInTime reports whether this leader may append the command of a proposal.
func (v *voter) isInTime(d *dhmessage.Deadline, now dhclock.Millis) bool {
	if d == nil {
		return true
	}
	since, known := v.node.SinceRound(d.Round(), now)
	return known && since <= d.After()
}

// recordAnswered records the result of a proposal with a deadline, so that a second copy
// isn't applied again.
func (v *voter) recordAnswered(p pendingProposal, r dhmessage.Result, now dhclock.Millis) {
	if p.lifetime > 0 {
		v.answered[p.key] = answeredProposal{result: r, expiry: now + p.lifetime}
	}
}

// dropExpiredAnswers drops the results of proposals whose copies are no longer in time.
func (v *voter) dropExpiredAnswers(now dhclock.Millis) {
	maps.DeleteFunc(v.answered, func(_ proposalKey, a answeredProposal) bool { return now > a.expiry })
}

// refuseLate tells the sender of a proposal that isn't in time, or whose deadline refers to
// a round that isn't known here, the current round. It sends the proposal again unless it has
// given it up.
func (s *State) refuseLate(from dhmessage.Peer, m *dhmessage.ProposeRequest, out *dheffect.List) {
	round, _ := s.voter.node.CurrentRound()
	out.Add(dheffect.NewLog(dheffect.LogOptions{
		Layer: "ledger", Text: "refuses a proposal that is late or of unknown age", Peer: from.Name(), Number: m.CorrelationID(),
	}))
	out.Add(dheffect.NewSend(dheffect.SendOptions{To: from.Name(), Message: dhmessage.NewRedirect(dhmessage.RedirectOptions{
		CorrelationID: m.CorrelationID(), Leader: s.self.Name(), Round: &round,
	})}))
}
