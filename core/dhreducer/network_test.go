package dhreducer

import (
	"fmt"
	"slices"

	"pgregory.net/rapid"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhconsensus"
	"dogwoodhitch/core/dhcontrol"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhview"
)

// disk simulates the contents of a voter's data folder.
type disk struct {
	folder   string
	founders []dhmessage.Member
	term     uint64
	votedFor string
	snapshot dhmessage.Snapshot
	entries  []dhmessage.Entry
}

func (d *disk) persist(p *dheffect.Persist) {
	d.term, d.votedFor = p.Term(), p.VotedFor()
	for _, e := range p.Entries() {
		d.entries = append(d.entries[:e.Index()-d.snapshot.Index()-1], e)
	}
}

func (d *disk) saveSnapshot(e *dheffect.SaveSnapshot) {
	d.term, d.votedFor, d.snapshot = e.Term(), e.VotedFor(), e.Snapshot()
	d.entries = slices.Clone(e.RemainingEntries())
}

// machine simulates one process with its own clock.
type machine struct {
	name    string
	zone    string
	disk    *disk  // nil on an entry instance
	state   *State // nil while the process is stopped
	offset  dhclock.Millis
	frozen  bool // the process handles no events
	version uint64
	view    *dhview.View
	starts  uint64
	// seeds and reported name the processes whose addresses the machine has from its settings
	// and from messages since its start.
	seeds    []string
	reported map[string]bool
}

// hasAddressOf reports whether the machine can connect to a process of a name, like
// dhpeer.AddressBook.
func (m *machine) hasAddressOf(name string) bool {
	if name == m.name || m.reported[name] || slices.Contains(m.seeds, name) {
		return true
	}
	if m.view == nil {
		return false
	}
	_, isInstance := m.view.Catalog().Instance(name)
	return isInstance || slices.ContainsFunc(m.view.Members(), func(v dhmessage.Member) bool { return v.Peer().Name() == name })
}

// loseDisk replaces the data folder by an empty one.
func (m *machine) loseDisk() { m.disk = &disk{folder: fmt.Sprintf("%s-folder-%d", m.name, m.starts)} }

func (m *machine) self() dhmessage.Peer {
	if m.disk == nil {
		return dhmessage.NewPeer(m.name, "")
	}
	return dhmessage.NewPeer(m.name, m.disk.folder)
}

type packet struct {
	from dhmessage.Peer
	to   string
	body dhmessage.Message
	due  dhclock.Millis // earliest time at which run delivers it
}

// link is the way of packets from one machine to another one.
type link struct{ from, to string }

// fatalReporter is the part of testing.TB and rapid.T that ends a test.
type fatalReporter interface {
	Fatalf(format string, args ...any)
}

// network simulates a cluster: it drives the reducers of several machines and
// delivers, drops, duplicates and reorders their messages.
type network struct {
	t                 fatalReporter
	now               dhclock.Millis
	machines          []*machine
	voters            []string
	packets           []packet
	partitioned       map[string]bool // machines that reach only each other
	cutLinks          map[link]bool   // links on which packets are dropped
	random            uint64
	lastCorrelationID uint64
	replies           map[uint64]dhmessage.Result
	postToTraffic     func(m *machine, e dhevent.Event)
	recordLog         func(m *machine, e *dheffect.Log)
	// messageDelay is the delay of every packet, in milliseconds.
	messageDelay dhclock.Millis
	// entryLinkDelay is how long packets wait for the link of each entry instance that they
	// leave or reach, in milliseconds.
	entryLinkDelay dhclock.Millis
	// linkDelay is called with each message that is sent. It returns how long the message
	// waits for its sender's link; nil for not at all.
	linkDelay func(from *machine, to string, m dhmessage.Message) dhclock.Millis
	// compactEntries is the least number of log entries between two snapshots of a
	// voter; 0 for the production default.
	compactEntries int
	// lossPercent, duplicatePercent and delayPercent are the shares of packets that
	// run drops, delivers twice, or holds back until the next step.
	lossPercent, duplicatePercent, delayPercent uint64
	// managed makes control processes form and repair the consensus group by
	// themselves; the voters are the seeds.
	managed *dhcontrol.ManagedOptions
	// crashBeforeEffects reports whether a machine crashes before it executes its
	// effects.
	crashBeforeEffects func(m *machine) bool
}

// newNetwork returns a network of running voters and entry instances.
func newNetwork(t fatalReporter, voters int, entries ...string) *network {
	n := &network{
		t: t, now: 1_000_000, partitioned: map[string]bool{}, cutLinks: map[link]bool{}, random: 1, replies: map[uint64]dhmessage.Result{},
		crashBeforeEffects: func(*machine) bool { return false },
	}
	var founders []dhmessage.Member
	for i := range voters {
		name := fmt.Sprintf("c%d", i+1)
		n.voters = append(n.voters, name)
		founders = append(founders, dhmessage.NewMember(dhmessage.NewPeer(name, ""), name+":1", false))
	}
	for i, name := range n.voters {
		n.machines = append(n.machines, &machine{
			name: name, offset: dhclock.Millis(i * 7919),
			disk: &disk{folder: name + "-folder", founders: founders},
		})
	}
	for i, name := range entries {
		n.machines = append(n.machines, &machine{name: name, zone: name[:2], offset: dhclock.Millis(500_000 + i*104_729)})
	}
	for _, m := range n.machines {
		n.start(m)
	}
	return n
}

