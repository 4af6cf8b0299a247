package dhdistribution

import (
	"maps"
	"slices"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhquarantine"
)

// child is a process that polls this one.
type child struct {
	// ackedVersion is the child's version as of its last poll.
	ackedVersion uint64
	lastContact  dhclock.Millis
	// replica is set for a child that gets the changes from the replicated log.
	replica bool
	// sentVersion is the child's version once all updates in flight to it have
	// arrived; inFlightSince is when the oldest of them was sent, or when a poll
	// last showed that a part of them had arrived.
	sentVersion   uint64
	inFlightSince dhclock.Millis
	// Updates in flight are not sent again for resendTimeout, and for transferTime, which
	// allows for their size.
	resendTimeout, transferTime dhclock.Millis
	// firstSentAt is when the oldest of the updates in flight was sent for the first time,
	// and roundTrip the time from there to the child's poll with them, when last measured.
	firstSentAt dhclock.Millis
	roundTrip   dhclock.Millis
	suspects    dhquarantine.Replication
	// probing is set while the child asks only for confirmation.
	probing bool
	// zone is the child's availability zone, or "" if unknown.
	zone string
	// referral is whether the child was told to poll a member in its zone instead.
	referral   referral
	referredAt dhclock.Millis
}

// referralTime is the time after which a child that polls again is served, in milliseconds.
// A child of an earlier release follows no referral and reports nothing of its zone. Polls
// that a child sent before it got the list of members arrive earlier.
const referralTime dhclock.Millis = 600

// referral is the state of a child for which members of the consensus group run in its zone.
type referral int

const (
	// notReferred is the state of a child that wasn't told the members in its zone.
	notReferred referral = iota
	// referred is the state of a child that was told them.
	referred
	// returned is the state of a child that doesn't reach them, or that polled again.
	returned
)

// Time constants of resending changes that a child still lacks, in milliseconds.
const (
	// minResendTimeout is the time after which changes are sent again. It
	// doubles with each resend, so that resends don't add to the load of an
	// overloaded parent or network path.
	minResendTimeout dhclock.Millis = 300
	// maxFirstResendTimeout bounds the time until the first resend, which depends on the
	// child's round trip.
	maxFirstResendTimeout dhclock.Millis = 2000
	// maxResendTimeout bounds the time between two resends.
	maxResendTimeout dhclock.Millis = 4000
	// batchTransferTime is how much later changes are sent again for each transferBatch
	// objects in them: what these take on a link of 1 Mbit/s.
	batchTransferTime dhclock.Millis = 100
	// minFullResendTimeout is the least time after which a full configuration is sent again,
	// besides the time that its transfer takes.
	minFullResendTimeout = maxFirstResendTimeout
)

const (
	// transferBatch is a number of objects; see batchTransferTime.
	transferBatch = 100
	// blocksPerObject is the number of client blocks whose transfer takes as long as that of an
	// object.
	blocksPerObject = 8
)

// recordPoll records a child's version. A child with an older version than
// before has restarted, and the updates in flight to it are lost. A child that
// has received only a part of the updates in flight may have lost the rest:
// messages can arrive out of order, and a child can't apply changes before
// those that they follow.
func (c *child) recordPoll(now dhclock.Millis, m *dhmessage.Poll) {
	if c.sentVersion > c.ackedVersion && m.Version() >= c.sentVersion {
		c.roundTrip = now.Since(c.firstSentAt)
	}
	switch {
	case m.Version() < c.ackedVersion || m.Version() >= c.sentVersion:
		c.sentVersion, c.resendTimeout, c.transferTime = m.Version(), 0, 0
	case m.Version() > c.ackedVersion:
		c.inFlightSince, c.firstSentAt, c.resendTimeout = now, now, c.firstResendTimeout()
	}
	c.ackedVersion, c.lastContact, c.replica, c.probing = m.Version(), now, m.Replica(), m.Probe()
}

// firstResendTimeout returns the time until updates are sent again for the first time,
// which allows for twice the child's round trip.
func (c *child) firstResendTimeout() dhclock.Millis {
	return min(maxFirstResendTimeout, max(minResendTimeout, 2*c.roundTrip))
}

// missingSince returns the version after which changes are sent: the child's
// own version, or the one that is in flight to it; false if there is nothing to
// send.
func (c *child) missingSince(now dhclock.Millis, current uint64) (uint64, bool) {
	from := c.ackedVersion
	if c.sentVersion > c.ackedVersion && now.Since(c.inFlightSince) < c.resendTimeout+c.transferTime {
		from = c.sentVersion
	}
	return from, !c.replica && from < current
}

