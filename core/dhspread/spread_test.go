package dhspread

import (
	"fmt"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

func nextChange(c *dhcatalog.Catalog) (*dhcatalog.Catalog, dhmessage.Accepted) {
	set := dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
		ID: fmt.Sprint("id-", c.Version()), Base: c.Version(), Author: "test",
		Puts: []dhcatalog.Object{dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: "o"})},
	})
	next, err := c.Apply(set)
	if err != nil {
		panic(err)
	}
	return next, dhmessage.NewAccepted(next.Version(), 0, set, c.Undo(set))
}

// newLeader returns the spread of a leader with so many changes, of which it
// remembers the last ones.
func newLeader(changes, remembered int) *State {
	s := New(Options{Self: "c1", IsVoter: true, Voters: []string{"c1"}})
	s.SetLeading(true, 0)
	c := dhcatalog.New()
	var history []dhmessage.Accepted
	for range changes {
		var a dhmessage.Accepted
		c, a = nextChange(c)
		history = append(history, a)
	}
	s.SetCatalog(1, c, history[len(history)-remembered:])
	s.RecordConfirmation(1)
	return s
}

func poll(s *State, now dhclock.Millis, from string, version uint64) *dhmessage.Update {
	var out dheffect.List
	s.HandlePoll(now, from, dhmessage.NewPoll(dhmessage.PollOptions{Version: version, Sent: now}), &out)
	return out.Items()[0].(*dheffect.Send).Message().(*dhmessage.Update)
}

// TestDeltasOrFullConfiguration asks with versions near and far: deltas where they are
// remembered, else the whole configuration, and that not again and again while
// it is under way.
func TestDeltasOrFullConfiguration(t *testing.T) {
	s := newLeader(20, 5)
	if u := poll(s, 10, "near", 17); len(u.Changes()) != 3 || u.Full() != nil {
		t.Errorf("near: %d changes, full %v", len(u.Changes()), u.Full() != nil)
	}
	if u := poll(s, 10, "far", 2); u.Full() == nil {
		t.Error("far: no whole configuration")
	}
	if u := poll(s, 400, "far", 2); u.Full() != nil || len(u.Changes()) != 0 {
		t.Error("far: the whole configuration was sent again while it is under way")
	}
	if u := poll(s, 10+fullResendTimeout, "far", 2); u.Full() == nil {
		t.Error("far: the whole configuration was not sent again")
	}
	if u := poll(s, 10, "current", 20); u.Full() != nil || len(u.Changes()) != 0 {
		t.Error("current: something was sent")
	}
}

// TestVersionNeverDecreases gives an instance late and repeated updates.
func TestVersionNeverDecreases(t *testing.T) {
	leader := newLeader(20, 20)
	s := New(Options{Self: "i", Zone: "z", Voters: []string{"c1"}})
	var out dheffect.List
	s.HandleUpdate(5, "c1", poll(leader, 5, "i", 0), &out)
	old := newLeader(3, 3)
	s.HandleUpdate(6, "c1", poll(old, 6, "i", 0), &out)
	s.HandleUpdate(7, "c1", dhmessage.NewUpdate(dhmessage.UpdateOptions{Sent: 7, Version: 3, Confirmed: true, Full: old.Catalog()}), &out)
	if s.Catalog().Version() != 20 {
		t.Errorf("version %d", s.Catalog().Version())
	}
}

// TestConfirmationRequiresVersion gives an instance the proof of a version that it
// doesn't have: it may not take it for its own.
func TestConfirmationRequiresVersion(t *testing.T) {
	s := New(Options{Self: "i", Zone: "z", Voters: []string{"c1"}, Now: 1})
	var out dheffect.List
	s.HandleUpdate(50, "c1", dhmessage.NewUpdate(dhmessage.UpdateOptions{Sent: 40, Version: 9, Confirmed: true}), &out)
	if _, ever := s.ConfirmedAt(); ever {
		t.Error("an older version was taken for current")
	}
	s.HandleUpdate(60, "c1", dhmessage.NewUpdate(dhmessage.UpdateOptions{Sent: 55, Version: 0, Confirmed: true, Age: 30}), &out)
	if at, ever := s.ConfirmedAt(); !ever || at != 25 {
		t.Errorf("confirmed at %d, want the asking time less the age, 25", at)
	}
}

// TestParentFailover tries one parent after another while they are silent, and never
// an instance that comes later by name, so that no circle can form.
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
	asked := map[string]int{}
	for now := dhclock.Millis(10); now < 5000; now += 20 {
		var out dheffect.List
		s.Tick(now, &out)
		for _, e := range out.Items() {
			asked[e.(*dheffect.Send).To()]++
		}
	}
	if asked["i1"] == 0 || asked["c1"] == 0 || asked["i3"] > 0 || asked["i2"] > 0 {
		t.Errorf("asked %v", asked)
	}
}

