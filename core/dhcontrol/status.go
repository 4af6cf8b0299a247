package dhcontrol

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhconsensus"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhview"
)

// unresponsiveAfter is the time without a response after which status advises
// the operator to check a member, in milliseconds.
const unresponsiveAfter = 5 * dhclock.Second

// inForceCheckInterval is the least time between two computations of the
// version that is in force everywhere, which visit all instances, in
// milliseconds.
const inForceCheckInterval dhclock.Millis = 50

// syncLeadership passes the consensus node's role, leader and members to the
// distribution, and at the leader computes which version is in force
// everywhere.
func (s *State) syncLeadership() {
	v := s.voter
	if v == nil {
		return
	}
	if v.node.IsLeader() != v.wasLeader || v.node.Term() != v.knownTerm {
		v.wasLeader, v.knownTerm = v.node.IsLeader(), v.node.Term()
		v.pending = map[uint64][]pendingProposal{}
		v.pendingKeys = map[proposalKey]bool{}
		v.answered = map[proposalKey]answeredProposal{}
		v.registrations = registrations{}
		v.leadership = leadership{}
		if v.wasLeader {
			v.leadership.grantsAllowedAt = v.earliestGrant(s.now)
			v.leadership.recordAccepted(v.ledger.Catalog().Version(), s.now, v.ledger.Catalog())
		}
		s.distribution.SetLeading(v.wasLeader, s.now)
	}
	if v.wasLeader {
		s.proposals.recordRound(v.node.CurrentRound())
	}
	s.distribution.SetLeader(v.node.Leader())
	// The newest entry counts, committed or not: after a restart of all
	// processes no voter knows the commit index until it has reached the
	// others.
	s.distribution.SetMembers(v.node.Members())
	confirmedAt, ok := v.node.ConfirmedAt()
	if !ok {
		return
	}
	s.distribution.RecordConfirmation(confirmedAt)
	if s.now.Since(v.leadership.lastCheck) < inForceCheckInterval {
		return
	}
	v.leadership.lastCheck = s.now
	s.distribution.SetDrains(s.now, s.drainAges())
	s.distribution.SetLimitsChangedAt(s.now - v.node.LogTime().Since(v.ledger.LimitsChangedAt()))
	s.distribution.SetInForce(max(s.distribution.MinAckedVersion(), v.leadership.newestPastGrace(s.now, dhview.FreshnessLease)))
}

// drainAges returns how long ago each drain was accepted. Without a recorded start a drain
// was accepted long ago, under an earlier release; its ramp stands for its age.
func (s *State) drainAges() []dhmessage.DrainAge {
	v := s.voter
	var list []dhmessage.DrainAge
	for _, d := range v.ledger.Catalog().Drains() {
		age := d.Ramp()
		if at, found := v.ledger.DrainStart(d.Name()); found {
			age = v.node.LogTime().Since(at)
		}
		list = append(list, dhmessage.NewDrainAge(d.Name(), age))
	}
	return list
}

// status returns the system's status as this process knows it.
func (s *State) status() dheffect.Status {
	o := s.distribution.Status(s.now)
	o.Name = s.self.Name()
	o.Leader = s.leader()
	v := s.voter
	if v == nil {
		return dheffect.NewStatus(o)
	}
	o.IsLeader = v.node.IsLeader()
	o.Term = v.node.Term()
	o.CommitIndex = v.node.CommitIndex()
	o.ClaimCount = v.ledger.ClaimCount()
	for _, m := range v.node.MemberProgress() {
		o.Members = append(o.Members, memberStatus(m, v.node))
	}
	return dheffect.NewStatus(o)
}

// memoryStatus returns what the control state holds, by kind.
func (s *State) memoryStatus() dheffect.MemoryStatus {
	o := dheffect.MemoryStatusOptions{
		Configuration: s.distribution.Catalog().ApproximateBytes(), History: s.distribution.History().ApproximateBytes(),
	}
	if s.voter != nil {
		o.Responses, o.Log = s.voter.ledger.ResponseBytes(), s.voter.node.LogBytes()
	}
	return dheffect.NewMemoryStatus(o)
}

func memberStatus(m dhconsensus.MemberProgress, n *dhconsensus.Node) dheffect.MemberStatus {
	lag := uint64(0)
	if n.IsLeader() && n.LastIndex() > m.MatchIndex() {
		lag = n.LastIndex() - m.MatchIndex()
	}
	return dheffect.NewMemberStatus(dheffect.MemberStatusOptions{
		Name: m.Member().Peer().Name(), Address: m.Member().Address(),
		FolderID: m.Member().Peer().FolderID(), RespondingFolderID: m.FolderID(), Learner: m.Member().Learner(),
		Lag: lag, SinceLastContact: m.SinceLastContact(), HasResponded: m.HasResponded(), Advice: advice(m, n),
	})
}

// advice returns what an operator should do about a member, or "".
func advice(m dhconsensus.MemberProgress, n *dhconsensus.Node) string {
	folder := m.Member().Peer().FolderID()
	switch {
	case !n.IsLeader():
		return ""
	case n.MemberChangePending():
		return "a change of members is under way: wait before the next one, and before stopping a voter"
	case m.FolderID() != "" && folder != "" && m.FolderID() != folder:
		return "answers from another data folder: run 'voter replace " + m.Member().Peer().Name() + "'"
	case !m.HasResponded():
		return "never answered this leader: check the process, its address and the shared secret"
	case m.SinceLastContact() > unresponsiveAfter:
		return "silent: check the process and the network; if its disk is lost, start it with an empty folder and replace it"
	case m.Member().Learner():
		return "catching up; gets its vote by itself"
	default:
		return ""
	}
}