// recordSent records that a child was sent an update with the changes after a version, or with a full
// configuration.
func (c *child) recordSent(now dhclock.Millis, from uint64, u *dhmessage.Update) {
	if c.sentVersion <= c.ackedVersion {
		c.firstSentAt = now
	}
	if from == c.ackedVersion {
		c.inFlightSince = now
		c.resendTimeout = min(maxResendTimeout, max(c.firstResendTimeout(), 2*c.resendTimeout))
		c.transferTime = 0
	}
	c.transferTime += dhclock.Millis(objectsIn(u)/transferBatch) * batchTransferTime
	if u.Full() != nil {
		c.resendTimeout = max(c.resendTimeout, minFullResendTimeout)
	}
	c.sentVersion = u.Version()
}

// objectsIn returns the number of objects in an update, with blocks of clients as what takes as long.
func objectsIn(u *dhmessage.Update) int {
	objects := 0
	if u.Full() != nil {
		objects = u.Full().Len() + u.Full().BlockCount()/blocksPerObject
	}
	for _, set := range u.Changes() {
		objects += len(set.Puts()) + len(set.Deletes())
	}
	return objects
}

// HandlePoll records a child's version and acknowledgements and responds with
// an update.
func (s *State) HandlePoll(now dhclock.Millis, from string, m *dhmessage.Poll, out *dheffect.List) {
	c, found := s.children[from]
	if !found {
		c = &child{}
		s.children[from] = c
	}
	c.recordPoll(now, m)
	s.refer(now, from, c, m)
	if !c.probing {
		s.receiveSuspects(now, &c.suspects, m.Suspects())
	}
	for _, a := range m.Acks() {
		s.recordAck(now, a)
	}
	s.receiveContacts(now, m.Contacts())
	out.Add(dheffect.NewSend(dheffect.SendOptions{To: from, Message: s.newUpdate(now, c, m.SentAt())}))
}

// refer updates the referral of a child that has polled. The first poll of a child that has
// members of the consensus group in its zone gets no changes: when a fleet starts, every
// instance polls the few processes of its settings, and a full copy for each of them would
// fill their links and memory.
func (s *State) refer(now dhclock.Millis, name string, c *child, m *dhmessage.Poll) {
	for _, a := range m.Acks() {
		if i, advertised := a.AdvertisedInstance(); advertised && a.Instance() == name {
			c.zone = i.Zone()
		}
	}
	if i, found := s.catalog.Instance(name); found {
		c.zone = i.Zone()
	}
	switch {
	case !s.hasOtherMemberIn(c.zone):
		c.referral = notReferred
	case m.ZoneUnresponsive():
		c.referral = returned
	case c.referral == notReferred:
		c.referral, c.referredAt = referred, now
	case now.Since(c.referredAt) > referralTime:
		c.referral = returned
	}
}

// serves reports whether a child gets changes from this process.
func (s *State) serves(c *child) bool {
	return !c.probing && (c.referral == returned || !s.hasOtherMemberIn(c.zone))
}

// hasOtherMemberIn reports whether members of the consensus group run in a zone and this
// process isn't one of them.
func (s *State) hasOtherMemberIn(zone string) bool {
	found := false
	for _, m := range s.members {
		if zone == "" || m.Zone() != zone {
			continue
		}
		if m.Peer().Name() == s.self {
			return false
		}
		found = true
	}
	return found
}

// newUpdate returns an update with the changes that a child lacks. The
// clock reading pollSentAt is the one of the child's poll, or 0 if the update
// answers none.
func (s *State) newUpdate(now dhclock.Millis, c *child, pollSentAt dhclock.Millis) *dhmessage.Update {
	o := dhmessage.UpdateOptions{
		PollSentAt: pollSentAt, Version: s.catalog.Version(), EverConfirmed: s.everConfirmed, Age: now.Since(s.confirmedAt),
	}
	if !c.probing {
		o.Suspects = c.suspects.NextReport(now, s.suspects)
	}
	if pollSentAt != 0 || s.catalog.InstanceCount() <= fullPushInstances {
		s.addState(now, c, &o)
	}
	from, missing := c.missingSince(now, s.catalog.Version())
	if missing = missing && s.serves(c); missing {
		// Only a replica, which gets the log instead, needs the texts of declarations.
		sets, retained := s.changeSetsSince(from)
		if !retained {
			o.Full = s.catalog.WithoutText()
		}
		for _, set := range sets {
			o.Changes = append(o.Changes, set.WithoutText())
		}
	}
	u := dhmessage.NewUpdate(o)
	if missing {
		c.recordSent(now, from, u)
	}
	return u
}

// fullPushInstances is the number of instances up to which pushed versions carry the state of the group.
// Children ignore it there, but journals of small clusters replay to updates that have it.
const fullPushInstances = 100

// addState adds to an update what a child takes from the response to its poll only. In a large cluster it
// would be most of an update with few changes.
func (s *State) addState(now dhclock.Millis, c *child, o *dhmessage.UpdateOptions) {
	o.Unavailable, o.Leader, o.InForce = s.unavailable, s.leader, s.inForce
	o.DrainAges, o.LimitsAge = s.drainAges(now), now.Since(s.limitsChangedAt)
	if c.replica {
		o.Silences = s.silences(now)
	} else {
		o.Members = s.members
	}
}

