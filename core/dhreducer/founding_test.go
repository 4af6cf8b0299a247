package dhreducer

import (
	"fmt"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhcontrol"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// Sizes of messages on a simulated link, in bytes.
const (
	messageBytes = 400
	recordBytes  = 150
)

// linkRate is the rate of an entry instance's link, in bytes a millisecond.
const linkRate = 250

// size returns the approximate size of a message, in bytes.
func size(m dhmessage.Message) int {
	records, text := 0, 0
	switch m := m.(type) {
	case *dhmessage.Update:
		for _, c := range m.Changes() {
			records += len(c.Puts())
			for _, o := range c.Puts() {
				if d, ok := o.(dhcatalog.Declaration); ok {
					text += len(d.Text())
				}
			}
		}
		if m.Full() != nil {
			records += m.Full().Len()
			d, _ := m.Full().Declaration()
			text += len(d.Text())
		}
	case *dhmessage.AppendRequest:
		for _, e := range m.Entries() {
			if edit, ok := e.Command().(dhmessage.Edit); ok {
				records += len(edit.Puts())
			}
		}
	}
	return messageBytes + records*recordBytes + text
}

// fleet is a managed cluster of three control processes and some entry instances in each of
// nine zones in three regions.
type fleet struct {
	*network
	controls  []*machine
	entries   []*machine
	upstreams []dhcatalog.UpstreamOptions
	// sent is the number of bytes that each machine has sent.
	sent map[string]int
	// linkFree is when the link of an entry instance has sent everything that waits for it.
	linkFree map[string]dhclock.Millis
}

// newFleet returns a fleet that has just started, with 20 ms between any two machines and
// links of 250 bytes a millisecond at entry instances.
func newFleet(t fatalReporter, entriesEach, upstreams int) *fleet {
	n := newNetwork(t, 3)
	n.managed = &dhcontrol.ManagedOptions{Votes: 5}
	n.messageDelay = 20
	f := &fleet{network: n, sent: map[string]int{}, linkFree: map[string]dhclock.Millis{}}
	n.linkDelay = func(from *machine, _ string, m dhmessage.Message) dhclock.Millis {
		f.sent[from.name] += size(m)
		if from.disk != nil {
			return 0
		}
		f.linkFree[from.name] = max(f.linkFree[from.name], n.now) + dhclock.Millis(size(m)/linkRate)
		return f.linkFree[from.name] - n.now
	}
	var zones []string
	for z := range 9 {
		zone := fmt.Sprintf("%c%d", 'a'+z%3, z/3)
		zones = append(zones, zone)
		n.managed.Zones = append(n.managed.Zones, dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: zone, Region: zone[:1]}))
	}
	n.addControls(27)
	for i, m := range n.machines {
		m.zone = zones[i%len(zones)]
	}
	f.controls = n.machines
	for z, zone := range zones {
		for i := range entriesEach {
			m := &machine{name: fmt.Sprintf("%s-%d", zone, i), zone: zone, offset: dhclock.Millis(500_000 + (z*entriesEach+i)*7919)}
			f.entries = append(f.entries, m)
		}
	}
	n.machines = append(append([]*machine{}, f.controls...), f.entries...)
	for _, m := range n.machines {
		n.start(m)
	}
	for i := range upstreams {
		o := upstreamRecord(fmt.Sprint("u", i), dhcatalog.UpstreamReady)
		o.Address = fmt.Sprintf("10.1.%d.%d:80", i/250, i%250)
		f.upstreams = append(f.upstreams, o)
	}
	return f
}

// runWithHeartbeats advances the time while each upstream sends a heartbeat a second to one of
// the control processes.
func (f *fleet) runWithHeartbeats(span dhclock.Millis) {
	const step dhclock.Millis = 20
	for end := f.now + span; f.now < end; {
		for i, u := range f.upstreams {
			if dhclock.Millis(i%50) == f.now/step%50 {
				f.sendHeartbeat(f.controls[(i+int(f.now/dhclock.Second))%len(f.controls)], u)
			}
		}
		f.run(step)
	}
}

