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
	pollInterval dhclock.Millis = 400
	pollSpread   dhclock.Millis = 25
	pollMost     dhclock.Millis = 800
	// eagerInterval is the time between two polls of a process whose
	// configuration was never confirmed.
	eagerInterval dhclock.Millis = 100
	// ackLife is for how long an acknowledgement is passed on.
	ackLife dhclock.Millis = 1800
	// ackInterval is the least time between two polls that pass on news of
	// acknowledgements.
	ackInterval dhclock.Millis = 60
	// parentTimeout is the silence after which another parent is tried.
	parentTimeout dhclock.Millis = 900
	// staleProof is how old the proof of being current may grow before another
	// parent is tried, although the present one answers.
	staleProof dhclock.Millis = 1200
	// returnInterval is after how long a better parent is tried again.
	returnInterval dhclock.Millis = 10_000
	// childLife is for how long a child that doesn't poll counts as one.
	childLife dhclock.Millis = 2500
	// instanceLife is the silence after which an instance counts as gone.
	instanceLife dhclock.Millis = 2500
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
	// Voter tells whether the process is a voter itself.
	Voter bool
	// Introduce is the instance as it runs, which the leader adds to the
	// configuration; nil where operators declare instances.
	Introduce *dhcatalog.Instance
	Now       dhclock.Millis
}

// State is one process's part in the spread.
type State struct {
	self    string
	zone    string
	voters  []string
	voter   bool
	leads   bool
	led     dhclock.Millis
	looked  dhclock.Millis
	leader  string
	leaving bool
	// introduce is the instance as it runs; nil where operators declare it.
	introduce *dhcatalog.Instance

	catalog   *dhcatalog.Catalog
	history   []dhmessage.Accepted
	applied   dhclock.Millis
	confirmed dhclock.Millis
	ever      bool
	away      []dhmessage.Away
	inForce   uint64
	members   []dhmessage.Voter
	drains    map[string]dhclock.Millis
	// limited is when limits, or the instances that share them, last changed.
	limited dhclock.Millis

	parent   parent
	children map[string]*child
	reports  map[string]*report
	ackNews  bool // an acknowledgement came that the parent hasn't heard
	dirty    bool
	grown    bool
}

// report is what an instance last acknowledged, directly or through others.
type report struct {
	ack   dhmessage.Ack
	heard dhclock.Millis
}

// New returns the state of a process that knows no configuration.
func New(o Options) *State {
	return &State{
		self: o.Self, zone: o.Zone, voters: o.Voters, voter: o.Voter, introduce: o.Introduce,
		catalog: dhcatalog.New(), applied: o.Now, limited: o.Now,
		children: map[string]*child{}, reports: map[string]*report{},
		parent: parent{since: o.Now, first: o.Now}, dirty: true,
	}
}

// Catalog returns the configuration in force here.
func (s *State) Catalog() *dhcatalog.Catalog { return s.catalog }

// History returns the newest change sets, oldest first. The caller must not
// change the slice.
func (s *State) History() []dhmessage.Accepted { return s.history }

// Leader returns the voter that leads, or "" if unknown.
func (s *State) Leader() string { return s.leader }

// Confirmed returns a time at which the configuration was certainly current;
// false if there is none.
func (s *State) Confirmed() (dhclock.Millis, bool) { return s.confirmed, s.ever }

// SetLeader notes which voter leads.
func (s *State) SetLeader(name string) {
	if name != s.leader {
		s.leader, s.dirty = name, true
	}
}

// Lead notes whether this process leads. A leader knows of no instance at
// first and waits before it takes their silence for absence.
func (s *State) Lead(leads bool, now dhclock.Millis) {
	s.leads, s.led = leads, now
	s.reports = map[string]*report{}
	s.parent = parent{since: now, first: now}
}

// Leave notes that this process is about to stop and says so at once.
func (s *State) Leave() {
	s.leaving = true
	s.Hurry()
}

// Confirm notes that the configuration was current at a time.
func (s *State) Confirm(at dhclock.Millis) {
	if !s.ever || at > s.confirmed {
		s.confirmed, s.ever, s.dirty = at, true, true
	}
}

// SetCatalog takes a newer configuration from the ledger.
func (s *State) SetCatalog(now dhclock.Millis, c *dhcatalog.Catalog, history []dhmessage.Accepted) {
	if c.Version() <= s.catalog.Version() {
		return
	}
	s.catalog, s.applied = c, now
	s.history = history
	s.dirty, s.grown = true, true
}

// SetLimited notes when limits, or the instances that share them, last changed.
func (s *State) SetLimited(at dhclock.Millis) {
	if d := at - s.limited; d < -driftAllowed || d > driftAllowed {
		s.limited, s.dirty = at, true
	}
}

// SetInForce notes the newest version that is in force everywhere.
func (s *State) SetInForce(version uint64) {
	if version > s.inForce {
		s.inForce, s.dirty = version, true
	}
}

// SetMembers notes the members of the consensus group.
func (s *State) SetMembers(list []dhmessage.Voter) {
	if !slices.Equal(list, s.members) {
		s.members, s.dirty = list, true
	}
}

// VoterNames returns the members of the consensus group, or before they are
// known the voters of the settings.
func (s *State) VoterNames() []string {
	if len(s.members) == 0 {
		return s.voters
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
		if old, found := s.drains[a.Name()]; found && old-start < driftAllowed && start-old < driftAllowed {
			start = old
		}
		next[a.Name()] = start
	}
	if !maps.Equal(next, s.drains) {
		s.drains, s.dirty = next, true
	}
}

// driftAllowed is by how much a drain's start may differ between messages, in
// milliseconds.
const driftAllowed dhclock.Millis = 2000

// apply takes change sets that follow the own version.
func (s *State) apply(now dhclock.Millis, full *dhcatalog.Catalog, sets []dhcatalog.ChangeSet) {
	if full != nil && full.Version() > s.catalog.Version() {
		s.catalog, s.applied, s.history = full, now, nil
		s.limited = now
		s.dirty, s.grown = true, true
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
		s.catalog, s.applied = next, now
		if c.TouchesLimits() {
			s.limited = now
		}
		s.history = append(s.history, dhmessage.NewAccepted(next.Version(), 0, c, undo))
		s.dirty, s.grown = true, true
	}
	if len(s.history) > 2*maxHistory {
		s.history = slices.Clone(s.history[len(s.history)-maxHistory:])
	}
}

// Settle ends a batch of events: children hear of a new version, and a changed
// view is published.
func (s *State) Settle(now dhclock.Millis, out *dheffect.List) {
	if s.leads {
		s.findAway(now)
	}
	if s.grown {
		s.grown = false
		s.push(now, out)
		s.Hurry()
		s.poll(now, out)
	}
	if !s.dirty {
		return
	}
	s.dirty = false
	out.Add(dheffect.NewPublish(dheffect.PublishOptions{View: dhview.New(dhview.Options{
		Catalog: s.catalog, Confirmed: s.confirmed, Ever: s.ever, Applied: s.applied,
		Away: s.away, Leader: s.leader, InForce: s.inForce, DrainStarts: s.drains, Voters: s.members, Limited: s.limited,
	})}))
}

// sets returns the change sets that follow a version, if they are kept.
func (s *State) sets(version uint64) ([]dhcatalog.ChangeSet, bool) {
	return dhledger.SetsSince(s.history, s.catalog.Version(), version)
}
