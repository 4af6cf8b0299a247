package dhdistribution

import (
	"slices"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhquarantine"
)

// parent is the process that this process polls.
type parent struct {
	candidateIndex   int            // index in parentCandidates
	selectedAt       dhclock.Millis // when this candidate was selected
	oldestUnanswered dhclock.Millis // when the oldest poll without a response was sent
	awaitingResponse bool
	lastPoll         dhclock.Millis
	timeouts         int  // candidates left since the last response
	polled           bool // false makes the next poll due immediately
	// isSilent is set from when a candidate was left without a response until the next one
	// responds. isStale is whether the last response of the candidate that was polled had an old
	// confirmation.
	isSilent, isStale bool
	// alternative is another candidate that has responded with a newer confirmation than this
	// process's, last at alternativeAt.
	alternative   string
	alternativeAt dhclock.Millis
	// probing is set from when another candidate was left until this one responds.
	probing bool
	// isLost is set while no parent has confirmed the configuration for parentLossTime, and there
	// are fallbackParents.
	isLost bool
	// referrer is the process that named the members since.
	referrer string
	// polledCandidate is the candidate that was polled last, which suspects describes.
	polledCandidate string
	suspects        dhquarantine.Replication
}

// parentCandidates lists the processes to poll in order of preference: the members of the
// consensus group in the zone, whose links carry no requests; the zone's relay; the other
// members; then the other instances of the zone that precede this one by name, so that no
// cycle can form. On full links each hop through an instance delays changes, so the members
// come before them. Members are listed from an index derived from the process's name, which
// distributes the load. A voter or learner polls only the leader.
func (s *State) parentCandidates() []string {
	list := s.ordinaryCandidates()
	if s.parent.isLost {
		return interleave(s.fallbackParents(), list)
	}
	return list
}

// ordinaryCandidates lists the parentCandidates without the fallbackParents.
func (s *State) ordinaryCandidates() []string {
	if s.isVoter {
		if s.leader == "" || s.leader == s.self {
			return nil
		}
		return []string{s.leader}
	}
	relays := s.relays()
	first := min(1, len(relays))
	return slices.Concat(s.nearMembers, relays[:first], s.farMembers, relays[first:])
}

// fallbackParents lists the processes to poll between the other candidates while none of those
// confirms the configuration: the seeds that aren't members, since all members may have been replaced
// while this process was cut off, or else the process that named the members, of which many may be
// gone.
func (s *State) fallbackParents() []string {
	if len(s.otherSeeds) == 0 && s.parent.referrer != "" {
		return []string{s.parent.referrer}
	}
	return s.otherSeeds
}

// interleave returns the candidates with one of the fallbacks before each, in turn.
func interleave(fallbacks, candidates []string) []string {
	if len(fallbacks) == 0 {
		return candidates
	}
	list := make([]string, 0, 2*len(candidates))
	for i, c := range candidates {
		list = append(list, fallbacks[i%len(fallbacks)], c)
	}
	return list
}

// sortMembers divides the members of the consensus group into those in this process's zone
// and the others.
func (s *State) sortMembers() {
	var near, far []string
	for _, m := range s.members {
		if m.Peer().Name() == s.self {
			continue // itself, or a former control process whose name this instance has
		}
		if m.Zone() != "" && m.Zone() == s.zone {
			near = append(near, m.Peer().Name())
		} else {
			far = append(far, m.Peer().Name())
		}
	}
	s.otherSeeds = slices.DeleteFunc(slices.Clone(s.configuredVoters), func(name string) bool {
		return name == s.self || slices.Contains(near, name) || slices.Contains(far, name)
	})
	if len(s.members) == 0 {
		far, s.otherSeeds = s.otherSeeds, nil
	}
	s.nearMembers, s.farMembers, s.nearestMembers = s.leaderLast(s.rotated(near)), s.rotated(far), nil
	s.otherSeeds = s.rotated(s.otherSeeds)
	if len(near) > 0 {
		s.nearestMembers = slices.Concat(s.nearMembers, s.farMembers)
	}
}

// leaderLast returns the members of this process's zone with the leader at their end. It has work
// that no other member can take over.
func (s *State) leaderLast(members []string) []string {
	i := slices.Index(members, s.leader)
	if i < 0 {
		return members
	}
	return slices.Concat(members[:i], members[i+1:], members[i:i+1])
}

