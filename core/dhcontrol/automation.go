package dhcontrol

import (
	"cmp"
	"maps"
	"slices"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhconsensus"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// Time constants of the automatic management of members, zones and instances,
// in milliseconds.
const (
	// joinTTL is how long a control process counts as running after its last
	// join request.
	joinTTL = 3 * dhclock.Second
	// defaultReplacementTime is the default of ManagedOptions.ReplacementTime.
	defaultReplacementTime = 10 * dhclock.Second
	// contactTimeout is the time without a response within which a voter counts as in contact.
	contactTimeout = dhclock.Second
	// punctualTimeout is the time without a response of a member, or of a majority, that answers
	// each heartbeat.
	punctualTimeout = dhconsensus.ElectionTimeout
	// learnerTimeout is the time without a response after which a learner that sends no join
	// requests is removed.
	learnerTimeout = 30 * dhclock.Second
	// instanceRemovalTimeout is the time without an acknowledgement after which an
	// instance's record is removed. Until then its share of the limits' floors
	// stays reserved.
	instanceRemovalTimeout = 30 * dhclock.Second
	// automationInterval is the time between two checks of members, zones and
	// instances.
	automationInterval dhclock.Millis = 100
	// editInterval is the least time between two changes that the leader makes
	// to zones and instances, so that each change is applied before the next
	// check.
	editInterval dhclock.Millis = 500
)

// automationAuthor is the recorded author of automatic changes to zones and
// instances.
const automationAuthor = "fleet"

// ManagedOptions configure the automatic management of members, zones and
// instances.
type ManagedOptions struct {
	// Address is the address on which this process listens for peers.
	Address string
	// Region is the region of this process.
	Region string
	// Zones are the zones of the deployment.
	Zones []dhcatalog.Zone
	// Votes is the number of voters up to which learners are promoted, at least one.
	Votes int
	// ReplacementTime is the time after which a control process that was lost and has a
	// successor doesn't count as lost any more, so that the next one may be lost; 0 stands
	// for 10 s. The votes of lost processes move within it.
	ReplacementTime dhclock.Millis `journal:"ReplacementTime,omitZero"`
}

// voterTimeout returns the time without a response after which a voter is demoted, so that
// a learner can take its place. The changes of members, and the election of a leader before
// them, need the other half of the replacement time.
func (o ManagedOptions) voterTimeout() dhclock.Millis {
	return cmp.Or(o.ReplacementTime, defaultReplacementTime) / 2
}

// automation is the state of a control process that joins the consensus group
// by itself and, as leader, manages members, zones and instances.
type automation struct {
	options    ManagedOptions
	zone       string
	lastJoin   dhclock.Millis
	lastCheck  dhclock.Millis
	lastEdit   dhclock.Millis
	joinCount  int
	nextTarget int    // round-robin position in joinTargets
	lastAsked  string // process that got the last join request
	isLeaving  bool   // this process is about to stop
	candidates map[string]candidate
	// referred names the members of the consensus group as another process named them.
	referred []string
	// isMember is set from when this process logs that it is a member that hears from a leader
	// until it logs that it isn't. lastMember is when it last was, or when it started, and
	// joinLoggedAt when it last logged that it isn't.
	isMember     bool
	lastMember   dhclock.Millis
	joinLoggedAt dhclock.Millis
	// invalid are the objects that the leader left out and logged.
	invalid map[dhcatalog.Ref]bool
}

func newAutomation(o *ManagedOptions, zone string, now dhclock.Millis) *automation {
	if o == nil {
		return nil
	}
	return &automation{
		options: *o, zone: zone, candidates: map[string]candidate{}, invalid: map[dhcatalog.Ref]bool{},
		lastMember: now, joinLoggedAt: now - joinLogInterval,
	}
}

// tickAutomation sends join requests, or at the leader manages members, zones
// and instances.
func (s *State) tickAutomation(out *dheffect.List) {
	if s.automation == nil || s.voter == nil {
		return
	}
	s.logMembership(out)
	if !s.voter.node.IsLeader() {
		s.sendJoinRequest(out)
		return
	}
	if s.now.Since(s.automation.lastCheck) < automationInterval {
		return
	}
	s.automation.lastCheck = s.now
	s.manageMembers(out)
	s.manageInstances(out)
}

// manageMembers proposes at most one change of members. A leader that has just lost its majority
// doesn't know yet who else is lost, and its change would stay pending.
func (s *State) manageMembers(out *dheffect.List) {
	n := s.voter.node
	if confirmedAt, ok := n.ConfirmedAt(); !ok || s.now.Since(confirmedAt) > punctualTimeout || n.MemberChangePending() {
		return
	}
	next, text, name := s.planMembers()
	if next == nil || n.CheckMembers(next) != nil {
		return
	}
	n.Propose(dhmessage.NewMembers(next), out)
	out.Add(dheffect.NewLog(dheffect.LogOptions{Layer: "fleet", Text: text, Peer: name, Number: uint64(len(next))}))
}

// planMembers returns the next list of members, a description of the change and
// the name of the member that it concerns; nil if no change is needed. In order
// of precedence: a voter whose data folder was lost becomes a learner, all new
// processes become learners and the reports of members are recorded, a vote moves
// as planVote decides, and unresponsive learners are removed.
func (s *State) planMembers() (next []dhmessage.Member, text, name string) {
	members := s.voter.node.MemberProgress()
	for i, m := range members {
		member := m.Member()
		c, found := s.automation.candidates[member.Peer().Name()]
		if found && member.Peer().FolderID() != "" && c.folderID != member.Peer().FolderID() && s.isRunning(c) {
			return withReplacement(members, i, c.learner(member.Peer().Name())),
				"takes the vote from a lost data folder", member.Peer().Name()
		}
	}
	next, name = s.withNewLearners(s.withReports(membersOf(members)))
	switch {
	case name != "":
		return next, "adds learners", name
	case !slices.Equal(next, membersOf(members)):
		return next, "records the zones of members and which are about to stop", s.self.Name()
	default:
		return s.planVotes(members)
	}
}

// withReports returns the members with the zones that their join requests stated, and whether
// they are about to stop. The next leader knows from the list which members must not get a vote.
func (s *State) withReports(members []dhmessage.Member) []dhmessage.Member {
	for i, m := range members {
		c := s.automation.candidates[m.Peer().Name()]
		zone := c.zone
		if m.Peer().Name() == s.self.Name() {
			zone = s.automation.zone
		} else if c.folderID != m.Peer().FolderID() {
			continue
		}
		if zone != "" {
			m = m.WithZone(zone)
		}
		members[i] = m.WithLeaving(s.isLeaving(m))
	}
	return members
}

// withNewLearners returns the members and every running candidate that is none yet, and the
// name of the last one added. Learners don't count for a majority, so a change may add any
// number of them.
func (s *State) withNewLearners(members []dhmessage.Member) (next []dhmessage.Member, added string) {
	isMember := map[string]bool{}
	for _, m := range members {
		isMember[m.Peer().Name()] = true
	}
	for _, name := range slices.Sorted(maps.Keys(s.automation.candidates)) {
		if c := s.automation.candidates[name]; !isMember[name] && s.isRunning(c) && !c.isLeaving {
			members = append(members, c.learner(name))
			added = name
		}
	}
	return members, added
}

// isRunning reports whether a candidate sent a join request within joinTTL.
func (s *State) isRunning(c candidate) bool { return s.now.Since(c.lastContact) <= joinTTL }

// runningCandidate returns the candidate with a member's name and data folder; false if it isn't
// running.
func (s *State) runningCandidate(m dhmessage.Member) (candidate, bool) {
	c, found := s.automation.candidates[m.Peer().Name()]
	return c, found && s.isRunning(c) && c.folderID == m.Peer().FolderID()
}

// isLeaving reports whether a member has announced that it is about to stop, and hasn't started
// again since.
func (s *State) isLeaving(m dhmessage.Member) bool {
	if m.Peer().Name() == s.self.Name() {
		return s.automation.isLeaving
	}
	if c, isRunning := s.runningCandidate(m); isRunning {
		return c.isLeaving
	}
	return m.Leaving()
}

// planVotes plans the next change of a single vote, or removes an unresponsive learner.
func (s *State) planVotes(members []dhconsensus.MemberProgress) (next []dhmessage.Member, text, name string) {
	seats := make([]seat, 0, len(members))
	for _, m := range members {
		seats = append(seats, s.seatOf(m))
	}
	if i, change := planVote(seats, s.automation.options.Votes); change != keepVotes {
		member := members[i].Member()
		return withReplacement(members, i, member.WithLearner(!member.Learner())), string(change), member.Peer().Name()
	}
	for i, m := range members {
		// A running process would be added again as soon as it is removed.
		_, isRunning := s.runningCandidate(m.Member())
		if m.Member().Learner() && !isRunning && s.unresponsive(m, learnerTimeout) {
			return slices.Delete(membersOf(members), i, i+1), "drops a learner that is gone", m.Member().Peer().Name()
		}
	}
	return nil, "", ""
}

// unresponsive reports whether a member hasn't responded to this leader within a timeout. A member
// that has never responded to it was silent during its election too: half of the timeout is enough.
func (s *State) unresponsive(m dhconsensus.MemberProgress, timeout dhclock.Millis) bool {
	switch {
	case m.Member().Peer().Name() == s.self.Name():
		return false
	case m.HasResponded():
		return !m.RespondedWithin(timeout)
	default:
		return s.now.Since(s.voter.node.ElectedAt()) > timeout/2
	}
}

// seatOf returns what the leader knows of a member that matters for its vote.
func (s *State) seatOf(m dhconsensus.MemberProgress) seat {
	member := m.Member()
	if member.Peer().Name() == s.self.Name() {
		return seat{
			region: s.automation.options.Region, zone: s.automation.zone, isVoter: !member.Learner(),
			isLeader: true, isInContact: true, isLeaving: s.automation.isLeaving,
		}
	}
	isInContact := m.RespondedWithin(contactTimeout)
	return seat{
		region:      s.regionOf(member),
		zone:        member.Zone(),
		isVoter:     !member.Learner(),
		isReady:     isInContact && m.FolderID() == member.Peer().FolderID() && s.hasCaughtUp(m.MatchIndex()),
		isSilent:    s.unresponsive(m, s.automation.options.voterTimeout()),
		isInContact: isInContact,
		isPunctual:  m.RespondedWithin(punctualTimeout),
		isLeaving:   s.isLeaving(member),
	}
}

// hasCaughtUp reports whether a member that has synced the log up to an index lacks no committed
// entry, or only such that may be on their way. While entries commit all the time, a member that is
// further away than a majority always lacks some.
func (s *State) hasCaughtUp(index uint64) bool {
	n := s.voter.node
	if index >= n.CommitIndex() {
		return true
	}
	missing, found := n.Entry(index + 1)
	return found && index > 0 && n.LogTime().Since(missing.LogTime()) <= contactTimeout
}

// regionOf returns the region of a member's zone, or until that is recorded the one that its last
// join request to this leader stated.
func (s *State) regionOf(member dhmessage.Member) string {
	return cmp.Or(s.distribution.Catalog().RegionOf(member.Zone()), s.automation.candidates[member.Peer().Name()].region)
}

func membersOf(members []dhconsensus.MemberProgress) []dhmessage.Member {
	list := make([]dhmessage.Member, 0, len(members)+1)
	for _, m := range members {
		list = append(list, m.Member())
	}
	return list
}

func withReplacement(members []dhconsensus.MemberProgress, i int, replacement dhmessage.Member) []dhmessage.Member {
	list := membersOf(members)
	list[i] = replacement
	return list
}

// manageInstances adds the zones of the deployment and the instances that
// advertise a record that the configuration lacks, and removes unresponsive
// instances.
func (s *State) manageInstances(out *dheffect.List) {
	if _, confirmed := s.voter.node.ConfirmedAt(); !confirmed || s.now.Since(s.automation.lastEdit) < editInterval {
		return
	}
	puts := s.planRecords(out)
	var deletes []dhcatalog.Ref
	for _, name := range s.distribution.UnresponsiveInstances(s.now, instanceRemovalTimeout) {
		deletes = append(deletes, dhcatalog.NewRef(dhcatalog.KindInstance, name))
	}
	if len(puts)+len(deletes) == 0 {
		return
	}
	s.automation.lastEdit = s.now
	s.proposeUnattended(dhmessage.NewEdit(automationAuthor, puts, deletes), out)
}

// logInvalid logs once that an object can't be added.
func (a *automation) logInvalid(o dhcatalog.Object, out *dheffect.List) {
	if a.invalid[o.Ref()] {
		return
	}
	a.invalid[o.Ref()] = true
	out.Add(dheffect.NewLog(dheffect.LogOptions{Layer: "fleet", Text: "leaves out an object with an invalid field or an unknown zone", Peer: o.Ref().String()}))
}

// planRecords returns the zones and instances to add or update. It leaves out those that the
// configuration can't hold: with one of them the whole edit would be refused.
func (s *State) planRecords(out *dheffect.List) []dhcatalog.Object {
	c := s.distribution.Catalog()
	zones := map[string]bool{}
	for _, z := range c.Zones() {
		zones[z.Name()] = true
	}
	var puts []dhcatalog.Object
	for _, z := range s.automation.options.Zones {
		if old, found := c.Zone(z.Name()); found && old == z {
			continue
		}
		if dhcatalog.CheckObjects(z) != nil {
			s.automation.logInvalid(z, out)
			continue
		}
		zones[z.Name()] = true
		puts = append(puts, z)
	}
	if s.voter.isForming(s.now) {
		return puts
	}
	for _, i := range s.distribution.UnrecordedInstances(s.now) {
		if dhcatalog.CheckObjects(i) != nil || !zones[i.Zone()] {
			s.automation.logInvalid(i, out)
			continue
		}
		puts = append(puts, i)
	}
	return puts
}
