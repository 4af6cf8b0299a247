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

// setManagedOptions sets a machine's options for a managed cluster, in which
// the leader manages the consensus group's members and instances advertise their
// records.
func (n *network) setManagedOptions(m *machine, o *dhcontrol.Options) {
	if m.disk == nil {
		i := dhcatalog.NewInstance(dhcatalog.InstanceOptions{
			Name: m.name, Zone: m.zone, CallerAddress: "10.0.0.1:80", PeerAddress: "10.0.0.1:81",
		})
		o.Advertised = &i
		return
	}
	managed := *n.managed
	managed.Address, managed.Region = m.name+":1", m.zone[:1]
	o.Managed = &managed
	o.Consensus.ExternalPromotion = true
}

// addControls adds control processes beside the seeds, without starting them, up to a number.
func (n *network) addControls(number int) {
	for i := len(n.machines); i < number; i++ {
		name := fmt.Sprintf("c%d", i+1)
		n.machines = append(n.machines, &machine{name: name, offset: dhclock.Millis(i * 7919), disk: &disk{folder: name + "-folder"}})
	}
}

// newManagedNetwork returns a managed cluster that has just started. The first
// three control processes are the seeds.
func newManagedNetwork(t fatalReporter, controls int, entries ...string) *network {
	n := newNetwork(t, 3)
	n.managed = &dhcontrol.ManagedOptions{Votes: 5, Zones: []dhcatalog.Zone{
		dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "a1", Region: "a"}),
		dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "b1", Region: "b"}),
	}}
	n.addControls(controls)
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