func (n *network) nextRandom() uint64 {
	n.random = n.random*6364136223846793005 + 1442695040888963407
	return n.random >> 11
}

func (n *network) clock(m *machine) dhclock.Millis { return n.now + m.offset }

func (n *network) start(m *machine) {
	m.starts++
	o := dhcontrol.Options{Self: m.self(), Zone: m.zone, Voters: n.voters, StartID: n.nextRandom(), Now: n.clock(m), CompactEntries: n.compactEntries}
	if m.disk != nil {
		o.Consensus = &dhconsensus.Options{
			Self: m.self(), Founders: m.disk.founders, Term: m.disk.term, VotedFor: m.disk.votedFor,
			Snapshot: m.disk.snapshot, Entries: slices.Clone(m.disk.entries), Now: n.clock(m), Random: n.nextRandom(),
		}
	}
	if n.managed != nil {
		n.setManagedOptions(m, &o)
	}
	m.state, m.version, m.frozen = NewControl(o), 0, false
	m.view, m.seeds, m.reported = nil, n.voters, map[string]bool{}
}

func (n *network) stop(m *machine) { m.state = nil }

// wipe deletes a voter's data folder and starts it with an empty one.
func (n *network) wipe(m *machine) {
	m.loseDisk()
	n.start(m)
}

