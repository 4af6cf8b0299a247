package dhdistribution

import (
	"fmt"
	"slices"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhhistory"
	"dogwoodhitch/core/dhmessage"
)

func nextChange(c *dhcatalog.Catalog) (*dhcatalog.Catalog, dhmessage.AcceptedChange) {
	set := dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
		ID: fmt.Sprint("id-", c.Version()), Base: c.Version(), Author: "test",
		Puts: []dhcatalog.Object{dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: "o"})},
	})
	next, err := c.Apply(set)
	if err != nil {
		panic(err)
	}
	return next, dhmessage.NewAcceptedChange(next.Version(), 0, set, c.Undo(set))
}

// newLeader returns the state of a leader after a number of changes, of which
// it retains the newest ones.
func newLeader(changes, retained int) *State {
	s := New(Options{Self: "c1", IsVoter: true, Voters: []string{"c1"}})
	s.SetLeading(true, 0)
	c := dhcatalog.New()
	var history []dhmessage.AcceptedChange
	for range changes {
		var a dhmessage.AcceptedChange
		c, a = nextChange(c)
		history = append(history, a)
	}
	s.SetCatalog(1, c, dhhistory.New(history[len(history)-retained:]))
	s.RecordConfirmation(1)
	return s
}

func poll(s *State, now dhclock.Millis, from string, version uint64) *dhmessage.Update {
	var out dheffect.List
	s.HandlePoll(now, from, dhmessage.NewPoll(dhmessage.PollOptions{Version: version, SentAt: now}), &out)
	return out.Items()[0].(*dheffect.Send).Message().(*dhmessage.Update)
}

// TestDeltasOrFullConfiguration polls with recent and old versions: a child
// gets change sets while they are retained and otherwise the full
// configuration, which is not sent again while it is in flight.
func TestDeltasOrFullConfiguration(t *testing.T) {
	s := newLeader(20, 5)
	if u := poll(s, 10, "recent", 17); len(u.Changes()) != 3 || u.Full() != nil {
		t.Errorf("recent version: got %d changes, full configuration: %v; want 3 changes only", len(u.Changes()), u.Full() != nil)
	}
	if u := poll(s, 10, "old", 2); u.Full() == nil {
		t.Error("old version: got no full configuration")
	}
	if u := poll(s, 400, "old", 2); u.Full() != nil || len(u.Changes()) != 0 {
		t.Error("old version: the full configuration was sent again while it was in flight")
	}
	if u := poll(s, 10+minFullResendTimeout, "old", 2); u.Full() == nil {
		t.Error("old version: the full configuration was not sent again after its timeout")
	}
	if u := poll(s, 10, "current", 20); u.Full() != nil || len(u.Changes()) != 0 {
		t.Error("current version: got changes or a full configuration; want neither")
	}
}

// TestLostFullConfigurationIsMissedForTenSeconds loses the full configuration that an instance gets
// in place of changes which are no longer kept. The instance polls on, and a configuration must be
// in force everywhere within 4 s.
func TestLostFullConfigurationIsMissedForTenSeconds(t *testing.T) {
	s := newLeader(20, 5)
	if u := poll(s, 10, "i", 2); u.Full() == nil {
		t.Fatal("got no full configuration")
	}
	for now := 10 + pollInterval; now <= 4000; now += pollInterval {
		if poll(s, now, "i", 2).Full() != nil {
			return
		}
	}
	t.Error("the full configuration isn't sent again within 4 s")
}

// TestVersionNeverDecreases sends an instance late and repeated updates of
// older versions. An instance that applied one would accept revoked keys again.
func TestVersionNeverDecreases(t *testing.T) {
	leader := newLeader(20, 20)
	s := New(Options{Self: "i", Zone: "z", Voters: []string{"c1"}})
	var out dheffect.List
	s.HandleUpdate(5, "c1", poll(leader, 5, "i", 0), &out)
	old := newLeader(3, 3)
	s.HandleUpdate(6, "c1", poll(old, 6, "i", 0), &out)
	s.HandleUpdate(7, "c1", dhmessage.NewUpdate(dhmessage.UpdateOptions{PollSentAt: 7, Version: 3, EverConfirmed: true, Full: old.Catalog()}), &out)
	if s.Catalog().Version() != 20 {
		t.Errorf("version %d after updates of older versions; want 20", s.Catalog().Version())
	}
}

