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
	// parentAge the age that the sender's confirmation had then.
	heardAt    dhclock.Millis
	parentAge  dhclock.Millis
	isDetached bool
	lastUpdate dhclock.Millis // when isDetached was last updated
	// lastProbe is when another candidate than the parent was last asked, and probes how often.
	lastProbe dhclock.Millis
	probes    int
}

// recordHeard records that a parent's update has arrived. An instance with an old confirmation
// may be cut off itself.
func (s *State) recordHeard(now dhclock.Millis, from string, m *dhmessage.Update) {
	hasRecentConfirmation := m.EverConfirmed() && m.Age() <= maxConfirmationAge
	if !hasRecentConfirmation && !slices.Contains(dhmessage.MemberNames(s.members), from) {
		return
	}
	s.detachment.heardAt, s.detachment.parentAge = now, m.Age()
}

// maxUpdateGap is the longest time between two updates of a detachment in a process that runs, in
// milliseconds.
const maxUpdateGap dhclock.Millis = 500

// updateDetachment updates whether no newer confirmation is to be had. While this process was
// paused it heard nothing, which doesn't show that nobody has sent anything.
func (s *State) updateDetachment(now dhclock.Millis) {
	d := &s.detachment
	if gap := now.Since(d.lastUpdate); gap > maxUpdateGap {
		d.heardAt += gap
	}
	d.lastUpdate = now
	isDetached := s.everConfirmed && (now.Since(d.heardAt) > d.timeout || d.parentAge > maxConfirmationAge)
	if isDetached != d.isDetached {
		d.isDetached, s.viewChanged = isDetached, true
	}
}

// probeOthers asks the candidates other than the parent in turn for a confirmation while this
// instance has an old one. Parents that have died would otherwise hide for the sum of their
// timeouts that others have a newer one, or that none has.
func (s *State) probeOthers(now dhclock.Millis, out *dheffect.List) {
	d := &s.detachment
	if s.isVoter || !s.everConfirmed || now.Since(s.confirmedAt) <= maxConfirmationAge || now.Since(d.lastProbe) < pollInterval {
		return
	}
	candidates := s.parentCandidates()
	if len(candidates) < 2 {
		return
	}
	to := candidates[(s.parent.candidateIndex+1+d.probes%(len(candidates)-1))%len(candidates)]
	d.lastProbe = now
	d.probes++
	out.Add(dheffect.NewSend(dheffect.SendOptions{To: to, Message: dhmessage.NewPoll(dhmessage.PollOptions{
		Version: s.catalog.Version(), SentAt: now, Acks: []dhmessage.Ack{s.ownAck()}, Probe: true,
	})}))
}

// IsDetached reports whether no newer confirmation is to be had: this process hears nothing
// from other processes, or those that it hears have none themselves.
func (s *State) IsDetached() bool { return s.detachment.isDetached }