// NearestMembers lists the members of the consensus group, those in this process's zone first,
// each part from an index derived from the process's name on. It is empty if none is known to
// run in the zone. The caller must not change the slice.
func (s *State) NearestMembers() []string { return s.nearestMembers }

// rotated returns a list from an index derived from this process's name on.
func (s *State) rotated(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	start := 0
	for _, c := range []byte(s.self) {
		start = (start*31 + int(c)) % len(list)
	}
	return slices.Concat(list[start:], list[:start])
}

// largeZone is the number of instances from which a zone has two relays.
const largeZone = 12

// maxTimeoutDoublings bounds how often parentTimeout is doubled.
const maxTimeoutDoublings = 2

// parentTimeout returns the time without a response after which another parent is tried. It
// doubles with each one in a row, because each of them sends the changes that this process
// lacks. A process that can't serve yet waits less for the first one, and one whose parents may all
// have been replaced doesn't double it.
func (s *State) parentTimeout() dhclock.Millis {
	first := parentTimeout
	if !s.everConfirmed {
		first = startupParentTimeout
	}
	if s.parent.isLost {
		return first
	}
	return first << min(s.parent.timeouts, maxTimeoutDoublings)
}

// selectCandidate selects the candidate with an index.
func (p *parent) selectCandidate(now dhclock.Millis, index int) {
	p.candidateIndex, p.selectedAt, p.awaitingResponse, p.probing = index, now, false, false
}

// switchTo selects another candidate than before. Until it responds it is asked for no
// changes: on a congested link those of the previous one may still be on their way.
func (p *parent) switchTo(now dhclock.Millis, index int) {
	p.selectCandidate(now, index)
	p.probing = true
}

// recordAlternative records a candidate other than the parent that has a newer confirmation than
// this process. After a timeout that may be the previous parent: on a slow network path every
// response is late.
func (s *State) recordAlternative(now dhclock.Millis, from string, m *dhmessage.Update) {
	p := &s.parent
	if from == p.polledCandidate || !p.isSilent && m.Age() > maxConfirmationAge || !slices.Contains(s.ordinaryCandidates(), from) {
		return
	}
	p.alternative, p.alternativeAt = from, now
	s.followAlternative(now)
}

// followAlternative selects the alternative, and reports whether it did. That is done only where the
// parent itself gives no recent confirmation, because each parent of a process sends it the changes.
func (s *State) followAlternative(now dhclock.Millis) bool {
	p := &s.parent
	if !p.isSilent && !p.isStale || p.alternative == "" || now.Since(p.alternativeAt) > maxConfirmationAge {
		return false
	}
	index := slices.Index(s.parentCandidates(), p.alternative)
	p.alternative = ""
	if index < 0 {
		return false
	}
	p.selectCandidate(now, index)
	p.isSilent, p.isStale = false, false
	s.PollNow()
	return true
}

// leaveParent selects the alternative, or else the next candidate.
func (s *State) leaveParent(now dhclock.Millis) {
	if !s.followAlternative(now) {
		s.parent.switchTo(now, s.parent.candidateIndex+1)
		s.PollNow()
	}
}

// relays lists the available instances of the zone that precede this one by
// name. In a large zone every other instance polls the second one first, which
// halves the load of the first.
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
	return slices.ContainsFunc(s.unavailable, func(a dhmessage.UnavailableInstance) bool { return a.Instance() == name })
}

// PollNow makes the next poll due immediately.
func (s *State) PollNow() { s.parent.lastPoll, s.parent.polled = 0, false }

// Tick polls the parent when a poll is due. It switches to another parent when
// the current one doesn't respond or its confirmations are too old, and later
// returns to the preferred parent.
func (s *State) Tick(now dhclock.Millis, out *dheffect.List) {
	s.tickSuspects(now, out)
	if s.isLeader {
		return
	}
	s.updateDetachment(now)
	p := &s.parent
	if p.awaitingResponse && now.Since(p.oldestUnanswered) > s.parentTimeout() {
		p.timeouts++
		p.isSilent = true
		s.leaveParent(now)
	}
	if (!s.everConfirmed || now.Since(s.confirmedAt) > maxConfirmationAge) && now.Since(p.selectedAt) > maxConfirmationAge {
		// The parent responds, but it has lost its own parent or never had one.
		p.isStale = true
		s.leaveParent(now)
	}
	if p.candidateIndex > 0 && now.Since(p.selectedAt) > preferredParentRetryInterval {
		p.alternative, p.alternativeAt = p.polledCandidate, now
		p.switchTo(now, 0)
	}
	s.updateParentLoss(now)
	s.probeOthers(now, out)
	interval := s.currentPollInterval()
	if s.hasNewAcks || p.suspects.HasUnsent(s.suspects) {
		interval = s.ackInterval()
	}
	if !p.polled || now.Since(p.lastPoll) >= interval {
		s.sendPoll(now, out)
	}
}

