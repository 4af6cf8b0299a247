package dhspread

import (
	"slices"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// parent is whom this process polls.
type parent struct {
	choice int            // index among the candidates
	since  dhclock.Millis // when the present choice began
	first  dhclock.Millis // when the oldest unanswered poll was sent
	waits  bool
	sent   dhclock.Millis
	ever   bool
}

// candidates lists whom to poll, the best first: the instances of the zone
// that come before this one by name, so that the first one is the zone's
// relay and no circle can form; then the voters, each process starting at
// another one.
func (s *State) candidates() []string {
	if s.voter {
		if s.leader == "" || s.leader == s.self {
			return nil
		}
		return []string{s.leader}
	}
	list := s.relays()
	start := 0
	for _, c := range []byte(s.self) {
		start = start*31 + int(c)
	}
	voters := s.VoterNames()
	for i := range voters {
		list = append(list, voters[(start+i)%len(voters)])
	}
	return list
}

// largeZone is from how many instances on a zone has two relays.
const largeZone = 12

// relays lists the instances of the zone that come before this one by name and
// aren't gone. In a large zone every other instance polls the second one first,
// which halves the load of the first.
func (s *State) relays() []string {
	all := s.catalog.InstancesIn(s.zone)
	var list []string
	position := 0
	for _, i := range all {
		if i.Name() >= s.self {
			break
		}
		position++
		if !s.isGone(i.Name()) {
			list = append(list, i.Name())
		}
	}
	if len(all) >= largeZone && position%2 == 1 && len(list) > 1 {
		list[0], list[1] = list[1], list[0]
	}
	return list
}

func (s *State) isGone(name string) bool {
	return slices.ContainsFunc(s.away, func(a dhmessage.Away) bool { return a.Instance() == name })
}

// Hurry makes the next poll due at once.
func (s *State) Hurry() { s.parent.sent, s.parent.ever = 0, false }

// Tick polls the parent when it is due, and tries another one when it is
// silent.
func (s *State) Tick(now dhclock.Millis, out *dheffect.List) {
	if s.leads {
		return
	}
	p := &s.parent
	if p.waits && now.Since(p.first) > parentTimeout {
		p.choice++
		p.since, p.waits = now, false
		s.Hurry()
	}
	if s.ever && now.Since(s.confirmed) > staleProof && now.Since(p.since) > staleProof {
		// The parent answers, but it has lost its own parent.
		p.choice++
		p.since, p.waits = now, false
		s.Hurry()
	}
	if p.choice > 0 && now.Since(p.since) > returnInterval {
		p.choice, p.since, p.waits = 0, now, false
	}
	wait := s.interval()
	if s.ackNews {
		wait = ackInterval
	}
	if !p.ever || now.Since(p.sent) >= wait {
		s.poll(now, out)
	}
}

// interval returns the time between two polls. A process that can't serve yet
// asks more often.
func (s *State) interval() dhclock.Millis {
	if !s.ever {
		return eagerInterval
	}
	beyond := max(0, len(s.catalog.InstancesIn(s.zone))-smallZone)
	return min(pollMost, pollInterval+dhclock.Millis(beyond)*pollSpread)
}

func (s *State) poll(now dhclock.Millis, out *dheffect.List) {
	list := s.candidates()
	if s.leads || len(list) == 0 {
		return
	}
	p := &s.parent
	p.sent, p.ever = now, true
	s.ackNews = false
	if !p.waits {
		p.waits, p.first = true, now
	}
	out.Add(dheffect.NewSend(dheffect.SendOptions{
		To: list[p.choice%len(list)],
		Message: dhmessage.NewPoll(dhmessage.PollOptions{
			Version: s.catalog.Version(), Sent: now, Acks: s.acks(now), Replica: s.voter,
		}),
	}))
}

// acks tells which versions this instance and those behind it have in force.
func (s *State) acks(now dhclock.Millis) []dhmessage.Ack {
	var list []dhmessage.Ack
	if !s.voter {
		list = append(list, s.ownAck())
	}
	for _, r := range s.sortedReports() {
		if now.Since(r.heard) <= ackLife && r.ack.Instance() != s.self {
			list = append(list, r.ack)
		}
	}
	return list
}

// ownAck tells which version this instance has in force, and introduces it if
// the configuration doesn't hold it as it runs.
func (s *State) ownAck() dhmessage.Ack {
	a := dhmessage.NewAck(s.self, s.catalog.Version(), s.leaving)
	if s.introduce == nil {
		return a
	}
	if i, found := s.catalog.Instance(s.self); found && i == *s.introduce {
		return a
	}
	return a.Introduce(*s.introduce)
}

// Updated takes a parent's answer, or its word of a new version. The proof of
// being current counts only if this process has at least the version that it
// was given for.
func (s *State) Updated(now dhclock.Millis, from string, m *dhmessage.Update, _ *dheffect.List) {
	if s.leads {
		return
	}
	if !s.voter {
		s.apply(now, m.Full(), m.Changes())
	}
	if m.Sent() == 0 {
		return
	}
	if m.Sent() >= s.parent.first {
		s.parent.waits = false
	}
	if !m.Confirmed() || s.catalog.Version() < m.Version() {
		return
	}
	s.Confirm(m.Sent() - m.Age())
	s.SetInForce(m.InForce())
	s.SetLimited(now - m.LimitsAge())
	s.setDrains(now, m.Drains())
	if !s.voter && len(m.Voters()) > 0 {
		s.SetMembers(m.Voters())
	}
	if !s.voter && m.Leader() != "" {
		s.SetLeader(m.Leader())
	}
	if !slices.Equal(s.away, m.Away()) {
		s.away, s.dirty = m.Away(), true
	}
}
