package dhcontrol

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhconsensus"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhview"
)

// silentTooLong is the silence after which status advises to look at a member,
// in milliseconds.
const silentTooLong = 5 * dhclock.Second

// lookInterval is the least time between two looks through all instances, in
// milliseconds.
const lookInterval dhclock.Millis = 50

// followLeadership shows leadership to the spread and works out what is in force
// everywhere.
func (s *State) followLeadership() {
	v := s.voter
	if v == nil {
		return
	}
	if v.node.Leads() != v.led || v.node.Term() != v.term {
		v.led, v.term = v.node.Leads(), v.node.Term()
		v.pending = map[uint64]pending{}
		v.asked = map[askedKey]uint64{}
		v.leadership = leadership{}
		if v.led {
			v.leadership.grantFrom = v.grantFrom(s.now)
			v.leadership.accept(v.ledger.Catalog().Version(), s.now, v.ledger.Catalog())
		}
		s.spread.Lead(v.led, s.now)
	}
	s.spread.SetLeader(v.node.Leader())
	// The newest entry counts, committed or not: after a restart of all nobody
	// knows what is committed before the voters have reached each other.
	s.spread.SetMembers(v.node.Voters())
	confirmed, sure := v.node.Confirmed()
	if !sure {
		return
	}
	s.spread.Confirm(confirmed)
	if s.now.Since(v.leadership.looked) < lookInterval {
		return
	}
	v.leadership.looked = s.now
	s.spread.SetDrains(s.now, s.drainAges())
	s.spread.SetLimited(s.now - v.node.LogNow().Since(v.ledger.Limited()))
	s.spread.SetInForce(max(s.spread.LeastAck(), v.leadership.lapsed(s.now, dhview.FreshnessLease)))
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
			age = v.node.LogNow().Since(at)
		}
		list = append(list, dhmessage.NewDrainAge(d.Name(), age))
	}
	return list
}

// status tells what this process knows of the system.
func (s *State) status() dheffect.Status {
	o := s.spread.Status(s.now)
	o.Name = s.self.Name()
	o.Leader = s.leader()
	v := s.voter
	if v == nil {
		return dheffect.NewStatus(o)
	}
	o.Leads = v.node.Leads()
	o.Term = v.node.Term()
	o.Commit = v.node.Commit()
	o.Claims = v.ledger.ClaimCount()
	for _, m := range v.node.Members() {
		o.Voters = append(o.Voters, voterStatus(m, v.node))
	}
	return dheffect.NewStatus(o)
}

func voterStatus(m dhconsensus.Progress, n *dhconsensus.Node) dheffect.VoterStatus {
	lag := uint64(0)
	if n.Leads() && n.LastIndex() > m.Match() {
		lag = n.LastIndex() - m.Match()
	}
	return dheffect.NewVoterStatus(dheffect.VoterStatusOptions{
		Name: m.Voter().Peer().Name(), Address: m.Voter().Address(),
		Folder: m.Voter().Peer().Folder(), Answers: m.Folder(), Learner: m.Voter().Learner(),
		Lag: lag, Silent: m.Silent(), Heard: m.Heard(), Advice: advice(m, n),
	})
}

// advice tells an operator what to do about a member, or "".
func advice(m dhconsensus.Progress, n *dhconsensus.Node) string {
	folder := m.Voter().Peer().Folder()
	switch {
	case !n.Leads():
		return ""
	case n.Changing():
		return "a change of members is under way: wait before the next one, and before stopping a voter"
	case m.Folder() != "" && folder != "" && m.Folder() != folder:
		return "answers from another data folder: run 'voter replace " + m.Voter().Peer().Name() + "'"
	case !m.Heard():
		return "never answered this leader: check the process, its address and the shared secret"
	case m.Silent() > silentTooLong:
		return "silent: check the process and the network; if its disk is lost, start it with an empty folder and replace it"
	case m.Voter().Learner():
		return "catching up; gets its vote by itself"
	default:
		return ""
	}
}
