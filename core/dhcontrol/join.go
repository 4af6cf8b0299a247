package dhcontrol

import (
	"slices"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// Time constants of join requests, in milliseconds.
const (
	// joinInterval is the time between two join requests of a control process.
	joinInterval dhclock.Millis = 500
	// leavingJoinInterval is that time for a process that is about to stop.
	leavingJoinInterval dhclock.Millis = 100
	// joinLogDelay is how long a process is no member that hears from a leader before it logs
	// that, and joinLogInterval the time until it logs it again.
	joinLogDelay    = 2 * dhclock.Second
	joinLogInterval = 10 * dhclock.Second
)

// joinFallbackEvery is the number of join requests of which one goes to another
// process than the known leader, which may have failed.
const joinFallbackEvery = 4

// candidate is a control process that has sent a join request.
type candidate struct {
	folderID    string
	address     string
	region      string
	zone        string
	lastContact dhclock.Millis
	isLeaving   bool
}

// learner returns the candidate with a name as a learner.
func (c candidate) learner(name string) dhmessage.Member {
	return dhmessage.NewMember(dhmessage.NewPeer(name, c.folderID), c.address, true).WithZone(c.zone)
}

// handleJoinRequest records, at the leader, a control process that requests
// membership. Another voter redirects it to the leader, and names the members to one whose data
// folder isn't among them: it may have lost the folder that is.
func (s *State) handleJoinRequest(from dhmessage.Peer, m *dhmessage.JoinRequest, out *dheffect.List) {
	v := s.voter
	if v == nil || s.automation == nil {
		return
	}
	if !v.node.IsLeader() {
		redirect := dhmessage.RedirectOptions{Leader: v.node.Leader()}
		if members := v.node.Members(); !slices.ContainsFunc(members, func(m dhmessage.Member) bool { return m.Peer() == from }) {
			redirect.Members = members
		}
		out.Add(dheffect.NewSend(dheffect.SendOptions{To: from.Name(), Message: dhmessage.NewRedirect(redirect)}))
		return
	}
	s.automation.candidates[from.Name()] = candidate{
		folderID: from.FolderID(), address: m.Address(), region: m.Region(), zone: m.Zone(), lastContact: s.now,
		isLeaving: m.Leaving(),
	}
}

// logMembership logs when this process becomes a member of the consensus group that hears from a
// leader, and from time to time that it isn't one.
func (s *State) logMembership(out *dheffect.List) {
	a := s.automation
	if s.voter.node.Leader() != "" && s.voter.node.IsMember() {
		if !a.isMember {
			out.Add(dheffect.NewLog(dheffect.LogOptions{Layer: "fleet", Text: "is a member of the consensus group", Peer: s.leader()}))
		}
		a.isMember, a.lastMember = true, s.now
		return
	}
	if s.now.Since(a.lastMember) < joinLogDelay || s.now.Since(a.joinLoggedAt) < joinLogInterval {
		return
	}
	a.isMember, a.joinLoggedAt = false, s.now
	out.Add(dheffect.NewLog(dheffect.LogOptions{
		Layer: "fleet", Text: "hears from no leader as a member of the consensus group: requests membership", Peer: a.lastAsked, Number: uint64(a.joinCount),
	}))
}

// sendJoinRequest requests membership from the leader, or from one process
// after the other while no leader is known. Members repeat it too: the leader
// doesn't respond, but detects from the folder identity in the request that a
// member lost its data folder.
func (s *State) sendJoinRequest(out *dheffect.List) {
	a := s.automation
	interval := joinInterval
	if a.isLeaving {
		interval = leavingJoinInterval
	}
	if s.now.Since(a.lastJoin) < interval {
		return
	}
	a.lastJoin = s.now
	to := s.leader()
	if a.joinCount++; to == "" || to == s.self.Name() || a.joinCount%joinFallbackEvery == 0 {
		targets := s.joinTargets()
		if len(targets) == 0 {
			return
		}
		to = targets[a.nextTarget%len(targets)]
		a.nextTarget++
	}
	s.sendJoinRequestTo(to, out)
}

// joinTargets returns the processes, other than this one, that may know the leader: the seeds, and
// the members of the consensus group as another process and as this one knows them. The own list
// comes last: after a long absence it names none that still runs.
func (s *State) joinTargets() []string {
	var list []string
	for _, name := range slices.Concat(s.proposals.voters, s.automation.referred, s.distribution.MemberNames()) {
		if name != s.self.Name() && !slices.Contains(list, name) {
			list = append(list, name)
		}
	}
	return list
}

// recordReferral records the members of the consensus group that a process names to one that
// isn't a member. The settings of a process give it the addresses of its seeds alone, and any of
// them may stop before the leader has added the process. One that hears from a leader needs no list.
func (s *State) recordReferral(members []dhmessage.Member, out *dheffect.List) {
	if s.automation == nil || len(members) == 0 || s.voter == nil || s.voter.node.Leader() != "" {
		return
	}
	s.automation.referred = dhmessage.MemberNames(members)
	out.Add(dheffect.NewRecordAddresses(members))
}

// sendJoinRequestTo requests membership from one process.
func (s *State) sendJoinRequestTo(to string, out *dheffect.List) {
	s.automation.lastAsked = to
	out.Add(dheffect.NewSend(dheffect.SendOptions{
		To: to, Message: dhmessage.NewJoinRequest(s.automation.options.Address, s.automation.options.Region, s.automation.zone).WithLeaving(s.automation.isLeaving),
	}))
}
