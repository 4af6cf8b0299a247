// Package dhdistribution distributes the configuration from the leader to every
// process and returns to the leader which instance has which version.
//
// A process polls one parent: a member of the consensus group in its zone, an
// instance of its zone, or another member. The response holds the change sets that
// the process lacks and the age of the confirmation that the configuration is
// current. Ages are sums of durations that each poller measures on its own clock, so
// that no two clocks are compared. When the version rises a process pushes it to its
// children at once. Versions never decrease.
package dhdistribution

import (
	"cmp"
	"maps"
	"slices"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhhistory"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhquarantine"
	"dogwoodhitch/core/dhview"
)

// Time constants of the distribution, in milliseconds.
const (
	// pollInterval is the time between two polls of the parent in a small zone.
	// Each instance beyond smallZone adds pollIntervalStep, up to
	// maxPollInterval, so that the load of the zone's parents stays bounded. Where
	// members of the consensus group run in the zone, they share its instances.
	pollInterval     dhclock.Millis = 400
	pollIntervalStep dhclock.Millis = 25
	maxPollInterval  dhclock.Millis = 800
	// startupPollInterval is the time between two polls of a process whose
	// configuration was never confirmed.
	startupPollInterval dhclock.Millis = 100
	// startupRetryInterval is the time after which such a process polls again
	// without a response.
	startupRetryInterval dhclock.Millis = 400
	// ackTTL is the age up to which an acknowledgement is forwarded to the parent.
	ackTTL = instanceTimeout
	// ackInterval is the least time between two polls that forward new
	// acknowledgements. Each member of a large consensus group adds ackIntervalStep, because
	// all of them poll the leader.
	ackInterval     dhclock.Millis = 60
	ackIntervalStep dhclock.Millis = 10
	// instanceAckIntervalStep is what each instance of a large cluster adds to the time between
	// two polls of an instance with new acknowledgements, up to maxInstanceAckInterval.
	instanceAckIntervalStep dhclock.Millis = 1
	maxInstanceAckInterval  dhclock.Millis = 250
	// parentTimeout is the time without a response after which another parent
	// is tried.
	parentTimeout dhclock.Millis = 900
	// startupParentTimeout is that time for a process whose configuration was never
	// confirmed.
	startupParentTimeout dhclock.Millis = 500
	// maxConfirmationAge is the age of the last confirmation at which another
	// parent is tried although the current one responds.
	maxConfirmationAge dhclock.Millis = 1200
	// parentLossTime is the age of the last confirmation at which the seeds are tried that aren't
	// known as members.
	parentLossTime = dhview.FreshnessLease
	// preferredParentRetryInterval is the time after which the preferred parent
	// is tried again.
	preferredParentRetryInterval dhclock.Millis = 10_000
	// childTimeout is the time without a poll after which a child is dropped.
	childTimeout dhclock.Millis = 2500
	// instanceTimeout is the age of an instance's last acknowledgement from which on it
	// counts as unavailable. It covers the polls on the way to the leader, and the time
	// after which an instance gives up a parent.
	instanceTimeout dhclock.Millis = 3000
)

// promptInstances is the number of instances up to which each acknowledges a version at once.
const promptInstances = 100

// smallZone is the number of instances up to which a zone polls at the shortest
// interval.
const smallZone = 8

// Options configure the distribution in one process.
type Options struct {
	Self   string
	Zone   string
	Voters []string
	// IsVoter reports whether the process is a voter or learner, which gets the
	// changes from the replicated log.
	IsVoter bool
	// Advertised is the record of this instance, which the leader adds to the
	// configuration; nil where operators declare instances.
	Advertised *dhcatalog.Instance
	// Suspects are the suspects that a voter's data folder holds.
	Suspects []dhmessage.Suspect
	// ContactTimeout is the time without a response from another process after which this one
	// counts as cut off; 0 stands for the freshness lease.
	ContactTimeout dhclock.Millis
	Now            dhclock.Millis
}

