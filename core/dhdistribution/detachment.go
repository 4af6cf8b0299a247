package dhdistribution

import (
	"slices"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// detachment is what this process knows of its way to the leader. A process whose confirmations are
// late is to be told from one that is cut off: the first hears other processes, and they have
// newer confirmations than its own.
type detachment struct {
	timeout dhclock.Millis
	// heardAt is when the last message of a process arrived that isn't cut off itself, and
	// newestHeard the newest confirmation that any process has told of.
	heardAt     dhclock.Millis
	newestHeard dhclock.Millis
	// memberHeardAt is when the last update of a member of the consensus group arrived.
	memberHeardAt dhclock.Millis
	isDetached    bool
	lastUpdate    dhclock.Millis // when isDetached was last updated
	// lastProbe is when another candidate than the parent was last asked, and probes how often since
	// the search for a newer confirmation began. The members are asked first, the last of them at
	// searchedAt.
	lastProbe  dhclock.Millis
	probes     int
	searchedAt dhclock.Millis
	// cutOff names the members that have told only of old confirmations since then.
	cutOff []string
}

// Times of the search for a newer confirmation, in milliseconds.
const (
	// searchTime is how long it takes to ask all members of the consensus group once. Each
	// instance beyond promptInstances adds searchTimeStep: after the loss of a leader all of them
	// ask at the same time, while the members elect another one.
	searchTime     dhclock.Millis = 200
	searchTimeStep dhclock.Millis = 2
	// searchTimeout is how long after that those that haven't responded count as unreachable.
	searchTimeout dhclock.Millis = 600
)

// recordHeard records that a parent's update has arrived. A process with an old confirmation may be
// cut off itself.
func (s *State) recordHeard(now dhclock.Millis, from string, m *dhmessage.Update) {
	d := &s.detachment
	isMember := slices.Contains(s.nearMembers, from) || slices.Contains(s.farMembers, from)
	if isMember {
		d.memberHeardAt = now
	}
	if m.EverConfirmed() {
		d.newestHeard = max(d.newestHeard, now-m.Age())
	}
	switch {
	case m.EverConfirmed() && m.Age() <= maxConfirmationAge:
		d.heardAt, d.cutOff = now, nil
	case d.probes > 0 && isMember && !slices.Contains(d.cutOff, from):
		d.cutOff = append(d.cutOff, from)
	}
}

// maxUpdateGap is the longest time between two updates of a detachment in a process that runs, in
// milliseconds.
const maxUpdateGap dhclock.Millis = 500

// updateDetachment updates whether no newer confirmation is to be had. While this process was
// paused it heard nothing, which doesn't show that nobody has sent anything.
func (s *State) updateDetachment(now dhclock.Millis) {
	d := &s.detachment
	if gap := now.Since(d.lastUpdate); gap > maxUpdateGap {
		d.heardAt, d.memberHeardAt = d.heardAt+gap, d.memberHeardAt+gap
		d.probes, d.cutOff = 0, nil
	}
	d.lastUpdate = now
	// Members that were asked before may have had the newest confirmation that was heard of.
	wasSearchedBefore := now.Since(d.newestHeard) > maxConfirmationAge && d.searchedAt.Since(d.newestHeard) <= maxConfirmationAge
	if !s.hasOldConfirmation(now) || wasSearchedBefore {
		d.probes, d.cutOff = 0, nil
	}
	isDetached := s.everConfirmed && (now.Since(d.heardAt) > d.timeout || s.foundNoMajority(now))
	if isDetached != d.isDetached {
		d.isDetached, s.viewChanged = isDetached, true
	}
}

// hasOldConfirmation reports whether this process looks for another parent.
func (s *State) hasOldConfirmation(now dhclock.Millis) bool {
	return now.Since(s.confirmedAt) > maxConfirmationAge
}

// foundNoMajority reports whether this process has asked all members and each is cut off or doesn't
// respond.
func (s *State) foundNoMajority(now dhclock.Millis) bool {
	d := &s.detachment
	members := len(s.nearMembers) + len(s.farMembers)
	if len(d.cutOff) == 0 || d.probes < members || now.Since(d.newestHeard) <= maxConfirmationAge {
		return false
	}
	return len(d.cutOff) >= members || now.Since(d.searchedAt) > searchTimeout
}

// probeOthers asks the parent and the members, and then all candidates other than the parent in turn,
// for a confirmation while this instance has an old one. Parents that have died would otherwise hide
// for the sum of their timeouts that others have a newer one, or that none has.
func (s *State) probeOthers(now dhclock.Millis, out *dheffect.List) {
	d := &s.detachment
	if s.isVoter || !s.everConfirmed || !s.hasOldConfirmation(now) {
		return
	}
	members := slices.Concat(s.farMembers, s.nearMembers)
	if d.probes < len(members) {
		if now.Since(d.lastProbe) >= s.searchDuration()/dhclock.Millis(len(members)) {
			if d.probes == 0 {
				s.PollNow()
			}
			s.probe(now, members[d.probes], out)
			d.searchedAt = now
		}
		return
	}
	if candidates := s.parentCandidates(); len(candidates) > 1 && now.Since(d.lastProbe) >= pollInterval {
		s.probe(now, candidates[(s.parent.candidateIndex+1+d.probes%(len(candidates)-1))%len(candidates)], out)
	}
}

func (s *State) searchDuration() dhclock.Millis {
	return searchTime + searchTimeStep*dhclock.Millis(max(0, s.catalog.InstanceCount()-promptInstances))
}

// probe asks a process other than the parent, which is polled anyway, for a confirmation.
func (s *State) probe(now dhclock.Millis, to string, out *dheffect.List) {
	s.detachment.lastProbe = now
	s.detachment.probes++
	if to == s.parent.polledCandidate {
		return
	}
	out.Add(dheffect.NewSend(dheffect.SendOptions{To: to, Message: dhmessage.NewPoll(dhmessage.PollOptions{
		Version: s.catalog.Version(), SentAt: now, Acks: []dhmessage.Ack{s.ownAck(now)}, Probe: true,
	})}))
}

// IsDetached reports whether no newer confirmation is to be had: this process hears nothing
// from other processes, or those that it hears have none themselves.
func (s *State) IsDetached() bool { return s.detachment.isDetached }