// TestLargeZoneHasTwoRelays looks whom the instances of a large zone poll first.
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
		t.Errorf("polled %v", polled)
	}
}

func newInstance(name string) dhcatalog.Object {
	return dhcatalog.NewInstance(dhcatalog.InstanceOptions{Name: name, Zone: "z", CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2"})
}

// TestDisconnectedRelayIsReplaced lets a zone's relay answer every poll although it has
// lost the voters itself: its instance must learn of a change from a voter
// within the freshness lease.
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
	s.HandleUpdate(1, "c1", dhmessage.NewUpdate(dhmessage.UpdateOptions{Sent: 1, Version: 1, Confirmed: true, Full: c}), &out)
	cut := dhclock.Millis(1000)
	asked := dhclock.Millis(0)
	for now := dhclock.Millis(1); now < 20_000; now += 20 {
		out.Reset()
		s.Tick(now, &out)
		for _, e := range out.Items() {
			send := e.(*dheffect.Send)
			poll := send.Message().(*dhmessage.Poll)
			age := dhclock.Millis(0)
			if send.To() == "i1" {
				age = max(0, now-cut)
			} else if asked == 0 && now > cut {
				asked = now
			}
			s.HandleUpdate(now, send.To(), dhmessage.NewUpdate(dhmessage.UpdateOptions{
				Sent: poll.Sent(), Version: 1, Confirmed: true, Age: age,
			}), &out)
		}
		if confirmed, _ := s.ConfirmedAt(); now > cut && now-confirmed > 2200 {
			t.Fatalf("%d ms after the cut the proof is %d ms old", now-cut, now-confirmed)
		}
	}
	if asked == 0 {
		t.Error("no voter was asked")
	}
}

// TestInFlightChangesNotResent polls a slow parent again and again: what
// is under way isn't sent twice at once, and ever more rarely if it doesn't
// arrive; changes that came meanwhile are sent alone.
func TestInFlightChangesNotResent(t *testing.T) {
	s := newLeader(20, 20)
	lengths := func(from, to, step dhclock.Millis, version uint64) (whole, partial int) {
		for now := from; now < to; now += step {
			switch n := len(poll(s, now, "i", version).Changes()); {
			case n >= 20:
				whole++
			case n > 0:
				partial++
			}
		}
		return whole, partial
	}
	if whole, partial := lengths(10, 10+10_000, startupPollInterval, 0); whole != 6 || partial != 0 {
		t.Errorf("in 10 s the changes were sent %d times whole and %d times in part", whole, partial)
	}
	c, a := nextChange(s.Catalog())
	s.SetCatalog(10_100, c, append(s.History(), a))
	if whole, partial := lengths(10_100, 10_300, startupPollInterval, 0); whole != 0 || partial != 1 {
		t.Errorf("after one more change: %d times whole and %d times in part", whole, partial)
	}
	if n := len(poll(s, 10_400, "i", 15).Changes()); n != 0 {
		t.Errorf("%d changes were sent again to a child that gets them", n)
	}
	if n := len(poll(s, 10_500, "i", 0).Changes()); n != 21 {
		t.Errorf("a child that has started again got %d changes", n)
	}
}

// TestReplicaReceivesNoChanges polls as a voter, which has the changes from the
// log.
func TestReplicaReceivesNoChanges(t *testing.T) {
	s := newLeader(20, 20)
	var out dheffect.List
	s.HandlePoll(10, "c2", dhmessage.NewPoll(dhmessage.PollOptions{Version: 3, Sent: 10, Replica: true}), &out)
	c, a := nextChange(s.Catalog())
	s.SetCatalog(20, c, append(s.History(), a))
	s.EndBatch(20, &out)
	for _, x := range out.Items() {
		if send, ok := x.(*dheffect.Send); ok && len(send.Message().(*dhmessage.Update).Changes()) > 0 {
			t.Error("changes were sent to a replica")
		}
	}
}

// TestChangesResentAfterFullConfiguration lets changes overtake the whole
// configuration that they follow, so that the child can't use them.
func TestChangesResentAfterFullConfiguration(t *testing.T) {
	s := newLeader(20, 5)
	if poll(s, 10, "i", 0).Full() == nil {
		t.Fatal("no whole configuration")
	}
	c, a := nextChange(s.Catalog())
	s.SetCatalog(20, c, append(s.History(), a))
	if n := len(poll(s, 110, "i", 0).Changes()); n != 1 {
		t.Fatalf("%d changes were sent after the whole configuration", n)
	}
	poll(s, 200, "i", 20)
	if n := len(poll(s, 200+minResendTimeout, "i", 20).Changes()); n != 1 {
		t.Errorf("%d changes were sent to a child that lacks one", n)
	}
}
