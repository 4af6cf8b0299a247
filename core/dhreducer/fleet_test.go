package dhreducer

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhcontrol"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// setManagedOptions gives a machine the options of a fleet that looks after itself.
func (n *network) setManagedOptions(m *machine, o *dhcontrol.Options) {
	if m.disk == nil {
		i := dhcatalog.NewInstance(dhcatalog.InstanceOptions{
			Name: m.name, Zone: m.zone, CallerAddress: "10.0.0.1:80", PeerAddress: "10.0.0.1:81",
		})
		o.Advertised = &i
		return
	}
	managed := *n.managed
	managed.Address, managed.Region = m.name+":1", m.zone
	o.Managed = &managed
	o.Consensus.ExternalPromotion = true
}

// newManagedNetwork returns a fleet of control processes of which the first three are
// the seeds, and entry instances. It has just started.
func newManagedNetwork(t fatalReporter, controls int, entries ...string) *network {
	n := newNetwork(t, 3)
	n.managed = &dhcontrol.ManagedOptions{Votes: 5, Zones: []dhcatalog.Zone{
		dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "a1", Region: "a"}),
		dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "b1", Region: "b"}),
	}}
	for i := 3; i < controls; i++ {
		name := fmt.Sprintf("c%d", i+1)
		n.machines = append(n.machines, &machine{name: name, offset: dhclock.Millis(i * 7919), disk: &disk{folder: name + "-folder"}})
	}
	for i, name := range entries {
		n.machines = append(n.machines, &machine{name: name, zone: name[:2], offset: dhclock.Millis(500_000 + i*104_729)})
	}
	for i, m := range n.machines {
		if m.disk != nil {
			m.zone = string(rune('a' + i%3))
		}
		n.start(m)
	}
	return n
}

// votes returns the names and folders that have a vote, as the leader sees it.
func (n *network) votes() []string {
	var list []string
	if l := n.leader(); l != nil {
		for _, v := range n.status(l).Voters() {
			if !v.Learner() {
				list = append(list, v.Name()+"@"+v.FolderID())
			}
		}
	}
	return list
}

func (n *network) declarationNumber(m *machine) uint64 {
	d, _ := m.view.Catalog().Declaration()
	return d.Number()
}

func declareCommand(number uint64) dhmessage.Command {
	return dhmessage.NewDeclare(dhcatalog.NewDeclaration(number, fmt.Sprint(number)), []dhcatalog.Object{
		dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: fmt.Sprint("o", number)}),
	})
}

// TestManagedClusterFormsFromItsSeeds starts six control processes and two entries, of which
// each knows three seeds.
func TestManagedClusterFormsFromItsSeeds(t *testing.T) {
	n := newManagedNetwork(t, 6, "a1-1", "b1-1")
	n.run(4000)
	if v := n.votes(); len(v) != 5 {
		t.Errorf("the votes are %v", v)
	}
	if l := n.leader(); l == nil || len(n.status(l).Voters()) != 6 {
		t.Error("not every control process is a member")
	}
	for _, m := range n.machines {
		c := m.view.Catalog()
		if c.InstanceCount() != 2 || c.RegionOf("b1") != "b" {
			t.Errorf("%s knows %d instances, and b1 in %q", m.name, c.InstanceCount(), c.RegionOf("b1"))
		}
	}
}

// TestAcknowledgedDeclarationSurvivesLossOfTwoDisks wipes every pair of control processes
// right after a declaration was acknowledged, two seconds after the start.
func TestAcknowledgedDeclarationSurvivesLossOfTwoDisks(t *testing.T) {
	for first := range 6 {
		for second := range first {
			n := newManagedNetwork(t, 6, "a1-1")
			n.run(2500)
			ticket := n.propose(n.find("c1"), declareCommand(7))
			for range 100 {
				if _, answered := n.replies[ticket]; answered {
					break
				}
				n.run(20)
			}
			if r := n.replies[ticket]; r.Err() != nil || r.Version() == 0 {
				t.Fatalf("not acknowledged: %v", r.Err())
			}
			n.wipe(n.machines[first])
			n.wipe(n.machines[second])
			n.run(12_000)
			for _, m := range n.machines {
				if n.declarationNumber(m) != 7 {
					t.Errorf("c%d and c%d wiped: %s has %d", first+1, second+1, m.name, n.declarationNumber(m))
				}
			}
			for _, lost := range []int{first, second} {
				old := fmt.Sprintf("c%d@c%d-folder", lost+1, lost+1)
				if v := n.votes(); len(v) != 5 || slices.Contains(v, old) {
					t.Errorf("c%d and c%d wiped: the votes are %v", first+1, second+1, v)
				}
			}
		}
	}
}

// TestVoteOfAnUnresponsiveVoterMoves stops a voter for good.
func TestVoteOfAnUnresponsiveVoterMoves(t *testing.T) {
	n := newManagedNetwork(t, 6)
	n.run(4000)
	gone := n.find("c2")
	if gone == n.leader() {
		gone = n.find("c3")
	}
	n.stop(gone)
	n.run(15_000)
	v := n.votes()
	if len(v) != 5 || slices.Contains(v, gone.name+"@"+gone.disk.folder) {
		t.Errorf("the votes are %v without %s", v, gone.name)
	}
}

