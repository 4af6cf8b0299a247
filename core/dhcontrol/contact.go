package dhcontrol

import "dogwoodhitch/core/dheffect"

// contact returns this process's contact with the consensus group.
func (s *State) contact() dheffect.Contact {
	if s.voter == nil {
		return dheffect.NewContact(dheffect.ContactOptions{Role: dheffect.RoleEntry, SinceLeader: dheffect.NeverHeard})
	}
	n := s.voter.node
	o := dheffect.ContactOptions{Role: n.Role(), Term: n.Term(), SinceLeader: dheffect.NeverHeard, Election: n.Election()}
	if at, found := n.LeaderHeardAt(); found {
		o.SinceLeader = s.now.Since(at)
	}
	for _, m := range n.Members() {
		name := m.Peer().Name()
		if m.Learner() {
			continue
		}
		if name == s.self.Name() {
			o.VotersHeard++
			continue
		}
		sinceHeard := dheffect.NeverHeard
		if at, found := s.reachability.lastHeard[name]; found {
			sinceHeard = s.now.Since(at)
		}
		if s.reachability.hears(name, s.now) {
			o.VotersHeard++
		}
		o.Voters = append(o.Voters, dheffect.NewVoterContact(name, sinceHeard))
	}
	return dheffect.NewContact(o)
}
