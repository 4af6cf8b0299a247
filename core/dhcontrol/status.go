package dhcontrol

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhconsensus"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhview"
)

// unresponsiveAfter is the silence after which status advises to look at a member,
// in milliseconds.
const unresponsiveAfter = 5 * dhclock.Second

// inForceCheckInterval is the least time between two looks through all instances, in
// milliseconds.
const inForceCheckInterval dhclock.Millis = 50

// syncLeadership shows leadership to the spread and works out what is in force
// everywhere.
func (s *State) syncLeadership() {
	v := s.voter
	if v == nil {
		return
	}
	if v.node.IsLeader() != v.wasLeader || v.node.Term() != v.knownTerm {
		v.wasLeader, v.knownTerm = v.node.IsLeader(), v.node.Term()
		v.pending = map[uint64]pendingProposal{}
		v.pendingIndex = map[proposalKey]uint64{}
		v.leadership = leadership{}
		if v.wasLeader {
			v.leadership.grantsAllowedAt = v.earliestGrant(s.now)
			v.leadership.recordAccepted(v.ledger.Catalog().Version(), s.now, v.ledger.Catalog())
		}
		s.distribution.SetLeading(v.wasLeader, s.now)
	}
	s.distribution.SetLeader(v.node.Leader())
	// The newest entry counts, committed or not: after a restart of all nobody
	// knows what is committed before the voters have reached each other.
	s.distribution.SetMembers(v.node.Members())
	confirmed, sure := v.node.ConfirmedAt()
	if !sure {
		return
	}
	s.distribution.RecordConfirmation(confirmed)
	if s.now.Since(v.leadership.lastCheck) < inForceCheckInterval {
		return
	}
	v.leadership.lastCheck = s.now
	s.distribution.SetDrains(s.now, s.drainAges())
	s.distribution.SetLimitsChanged(s.now - v.node.LogTime().Since(v.ledger.Limited()))
	s.distribution.SetInForce(max(s.distribution.MinAckedVersion(), v.leadership.newestPastGrace(s.now, dhview.FreshnessLease)))
}

// drainAges tells how long ago each drain was accepted. A drain older than the
// memory of change sets has certainly finished.
func (s *State) drainAges() []dhmessage.DrainAge {
	v := s.voter
	drains := v.ledger.Catalog().Drains()
	if len(drains) == 0 {
		return nil
	}
	started := map[string]dhclock.Millis{}
	for _, a := range v.ledger.Recent() {
		for _, o := range a.Set().Puts() {
			started[o.Ref().String()] = a.At()
		}
	}
	var list []dhmessage.DrainAge
	for _, d := range drains {
		age := d.Ramp()
		if at, found := started[d.Ref().String()]; found {
			age = v.node.LogTime().Since(at)
		}
		list = append(list, dhmessage.NewDrainAge(d.Name(), age))
	}
	return list
}

// status tells what this process knows of the system.
func (s *State) status() dheffect.Status {
	o := s.distribution.Status(s.now)
	o.Name = s.self.Name()
	o.Leader = s.leader()
	v := s.voter
	if v == nil {
		return dheffect.NewStatus(o)
	}
	o.Leads = v.node.IsLeader()
	o.Term = v.node.Term()
	o.Commit = v.node.CommitIndex()
	o.Claims = v.ledger.ClaimCount()
	for _, m := range v.node.Progress() {
		o.Voters = append(o.Voters, voterStatus(m, v.node))
	}
	return dheffect.NewStatus(o)
}

func voterStatus(m dhconsensus.MemberProgress, n *dhconsensus.Node) dheffect.VoterStatus {
	lag := uint64(0)
	if n.IsLeader() && n.LastIndex() > m.MatchIndex() {
		lag = n.LastIndex() - m.MatchIndex()
	}
	return dheffect.NewVoterStatus(dheffect.VoterStatusOptions{
		Name: m.Voter().Peer().Name(), Address: m.Voter().Address(),
		Folder: m.Voter().Peer().Folder(), Answers: m.FolderID(), Learner: m.Voter().Learner(),
		Lag: lag, Silent: m.SinceLastContact(), Heard: m.HasResponded(), Advice: advice(m, n),
	})
}

// advice tells an operator what to do about a member, or "".
func advice(m dhconsensus.MemberProgress, n *dhconsensus.Node) string {
	folder := m.Voter().Peer().Folder()
	switch {
	case !n.IsLeader():
		return ""
	case n.MemberChangePending():
		return "a change of members is under way: wait before the next one, and before stopping a voter"
	case m.FolderID() != "" && folder != "" && m.FolderID() != folder:
		return "answers from another data folder: run 'voter replace " + m.Voter().Peer().Name() + "'"
	case !m.HasResponded():
		return "never answered this leader: check the process, its address and the shared secret"
	case m.SinceLastContact() > unresponsiveAfter:
		return "silent: check the process and the network; if its disk is lost, start it with an empty folder and replace it"
	case m.Voter().Learner():
		return "catching up; gets its vote by itself"
	default:
		return ""
	}
}