// TestBlankDataFoldersNeverFormACluster starts a fleet whose seeds are all blank: nobody
// may lead it.
func TestBlankDataFoldersNeverFormACluster(t *testing.T) {
	n := newManagedNetwork(t, 4)
	n.run(3000)
	for _, m := range n.machines {
		n.wipe(m)
	}
	n.run(10_000)
	if l := n.leader(); l != nil {
		t.Errorf("%s leads a group of blank folders", l.name)
	}
}

// checked is a word of an upstream and the ticket of its answer.
func (n *network) sendHeartbeat(m *machine, u dhcatalog.UpstreamOptions) uint64 {
	n.lastCorrelationID++
	n.handle(m, dhevent.NewUpstreamHeartbeatReceived(n.clock(m), dhevent.UpstreamHeartbeatReceivedOptions{
		CorrelationID: n.lastCorrelationID, Upstream: dhcatalog.NewUpstream(u),
	}))
	return n.lastCorrelationID
}

func upstreamRecord(name string, state dhcatalog.UpstreamState) dhcatalog.UpstreamOptions {
	return dhcatalog.UpstreamOptions{Name: name, Service: "s", Address: "10.0.1.1:80", Zone: "a1", Slots: 4, Incarnation: 1, State: state}
}

// TestRegistrationsAreBatchedIntoFewVersions registers a large fleet at once. The log
// and every instance would otherwise have a version for each upstream.
func TestRegistrationsAreBatchedIntoFewVersions(t *testing.T) {
	const upstreams, mostChanges = 300, 40
	n := newManagedNetwork(t, 3, "a1-1")
	n.run(5000)
	follower := n.machines[1]
	before := n.status(n.leader()).Version()
	for i := range upstreams {
		word := upstreamRecord(fmt.Sprint("u", i), dhcatalog.UpstreamReady)
		word.Address = fmt.Sprint("10.0.1.1:", 1000+i)
		n.sendHeartbeat(follower, word)
		if i%20 == 0 {
			n.run(10)
		}
	}
	n.run(1000)
	if got := n.status(n.leader()).Version() - before; got > mostChanges {
		t.Errorf("%d registrations made %d changes, at most %d expected", upstreams, got, mostChanges)
	}
	known := 0
	for i := range upstreams {
		if n.find("a1-1").view.Catalog().Get(dhcatalog.NewRef(dhcatalog.KindUpstream, fmt.Sprint("u", i))) != nil {
			known++
		}
	}
	if known != upstreams {
		t.Errorf("the entry instance knows %d of %d upstreams", known, upstreams)
	}
}

// TestUnresponsiveUpstreamIsRemoved checks in for a while at a process that doesn't
// lead, and then no more. What is checked in stays registered.
func TestUnresponsiveUpstreamIsRemoved(t *testing.T) {
	n := newManagedNetwork(t, 4, "a1-1")
	n.run(3000)
	follower := n.find("c1")
	if follower == n.leader() {
		follower = n.find("c2")
	}
	entry := n.find("a1-1")
	for range 20 {
		n.sendHeartbeat(follower, upstreamRecord("u", dhcatalog.UpstreamReady))
		n.run(1500)
		if len(entry.view.Catalog().UpstreamsOf("s")) != 1 {
			t.Fatal("an upstream that checks in isn't registered")
		}
	}
	n.run(12_000)
	if len(entry.view.Catalog().UpstreamsOf("s")) != 0 {
		t.Error("a silent upstream stays registered")
	}
}

// TestNewUpstreamIsNotRemovedBeforeTheLeaderGetsItsHeartbeat checks in once at a process that doesn't lead, at any time
// between two looks of the leader: what is registered isn't taken for silent
// before the leader has heard of it.
func TestNewUpstreamIsNotRemovedBeforeTheLeaderGetsItsHeartbeat(t *testing.T) {
	n := newManagedNetwork(t, 4, "a1-1")
	n.run(12_000)
	follower := n.find("c1")
	if follower == n.leader() {
		follower = n.find("c2")
	}
	entry := n.find("a1-1")
	for i := range 20 {
		name := fmt.Sprint("u", i)
		word := upstreamRecord(name, dhcatalog.UpstreamReady)
		word.Address = fmt.Sprint("10.0.1.1:", 1000+i)
		n.sendHeartbeat(follower, word)
		registered := false
		for range 23 {
			n.run(50)
			found := entry.view.Catalog().Get(dhcatalog.NewRef(dhcatalog.KindUpstream, name)) != nil
			if registered && !found {
				t.Fatalf("%s was removed within a second of its registration", name)
			}
			registered = found
		}
		if !registered {
			t.Errorf("%s isn't registered", name)
		}
	}
}

// faultSearch is a search over faults. It remembers what was acknowledged.
type faultSearch struct {
	*network
	lastNumber      uint64
	pendingDeclares map[uint64]uint64 // number by ticket
	pendingDrains   map[uint64]string // upstream by ticket
	acknowledged    uint64
	drained         map[string]bool
	wipedDisks      int
	lastUpstream    int
}