// TestConfirmationRequiresVersion sends an instance a confirmation for a
// version that it doesn't have. It must not count its own older version as
// confirmed.
func TestConfirmationRequiresVersion(t *testing.T) {
	s := New(Options{Self: "i", Zone: "z", Voters: []string{"c1"}, Now: 1})
	var out dheffect.List
	s.HandleUpdate(50, "c1", dhmessage.NewUpdate(dhmessage.UpdateOptions{PollSentAt: 40, Version: 9, EverConfirmed: true}), &out)
	if _, ok := s.ConfirmedAt(); ok {
		t.Error("an older version counted as confirmed")
	}
	s.HandleUpdate(60, "c1", dhmessage.NewUpdate(dhmessage.UpdateOptions{PollSentAt: 55, Version: 0, EverConfirmed: true, Age: 30}), &out)
	if at, ok := s.ConfirmedAt(); !ok || at != 25 {
		t.Errorf("confirmed at %d; want 25, the time of the poll less the age", at)
	}
}

// TestParentFailover leaves all polls unanswered: an instance tries one parent
// after another, but never an instance that follows it by name, so that no
// cycle can form.
func TestParentFailover(t *testing.T) {
	c, err := dhcatalog.New().Apply(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
		ID: "x", Author: "test", Puts: []dhcatalog.Object{
			dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "z", Region: "r"}), newInstance("i1"), newInstance("i2"), newInstance("i3"),
		},
	}))
	if err != nil {
		t.Fatal(err)
	}
	s := New(Options{Self: "i2", Zone: "z", Voters: []string{"c1"}})
	s.applyUpdate(1, c, nil)
	polls := map[string]int{}
	for now := dhclock.Millis(10); now < 5000; now += 20 {
		var out dheffect.List
		s.Tick(now, &out)
		for _, e := range out.Items() {
			polls[e.(*dheffect.Send).To()]++
		}
	}
	if polls["i1"] == 0 || polls["c1"] == 0 || polls["i3"] > 0 || polls["i2"] > 0 {
		t.Errorf("polls by parent: %v; want some at i1 and c1 and none at i2 and i3", polls)
	}
}

// TestLargeZoneHasTwoRelays checks that the instances of a large zone spread
// their first polls evenly over two relays, which halves the load of a relay.
func TestLargeZoneHasTwoRelays(t *testing.T) {
	puts := []dhcatalog.Object{dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "z", Region: "r"})}
	for i := range 24 {
		puts = append(puts, newInstance(fmt.Sprintf("i%02d", i)))
	}
	c, err := dhcatalog.New().Apply(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{ID: "x", Author: "test", Puts: puts}))
	if err != nil {
		t.Fatal(err)
	}
	polled := map[string]int{}
	for i := range 24 {
		s := New(Options{Self: fmt.Sprintf("i%02d", i), Zone: "z", Voters: []string{"c1"}})
		s.applyUpdate(1, c, nil)
		polled[s.parentCandidates()[0]]++
	}
	if polled["i00"] != 12 || polled["i01"] != 11 || polled["c1"] != 1 {
		t.Errorf("first polls by parent: %v; want 12 at i00, 11 at i01 and 1 at c1", polled)
	}
}

