// Package dhspread carries the configuration from the leader to every process
// and back the word of who has which version.
//
// A process polls one parent: an instance of its zone, or a voter. The answer
// brings the change sets that it lacks and the age of the proof that the
// configuration is current. Ages are added up from the polls' own clocks, so
// no two clocks are compared. When the version rises a process tells its
// children at once. Versions never go back.
package dhspread

import (
	"maps"
	"slices"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhledger"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhview"
)

// Time constants of the spread, in milliseconds.
const (
	// pollInterval is the time between two polls of the parent in a small zone.
	// Each instance beyond smallZone adds pollSpread, up to pollMost, so that
	// the load of a zone's relay stays bounded.
	pollInterval     dhclock.Millis = 400
	pollIntervalStep dhclock.Millis = 25
	maxPollInterval  dhclock.Millis = 800
	// startupPollInterval is the time between two polls of a process whose
	// configuration was never confirmed.
	startupPollInterval dhclock.Millis = 100
	// ackTTL is for how long an acknowledgement is passed on.
	ackTTL dhclock.Millis = 1800
	// ackInterval is the least time between two polls that pass on news of
	// acknowledgements.
	ackInterval dhclock.Millis = 60
	// parentTimeout is the silence after which another parent is tried.
	parentTimeout dhclock.Millis = 900
	// maxConfirmationAge is how old the proof of being current may grow before another
	// parent is tried, although the present one answers.
	maxConfirmationAge dhclock.Millis = 1200
	// preferredParentRetryInterval is after how long a better parent is tried again.
	preferredParentRetryInterval dhclock.Millis = 10_000
	// childTimeout is for how long a child that doesn't poll counts as one.
	childTimeout dhclock.Millis = 2500
	// instanceTimeout is the silence after which an instance counts as gone.
	instanceTimeout dhclock.Millis = 2500
)

// smallZone is how many instances of a zone poll at the shortest interval.
const smallZone = 8

// maxHistory is how many change sets a process keeps for its children.
const maxHistory = 512

// Options are what a process's spread starts from.
type Options struct {
	Self   string
	Zone   string
	Voters []string
	// IsVoter tells whether the process is a voter itself.
	IsVoter bool
	// Advertised is the instance as it runs, which the leader adds to the
	// configuration; nil where operators declare instances.
	Advertised *dhcatalog.Instance
	Now        dhclock.Millis
}

// State is one process's part in the spread.
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
	// advertised is the instance as it runs; nil where operators declare it.
	advertised *dhcatalog.Instance

	catalog       *dhcatalog.Catalog
	history       []dhmessage.Accepted
	appliedAt     dhclock.Millis
	confirmedAt   dhclock.Millis
	everConfirmed bool
	unavailable   []dhmessage.Away
	inForce       uint64
	members       []dhmessage.Voter
	drainStarts   map[string]dhclock.Millis
	// limitsChangedAt is when limits, or the instances that share them, last changed.
	limitsChangedAt dhclock.Millis

	parent          parent
	children        map[string]*child
	reports         map[string]*report
	hasNewAcks      bool // an acknowledgement came that the parent hasn't heard
	viewChanged     bool
	versionAdvanced bool
}

// report is what an instance last acknowledged, directly or through others.
type report struct {
	ack         dhmessage.Ack
	lastContact dhclock.Millis
}

// New returns the state of a process that knows no configuration.
func New(o Options) *State {
	return &State{
		self: o.Self, zone: o.Zone, configuredVoters: o.Voters, isVoter: o.IsVoter, advertised: o.Advertised,
		catalog: dhcatalog.New(), appliedAt: o.Now, limitsChangedAt: o.Now,
		children: map[string]*child{}, reports: map[string]*report{},
		parent: parent{selectedAt: o.Now, oldestUnanswered: o.Now}, viewChanged: true,
	}
}

// Catalog returns the configuration in force here.
func (s *State) Catalog() *dhcatalog.Catalog { return s.catalog }

// History returns the newest change sets, oldest first. The caller must not
// change the slice.
func (s *State) History() []dhmessage.Accepted { return s.history }

// Leader returns the voter that leads, or "" if unknown.
func (s *State) Leader() string { return s.leader }

// ConfirmedAt returns a time at which the configuration was certainly current;
// false if there is none.
func (s *State) ConfirmedAt() (dhclock.Millis, bool) { return s.confirmedAt, s.everConfirmed }

// SetLeader notes which voter leads.
func (s *State) SetLeader(name string) {
	if name != s.leader {
		s.leader, s.viewChanged = name, true
	}
}

// SetLeading notes whether this process leads. A leader knows of no instance at
// first and waits before it takes their silence for absence.
func (s *State) SetLeading(leads bool, now dhclock.Millis) {
	s.isLeader, s.leadershipChangedAt = leads, now
	s.reports = map[string]*report{}
	s.parent = parent{selectedAt: now, oldestUnanswered: now}
}