// votes returns the members that have a vote in the leader's view, as
// name@folder.
func (n *network) votes() []string {
	var list []string
	if l := n.leader(); l != nil {
		for _, v := range n.status(l).Members() {
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

// TestManagedClusterFormsFromItsSeeds starts six control processes and two entry
// instances that are configured with three seeds only. All must join, with five
// votes, and learn of both instances.
func TestManagedClusterFormsFromItsSeeds(t *testing.T) {
	n := newManagedNetwork(t, 6, "a1-1", "b1-1")
	n.run(4000)
	if v := n.votes(); len(v) != 5 {
		t.Errorf("the votes are %v, want 5", v)
	}
	if l := n.leader(); l == nil || len(n.status(l).Members()) != 6 {
		t.Error("no leader, or not every control process is a member of the consensus group")
	}
	for _, m := range n.machines {
		c := m.view.Catalog()
		if c.InstanceCount() != 2 || c.RegionOf("b1") != "b" {
			t.Errorf("%s has %d instances in its catalog, want 2, and zone b1 in region %q, want b", m.name, c.InstanceCount(), c.RegionOf("b1"))
		}
	}
}

// TestAcknowledgedDeclarationSurvivesLossOfTwoDisks wipes each pair of control
// processes right after a declaration was acknowledged, 2.5 s after the start.
// The declaration must survive, and the lost folders must lose their votes.
func TestAcknowledgedDeclarationSurvivesLossOfTwoDisks(t *testing.T) {
	for first := range 6 {
		for second := range first {
			n := newManagedNetwork(t, 6, "a1-1")
			n.run(2500)
			correlationID := n.propose(n.find("c1"), declareCommand(7))
			for range 100 {
				if _, answered := n.replies[correlationID]; answered {
					break
				}
				n.run(20)
			}
			if r := n.replies[correlationID]; r.Err() != nil || r.Version() == 0 {
				t.Fatalf("the declaration was not acknowledged: %v", r.Err())
			}
			n.wipe(n.machines[first])
			n.wipe(n.machines[second])
			n.run(12_000)
			for _, m := range n.machines {
				if n.declarationNumber(m) != 7 {
					t.Errorf("c%d and c%d wiped: %s has declaration %d, want 7", first+1, second+1, m.name, n.declarationNumber(m))
				}
			}
			for _, lost := range []int{first, second} {
				old := fmt.Sprintf("c%d@c%d-folder", lost+1, lost+1)
				if v := n.votes(); len(v) != 5 || slices.Contains(v, old) {
					t.Errorf("c%d and c%d wiped: the votes are %v, want 5 without the lost folders", first+1, second+1, v)
				}
			}
		}
	}
}

// TestVoteOfAnUnresponsiveVoterMoves stops a voter and does not restart it. Its
// vote must move to another control process.
func TestVoteOfAnUnresponsiveVoterMoves(t *testing.T) {
	n := newManagedNetwork(t, 6)
	n.run(4000)
	stopped := n.find("c2")
	if stopped == n.leader() {
		stopped = n.find("c3")
	}
	n.stop(stopped)
	n.run(15_000)
	v := n.votes()
	if len(v) != 5 || slices.Contains(v, stopped.name+"@"+stopped.disk.folder) {
		t.Errorf("the votes are %v, want 5 without the stopped %s", v, stopped.name)
	}
}

// TestEmptyDataFoldersNeverFormACluster wipes every control process of a running
// cluster, seeds included. No leader may be elected among empty data folders.
func TestEmptyDataFoldersNeverFormACluster(t *testing.T) {
	n := newManagedNetwork(t, 4)
	n.run(3000)
	for _, m := range n.machines {
		n.wipe(m)
	}
	n.run(10_000)
	if l := n.leader(); l != nil {
		t.Errorf("%s leads a consensus group of empty data folders", l.name)
	}
}

// sendHeartbeat sends an upstream's heartbeat to a machine and returns the
// correlation ID of the reply.
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

// TestRegistrationsAreBatchedIntoFewVersions registers 300 upstreams at once.
// Without batching, the log and every instance would process a version for each
// upstream.
func TestRegistrationsAreBatchedIntoFewVersions(t *testing.T) {
	const upstreams, maxChanges = 300, 40
	n := newManagedNetwork(t, 3, "a1-1")
	n.run(5000)
	follower := n.machines[1]
	before := n.status(n.leader()).Version()
	for i := range upstreams {
		record := upstreamRecord(fmt.Sprint("u", i), dhcatalog.UpstreamReady)
		record.Address = fmt.Sprint("10.0.1.1:", 1000+i)
		n.sendHeartbeat(follower, record)
		if i%20 == 0 {
			n.run(10)
		}
	}
	n.run(1000)
	if got := n.status(n.leader()).Version() - before; got > maxChanges {
		t.Errorf("%d registrations created %d versions, want at most %d", upstreams, got, maxChanges)
	}
	registered := 0
	for i := range upstreams {
		if n.find("a1-1").view.Catalog().Get(dhcatalog.NewRef(dhcatalog.KindUpstream, fmt.Sprint("u", i))) != nil {
			registered++
		}
	}
	if registered != upstreams {
		t.Errorf("the entry instance has %d of %d upstreams in its catalog", registered, upstreams)
	}
}

// TestUnresponsiveUpstreamIsRemoved sends an upstream's heartbeats to a follower
// for 30 s and then stops. The upstream must stay registered meanwhile, and be
// removed after the timeout.
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
			t.Fatal("an upstream that sends heartbeats isn't registered")
		}
	}
	n.run(12_000)
	if len(entry.view.Catalog().UpstreamsOf("s")) != 0 {
		t.Error("an unresponsive upstream stays registered")
	}
}

// TestNewUpstreamIsNotRemovedBeforeTheLeaderGetsItsHeartbeat registers upstreams
// at a follower, at different times between two checks of the leader. The leader
// learns of a heartbeat only when the follower reports it, and must not count a
// new upstream as unresponsive before that.
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
		record := upstreamRecord(name, dhcatalog.UpstreamReady)
		record.Address = fmt.Sprint("10.0.1.1:", 1000+i)
		n.sendHeartbeat(follower, record)
		registered := false
		for range 23 {
			n.run(50)
			found := entry.view.Catalog().Get(dhcatalog.NewRef(dhcatalog.KindUpstream, name)) != nil
			if registered && !found {
				t.Fatalf("upstream %s was removed within about a second of its registration", name)
			}
			registered = found
		}
		if !registered {
			t.Errorf("upstream %s isn't registered", name)
		}
	}
}