func newInstance(name string) dhcatalog.Object {
	return dhcatalog.NewInstance(dhcatalog.InstanceOptions{Name: name, Zone: "z", CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2"})
}

// TestDisconnectedRelayIsReplaced lets a zone's relay respond to every poll
// although it has lost the voters itself. Its child must switch to a voter and
// confirm its configuration there within the freshness lease.
func TestDisconnectedRelayIsReplaced(t *testing.T) {
	c := dhcatalog.New()
	c, err := c.Apply(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{ID: "x", Author: "test", Puts: []dhcatalog.Object{
		dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "z", Region: "r"}), newInstance("i1"), newInstance("i2"),
	}}))
	if err != nil {
		t.Fatal(err)
	}
	s := New(Options{Self: "i2", Zone: "z", Voters: []string{"c1"}, Now: 1})
	var out dheffect.List
	s.HandleUpdate(1, "c1", dhmessage.NewUpdate(dhmessage.UpdateOptions{PollSentAt: 1, Version: 1, EverConfirmed: true, Full: c}), &out)
	cutAt := dhclock.Millis(1000)
	voterPolled := dhclock.Millis(0)
	for now := dhclock.Millis(1); now < 20_000; now += 20 {
		out.Reset()
		s.Tick(now, &out)
		for _, e := range out.Items() {
			send := e.(*dheffect.Send)
			poll := send.Message().(*dhmessage.Poll)
			age := dhclock.Millis(0)
			if send.To() == "i1" {
				age = max(0, now-cutAt)
			} else if voterPolled == 0 && now > cutAt {
				voterPolled = now
			}
			s.HandleUpdate(now, send.To(), dhmessage.NewUpdate(dhmessage.UpdateOptions{
				PollSentAt: poll.SentAt(), Version: 1, EverConfirmed: true, Age: age,
			}), &out)
		}
		if confirmed, _ := s.ConfirmedAt(); now > cutAt && now-confirmed > 2200 {
			t.Fatalf("%d ms after the relay lost the voters the confirmation is %d ms old; want at most 2200 ms", now-cutAt, now-confirmed)
		}
	}
	if voterPolled == 0 {
		t.Error("no voter was polled after the relay lost the voters")
	}
}

// TestInFlightChangesNotResent polls repeatedly as a child whose updates don't
// arrive: changes in flight are not sent again at once, and at growing
// intervals if they don't arrive; later changes are sent alone.
func TestInFlightChangesNotResent(t *testing.T) {
	s := newLeader(20, 20)
	countSent := func(from, to, step dhclock.Millis, version uint64) (all, partial int) {
		for now := from; now < to; now += step {
			switch n := len(poll(s, now, "i", version).Changes()); {
			case n >= 20:
				all++
			case n > 0:
				partial++
			}
		}
		return all, partial
	}
	if all, partial := countSent(10, 10+10_000, startupPollInterval, 0); all != 6 || partial != 0 {
		t.Errorf("in 10 s all changes were sent %d times and a part of them %d times; want 6 and 0", all, partial)
	}
	c, a := nextChange(s.Catalog())
	s.SetCatalog(10_100, c, s.History().With(a))
	if all, partial := countSent(10_100, 10_300, startupPollInterval, 0); all != 0 || partial != 1 {
		t.Errorf("after one more change all changes were sent %d times and a part of them %d times; want 0 and 1", all, partial)
	}
	if n := len(poll(s, 10_400, "i", 15).Changes()); n != 0 {
		t.Errorf("%d changes were sent again to a child that is receiving them; want 0", n)
	}
	if n := len(poll(s, 10_500, "i", 0).Changes()); n != 21 {
		t.Errorf("a restarted child got %d changes; want 21", n)
	}
}

// TestReplicaReceivesNoChanges polls as a voter, which gets the changes from
// the replicated log. Neither the response nor a push may send them again.
func TestReplicaReceivesNoChanges(t *testing.T) {
	s := newLeader(20, 20)
	var out dheffect.List
	s.HandlePoll(10, "c2", dhmessage.NewPoll(dhmessage.PollOptions{Version: 3, SentAt: 10, Replica: true}), &out)
	c, a := nextChange(s.Catalog())
	s.SetCatalog(20, c, s.History().With(a))
	s.EndBatch(20, &out)
	for _, x := range out.Items() {
		if send, ok := x.(*dheffect.Send); ok && len(send.Message().(*dhmessage.Update).Changes()) > 0 {
			t.Error("changes were sent to a replica")
		}
	}
}

