package dhdistribution

import (
	"maps"
	"slices"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// Time constants of the availability of instances, in milliseconds.
const (
	// availabilityCheckInterval is the least time between two availability checks of all
	// instances.
	availabilityCheckInterval dhclock.Millis = 100
	// silenceReportAge is the age of an instance's last acknowledgement from which on it is
	// silent: longer than between two of them.
	silenceReportAge dhclock.Millis = 1000
	// silentReportTime and quietReportTime are how long a new leader waits for instances to
	// report to it: those that were silent before the election, and those that weren't, whose
	// parent may have been the last leader.
	silentReportTime dhclock.Millis = 500
	quietReportTime  dhclock.Millis = 1000
	// restartReportTime is how long a leader that knows nothing of the time before its
	// election waits for the rest once most instances have reported.
	restartReportTime dhclock.Millis = 1500
	// ackRetention is how long the acknowledgement of an instance without a newer one is
	// kept over changes of the leader.
	ackRetention = 60 * dhclock.Second
)

// recordAck records an acknowledgement unless a newer one of the instance has arrived on
// another way.
func (s *State) recordAck(now dhclock.Millis, a dhmessage.Ack) {
	reportedAt := now - max(0, a.Age())
	a = a.WithAge(0)
	old, found := s.ackRecords[a.Instance()]
	if found && old.lastContact > reportedAt {
		return
	}
	if !found || old.ack != a {
		s.hasNewAcks = true
	}
	s.ackRecords[a.Instance()] = &ackRecord{ack: a, lastContact: reportedAt}
}

func (s *State) dropOldAcks(now dhclock.Millis) {
	maps.DeleteFunc(s.ackRecords, func(_ string, r *ackRecord) bool { return now.Since(r.lastContact) > ackRetention })
}

// knowsInstances reports whether this process leads and has the whole configuration. After a
// restart it leads before it has applied its log.
func (s *State) knowsInstances() bool { return s.isLeader && s.everConfirmed }

// silences returns, at the leader, the instances that haven't acknowledged a version to it
// within silenceReportAge. What it knows only from its predecessor is among them, with the
// age known there: a member that took them for present would count their silence anew.
func (s *State) silences(now dhclock.Millis) []dhmessage.Silence {
	if !s.knowsInstances() {
		return nil
	}
	var list []dhmessage.Silence
	for _, o := range s.catalog.List(dhcatalog.KindInstance) {
		name := o.Ref().Name()
		if r, found := s.ackRecords[name]; found && now.Since(r.lastContact) <= silenceReportAge {
			continue
		}
		c, _ := s.lastContact(name)
		list = append(list, dhmessage.NewSilence(name, now.Since(c.at)).WithNeverHeard(c.neverHeard))
	}
	return list
}

// contactReport returns what this member knows of the leader's contacts; nil if nothing.
func (s *State) contactReport(now dhclock.Millis) *dhmessage.ContactReport {
	if !s.isVoter || !s.contacts.isKnown() {
		return nil
	}
	return dhmessage.NewContactReport(dhmessage.ContactReportOptions{
		Age: now.Since(s.contacts.recordedAt), Silences: s.contacts.silences(now), Unavailable: s.unavailable,
	})
}

// receiveContacts merges, at the leader, what a member knows from a predecessor. Reports that
// are as old as this leadership repeat what this leader has reported itself.
func (s *State) receiveContacts(now dhclock.Millis, r *dhmessage.ContactReport) {
	if !s.isLeader || r == nil || now-r.Age() >= s.leadershipChangedAt {
		return
	}
	reported := newLeaderContacts(now, now-r.Age(), r.Silences())
	unavailable := slices.Clone(s.unavailable)
	if reported.recordedAt > s.contacts.recordedAt {
		s.contacts = s.contacts.followedBy(reported)
		// An older report may have come first, and the instance back since.
		unavailable = slices.DeleteFunc(unavailable, func(u dhmessage.UnavailableInstance) bool {
			return !u.Leaving() && !s.hasReported(u.Instance()) && !s.contacts.wasSilent(u.Instance())
		})
	} else {
		s.contacts = reported.followedBy(s.contacts)
	}
	for _, u := range r.Unavailable() {
		isNewest := s.contacts.of(u.Instance()).at <= reported.of(u.Instance()).at
		isListed := slices.ContainsFunc(unavailable, func(x dhmessage.UnavailableInstance) bool { return x.Instance() == u.Instance() })
		if isNewest && !isListed && !s.hasReported(u.Instance()) {
			unavailable = append(unavailable, u)
		}
	}
	if !slices.Equal(unavailable, s.unavailable) {
		s.unavailable, s.viewChanged = unavailable, true
	}
}

// lastContact returns when an instance last acknowledged a version, as far as this leader
// knows from its own records and its predecessors; false if it knows nothing.
func (s *State) lastContact(name string) (contact, bool) {
	c, known := s.contacts.of(name), s.contacts.isKnown()
	if r, found := s.ackRecords[name]; found && (!known || r.lastContact > c.at) {
		return contact{at: r.lastContact}, true
	}
	if !known {
		return contact{at: s.leadershipChangedAt, neverHeard: true}, false
	}
	return c, true
}

// hasReported reports whether an instance has acknowledged a version since this leader's
// election.
func (s *State) hasReported(name string) bool {
	r, found := s.ackRecords[name]
	return found && r.lastContact >= s.leadershipChangedAt
}

// isSilent reports whether look-ups must leave out an instance because this leader hasn't
// heard of it for too long. An instance that hasn't reported since the election may be about
// to: it may have to find another parent first.
func (s *State) isSilent(now dhclock.Millis, name string, mostReported bool) bool {
	c, known := s.lastContact(name)
	leading := now.Since(s.leadershipChangedAt)
	switch {
	case s.hasReported(name):
		return now.Since(c.at) > instanceTimeout
	case !known:
		return leading > instanceTimeout || leading > restartReportTime && mostReported
	case s.contacts.wasSilent(name):
		return leading > silentReportTime && now.Since(c.at) > instanceTimeout
	default:
		return leading > quietReportTime && now.Since(c.at) > instanceTimeout
	}
}

// updateUnavailable determines, at the leader, which instances look-ups must not
// return. What the last leader decided holds until an instance reports. A leader without a majority
// decides nothing: it may not hear of acknowledgements that other members get.
func (s *State) updateUnavailable(now dhclock.Millis) {
	if now.Since(max(s.confirmedAt, s.leadershipChangedAt)) > maxConfirmationAge {
		s.unconfirmedAt = now
	}
	if s.unconfirmedAt != 0 && now.Since(s.unconfirmedAt) < quietReportTime {
		return
	}
	if now.Since(s.lastAvailabilityCheck) < availabilityCheckInterval {
		return
	}
	s.lastAvailabilityCheck = now
	instances := s.catalog.List(dhcatalog.KindInstance)
	reported := 0
	for _, o := range instances {
		if s.hasReported(o.Ref().Name()) {
			reported++
		}
	}
	var unavailable []dhmessage.UnavailableInstance
	for _, o := range instances {
		name := o.Ref().Name()
		r, found := s.ackRecords[name]
		if !s.hasReported(name) {
			previous := slices.IndexFunc(s.unavailable, func(u dhmessage.UnavailableInstance) bool { return u.Instance() == name })
			if previous >= 0 {
				unavailable = append(unavailable, s.unavailable[previous])
				continue
			}
		}
		switch {
		case s.isSilent(now, name, 2*reported > len(instances)):
			unavailable = append(unavailable, dhmessage.NewUnavailableInstance(name, false))
		case found && r.ack.Leaving():
			unavailable = append(unavailable, dhmessage.NewUnavailableInstance(name, true))
		}
	}
	if !slices.Equal(unavailable, s.unavailable) {
		s.unavailable, s.viewChanged = unavailable, true
	}
}