// State is the distribution state of one process.
type State struct {
	self                  string
	zone                  string
	configuredVoters      []string
	isVoter               bool
	isLeader              bool
	leadershipChangedAt   dhclock.Millis
	lastAvailabilityCheck dhclock.Millis
	leader                string
	leaving               bool
	// advertised is the record of this instance; nil where operators declare
	// instances.
	advertised *dhcatalog.Instance

	catalog       *dhcatalog.Catalog
	history       dhhistory.History
	appliedAt     dhclock.Millis
	confirmedAt   dhclock.Millis
	everConfirmed bool
	// unconfirmedAt is when this process last led without a recent confirmation; 0 if never.
	unconfirmedAt dhclock.Millis
	// pendingConfirmation is a confirmation of a version that isn't here yet; nil for none.
	pendingConfirmation *pendingConfirmation
	unavailable         []dhmessage.UnavailableInstance
	inForce             uint64
	members             []dhmessage.Member
	// membersAt is when the members were confirmed that an instance knows, if membersConfirmed.
	membersAt        dhclock.Millis
	membersConfirmed bool
	// nearMembers, farMembers and nearestMembers name the members; see sortMembers.
	nearMembers, farMembers, nearestMembers []string
	// otherSeeds names the processes of the settings that aren't known as members.
	otherSeeds  []string
	drainStarts map[string]dhclock.Millis
	detachment  detachment
	// limitsChangedAt is when limits, or the instances that share them, last
	// changed.
	limitsChangedAt dhclock.Millis

	// suspects are the requests that may have crashed upstreams. suspectsChanged is
	// set until the children and the view have the last change.
	suspects        *dhquarantine.Set
	suspectsChanged bool
	lastSuspectPush dhclock.Millis
	viewSuspects    *dhview.Suspects // as of the last change; nil for none
	suspectBackup   dhquarantine.Backup

	parent          parent
	children        map[string]*child
	ackRecords      map[string]*ackRecord
	contacts        leaderContacts
	hasNewAcks      bool // acknowledgements not yet forwarded to the parent
	viewChanged     bool
	versionAdvanced bool
}

// ackRecord is the last acknowledgement of an instance, received directly or
// through other processes, and when the instance reported it.
type ackRecord struct {
	ack         dhmessage.Ack
	lastContact dhclock.Millis
}

// New returns the state of a process without a configuration.
func New(o Options) *State {
	s := &State{
		detachment: detachment{timeout: cmp.Or(o.ContactTimeout, dhview.FreshnessLease), heardAt: o.Now, memberHeardAt: o.Now, lastUpdate: o.Now},
		self:       o.Self, zone: o.Zone, configuredVoters: o.Voters, isVoter: o.IsVoter, advertised: o.Advertised,
		catalog: dhcatalog.New(), appliedAt: o.Now, limitsChangedAt: o.Now, suspects: dhquarantine.NewSet(),
		children: map[string]*child{}, ackRecords: map[string]*ackRecord{},
		parent: parent{selectedAt: o.Now, oldestUnanswered: o.Now}, viewChanged: true,
	}
	s.sortMembers()
	s.RecordSuspects(o.Now, o.Suspects)
	return s
}

// Catalog returns the configuration in force in this process.
func (s *State) Catalog() *dhcatalog.Catalog { return s.catalog }

// History returns the newest change sets.
func (s *State) History() dhhistory.History { return s.history }

// Leader returns the name of the leader, or "" if unknown.
func (s *State) Leader() string { return s.leader }

// ConfirmedAt returns a time at which the configuration was certainly current;
// false if there is none.
func (s *State) ConfirmedAt() (dhclock.Millis, bool) { return s.confirmedAt, s.everConfirmed }

// SetLeader records the name of the leader.
func (s *State) SetLeader(name string) {
	if name != s.leader {
		s.leader, s.viewChanged = name, true
		s.sortMembers()
	}
}

// SetLeading records whether this process leads. A new leader knows of the instances
// what its predecessors last reported to it or to another member, and those that polled it.
func (s *State) SetLeading(isLeader bool, now dhclock.Millis) {
	if s.knowsInstances() && !isLeader {
		s.contacts = s.contacts.followedBy(newLeaderContacts(now, now, s.silences(now)))
	}
	s.isLeader, s.leadershipChangedAt = isLeader, now
	s.dropOldAcks(now)
	s.parent = parent{selectedAt: now, oldestUnanswered: now}
}

// StartLeaving records that this process is about to stop and reports it to the
// parent at once.
func (s *State) StartLeaving() {
	s.leaving = true
	s.PollNow()
}

// RecordConfirmation records a time at which the configuration was current.
func (s *State) RecordConfirmation(at dhclock.Millis) {
	if !s.everConfirmed || at > s.confirmedAt {
		s.confirmedAt, s.everConfirmed, s.viewChanged = at, true, true
	}
}

// SetCatalog installs a newer configuration from the ledger.
func (s *State) SetCatalog(now dhclock.Millis, c *dhcatalog.Catalog, history dhhistory.History) {
	if c.Version() <= s.catalog.Version() {
		return
	}
	s.catalog, s.appliedAt = c, now
	s.history = history
	s.viewChanged, s.versionAdvanced = true, true
}