// TestChangesResentAfterFullConfiguration lets changes arrive before the full
// configuration that they follow, so that the child can't apply them. They must
// be sent again after it.
func TestChangesResentAfterFullConfiguration(t *testing.T) {
	s := newLeader(20, 5)
	if poll(s, 10, "i", 0).Full() == nil {
		t.Fatal("got no full configuration")
	}
	c, a := nextChange(s.Catalog())
	s.SetCatalog(20, c, s.History().With(a))
	if n := len(poll(s, 110, "i", 0).Changes()); n != 1 {
		t.Fatalf("%d changes were sent after the full configuration; want 1", n)
	}
	poll(s, 200, "i", 20)
	if n := len(poll(s, 200+minResendTimeout, "i", 20).Changes()); n != 1 {
		t.Errorf("%d changes were sent to a child that lacks one; want 1", n)
	}
}

// TestRecordThatThisReleaseRefusesStopsAnInstance sends an instance changes with records of
// upstreams that a voter of another release has accepted, and further changes. The instance must
// follow them.
func TestRecordThatThisReleaseRefusesStopsAnInstance(t *testing.T) {
	s := New(Options{Self: "i", Zone: "z", Voters: []string{"c1"}})
	c := dhcatalog.New()
	var list []dhcatalog.ChangeSet
	for i, u := range []dhcatalog.UpstreamOptions{
		{Name: "slots", Service: "s", Address: "10.0.0.1:80", Zone: "z"},
		{Name: "address", Service: "s", Address: "host:0", Zone: "z", Slots: 1},
		{Name: "na/me", Service: "", Address: "", Zone: "", Slots: -1, State: 9, ColdRemaining: -1},
	} {
		list = append(list, dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
			ID: fmt.Sprint("odd-", i), Base: c.Version() + uint64(i), Author: "test", Puts: []dhcatalog.Object{dhcatalog.NewUpstream(u)},
		}))
	}
	list = append(list, dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
		ID: "last", Base: uint64(len(list)), Author: "test", Puts: []dhcatalog.Object{dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: "o"})},
	}))
	var out dheffect.List
	s.HandleUpdate(5, "c1", dhmessage.NewUpdate(dhmessage.UpdateOptions{Version: uint64(len(list)), EverConfirmed: true, Changes: list}), &out)
	if _, found := s.Catalog().Organisation("o"); !found {
		t.Errorf("the instance is at version %d, want %d", s.Catalog().Version(), len(list))
	}
}

// TestChangesAreResentWithinARoundTrip polls as a child whose acknowledgements take 1.8 s. Once
// that has been seen, a change must not be sent again before its acknowledgement could arrive.
func TestChangesAreResentWithinARoundTrip(t *testing.T) {
	const roundTrip, interval = 1800, 100
	s := newLeader(20, 20)
	now := dhclock.Millis(1000)
	poll(s, now, "i", 20)
	for round := range 4 {
		c, a := nextChange(s.Catalog())
		s.SetCatalog(now, c, s.History().With(a))
		var out dheffect.List
		s.EndBatch(now, &out)
		copies := 1
		for end := now + roundTrip; now < end; now += interval {
			copies += len(poll(s, now, "i", c.Version()-1).Changes())
		}
		poll(s, now, "i", c.Version())
		if round > 0 && copies > 1 {
			t.Errorf("round %d: a change was sent %d times, want once", round, copies)
		}
	}
}

// memberIn returns a member of the consensus group that runs in a zone.
func memberIn(name, zone string) dhmessage.Member {
	return dhmessage.NewMember(dhmessage.NewPeer(name, name+"-folder"), name+":1", true).WithZone(zone)
}