// faultSearch is a managed cluster under random faults, with a record of the
// declarations and drained upstreams that were acknowledged.
type faultSearch struct {
	*network
	lastNumber      uint64
	pendingDeclares map[uint64]uint64 // declaration number by correlation ID
	pendingDrains   map[uint64]string // upstream by correlation ID
	acknowledged    uint64
	drained         map[string]bool
	wipedDisks      int
	lastUpstream    int
}

// recordReplies records the commands that were acknowledged.
func (f *faultSearch) recordReplies() {
	for correlationID, number := range f.pendingDeclares {
		if r, found := f.replies[correlationID]; found && !r.OutcomeUnknown() && r.Err() == nil {
			f.acknowledged = max(f.acknowledged, number)
		}
	}
	for correlationID, name := range f.pendingDrains {
		if r, found := f.replies[correlationID]; found && !r.OutcomeUnknown() && r.Err() == nil {
			f.drained[name] = true
		}
	}
}

// describeControl returns the members of the consensus group and the progress of
// each running control process.
func (n *network) describeControl() string {
	text := ""
	for _, m := range n.controls() {
		s := n.status(m)
		text += fmt.Sprintf("%s@%s leads %v term %d commit %d;", m.name, m.disk.folder, s.IsLeader(), s.Term(), s.CommitIndex())
		if s.IsLeader() {
			for _, v := range s.Members() {
				text += fmt.Sprintf(" [%s@%s learner %v lag %d last contact %d runs on folder %s]", v.Name(), v.FolderID(), v.Learner(), v.Lag(), v.SinceLastContact(), v.RespondingFolderID())
			}
		}
	}
	return text
}

// check ends all faults, lets the cluster recover and checks that everything that
// was acknowledged is still there.
func (f *faultSearch) check(t *rapid.T) {
	f.recordReplies()
	f.heal()
	f.run(8000)
	for _, m := range f.machines {
		if m.view == nil || f.declarationNumber(m) < f.acknowledged {
			t.Fatalf("%s has declaration %d, but declaration %d was acknowledged; %s", m.name, f.declarationNumber(m), f.acknowledged, f.describeControl())
		}
		for name := range f.drained {
			u, found := m.view.Catalog().Get(dhcatalog.NewRef(dhcatalog.KindUpstream, name)).(dhcatalog.Upstream)
			if found && u.State() == dhcatalog.UpstreamReady {
				t.Fatalf("%s has upstream %s as ready, although its draining was acknowledged", m.name, name)
			}
		}
	}
	if v := f.votes(); len(v) != 5 {
		t.Fatalf("the votes are %v, want 5; %s", v, f.describeControl())
	}
}

// TestAcknowledgementsSurviveFaults checks that acknowledged declarations and
// drains survive cut connections, freezes, a kill of all processes, and the loss
// of up to two disks at a time.
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
				t.Skip("the control process is stopped or frozen")
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
				// Let the cluster restore full redundancy before the next loss.
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
		actions["recordReplies"] = func(*rapid.T) { f.recordReplies() }
		t.Repeat(actions)
		f.check(t)
	})
}

// TestVoterAddressesAreAvailableBeforeElection restarts every control process
// without contact to the others. Each must have the addresses of all voters from
// its data folder, since it must reach them to elect a leader.
func TestVoterAddressesAreAvailableBeforeElection(t *testing.T) {
	n := newManagedNetwork(t, 6)
	n.run(4000)
	for _, m := range n.machines {
		n.stop(m)
		n.start(m)
		n.tick(20)
		addresses := map[string]bool{}
		for _, v := range m.view.Members() {
			addresses[v.Address()] = true
		}
		if len(addresses) != 6 {
			t.Errorf("%s has the addresses %v after a restart, want 6", m.name, addresses)
		}
		n.packets = nil
	}
}