func (n *network) find(name string) *machine {
	for _, m := range n.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

// handle reduces an event on a machine and executes its effects.
func (n *network) handle(m *machine, e dhevent.Event) {
	if m == nil || m.state == nil || m.frozen {
		return
	}
	events := []dhevent.Event{e, dhevent.NewBatchEnded(n.clock(m))}
	for len(events) > 0 {
		var out dheffect.List
		Reduce(m.state, events[0], &out)
		if n.crashBeforeEffects(m) {
			n.stop(m)
			return
		}
		events = append(events[1:], n.execute(m, out.Items())...)
		if m.state == nil {
			return
		}
	}
}

// execute executes effects, Persist effects first, and returns the events that
// they cause.
func (n *network) execute(m *machine, list []dheffect.Effect) []dhevent.Event {
	var events []dhevent.Event
	for _, e := range list {
		if p, ok := e.(*dheffect.Persist); ok {
			m.disk.persist(p)
			if k := len(p.Entries()); k > 0 {
				last := p.Entries()[k-1]
				events = append(events, dhevent.NewLogSynced(n.clock(m), dhevent.LogSyncedOptions{Index: last.Index(), Term: last.Term()}))
			}
		}
	}
	for _, e := range list {
		switch e := e.(type) {
		case *dheffect.SaveSnapshot:
			m.disk.saveSnapshot(e)
		case *dheffect.Send:
			if !m.hasAddressOf(e.To()) {
				continue
			}
			n.packets = append(n.packets, packet{from: m.self(), to: e.To(), body: e.Message(), due: n.now + n.delay(m, e.To(), e.Message())})
		case *dheffect.RecordAddresses:
			for _, v := range e.Members() {
				m.reported[v.Peer().Name()] = true
			}
		case *dheffect.Reply:
			n.replies[e.CorrelationID()] = e.Result()
		case *dheffect.Publish:
			n.recordView(m, e.View())
		case *dheffect.Log:
			if n.recordLog != nil {
				n.recordLog(m, e)
			}
		case *dheffect.PostToTraffic:
			if n.postToTraffic != nil {
				n.postToTraffic(m, e.Event())
			}
		}
	}
	return events
}

// delay returns how long a packet from a machine to another one takes.
func (n *network) delay(from *machine, to string, message dhmessage.Message) dhclock.Millis {
	d := n.messageDelay
	if n.linkDelay != nil {
		d += n.linkDelay(from, to, message)
	}
	for _, m := range []*machine{from, n.find(to)} {
		if m != nil && m.disk == nil {
			d += n.entryLinkDelay
		}
	}
	return d
}

// recordView stores a machine's view and checks that its version never decreases.
func (n *network) recordView(m *machine, v *dhview.View) {
	if v.Catalog().Version() < m.version {
		n.t.Fatalf("%s returned from version %d to the older version %d", m.name, m.version, v.Catalog().Version())
	}
	m.version, m.view = v.Catalog().Version(), v
}

// deliver removes the packet at an index and delivers it, unless a partition or a cut link
// separates sender and receiver.
func (n *network) deliver(i int) {
	p := n.packets[i]
	n.packets = slices.Delete(n.packets, i, i+1)
	if n.partitioned[p.from.Name()] != n.partitioned[p.to] && p.from.Name() != p.to || n.cutLinks[link{p.from.Name(), p.to}] {
		return
	}
	m := n.find(p.to)
	if m == nil {
		return
	}
	if m.state != nil && !m.frozen {
		m.reported[p.from.Name()] = true
	}
	n.handle(m, dhevent.NewMessageReceived(n.clock(m), dhevent.MessageReceivedOptions{From: p.from, Message: p.body}))
}

// tick advances the time and sends every machine a tick.
func (n *network) tick(span dhclock.Millis) {
	n.now += span
	for _, m := range n.machines {
		n.handle(m, dhevent.NewTicked(n.clock(m), dhevent.TickedOptions{Random: n.nextRandom()}))
	}
}

// run advances the time in steps of 20 ms and delivers the packets of each step,
// in order except for the configured faults.
func (n *network) run(span dhclock.Millis) {
	const step dhclock.Millis = 20
	for end := n.now + span; n.now < end; {
		n.tick(step)
		for count := len(n.packets); count > 0 && len(n.packets) > 0; count-- {
			n.deliverWithFaults()
		}
	}
}

// deliverWithFaults delivers, drops, duplicates or delays the first packet.
func (n *network) deliverWithFaults() {
	p := n.packets[0]
	chance := n.nextRandom() % 100
	switch {
	case p.due > n.now:
		n.packets = append(n.packets[1:], p)
	case chance < n.lossPercent:
		n.packets = n.packets[1:]
	case chance < n.lossPercent+n.delayPercent:
		n.packets = append(n.packets[1:], p)
	case chance < n.lossPercent+n.delayPercent+n.duplicatePercent:
		n.packets = append(n.packets, p)
		n.deliver(0)
	default:
		n.deliver(0)
	}
}

// propose proposes a command at a machine and returns the correlation ID of the
// reply.
func (n *network) propose(m *machine, c dhmessage.Command) uint64 {
	n.lastCorrelationID++
	n.handle(m, dhevent.NewProposalRequested(n.clock(m), dhevent.ProposalRequestedOptions{
		CorrelationID: n.lastCorrelationID, Command: c, Timeout: 5000,
	}))
	return n.lastCorrelationID
}

// leader returns the voter that leads with a recently confirmed majority, or nil.
func (n *network) leader() *machine {
	for _, m := range n.machines {
		if m.state == nil || m.disk == nil {
			continue
		}
		if s := n.status(m); s.IsLeader() && s.EverConfirmed() && s.Age() < 1000 {
			return m
		}
	}
	return nil
}

func (n *network) status(m *machine) dheffect.Status {
	var out dheffect.List
	Reduce(m.state, dhevent.NewStatusRequested(n.clock(m), dhevent.StatusRequestedOptions{}), &out)
	for _, e := range out.Items() {
		if r, ok := e.(*dheffect.StatusReply); ok {
			return r.Status()
		}
	}
	return dheffect.Status{}
}

// heal ends all faults, restarts stopped machines and gives the cluster 8 s to
// recover.
func (n *network) heal() {
	n.crashBeforeEffects = func(*machine) bool { return false }
	n.partitioned, n.cutLinks = map[string]bool{}, map[link]bool{}
	n.packets = nil
	n.lossPercent, n.delayPercent, n.duplicatePercent = 0, 0, 0
	for _, m := range n.machines {
		m.frozen = false
		if m.state == nil {
			n.start(m)
		}
	}
	n.run(8000)
}

// actions returns the faults and the steps of time as actions of a rapid state
// machine.
func (n *network) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T) *machine { return rapid.SampledFrom(n.machines).Draw(t, "machine") }
	index := func(t *rapid.T) int {
		if len(n.packets) == 0 {
			t.Skip("no packets")
		}
		return rapid.IntRange(0, len(n.packets)-1).Draw(t, "packet")
	}
	return map[string]func(*rapid.T){
		"tick":    func(t *rapid.T) { n.tick(dhclock.Millis(rapid.IntRange(1, 400).Draw(t, "span"))) },
		"run":     func(t *rapid.T) { n.run(dhclock.Millis(rapid.IntRange(20, 2000).Draw(t, "span"))) },
		"deliver": func(t *rapid.T) { n.deliver(index(t)) },
		"lose":    func(t *rapid.T) { i := index(t); n.packets = slices.Delete(n.packets, i, i+1) },
		"repeat":  func(t *rapid.T) { n.packets = append(n.packets, n.packets[index(t)]) },
		"cut":     func(t *rapid.T) { m := pick(t); n.partitioned[m.name] = !n.partitioned[m.name] },
		"freeze":  func(t *rapid.T) { m := pick(t); m.frozen = !m.frozen },
		"crash":   func(t *rapid.T) { n.stop(pick(t)) },
		"crashBeforeSync": func(t *rapid.T) {
			victim := pick(t)
			n.crashBeforeEffects = func(m *machine) bool { return m == victim }
			n.run(100)
			n.crashBeforeEffects = func(*machine) bool { return false }
		},
		"restart": func(t *rapid.T) {
			if m := pick(t); m.state == nil {
				n.start(m)
			}
		},
	}
}