// TestInstancePollsMembersOfItsZoneFirst lists the parents of an instance whose zone has two
// members of the consensus group: these, then its relay, then the other members.
func TestInstancePollsMembersOfItsZoneFirst(t *testing.T) {
	s := New(Options{Self: "i2", Zone: "a1", Voters: []string{"c1"}})
	if got := s.parentCandidates(); !slices.Equal(got, []string{"c1"}) {
		t.Errorf("without members: the parents are %v, want the voter of the settings", got)
	}
	s.SetMembers([]dhmessage.Member{memberIn("c1", "a1"), memberIn("c2", "b1"), memberIn("c3", "a1"), memberIn("c4", "")})
	set := dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{ID: "x", Author: "test", Puts: []dhcatalog.Object{
		dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "a1", Region: "a"}),
		dhcatalog.NewInstance(dhcatalog.InstanceOptions{Name: "i1", Zone: "a1", CallerAddress: "10.0.0.1:80", PeerAddress: "10.0.0.1:81"}),
	}})
	s.applyUpdate(1, nil, []dhcatalog.ChangeSet{set})
	got := s.parentCandidates()
	slices.Sort(got[:2])
	slices.Sort(got[3:])
	if want := []string{"c1", "c3", "i1", "c2", "c4"}; !slices.Equal(got, want) {
		t.Errorf("the parents are %v, want %v", got, want)
	}
}

// TestFirstPollOfAnInstanceWithMembersInItsZoneIsReferred polls a leader from an instance of
// another zone. The first response and pushes must name the members and hold no changes. An
// instance that polls again later, or that doesn't reach the members in its zone, must be
// served.
func TestFirstPollOfAnInstanceWithMembersInItsZoneIsReferred(t *testing.T) {
	s := newLeader(20, 20)
	s.SetMembers([]dhmessage.Member{memberIn("c1", "a1"), memberIn("c2", "b1")})
	pollFrom := func(now dhclock.Millis, name, zone string) *dhmessage.Update {
		i := dhcatalog.NewInstance(dhcatalog.InstanceOptions{Name: name, Zone: zone})
		var out dheffect.List
		s.HandlePoll(now, name, dhmessage.NewPoll(dhmessage.PollOptions{
			SentAt: now, Acks: []dhmessage.Ack{dhmessage.NewAck(name, 0, false).WithAdvertisedInstance(i)},
		}), &out)
		return out.Items()[0].(*dheffect.Send).Message().(*dhmessage.Update)
	}
	for _, x := range []struct {
		zone    string
		changes int
	}{{"a1", 20}, {"c1", 20}, {"b1", 0}} {
		if u := pollFrom(10, "i-"+x.zone, x.zone); len(u.Changes()) != x.changes || len(u.Members()) != 2 {
			t.Errorf("zone %s: the first response has %d changes and %d members, want %d and 2", x.zone, len(u.Changes()), len(u.Members()), x.changes)
		}
	}
	var out dheffect.List
	s.pushUpdates(20, &out)
	if len(out.Items()) != 0 {
		t.Errorf("%d updates were pushed, want none", len(out.Items()))
	}
	if u := pollFrom(100, "i-b1", "b1"); len(u.Changes()) != 0 {
		t.Errorf("a poll that was under way is answered with %d changes, want none", len(u.Changes()))
	}
	if u := pollFrom(1000, "i-b1", "b1"); len(u.Changes()) != 20 {
		t.Errorf("a poll of a child that follows no referral is answered with %d changes, want 20", len(u.Changes()))
	}
	out = dheffect.List{}
	s.HandlePoll(1000, "j-b1", dhmessage.NewPoll(dhmessage.PollOptions{
		SentAt: 1000, ZoneUnresponsive: true, Acks: []dhmessage.Ack{dhmessage.NewAck("j-b1", 0, false).WithAdvertisedInstance(
			dhcatalog.NewInstance(dhcatalog.InstanceOptions{Name: "j-b1", Zone: "b1"}))},
	}), &out)
	if u := out.Items()[0].(*dheffect.Send).Message().(*dhmessage.Update); len(u.Changes()) != 20 {
		t.Errorf("the first poll of a child that doesn't reach its zone is answered with %d changes, want 20", len(u.Changes()))
	}
}

