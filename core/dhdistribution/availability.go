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
	// silenceReportAge is the age of an instance's last acknowledgement from which on the
	// leader reports it to the members: longer than between two of them.
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

// leaderContacts is what the leader last reported of the instances.
type leaderContacts struct {
	// recordedAt is when that was; 0 if never. Instances that aren't in silentSince had
	// acknowledged a version shortly before.
	recordedAt  dhclock.Millis
	silentSince map[string]dhclock.Millis
}

func (c *leaderContacts) record(now dhclock.Millis, list []dhmessage.Silence) {
	c.recordedAt = now
	c.silentSince = make(map[string]dhclock.Millis, len(list))
	for _, x := range list {
		c.silentSince[x.Instance()] = now - x.Age()
	}
}

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

// silences returns, at the leader, the instances of which it hadn't heard for
// silenceReportAge at the last availability check.
func (s *State) silences(now dhclock.Millis) []dhmessage.Silence {
	if !s.isLeader {
		return nil
	}
	var list []dhmessage.Silence
	for _, name := range s.silentInstances {
		if at, known := s.lastContact(name); known {
			list = append(list, dhmessage.NewSilence(name, now.Since(at)))
		}
	}
	return list
}

// lastContact returns when an instance last acknowledged a version, as far as this leader
// knows from its own records and its predecessor; false if it knows nothing.
func (s *State) lastContact(name string) (dhclock.Millis, bool) {
	at, known := s.contacts.recordedAt, s.contacts.recordedAt != 0
	if since, silent := s.contacts.silentSince[name]; silent {
		at = since
	}
	if r, found := s.ackRecords[name]; found {
		return max(at, r.lastContact), true
	}
	return at, known
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
	at, known := s.lastContact(name)
	leading := now.Since(s.leadershipChangedAt)
	_, wasSilent := s.contacts.silentSince[name]
	switch {
	case s.hasReported(name):
		return now.Since(at) > instanceTimeout
	case !known:
		return leading > instanceTimeout || leading > restartReportTime && mostReported
	case wasSilent:
		return leading > silentReportTime && now.Since(at) > instanceTimeout
	default:
		return leading > quietReportTime && now.Since(at) > instanceTimeout
	}
}

// updateUnavailable determines, at the leader, which instances look-ups must not
// return. What the last leader decided holds until an instance reports.
func (s *State) updateUnavailable(now dhclock.Millis) {
	if now.Since(s.lastAvailabilityCheck) < availabilityCheckInterval {
		return
	}
	s.lastAvailabilityCheck = now
	instances := s.catalog.List(dhcatalog.KindInstance)
	reported := 0
	s.silentInstances = s.silentInstances[:0]
	for _, o := range instances {
		name := o.Ref().Name()
		if s.hasReported(name) {
			reported++
		}
		if at, known := s.lastContact(name); known && now.Since(at) > silenceReportAge {
			s.silentInstances = append(s.silentInstances, name)
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