// StartLeaving notes that this process is about to stop and says so at once.
func (s *State) StartLeaving() {
	s.leaving = true
	s.PollNow()
}

// RecordConfirmation notes that the configuration was current at a time.
func (s *State) RecordConfirmation(at dhclock.Millis) {
	if !s.everConfirmed || at > s.confirmedAt {
		s.confirmedAt, s.everConfirmed, s.viewChanged = at, true, true
	}
}

// SetCatalog takes a newer configuration from the ledger.
func (s *State) SetCatalog(now dhclock.Millis, c *dhcatalog.Catalog, history []dhmessage.Accepted) {
	if c.Version() <= s.catalog.Version() {
		return
	}
	s.catalog, s.appliedAt = c, now
	s.history = history
	s.viewChanged, s.versionAdvanced = true, true
}

// SetLimitsChanged notes when limits, or the instances that share them, last changed.
func (s *State) SetLimitsChanged(at dhclock.Millis) {
	if d := at - s.limitsChangedAt; d < -timestampTolerance || d > timestampTolerance {
		s.limitsChangedAt, s.viewChanged = at, true
	}
}

// SetInForce notes the newest version that is in force everywhere.
func (s *State) SetInForce(version uint64) {
	if version > s.inForce {
		s.inForce, s.viewChanged = version, true
	}
}

// SetMembers notes the members of the consensus group.
func (s *State) SetMembers(list []dhmessage.Voter) {
	if !slices.Equal(list, s.members) {
		s.members, s.viewChanged = list, true
	}
}

// VoterNames returns the members of the consensus group, or before they are
// known the voters of the settings.
func (s *State) VoterNames() []string {
	if len(s.members) == 0 {
		return s.configuredVoters
	}
	var list []string
	for _, v := range s.members {
		list = append(list, v.Peer().Name())
	}
	return list
}

// setDrains notes how long ago each drain started. A start that is known is
// kept, so that it doesn't wander with each message.
func (s *State) setDrains(now dhclock.Millis, ages []dhmessage.DrainAge) {
	next := make(map[string]dhclock.Millis, len(ages))
	for _, a := range ages {
		start := now - a.Age()
		if old, found := s.drainStarts[a.Name()]; found && old-start < timestampTolerance && start-old < timestampTolerance {
			start = old
		}
		next[a.Name()] = start
	}
	if !maps.Equal(next, s.drainStarts) {
		s.drainStarts, s.viewChanged = next, true
	}
}

// timestampTolerance is by how much a drain's start may differ between messages, in
// milliseconds.
const timestampTolerance dhclock.Millis = 2000

// applyUpdate takes change sets that follow the own version.
func (s *State) applyUpdate(now dhclock.Millis, full *dhcatalog.Catalog, sets []dhcatalog.ChangeSet) {
	if full != nil && full.Version() > s.catalog.Version() {
		s.catalog, s.appliedAt, s.history = full, now, nil
		s.limitsChangedAt = now
		s.viewChanged, s.versionAdvanced = true, true
	}
	for _, c := range sets {
		if c.Base() != s.catalog.Version() {
			continue
		}
		next, err := s.catalog.Apply(c)
		if err != nil {
			return
		}
		undo := s.catalog.Undo(c)
		s.catalog, s.appliedAt = next, now
		if c.TouchesLimits() {
			s.limitsChangedAt = now
		}
		s.history = append(s.history, dhmessage.NewAccepted(next.Version(), 0, c, undo))
		s.viewChanged, s.versionAdvanced = true, true
	}
	if len(s.history) > 2*maxHistory {
		s.history = slices.Clone(s.history[len(s.history)-maxHistory:])
	}
}

// EndBatch ends a batch of events: children hear of a new version, and a changed
// view is published.
func (s *State) EndBatch(now dhclock.Millis, out *dheffect.List) {
	if s.isLeader {
		s.findUnavailable(now)
	}
	if s.versionAdvanced {
		s.versionAdvanced = false
		s.pushUpdates(now, out)
		s.PollNow()
		s.sendPoll(now, out)
	}
	if !s.viewChanged {
		return
	}
	s.viewChanged = false
	out.Add(dheffect.NewPublish(dheffect.PublishOptions{View: dhview.New(dhview.Options{
		Catalog: s.catalog, Confirmed: s.confirmedAt, Ever: s.everConfirmed, Applied: s.appliedAt,
		Away: s.unavailable, Leader: s.leader, InForce: s.inForce, DrainStarts: s.drainStarts, Voters: s.members, Limited: s.limitsChangedAt,
	})}))
}

// changeSetsSince returns the change sets that follow a version, if they are kept.
func (s *State) changeSetsSince(version uint64) ([]dhcatalog.ChangeSet, bool) {
	return dhledger.SetsSince(s.history, s.catalog.Version(), version)
}
