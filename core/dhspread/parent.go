package dhspread

import (
	"slices"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// parent is whom this process polls.
type parent struct {
	candidateIndex   int            // index among the candidates
	selectedAt       dhclock.Millis // when the present choice began
	oldestUnanswered dhclock.Millis // when the oldest unanswered poll was sent
	awaitingResponse bool
	lastPoll         dhclock.Millis
	polled           bool
}

// parentCandidates lists whom to poll, the best first: the instances of the zone
// that come before this one by name, so that the first one is the zone's
// relay and no circle can form; then the voters, each process starting at
// another one.
func (s *State) parentCandidates() []string {
	if s.isVoter {
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
		if !s.isUnavailable(i.Name()) {
			list = append(list, i.Name())
		}
	}
	if len(all) >= largeZone && position%2 == 1 && len(list) > 1 {
		list[0], list[1] = list[1], list[0]
	}
	return list
}

func (s *State) isUnavailable(name string) bool {
	return slices.ContainsFunc(s.unavailable, func(a dhmessage.Away) bool { return a.Instance() == name })
}

// PollNow makes the next poll due at once.
func (s *State) PollNow() { s.parent.lastPoll, s.parent.polled = 0, false }

// Tick polls the parent when it is due, and tries another one when it is
// silent.
func (s *State) Tick(now dhclock.Millis, out *dheffect.List) {
	if s.isLeader {
		return
	}
	p := &s.parent
	if p.awaitingResponse && now.Since(p.oldestUnanswered) > parentTimeout {
		p.candidateIndex++
		p.selectedAt, p.awaitingResponse = now, false
		s.PollNow()
	}
	if s.everConfirmed && now.Since(s.confirmedAt) > maxConfirmationAge && now.Since(p.selectedAt) > maxConfirmationAge {
		// The parent answers, but it has lost its own parent.
		p.candidateIndex++
		p.selectedAt, p.awaitingResponse = now, false
		s.PollNow()
	}
	if p.candidateIndex > 0 && now.Since(p.selectedAt) > preferredParentRetryInterval {
		p.candidateIndex, p.selectedAt, p.awaitingResponse = 0, now, false
	}
	wait := s.currentPollInterval()
	if s.hasNewAcks {
		wait = ackInterval
	}
	if !p.polled || now.Since(p.lastPoll) >= wait {
		s.sendPoll(now, out)
	}
}

// currentPollInterval returns the time between two polls. A process that can't serve yet
// asks more often.
func (s *State) currentPollInterval() dhclock.Millis {
	if !s.everConfirmed {
		return startupPollInterval
	}
	beyond := max(0, len(s.catalog.InstancesIn(s.zone))-smallZone)
	return min(maxPollInterval, pollInterval+dhclock.Millis(beyond)*pollIntervalStep)
}

func (s *State) sendPoll(now dhclock.Millis, out *dheffect.List) {
	list := s.parentCandidates()
	if s.isLeader || len(list) == 0 {
		return
	}
	p := &s.parent
	p.lastPoll, p.polled = now, true
	s.hasNewAcks = false
	if !p.awaitingResponse {
		p.awaitingResponse, p.oldestUnanswered = true, now
	}
	out.Add(dheffect.NewSend(dheffect.SendOptions{
		To: list[p.candidateIndex%len(list)],
		Message: dhmessage.NewPoll(dhmessage.PollOptions{
			Version: s.catalog.Version(), Sent: now, Acks: s.collectAcks(now), Replica: s.isVoter,
		}),
	}))
}

// collectAcks tells which versions this instance and those behind it have in force.
func (s *State) collectAcks(now dhclock.Millis) []dhmessage.Ack {
	var list []dhmessage.Ack
	if !s.isVoter {
		list = append(list, s.ownAck())
	}
	for _, r := range s.sortedReports() {
		if now.Since(r.lastContact) <= ackTTL && r.ack.Instance() != s.self {
			list = append(list, r.ack)
		}
	}
	return list
}

// ownAck tells which version this instance has in force, and introduces it if
// the configuration doesn't hold it as it runs.
func (s *State) ownAck() dhmessage.Ack {
	a := dhmessage.NewAck(s.self, s.catalog.Version(), s.leaving)
	if s.advertised == nil {
		return a
	}
	if i, found := s.catalog.Instance(s.self); found && i == *s.advertised {
		return a
	}
	return a.Introduce(*s.advertised)
}

// HandleUpdate takes a parent's answer, or its word of a new version. The proof of
// being current counts only if this process has at least the version that it
// was given for.
func (s *State) HandleUpdate(now dhclock.Millis, from string, m *dhmessage.Update, _ *dheffect.List) {
	if s.isLeader {
		return
	}
	if !s.isVoter {
		s.applyUpdate(now, m.Full(), m.Changes())
	}
	if m.Sent() == 0 {
		return
	}
	if m.Sent() >= s.parent.oldestUnanswered {
		s.parent.awaitingResponse = false
	}
	if !m.Confirmed() || s.catalog.Version() < m.Version() {
		return
	}
	s.RecordConfirmation(m.Sent() - m.Age())
	s.SetInForce(m.InForce())
	s.SetLimitsChanged(now - m.LimitsAge())
	s.setDrains(now, m.Drains())
	if !s.isVoter && len(m.Voters()) > 0 {
		s.SetMembers(m.Voters())
	}
	if !s.isVoter && m.Leader() != "" {
		s.SetLeader(m.Leader())
	}
	if !slices.Equal(s.unavailable, m.Away()) {
		s.unavailable, s.viewChanged = m.Away(), true
	}
}