// TestInstanceReportsThatItsZoneIsUnresponsive starts an instance whose zone's only member
// doesn't respond. Within a second it must poll another one, and tell it why.
func TestInstanceReportsThatItsZoneIsUnresponsive(t *testing.T) {
	s := New(Options{Self: "i1", Zone: "a1", Voters: []string{"c9"}, Now: 1000})
	s.SetMembers([]dhmessage.Member{memberIn("c9", "b1"), memberIn("c1", "a1")})
	for now := dhclock.Millis(1000); now < 2000; now += 20 {
		var out dheffect.List
		s.Tick(now, &out)
		for _, e := range out.Items() {
			poll := e.(*dheffect.Send).Message().(*dhmessage.Poll)
			if to := e.(*dheffect.Send).To(); poll.ZoneUnresponsive() != (to == "c9") {
				t.Errorf("a poll of %s reports an unresponsive zone: %t", to, poll.ZoneUnresponsive())
			} else if to == "c9" {
				return
			}
		}
	}
	t.Error("only the unresponsive member was polled within a second")
}

// TestInstanceFollowsAReferral sends an instance without a configuration the response of a
// parent that names a member in its zone. Its next poll must go there.
func TestInstanceFollowsAReferral(t *testing.T) {
	s := New(Options{Self: "i1", Zone: "a1", Voters: []string{"c9"}, Now: 1000})
	var out dheffect.List
	s.Tick(1000, &out)
	s.HandleUpdate(1020, "c9", dhmessage.NewUpdate(dhmessage.UpdateOptions{
		PollSentAt: 1000, Version: 5, EverConfirmed: true, Members: []dhmessage.Member{memberIn("c9", "b1"), memberIn("c1", "a1")},
	}), &out)
	var next dheffect.List
	s.Tick(1040, &next)
	if len(next.Items()) != 1 || next.Items()[0].(*dheffect.Send).To() != "c1" {
		t.Errorf("after the referral the effects are %v, want a poll of c1", next.Items())
	}
}

// TestInstanceAtAMembersAddressPollsItself starts an instance under the name of a control process
// that is gone and still in the list of members: a machine got the address of another one. Its first
// poll must go to a member that it isn't itself.
func TestInstanceAtAMembersAddressPollsItself(t *testing.T) {
	member := func(name, zone string) dhmessage.Member {
		return dhmessage.NewMember(dhmessage.NewPeer(name, "f"), name+":1", false).WithZone(zone)
	}
	s := New(Options{Self: "c1", Zone: "a", Voters: []string{"c1", "c2"}, Now: 1000})
	for _, members := range [][]dhmessage.Member{nil, {member("c1", "a"), member("c2", "b")}} {
		s.SetMembers(members)
		for range 3 {
			s.PollNow()
			var out dheffect.List
			s.Tick(1000, &out)
			if to := out.Items()[0].(*dheffect.Send).To(); to != "c2" {
				t.Errorf("%d members: the instance polls %s, want c2", len(members), to)
			}
		}
	}
}

// TestLeaderServesInstancesThatOthersCould has three members run in the zone of 30 instances, one of
// which leads. No instance may have it as its first parent, nor as the first to ask for tokens.
// Where it is the only one of the zone, it must be both.
func TestLeaderServesInstancesThatOthersCould(t *testing.T) {
	for i := range 30 {
		s := New(Options{Self: fmt.Sprint("i", i), Zone: "z", Voters: []string{"c1"}, Now: 1})
		s.SetMembers([]dhmessage.Member{memberIn("c1", "z"), memberIn("c2", "z"), memberIn("c3", "z"), memberIn("d1", "y")})
		s.SetLeader("c2")
		if parent, nearest := s.parentCandidates()[0], s.NearestMembers()[0]; parent == "c2" || nearest == "c2" {
			t.Errorf("i%d polls %s and asks %s first", i, parent, nearest)
		}
		s.SetMembers([]dhmessage.Member{memberIn("c2", "z"), memberIn("d1", "y")})
		if parent, nearest := s.parentCandidates()[0], s.NearestMembers()[0]; parent != "c2" || nearest != "c2" {
			t.Errorf("i%d polls %s and asks %s first, want the only member of its zone", i, parent, nearest)
		}
	}
}
