package dhcontrol

import (
	"maps"
	"slices"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhconsensus"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// Time constants of a fleet that looks after itself, in milliseconds.
const (
	// joinInterval is the time between two Join messages of a control process.
	joinInterval dhclock.Millis = 500
	// joinTTL is for how long a control process counts as running after a Join.
	joinTTL = 3 * dhclock.Second
	// voterTimeout is the silence after which a voter's vote goes to a learner.
	voterTimeout = 5 * dhclock.Second
	// learnerTimeout is the silence after which a learner is dropped.
	learnerTimeout = 30 * dhclock.Second
	// instanceTimeout is the silence after which an instance's record is removed.
	// Until then its share of the limits' floors stays set aside.
	instanceTimeout = 30 * dhclock.Second
	// automationInterval is the time between two looks at the fleet.
	automationInterval dhclock.Millis = 100
	// editInterval is the least time between two changes that the leader makes to
	// zones and instances, so that each is applied before the next look.
	editInterval dhclock.Millis = 500
)

// joinFallbackEvery lets one Join in so many go to another process than the leader
// that is known, which may be gone.
const joinFallbackEvery = 4

// fleetAuthor is named as the author of changes to zones and instances.
const fleetAuthor = "fleet"

// ManagedOptions are what a fleet that looks after itself starts from.
type ManagedOptions struct {
	// Address is where this process listens for the system's own processes.
	Address string
	// Region is where this process runs.
	Region string
	// Zones are the zones of the deployment.
	Zones []dhcatalog.Zone
	// Votes is how many votes the group grows to.
	Votes int
}

// automation is what the leader knows of control processes that want to be members.
type automation struct {
	options    ManagedOptions
	lastJoin   dhclock.Millis
	lastCheck  dhclock.Millis
	lastEdit   dhclock.Millis
	joinCount  int
	candidates map[string]candidate
}

// candidate is a control process that asks to be a member.
type candidate struct {
	folderID    string
	address     string
	region      string
	lastContact dhclock.Millis
}

func newAutomation(o *ManagedOptions) *automation {
	if o == nil {
		return nil
	}
	return &automation{options: *o, candidates: map[string]candidate{}}
}

// handleJoinRequest notes, at the leader, a control process that asks to be a member.
func (s *State) handleJoinRequest(from dhmessage.Peer, m *dhmessage.Join, out *dheffect.List) {
	v := s.voter
	if v == nil || s.automation == nil {
		return
	}
	if !v.node.IsLeader() {
		out.Add(dheffect.NewSend(dheffect.SendOptions{
			To: from.Name(), Message: dhmessage.NewRedirect(dhmessage.RedirectOptions{Leader: v.node.Leader()}),
		}))
		return
	}
	s.automation.candidates[from.Name()] = candidate{
		folderID: from.Folder(), address: m.Address(), region: m.Region(), lastContact: s.now,
	}
}

// tickAutomation asks to be a member, or at the leader looks after the members,
// zones and instances.
func (s *State) tickAutomation(out *dheffect.List) {
	if s.automation == nil || s.voter == nil {
		return
	}
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

// sendJoinRequest asks the leader to be a member, or one process after the other while
// no leader is known. It is repeated by members too: the answer to it is
// nothing, and the leader learns from it that a data folder was lost.
func (s *State) sendJoinRequest(out *dheffect.List) {
	f := s.automation
	if s.now.Since(f.lastJoin) < joinInterval {
		return
	}
	f.lastJoin = s.now
	to := s.leader()
	names := s.distribution.VoterNames()
	if f.joinCount++; to == "" || to == s.self.Name() || f.joinCount%joinFallbackEvery == 0 {
		others := slices.DeleteFunc(slices.Concat(names, s.proposals.voters), func(n string) bool { return n == s.self.Name() })
		if len(others) == 0 {
			return
		}
		to = others[f.joinCount%len(others)]
	}
	s.sendJoinRequestTo(to, out)
}

// sendJoinRequestTo asks a process to be a member.
func (s *State) sendJoinRequestTo(to string, out *dheffect.List) {
	out.Add(dheffect.NewSend(dheffect.SendOptions{
		To: to, Message: dhmessage.NewJoin(s.automation.options.Address, s.automation.options.Region),
	}))
}

// manageMembers makes at most one change of members.
func (s *State) manageMembers(out *dheffect.List) {
	n := s.voter.node
	if n.MemberChangePending() {
		return
	}
	next, text, name := s.planMembers()
	if next == nil || n.CheckMembers(next) != nil {
		return
	}
	n.Propose(dhmessage.NewMembers(next), out)
	out.Add(dheffect.NewLog(dheffect.LogOptions{Layer: "fleet", Text: text, Peer: name, Number: uint64(len(next))}))
}

// planMembers returns the next list of members, what it changes and for whom;
// nil if all is well. A folder that was lost costs its vote first; then come
// new processes, the votes of silent ones, missing votes, and silent learners.
func (s *State) planMembers() (next []dhmessage.Voter, text, name string) {
	members := s.voter.node.Progress()
	for i, m := range members {
		v := m.Voter()
		c, found := s.automation.candidates[v.Peer().Name()]
		if found && v.Peer().Folder() != "" && c.folderID != v.Peer().Folder() && s.isRunning(c) {
			return withReplacement(members, i, dhmessage.NewVoter(dhmessage.NewPeer(v.Peer().Name(), c.folderID), c.address, true)),
				"takes the vote from a lost data folder", v.Peer().Name()
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.automation.candidates)) {
		c := s.automation.candidates[name]
		known := slices.ContainsFunc(members, func(m dhconsensus.MemberProgress) bool { return m.Voter().Peer().Name() == name })
		if !known && s.isRunning(c) {
			return append(votersOf(members), dhmessage.NewVoter(dhmessage.NewPeer(name, c.folderID), c.address, true)), "adds a learner", name
		}
	}
	return s.planVotes(members)
}

func (s *State) isRunning(c candidate) bool { return s.now.Since(c.lastContact) <= joinTTL }

// planVotes moves votes from silent voters to learners that have caught up,
// gives missing votes, and drops learners that are gone.
func (s *State) planVotes(members []dhconsensus.MemberProgress) (next []dhmessage.Voter, text, name string) {
	learner := s.bestLearner(members)
	votes := 0
	for i, m := range members {
		v := m.Voter()
		if v.Learner() {
			continue
		}
		votes++
		if learner >= 0 && s.unresponsive(m, voterTimeout) {
			return withReplacement(members, i, dhmessage.NewVoter(v.Peer(), v.Address(), true)), "takes the vote from a silent voter", v.Peer().Name()
		}
	}
	if learner >= 0 && votes < s.automation.options.Votes {
		v := members[learner].Voter()
		return withReplacement(members, learner, dhmessage.NewVoter(v.Peer(), v.Address(), false)), "gives a learner a vote", v.Peer().Name()
	}
	for i, m := range members {
		if m.Voter().Learner() && s.unresponsive(m, learnerTimeout) {
			return slices.Delete(votersOf(members), i, i+1), "drops a learner that is gone", m.Voter().Peer().Name()
		}
	}
	return nil, "", ""
}

// unresponsive tells whether a member hasn't answered this leader for a span.
func (s *State) unresponsive(m dhconsensus.MemberProgress, span dhclock.Millis) bool {
	if m.Voter().Peer().Name() == s.self.Name() {
		return false
	}
	return s.now.Since(s.voter.node.ElectedAt()) > span && (!m.HasResponded() || m.SinceLastContact() > span)
}

// bestLearner returns the learner that has caught up and whose region has the
// fewest votes, or -1.
func (s *State) bestLearner(members []dhconsensus.MemberProgress) int {
	votes := map[string]int{}
	for _, m := range members {
		if !m.Voter().Learner() {
			votes[s.regionOf(m.Voter())]++
		}
	}
	best := -1
	for i, m := range members {
		v := m.Voter()
		if !v.Learner() || !m.HasResponded() || m.SinceLastContact() > joinTTL || m.FolderID() != v.Peer().Folder() || m.MatchIndex() < s.voter.node.CommitIndex() {
			continue
		}
		if best < 0 || votes[s.regionOf(v)] < votes[s.regionOf(members[best].Voter())] {
			best = i
		}
	}
	return best
}

// regionOf returns the region in which a member runs, as it told this leader.
func (s *State) regionOf(v dhmessage.Voter) string {
	if v.Peer().Name() == s.self.Name() {
		return s.automation.options.Region
	}
	return s.automation.candidates[v.Peer().Name()].region
}

func votersOf(members []dhconsensus.MemberProgress) []dhmessage.Voter {
	list := make([]dhmessage.Voter, 0, len(members)+1)
	for _, m := range members {
		list = append(list, m.Voter())
	}
	return list
}

func withReplacement(members []dhconsensus.MemberProgress, i int, v dhmessage.Voter) []dhmessage.Voter {
	list := votersOf(members)
	list[i] = v
	return list
}

// manageInstances adds the zones of the deployment and the instances that
// introduce themselves, and removes instances that are gone.
func (s *State) manageInstances(out *dheffect.List) {
	if _, sure := s.voter.node.ConfirmedAt(); !sure || s.now.Since(s.automation.lastEdit) < editInterval {
		return
	}
	c := s.distribution.Catalog()
	var puts []dhcatalog.Object
	for _, z := range s.automation.options.Zones {
		if old, found := c.Zone(z.Name()); !found || old != z {
			puts = append(puts, z)
		}
	}
	for _, i := range s.distribution.UnregisteredInstances(s.now) {
		puts = append(puts, i)
	}
	var deletes []dhcatalog.Ref
	for _, name := range s.distribution.UnresponsiveInstances(s.now, instanceTimeout) {
		deletes = append(deletes, dhcatalog.NewRef(dhcatalog.KindInstance, name))
	}
	if len(puts)+len(deletes) == 0 {
		return
	}
	s.automation.lastEdit = s.now
	s.proposeUnattended(dhmessage.NewEdit(fleetAuthor, puts, deletes), out)
}
