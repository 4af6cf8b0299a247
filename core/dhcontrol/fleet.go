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
	// joinLife is for how long a control process counts as running after a Join.
	joinLife = 3 * dhclock.Second
	// voterLife is the silence after which a voter's vote goes to a learner.
	voterLife = 5 * dhclock.Second
	// learnerLife is the silence after which a learner is dropped.
	learnerLife = 30 * dhclock.Second
	// instanceLife is the silence after which an instance's record is removed.
	// Until then its share of the limits' floors stays set aside.
	instanceLife = 30 * dhclock.Second
	// fleetInterval is the time between two looks at the fleet.
	fleetInterval dhclock.Millis = 100
	// editInterval is the least time between two changes that the leader makes to
	// zones and instances, so that each is applied before the next look.
	editInterval dhclock.Millis = 500
)

// joinElsewhere lets one Join in so many go to another process than the leader
// that is known, which may be gone.
const joinElsewhere = 4

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

// fleet is what the leader knows of control processes that want to be members.
type fleet struct {
	options    ManagedOptions
	sent       dhclock.Millis
	looked     dhclock.Millis
	edited     dhclock.Millis
	turn       int
	candidates map[string]candidate
}

// candidate is a control process that asks to be a member.
type candidate struct {
	folder  string
	address string
	region  string
	heard   dhclock.Millis
}

func newFleet(o *ManagedOptions) *fleet {
	if o == nil {
		return nil
	}
	return &fleet{options: *o, candidates: map[string]candidate{}}
}

// joined notes, at the leader, a control process that asks to be a member.
func (s *State) joined(from dhmessage.Peer, m *dhmessage.Join, out *dheffect.List) {
	v := s.voter
	if v == nil || s.fleet == nil {
		return
	}
	if !v.node.Leads() {
		out.Add(dheffect.NewSend(dheffect.SendOptions{
			To: from.Name(), Message: dhmessage.NewRedirect(dhmessage.RedirectOptions{Leader: v.node.Leader()}),
		}))
		return
	}
	s.fleet.candidates[from.Name()] = candidate{
		folder: from.Folder(), address: m.Address(), region: m.Region(), heard: s.now,
	}
}

// tickFleet asks to be a member, or at the leader looks after the members,
// zones and instances.
func (s *State) tickFleet(out *dheffect.List) {
	if s.fleet == nil || s.voter == nil {
		return
	}
	if !s.voter.node.Leads() {
		s.sendJoin(out)
		return
	}
	if s.now.Since(s.fleet.looked) < fleetInterval {
		return
	}
	s.fleet.looked = s.now
	s.manageMembers(out)
	s.manageInstances(out)
}

// sendJoin asks the leader to be a member, or one process after the other while
// no leader is known. It is repeated by members too: the answer to it is
// nothing, and the leader learns from it that a data folder was lost.
func (s *State) sendJoin(out *dheffect.List) {
	f := s.fleet
	if s.now.Since(f.sent) < joinInterval {
		return
	}
	f.sent = s.now
	to := s.leader()
	names := s.spread.VoterNames()
	if f.turn++; to == "" || to == s.self.Name() || f.turn%joinElsewhere == 0 {
		others := slices.DeleteFunc(slices.Concat(names, s.proposals.voters), func(n string) bool { return n == s.self.Name() })
		if len(others) == 0 {
			return
		}
		to = others[f.turn%len(others)]
	}
	s.joinAt(to, out)
}

// joinAt asks a process to be a member.
func (s *State) joinAt(to string, out *dheffect.List) {
	out.Add(dheffect.NewSend(dheffect.SendOptions{
		To: to, Message: dhmessage.NewJoin(s.fleet.options.Address, s.fleet.options.Region),
	}))
}