// updateParentLoss selects the first candidate again when the fallbackParents become candidates, and
// when they no longer are.
func (s *State) updateParentLoss(now dhclock.Millis) {
	isLost := len(s.fallbackParents()) > 0 && s.everConfirmed && now.Since(s.confirmedAt) > parentLossTime
	if isLost == s.parent.isLost {
		return
	}
	s.parent.isLost, s.parent.referrer, s.parent.timeouts = isLost, "", 0
	s.parent.selectCandidate(now, 0)
	s.PollNow()
}

// currentPollInterval returns the time between two polls. A process whose
// configuration was never confirmed can't serve yet and polls more often, unless a
// response is outstanding: a parent that many processes poll when they start answers late.
// Voters and learners poll at the shortest interval, because their children's
// confirmations are older than their own.
func (s *State) currentPollInterval() dhclock.Millis {
	if !s.everConfirmed {
		if s.parent.awaitingResponse {
			return startupRetryInterval
		}
		return startupPollInterval
	}
	if s.isVoter {
		return pollInterval
	}
	extra := max(0, len(s.catalog.InstancesIn(s.zone))/max(1, len(s.nearMembers))-smallZone)
	return min(maxPollInterval, pollInterval+dhclock.Millis(extra)*pollIntervalStep)
}

// ackInterval returns the least time between two polls that forward new acknowledgements.
func (s *State) ackInterval() dhclock.Millis {
	if s.isVoter {
		return max(ackInterval, ackIntervalStep*dhclock.Millis(len(s.members)))
	}
	instances := dhclock.Millis(s.catalog.InstanceCount())
	if instances <= promptInstances {
		return ackInterval
	}
	return min(maxInstanceAckInterval, instanceAckIntervalStep*instances)
}

func (s *State) sendPoll(now dhclock.Millis, out *dheffect.List) {
	candidates := s.parentCandidates()
	if s.isLeader || len(candidates) == 0 {
		return
	}
	p := &s.parent
	p.lastPoll, p.polled = now, true
	s.hasNewAcks = false
	if !p.awaitingResponse {
		p.awaitingResponse, p.oldestUnanswered = true, now
	}
	index := p.candidateIndex % len(candidates)
	to := candidates[index]
	if to != p.polledCandidate {
		p.suspects, p.polledCandidate = dhquarantine.Replication{}, to
	}
	o := dhmessage.PollOptions{
		Version: s.catalog.Version(), SentAt: now, Acks: s.collectAcks(now), Replica: s.isVoter,
		ZoneUnresponsive: len(s.nearMembers) > 0 && index >= len(s.nearMembers) && !s.isVoter,
		Probe:            p.probing, Contacts: s.contactReport(now),
	}
	if !p.probing {
		o.Suspects = p.suspects.NextReport(now, s.suspects)
	}
	out.Add(dheffect.NewSend(dheffect.SendOptions{To: to, Message: dhmessage.NewPoll(o)}))
}

// collectAcks returns the versions that this instance and those polling through
// it have in force.
func (s *State) collectAcks(now dhclock.Millis) []dhmessage.Ack {
	var list []dhmessage.Ack
	if !s.isVoter {
		list = append(list, s.ownAck(now))
	}
	for _, r := range s.sortedAckRecords() {
		if now.Since(r.lastContact) <= ackTTL && r.ack.Instance() != s.self {
			list = append(list, r.ack.WithAge(now.Since(r.lastContact)))
		}
	}
	return list
}

// ownAck returns the version that this instance has in force. It includes the
// instance's record if the configuration lacks it or differs from it.
func (s *State) ownAck(now dhclock.Millis) dhmessage.Ack {
	a := dhmessage.NewAck(s.self, s.catalog.Version(), s.leaving).WithAge(s.ownAckAge(now))
	if s.advertised == nil {
		return a
	}
	if i, found := s.catalog.Instance(s.self); found && i == *s.advertised {
		return a
	}
	return a.WithAdvertisedInstance(*s.advertised)
}