// recordReplies takes the answers that came.
func (f *faultSearch) recordReplies() {
	for ticket, number := range f.pendingDeclares {
		if r, found := f.replies[ticket]; found && !r.OutcomeUnknown() && r.Err() == nil {
			f.acknowledged = max(f.acknowledged, number)
		}
	}
	for ticket, name := range f.pendingDrains {
		if r, found := f.replies[ticket]; found && !r.OutcomeUnknown() && r.Err() == nil {
			f.drained[name] = true
		}
	}
}

// describeControl tells who is a member and how far each process is.
func (n *network) describeControl() string {
	text := ""
	for _, m := range n.machines[:6] {
		s := n.status(m)
		text += fmt.Sprintf("%s@%s leads %v term %d commit %d;", m.name, m.disk.folder, s.IsLeader(), s.Term(), s.CommitIndex())
		if s.IsLeader() {
			for _, v := range s.Voters() {
				text += fmt.Sprintf(" [%s@%s learner %v lag %d silent %d answers %s]", v.Name(), v.FolderID(), v.Learner(), v.Lag(), v.SinceLastContact(), v.RespondingFolderID())
			}
		}
	}
	return text
}

// check lets the fleet recover, and looks for all that was acknowledged.
func (f *faultSearch) check(t *rapid.T) {
	f.recordReplies()
	f.heal()
	f.run(8000)
	for _, m := range f.machines {
		if m.view == nil || f.declarationNumber(m) < f.acknowledged {
			t.Fatalf("%s has declaration %d, acknowledged is %d; %s", m.name, f.declarationNumber(m), f.acknowledged, f.describeControl())
		}
		for name := range f.drained {
			u, found := m.view.Catalog().Get(dhcatalog.NewRef(dhcatalog.KindUpstream, name)).(dhcatalog.Upstream)
			if found && u.State() == dhcatalog.UpstreamReady {
				t.Fatalf("%s: upstream %s is ready after its draining was acknowledged", m.name, name)
			}
		}
	}
	if v := f.votes(); len(v) != 5 {
		t.Fatalf("the votes are %v", v)
	}
}

// TestAcknowledgementsSurviveFaults searches for a lost acknowledgement under cuts, freezes,
// kills of all and up to two lost disks at a time.
func TestAcknowledgementsSurviveFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &faultSearch{
			network: newManagedNetwork(t, 6, "a1-1", "b1-1"), pendingDeclares: map[uint64]uint64{}, pendingDrains: map[uint64]string{}, drained: map[string]bool{},
		}
		f.run(4000)
		actions := f.actions()
		running := func(t *rapid.T) *machine {
			m := rapid.SampledFrom(f.machines[:6]).Draw(t, "control")
			if m.state == nil || m.frozen {
				t.Skip("it doesn't run")
			}
			return m
		}
		actions["declare"] = func(t *rapid.T) {
			f.lastNumber += uint64(rapid.IntRange(1, 3).Draw(t, "step"))
			f.pendingDeclares[f.propose(running(t), declareCommand(f.lastNumber))] = f.lastNumber
		}
		actions["drain"] = func(t *rapid.T) {
			m := running(t)
			f.lastUpstream++
			name := fmt.Sprint("u", f.lastUpstream)
			f.sendHeartbeat(m, upstreamRecord(name, dhcatalog.UpstreamReady))
			f.run(200)
			if m.state == nil || m.frozen {
				return
			}
			f.pendingDrains[f.sendHeartbeat(m, upstreamRecord(name, dhcatalog.UpstreamDraining))] = name
		}
		actions["wipe"] = func(t *rapid.T) {
			if f.wipedDisks >= 2 {
				// The fleet has had time to repair itself.
				f.recordReplies()
				f.heal()
				f.run(8000)
				f.wipedDisks = 0
			}
			f.recordReplies()
			f.wipedDisks++
			f.wipe(rapid.SampledFrom(f.machines[:6]).Draw(t, "control"))
		}
		actions["killAll"] = func(*rapid.T) {
			for _, m := range f.machines {
				f.stop(m)
			}
			for _, m := range f.machines {
				f.start(m)
			}
		}
		actions["note"] = func(*rapid.T) { f.recordReplies() }
		t.Repeat(actions)
		f.check(t)
	})
}

// TestVoterAddressesAreAvailableBeforeElection restarts every control process and looks at
// what each knows by itself: it must reach the other voters to elect a leader.
func TestVoterAddressesAreAvailableBeforeElection(t *testing.T) {
	n := newManagedNetwork(t, 6)
	n.run(4000)
	for _, m := range n.machines {
		n.stop(m)
		n.start(m)
		n.tick(20)
		addresses := map[string]bool{}
		for _, v := range m.view.Voters() {
			addresses[v.Address()] = true
		}
		if len(addresses) != 6 {
			t.Errorf("%s knows the addresses %v", m.name, addresses)
		}
		n.packets = nil
	}
}