// manageMembers makes at most one change of members.
func (s *State) manageMembers(out *dheffect.List) {
	n := s.voter.node
	if n.Changing() {
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
	members := s.voter.node.Members()
	for i, m := range members {
		v := m.Voter()
		c, found := s.fleet.candidates[v.Peer().Name()]
		if found && v.Peer().Folder() != "" && c.folder != v.Peer().Folder() && s.running(c) {
			return replaced(members, i, dhmessage.NewVoter(dhmessage.NewPeer(v.Peer().Name(), c.folder), c.address, true)),
				"takes the vote from a lost data folder", v.Peer().Name()
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.fleet.candidates)) {
		c := s.fleet.candidates[name]
		known := slices.ContainsFunc(members, func(m dhconsensus.Progress) bool { return m.Voter().Peer().Name() == name })
		if !known && s.running(c) {
			return append(voters(members), dhmessage.NewVoter(dhmessage.NewPeer(name, c.folder), c.address, true)), "adds a learner", name
		}
	}
	return s.planVotes(members)
}

func (s *State) running(c candidate) bool { return s.now.Since(c.heard) <= joinLife }

// planVotes moves votes from silent voters to learners that have caught up,
// gives missing votes, and drops learners that are gone.
func (s *State) planVotes(members []dhconsensus.Progress) (next []dhmessage.Voter, text, name string) {
	learner := s.bestLearner(members)
	votes := 0
	for i, m := range members {
		v := m.Voter()
		if v.Learner() {
			continue
		}
		votes++
		if learner >= 0 && s.silent(m, voterLife) {
			return replaced(members, i, dhmessage.NewVoter(v.Peer(), v.Address(), true)), "takes the vote from a silent voter", v.Peer().Name()
		}
	}
	if learner >= 0 && votes < s.fleet.options.Votes {
		v := members[learner].Voter()
		return replaced(members, learner, dhmessage.NewVoter(v.Peer(), v.Address(), false)), "gives a learner a vote", v.Peer().Name()
	}
	for i, m := range members {
		if m.Voter().Learner() && s.silent(m, learnerLife) {
			return slices.Delete(voters(members), i, i+1), "drops a learner that is gone", m.Voter().Peer().Name()
		}
	}
	return nil, "", ""
}

// silent tells whether a member hasn't answered this leader for a span.
func (s *State) silent(m dhconsensus.Progress, span dhclock.Millis) bool {
	if m.Voter().Peer().Name() == s.self.Name() {
		return false
	}
	return s.now.Since(s.voter.node.Since()) > span && (!m.Heard() || m.Silent() > span)
}

// bestLearner returns the learner that has caught up and whose region has the
// fewest votes, or -1.
func (s *State) bestLearner(members []dhconsensus.Progress) int {
	votes := map[string]int{}
	for _, m := range members {
		if !m.Voter().Learner() {
			votes[s.regionOf(m.Voter())]++
		}
	}
	best := -1
	for i, m := range members {
		v := m.Voter()
		if !v.Learner() || !m.Heard() || m.Silent() > joinLife || m.Folder() != v.Peer().Folder() || m.Match() < s.voter.node.Commit() {
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
		return s.fleet.options.Region
	}
	return s.fleet.candidates[v.Peer().Name()].region
}

func voters(members []dhconsensus.Progress) []dhmessage.Voter {
	list := make([]dhmessage.Voter, 0, len(members)+1)
	for _, m := range members {
		list = append(list, m.Voter())
	}
	return list
}

func replaced(members []dhconsensus.Progress, i int, v dhmessage.Voter) []dhmessage.Voter {
	list := voters(members)
	list[i] = v
	return list
}

// manageInstances adds the zones of the deployment and the instances that
// introduce themselves, and removes instances that are gone.
func (s *State) manageInstances(out *dheffect.List) {
	if _, sure := s.voter.node.Confirmed(); !sure || s.now.Since(s.fleet.edited) < editInterval {
		return
	}
	c := s.spread.Catalog()
	var puts []dhcatalog.Object
	for _, z := range s.fleet.options.Zones {
		if old, found := c.Zone(z.Name()); !found || old != z {
			puts = append(puts, z)
		}
	}
	for _, i := range s.spread.Introductions(s.now) {
		puts = append(puts, i)
	}
	var deletes []dhcatalog.Ref
	for _, name := range s.spread.Silent(s.now, instanceLife) {
		deletes = append(deletes, dhcatalog.NewRef(dhcatalog.KindInstance, name))
	}
	if len(puts)+len(deletes) == 0 {
		return
	}
	s.fleet.edited = s.now
	s.wish(dhmessage.NewEdit(fleetAuthor, puts, deletes), out)
}