// TestFleetOf300FormsWithin10Seconds starts 300 processes and 890 upstreams at once. After
// 10 s every control process must be a member, and every instance must know all upstreams,
// after at most ten changes a second. The records must not be sent more than three times to
// each member and to each instance that starts at the leader, and an instance must leave nine
// tenths of its link to requests.
func TestFleetOf300FormsWithin10Seconds(t *testing.T) {
	f := newFleet(t, 30, 890)
	f.runWithHeartbeats(10 * dhclock.Second)
	lead := f.leader()
	if lead == nil {
		t.Fatal("there is no leader after 10 s")
	}
	if got := len(f.status(lead).Members()); got != len(f.controls) {
		t.Errorf("%d control processes are members, want %d", got, len(f.controls))
	}
	incomplete := 0
	for _, m := range f.entries {
		if m.view == nil || len(m.view.Catalog().List(dhcatalog.KindUpstream)) != len(f.upstreams) || m.view.Catalog().InstanceCount() != len(f.entries) {
			incomplete++
		}
	}
	if incomplete > 0 {
		t.Errorf("%d of %d instances lack upstreams or instances", incomplete, len(f.entries))
	}
	most := 0
	for _, m := range f.entries {
		most = max(most, f.sent[m.name])
	}
	t.Logf("version %d; the leader sent %d bytes, an entry instance at most %d", f.status(lead).Version(), f.sent[lead.name], most)
	if got := f.status(lead).Version(); got > 100 {
		t.Errorf("the fleet formed with %d changes, want at most 100", got)
	}
	copies := len(f.controls) - 1 + len(f.entries)/3
	if limit := 3 * copies * len(f.upstreams) * recordBytes; f.sent[lead.name] > limit {
		t.Errorf("the leader sent %d bytes, want at most %d", f.sent[lead.name], limit)
	}
	if limit := 10 * int(dhclock.Second) * linkRate / 10; most > limit {
		t.Errorf("an entry instance sent %d bytes, want at most %d", most, limit)
	}
}

// newLimitedFleet returns a fleet that has formed, with an organisation that has a limit.
func newLimitedFleet(t fatalReporter) *fleet {
	f := newFleet(t, 5, 0)
	f.run(4000)
	f.propose(f.leader(), dhmessage.NewEdit("test", []dhcatalog.Object{
		dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: "o"}),
		dhcatalog.NewLimit(dhcatalog.LimitOptions{Name: "o", Organisation: "o", Rate: 10_000, Burst: 10_000}),
	}, nil))
	f.run(5000)
	return f
}

// requestTokens lets every instance ask for a token of the organisation ten times a second.
func (f *fleet) requestTokens(rounds int) {
	for range rounds {
		for _, m := range f.entries {
			f.handle(m, dhevent.NewGrantsRequested(f.clock(m), dhevent.GrantsRequestedOptions{
				StartID: 1, Demands: []dhmessage.TokenDemand{dhmessage.NewTokenDemand("o", dhmessage.Token, 0, 0)},
			}))
		}
		f.run(100)
	}
}

// TestGrantsReachInstancesThroughMembersOfTheirZone lets every instance of a fleet ask for a
// token ten times a second. All must get them, and must get them again within a second after the
// members of the consensus group in a zone have stopped, other than the leader.
func TestGrantsReachInstancesThroughMembersOfTheirZone(t *testing.T) {
	f := newLimitedFleet(t)
	granted := map[string]dhmessage.Tokens{}
	f.postToTraffic = func(m *machine, e dhevent.Event) {
		if g, ok := e.(*dhevent.GrantsReceived); ok {
			granted[m.name] += g.Grants()[0].Amount()
		}
	}
	lead := f.leader()
	f.requestTokens(10)
	f.run(200)
	for _, m := range f.entries {
		if granted[m.name] != 10*dhmessage.Token {
			t.Errorf("%s got %d millionths of a token, want 10 tokens", m.name, granted[m.name])
		}
	}
	for _, m := range f.controls {
		if m != lead && m.zone == f.entries[0].zone {
			f.stop(m)
		}
	}
	f.requestTokens(10)
	f.run(200)
	clear(granted)
	f.requestTokens(1)
	f.run(200)
	for _, m := range f.entries {
		if granted[m.name] != dhmessage.Token {
			t.Errorf("%s got %d millionths of a token after the members in its zone stopped, want one token", m.name, granted[m.name])
		}
	}
}

// TestSlowLeaderGetsFewCallsOfInstances delays the leader's responses to requests for tokens by
// 10 s while every instance of a fleet asks, for 3 s. No more than a fifth of the requests may
// go straight to it: calls of all instances would keep it busy.
func TestSlowLeaderGetsFewCallsOfInstances(t *testing.T) {
	f := newLimitedFleet(t)
	lead := f.leader()
	straight, total := 0, 0
	f.linkDelay = func(from *machine, to string, m dhmessage.Message) dhclock.Millis {
		switch m.(type) {
		case *dhmessage.GrantRequest:
			if from.disk == nil {
				total++
				if to == lead.name {
					straight++
				}
			}
			return 0
		case *dhmessage.GrantResponse, *dhmessage.RelayedGrantResponses:
			return 10 * dhclock.Second
		default:
			return 0
		}
	}
	f.requestTokens(30)
	if straight > total/5 {
		t.Errorf("%d of %d requests went straight to the leader, want at most a fifth", straight, total)
	}
}
