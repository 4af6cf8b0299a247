package dhspread

import (
	"maps"
	"slices"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// child is a process that polls this one.
type child struct {
	// ackedVersion is what the child has, by its last poll.
	ackedVersion uint64
	lastContact  dhclock.Millis
	// replica is a child that has the changes from the replicated log.
	replica bool
	// sentVersion is the version that the child has once all that is under way to it
	// has arrived, and since when the oldest of that is under way.
	sentVersion   uint64
	inFlightSince dhclock.Millis
	// resendTimeout is for how long what is under way isn't sent again.
	resendTimeout dhclock.Millis
}

// Time constants of sending again what a child still lacks, in milliseconds.
const (
	// minResendTimeout is the time after which changes are sent again; it doubles
	// each time, so that a parent or a path that is overloaded isn't loaded more.
	minResendTimeout dhclock.Millis = 300
	// maxResendTimeout bounds the time between two resends.
	maxResendTimeout dhclock.Millis = 4000
	// fullResendTimeout is the time after which a whole configuration is sent again. It
	// may be large and slow.
	fullResendTimeout dhclock.Millis = 10_000
)

// recordPoll notes what a child has. One that has less than before has started
// again, and what was under way to it is lost. One that has a part of what was
// under way has perhaps lost the rest: messages overtake each other, and changes
// are of no use before those that they follow.
func (c *child) recordPoll(now dhclock.Millis, m *dhmessage.Poll) {
	switch {
	case m.Version() < c.ackedVersion || m.Version() >= c.sentVersion:
		c.sentVersion, c.resendTimeout = m.Version(), 0
	case m.Version() > c.ackedVersion:
		c.inFlightSince, c.resendTimeout = now, minResendTimeout
	}
	c.ackedVersion, c.lastContact, c.replica = m.Version(), now, m.Replica()
}

// missingSince returns the version after which changes are to be sent, that of the
// child or the one that is under way to it; false if there is nothing to send.
func (c *child) missingSince(now dhclock.Millis, current uint64) (uint64, bool) {
	from := c.ackedVersion
	if c.sentVersion > c.ackedVersion && now.Since(c.inFlightSince) < c.resendTimeout {
		from = c.sentVersion
	}
	return from, !c.replica && from < current
}

// recordSent notes that a child was sent what follows a version, up to another one.
func (c *child) recordSent(now dhclock.Millis, from, to uint64, full bool) {
	if from == c.ackedVersion {
		c.inFlightSince = now
		c.resendTimeout = min(maxResendTimeout, max(minResendTimeout, 2*c.resendTimeout))
	}
	if full {
		c.resendTimeout = fullResendTimeout
	}
	c.sentVersion = to
}

// HandlePoll answers a child.
func (s *State) HandlePoll(now dhclock.Millis, from string, m *dhmessage.Poll, out *dheffect.List) {
	c, found := s.children[from]
	if !found {
		c = &child{}
		s.children[from] = c
	}
	c.recordPoll(now, m)
	for _, a := range m.Acks() {
		if old, found := s.reports[a.Instance()]; !found || old.ack != a {
			s.hasNewAcks = true
		}
		s.reports[a.Instance()] = &report{ack: a, lastContact: now}
	}
	out.Add(dheffect.NewSend(dheffect.SendOptions{To: from, Message: s.newUpdate(now, c, m.Sent())}))
}

// newUpdate returns what a child needs. Sent is 0 for one that didn't ask.
func (s *State) newUpdate(now dhclock.Millis, c *child, sent dhclock.Millis) *dhmessage.Update {
	o := dhmessage.UpdateOptions{
		Sent: sent, Version: s.catalog.Version(), Confirmed: s.everConfirmed, Age: now.Since(s.confirmedAt),
		Away: s.unavailable, Leader: s.leader, InForce: s.inForce, Drains: s.drainAges(now),
		Voters: s.members, LimitsAge: now.Since(s.limitsChangedAt),
	}
	if from, behind := c.missingSince(now, s.catalog.Version()); behind {
		var kept bool
		if o.Changes, kept = s.changeSetsSince(from); !kept {
			o.Full = s.catalog
		}
		c.recordSent(now, from, s.catalog.Version(), !kept)
	}
	return dhmessage.NewUpdate(o)
}

func (s *State) drainAges(now dhclock.Millis) []dhmessage.DrainAge {
	var list []dhmessage.DrainAge
	for _, name := range slices.Sorted(maps.Keys(s.drainStarts)) {
		list = append(list, dhmessage.NewDrainAge(name, now-s.drainStarts[name]))
	}
	return list
}

// pushUpdates tells the children of a new version without being asked.
func (s *State) pushUpdates(now dhclock.Millis, out *dheffect.List) {
	for _, name := range slices.Sorted(maps.Keys(s.children)) {
		c := s.children[name]
		if now.Since(c.lastContact) > childTimeout {
			delete(s.children, name)
			continue
		}
		if _, behind := c.missingSince(now, s.catalog.Version()); behind {
			out.Add(dheffect.NewSend(dheffect.SendOptions{To: name, Message: s.newUpdate(now, c, 0)}))
		}
	}
}

// SetDrains takes the ages of drains from the ledger, at the leader.
func (s *State) SetDrains(now dhclock.Millis, ages []dhmessage.DrainAge) { s.setDrains(now, ages) }

// availabilityCheckInterval is the least time between two looks through all instances, in
// milliseconds.
const availabilityCheckInterval dhclock.Millis = 100

// findUnavailable works out, at the leader, which instances look-ups must not name.
func (s *State) findUnavailable(now dhclock.Millis) {
	if now.Since(s.leadershipChangedAt) < 2*instanceTimeout || now.Since(s.lastAvailabilityCheck) < availabilityCheckInterval {
		return
	}
	s.lastAvailabilityCheck = now
	var away []dhmessage.Away
	for _, o := range s.catalog.List(dhcatalog.KindInstance) {
		name := o.Ref().Name()
		r, found := s.reports[name]
		switch {
		case !found || now.Since(r.lastContact) > instanceTimeout:
			away = append(away, dhmessage.NewAway(name, false))
		case r.ack.Leaving():
			away = append(away, dhmessage.NewAway(name, true))
		}
	}
	if !slices.Equal(away, s.unavailable) {
		s.unavailable, s.viewChanged = away, true
	}
}

// UnregisteredInstances returns the instances that introduce themselves and that the
// configuration doesn't hold as they run, at the leader.
func (s *State) UnregisteredInstances(now dhclock.Millis) []dhcatalog.Instance {
	var list []dhcatalog.Instance
	for _, r := range s.sortedReports() {
		i, introduced := r.ack.Introduction()
		if !introduced || now.Since(r.lastContact) > instanceTimeout {
			continue
		}
		if old, found := s.catalog.Instance(i.Name()); !found || old != i {
			list = append(list, i)
		}
	}
	return list
}

// UnresponsiveInstances returns the declared instances that weren't heard for a span, at the
// leader.
func (s *State) UnresponsiveInstances(now, span dhclock.Millis) []string {
	if now.Since(s.leadershipChangedAt) <= span {
		return nil
	}
	var list []string
	for _, o := range s.catalog.List(dhcatalog.KindInstance) {
		if r, found := s.reports[o.Ref().Name()]; !found || now.Since(r.lastContact) > span {
			list = append(list, o.Ref().Name())
		}
	}
	return list
}

// MinAckedVersion returns the newest version that every declared instance has
// acknowledged, at the leader.
func (s *State) MinAckedVersion() uint64 {
	least := s.catalog.Version()
	for _, z := range s.catalog.Zones() {
		for _, i := range s.catalog.InstancesIn(z.Name()) {
			r, found := s.reports[i.Name()]
			if !found {
				return 0
			}
			least = min(least, r.ack.Version())
		}
	}
	return least
}

func (s *State) sortedReports() []*report {
	var list []*report
	for _, name := range slices.Sorted(maps.Keys(s.reports)) {
		list = append(list, s.reports[name])
	}
	return list
}

// Status tells what this process knows of the spread.
func (s *State) Status(now dhclock.Millis) dheffect.StatusOptions {
	o := dheffect.StatusOptions{
		Version: s.catalog.Version(), InForce: s.inForce,
		Age: now.Since(s.confirmedAt), Confirmed: s.everConfirmed, Leader: s.leader,
	}
	o.Drains = s.drainStatus(now)
	if !s.isLeader {
		return o
	}
	for _, x := range s.catalog.List(dhcatalog.KindInstance) {
		i := x.(dhcatalog.Instance)
		n := dheffect.InstanceStatusOptions{Name: i.Name(), Zone: i.Zone()}
		if r, found := s.reports[i.Name()]; found {
			n.Heard, n.Version, n.Leaving = true, r.ack.Version(), r.ack.Leaving()
			n.Silent = now.Since(r.lastContact)
		}
		o.Instances = append(o.Instances, dheffect.NewInstanceStatus(n))
	}
	return o
}

// drainStatus tells how far each drain is.
func (s *State) drainStatus(now dhclock.Millis) []dheffect.DrainStatus {
	var list []dheffect.DrainStatus
	for _, d := range s.catalog.Drains() {
		start, found := s.drainStarts[d.Name()]
		if !found {
			start = s.appliedAt
		}
		o := dheffect.DrainStatusOptions{
			Name: d.Name(), Target: d.Target().String(), Paused: d.Paused(), MovedPercent: d.MovedAfter(now.Since(start)),
		}
		if !d.Paused() {
			left := d.Ramp() * dhclock.Millis(100-d.MovedPercent()) / 100
			o.Remaining = max(0, start+left+s.catalog.TimeToLiveOf(d.Target())-now)
		}
		list = append(list, dheffect.NewDrainStatus(o))
	}
	return list
}