// ownAckAge returns for how long this instance has had no contact with a member of the consensus group,
// neither directly nor through its parent, beyond the time in which it finds another parent. It refuses
// requests then, even if its polls reach the leader.
func (s *State) ownAckAge(now dhclock.Millis) dhclock.Millis {
	if s.leaving {
		return 0
	}
	return max(0, now.Since(max(s.detachment.memberHeardAt, s.detachment.newestHeard))-maxConfirmationAge)
}

// recordMembers records the members that a parent names, unless those known here are newer. The
// confirmation of the parent's configuration tells when it knew them.
func (s *State) recordMembers(m *dhmessage.Update) {
	if s.isVoter || len(m.Members()) == 0 || s.membersConfirmed && !m.EverConfirmed() {
		return
	}
	if at := m.PollSentAt() - m.Age(); m.EverConfirmed() {
		if s.membersConfirmed && at < s.membersAt {
			return
		}
		s.membersAt, s.membersConfirmed = at, true
	}
	s.SetMembers(m.Members())
}

// followReferral records the members that a parent with a newer version names, and selects
// the preferred parent again if they have changed.
func (s *State) followReferral(now dhclock.Millis, from string, m *dhmessage.Update) {
	before := s.members
	s.recordMembers(m)
	if slices.Equal(before, s.members) {
		return
	}
	first := 0
	if s.parent.isLost {
		s.parent.referrer, first = from, 1
	}
	s.parent.selectCandidate(now, first)
	s.PollNow()
}

// HandleUpdate applies a parent's response to a poll or its push of a new
// version. The confirmation that the configuration is current counts only if
// this process has at least the version that it was issued for.
func (s *State) HandleUpdate(now dhclock.Millis, from string, m *dhmessage.Update, _ *dheffect.List) {
	if s.isLeader {
		return
	}
	s.recordHeard(now, from, m)
	// The answer to a probe has no suspects, whatever the parent knows.
	if from == s.parent.polledCandidate && (m.Suspects() != nil || !s.parent.probing) {
		s.receiveSuspects(now, &s.parent.suspects, m.Suspects())
	}
	if !s.isVoter {
		s.applyUpdate(now, m.Full(), m.Changes())
	}
	if m.PollSentAt() == 0 {
		return
	}
	// A leader that has restarted still gets polls. It reports nothing until it leads again and
	// knows the instances.
	if s.isVoter && from == s.leader && from == m.Leader() && m.EverConfirmed() && m.Version() >= s.catalog.Version() {
		s.contacts = s.contacts.followedBy(newLeaderContacts(now, now, m.Silences()))
	}
	s.recordResponse(now, from, m)
	isNewer := m.EverConfirmed() && (!s.everConfirmed || m.PollSentAt()-m.Age() > s.confirmedAt)
	if s.catalog.Version() < m.Version() {
		s.deferConfirmation(m)
		s.followReferral(now, from, m)
	}
	if isNewer && (s.everConfirmed || s.catalog.Version() >= m.Version()) {
		s.recordAlternative(now, from, m)
	}
	if s.catalog.Version() >= m.Version() && m.EverConfirmed() {
		s.recordState(now, m)
	}
}

// recordResponse records that a candidate has responded to a poll.
func (s *State) recordResponse(now dhclock.Millis, from string, m *dhmessage.Update) {
	p := &s.parent
	p.timeouts = 0
	if from != p.polledCandidate {
		return
	}
	if m.PollSentAt() >= p.oldestUnanswered {
		p.awaitingResponse = false
	}
	p.isSilent, p.isStale = false, !m.EverConfirmed() || m.Age() > maxConfirmationAge
	if p.probing {
		p.probing = false
		s.PollNow()
	}
	s.followAlternative(now)
}

// recordState records what a parent confirms, unless this process has a newer confirmation.
func (s *State) recordState(now dhclock.Millis, m *dhmessage.Update) {
	s.SetInForce(m.InForce())
	s.recordMembers(m)
	at := m.PollSentAt() - m.Age()
	if s.everConfirmed && at < s.confirmedAt {
		return
	}
	s.RecordConfirmation(at)
	s.SetLimitsChangedAt(now - m.LimitsAge())
	s.setDrains(now, m.DrainAges())
	if !s.isVoter && m.Leader() != "" {
		s.SetLeader(m.Leader())
	}
	if !slices.Equal(s.unavailable, m.Unavailable()) {
		s.unavailable, s.viewChanged = m.Unavailable(), true
	}
}