func (s *State) drainAges(now dhclock.Millis) []dhmessage.DrainAge {
	var list []dhmessage.DrainAge
	for _, name := range slices.Sorted(maps.Keys(s.drainStarts)) {
		list = append(list, dhmessage.NewDrainAge(name, now-s.drainStarts[name]))
	}
	return list
}

// pushUpdates sends a new version to the children without waiting for their
// polls, and drops children that no longer poll. Children that lack the same changes get the same
// message, so that it needs to be encoded once.
func (s *State) pushUpdates(now dhclock.Millis, out *dheffect.List) {
	shared := map[uint64]*dhmessage.Update{}
	for _, name := range slices.Sorted(maps.Keys(s.children)) {
		c := s.children[name]
		if now.Since(c.lastContact) > childTimeout {
			delete(s.children, name)
			continue
		}
		from, missing := c.missingSince(now, s.catalog.Version())
		if !missing || !s.serves(c) {
			continue
		}
		isShared := !c.suspects.HasUnsent(s.suspects)
		u, found := shared[from]
		if isShared && found {
			c.recordSent(now, from, u)
		} else {
			u = s.newUpdate(now, c, 0)
		}
		if isShared {
			shared[from] = u
		}
		out.Add(dheffect.NewSend(dheffect.SendOptions{To: name, Message: u}))
	}
}

// SetDrains computes, at the leader, the start of each drain from the ages that
// the ledger yields.
func (s *State) SetDrains(now dhclock.Millis, ages []dhmessage.DrainAge) { s.setDrains(now, ages) }

// UnrecordedInstances returns, at the leader, the advertised instances whose
// record in the configuration is missing or different.
func (s *State) UnrecordedInstances(now dhclock.Millis) []dhcatalog.Instance {
	var list []dhcatalog.Instance
	for _, r := range s.sortedAckRecords() {
		i, advertised := r.ack.AdvertisedInstance()
		if !advertised || now.Since(r.lastContact) > instanceTimeout {
			continue
		}
		if old, found := s.catalog.Instance(i.Name()); !found || old != i {
			list = append(list, i)
		}
	}
	return list
}

// UnresponsiveInstances returns, at the leader, the declared instances without
// an acknowledgement within a timeout. It returns none until the leader has led
// for that time.
func (s *State) UnresponsiveInstances(now, timeout dhclock.Millis) []string {
	if now.Since(s.leadershipChangedAt) <= timeout {
		return nil
	}
	var list []string
	for _, o := range s.catalog.List(dhcatalog.KindInstance) {
		if r, found := s.ackRecords[o.Ref().Name()]; !found || now.Since(r.lastContact) > timeout {
			list = append(list, o.Ref().Name())
		}
	}
	return list
}

// MinAckedVersion returns, at the leader, the newest version that every
// declared instance has acknowledged.
func (s *State) MinAckedVersion() uint64 {
	oldest := s.catalog.Version()
	for _, z := range s.catalog.Zones() {
		for _, i := range s.catalog.InstancesIn(z.Name()) {
			r, found := s.ackRecords[i.Name()]
			if !found {
				return 0
			}
			oldest = min(oldest, r.ack.Version())
		}
	}
	return oldest
}

func (s *State) sortedAckRecords() []*ackRecord {
	var list []*ackRecord
	for _, name := range slices.Sorted(maps.Keys(s.ackRecords)) {
		list = append(list, s.ackRecords[name])
	}
	return list
}

// Status returns the distribution's part of the status of this process.
func (s *State) Status(now dhclock.Millis) dheffect.StatusOptions {
	o := dheffect.StatusOptions{
		Version: s.catalog.Version(), InForce: s.inForce,
		Age: now.Since(s.confirmedAt), EverConfirmed: s.everConfirmed, Leader: s.leader,
	}
	o.Drains = s.drainStatus(now)
	if !s.isLeader {
		return o
	}
	for _, x := range s.catalog.List(dhcatalog.KindInstance) {
		i := x.(dhcatalog.Instance)
		status := dheffect.InstanceStatusOptions{Name: i.Name(), Zone: i.Zone()}
		if r, found := s.ackRecords[i.Name()]; found {
			status.HasAcknowledged, status.Version, status.Leaving = true, r.ack.Version(), r.ack.Leaving()
			status.SinceLastContact = now.Since(r.lastContact)
		}
		o.Instances = append(o.Instances, dheffect.NewInstanceStatus(status))
	}
	return o
}

// drainStatus returns the progress of each drain.
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
			remaining := d.Ramp() * dhclock.Millis(100-d.MovedPercent()) / 100
			o.Remaining = max(0, start+remaining+s.catalog.LongestTimeToLive(d.Target())-now)
		}
		list = append(list, dheffect.NewDrainStatus(o))
	}
	return list
}