// SetLimitsChangedAt records when limits, or the instances that share them, last
// changed.
func (s *State) SetLimitsChangedAt(at dhclock.Millis) {
	if d := at - s.limitsChangedAt; d < -timestampTolerance || d > timestampTolerance {
		s.limitsChangedAt, s.viewChanged = at, true
	}
}

// SetInForce records the newest version that is in force everywhere.
func (s *State) SetInForce(version uint64) {
	if version > s.inForce {
		s.inForce, s.viewChanged = version, true
	}
}

// SetMembers records the members of the consensus group.
func (s *State) SetMembers(list []dhmessage.Member) {
	if !slices.Equal(list, s.members) {
		s.members, s.viewChanged = list, true
		s.sortMembers()
	}
}

// SetSeeds records the processes that the settings name. Without a parent that confirms the
// configuration they are tried at once.
func (s *State) SetSeeds(now dhclock.Millis, names []string) {
	s.configuredVoters = names
	s.sortMembers()
	if s.parent.isLost {
		s.parent.timeouts = 0
		s.parent.selectCandidate(now, 0)
		s.PollNow()
	}
}

// MemberNames returns the names of the members of the consensus group, or the
// voters of the settings until a member list has arrived.
func (s *State) MemberNames() []string {
	if len(s.members) == 0 {
		return s.configuredVoters
	}
	return dhmessage.MemberNames(s.members)
}

// setDrains computes the start of each drain from its age. A recorded start
// within timestampTolerance of the new one is kept, so that it doesn't change
// with each message's delay.
func (s *State) setDrains(now dhclock.Millis, ages []dhmessage.DrainAge) {
	starts := make(map[string]dhclock.Millis, len(ages))
	for _, a := range ages {
		start := now - a.Age()
		if old, found := s.drainStarts[a.Name()]; found && old-start < timestampTolerance && start-old < timestampTolerance {
			start = old
		}
		starts[a.Name()] = start
	}
	if !maps.Equal(starts, s.drainStarts) {
		s.drainStarts, s.viewChanged = starts, true
	}
}

// timestampTolerance is the greatest difference at which the recorded start of
// a drain or time of the last change of limits is kept, in milliseconds.
const timestampTolerance dhclock.Millis = 2000

// applyUpdate installs a newer full configuration and applies the change sets
// that follow this process's version.
func (s *State) applyUpdate(now dhclock.Millis, full *dhcatalog.Catalog, sets []dhcatalog.ChangeSet) {
	if full != nil && full.Version() > s.catalog.Version() {
		s.catalog, s.appliedAt, s.history = full, now, dhhistory.History{}
		s.limitsChangedAt = now
		s.viewChanged, s.versionAdvanced = true, true
	}
	for _, c := range sets {
		if c.Base() != s.catalog.Version() {
			continue
		}
		next, err := s.catalog.Follow(c)
		if err != nil {
			return
		}
		undo := s.catalog.Undo(c)
		s.catalog, s.appliedAt = next, now
		if c.AffectsLimits() {
			s.limitsChangedAt = now
		}
		s.history = s.history.With(dhmessage.NewAcceptedChange(next.Version(), 0, c, undo))
		s.viewChanged, s.versionAdvanced = true, true
	}
}

// EndBatch ends a batch of events: it pushes a new version to the children and
// publishes a changed view.
func (s *State) EndBatch(now dhclock.Millis, out *dheffect.List) {
	if s.knowsInstances() {
		s.updateUnavailable(now)
	}
	if s.versionAdvanced {
		s.versionAdvanced = false
		s.applyPendingConfirmation()
		s.pushUpdates(now, out)
		switch {
		case s.isVoter:
		case s.catalog.InstanceCount() > promptInstances:
			s.hasNewAcks = true
		default:
			s.PollNow()
			s.sendPoll(now, out)
		}
	}
	if !s.viewChanged {
		return
	}
	s.viewChanged = false
	out.Add(dheffect.NewPublish(dheffect.PublishOptions{View: dhview.New(dhview.Options{
		Catalog: s.catalog, ConfirmedAt: s.confirmedAt, EverConfirmed: s.everConfirmed, AppliedAt: s.appliedAt,
		Unavailable: s.unavailable, Leader: s.leader, InForce: s.inForce, DrainStarts: s.drainStarts, Members: s.members, LimitsChangedAt: s.limitsChangedAt,
		Suspects: s.viewSuspects, Detached: s.detachment.isDetached,
	})}))
}

// changeSetsSince returns the change sets that follow a version; false if they
// are no longer retained.
func (s *State) changeSetsSince(version uint64) ([]dhcatalog.ChangeSet, bool) {
	return s.history.Since(s.catalog.Version(), version)
}
