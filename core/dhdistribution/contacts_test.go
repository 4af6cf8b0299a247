package dhdistribution

import (
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhhistory"
	"dogwoodhitch/core/dhmessage"
)

// newMember returns the state of a member of the consensus group with two instances, i1 and
// i2, in its configuration. It follows c1.
func newMember(t *testing.T, name string) *State {
	c, err := dhcatalog.New().Apply(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{ID: "x", Author: "test", Puts: []dhcatalog.Object{
		dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "z", Region: "r"}), newInstance("i1"), newInstance("i2"),
	}}))
	if err != nil {
		t.Fatal(err)
	}
	s := New(Options{Self: name, IsVoter: true, Voters: []string{"c1", "c2", "c3"}, Now: 1})
	s.SetCatalog(1, c, dhhistory.History{})
	s.SetLeader("c1")
	return s
}

// startLeading elects a member whose configuration is confirmed.
func startLeading(s *State, now dhclock.Millis) {
	s.SetLeader(s.self)
	s.SetLeading(true, now)
	s.RecordConfirmation(now)
}

// reportSilences lets a leader report instances to a member.
func reportSilences(s *State, now dhclock.Millis, from string, silences []dhmessage.Silence, unavailable ...dhmessage.UnavailableInstance) {
	s.HandleUpdate(now, from, dhmessage.NewUpdate(dhmessage.UpdateOptions{
		PollSentAt: now, Version: s.catalog.Version(), EverConfirmed: true, Leader: from, Silences: silences, Unavailable: unavailable,
	}), &dheffect.List{})
}

// pollLeader lets a member poll a leader, and returns the response after the member handled it.
func pollLeader(t *testing.T, now dhclock.Millis, member, leader *State) *dhmessage.Update {
	member.SetLeader(leader.self)
	member.PollNow()
	var out dheffect.List
	member.Tick(now, &out)
	for _, e := range out.Items() {
		if send, ok := e.(*dheffect.Send); ok && send.To() == leader.self {
			var response dheffect.List
			leader.HandlePoll(now, member.self, send.Message().(*dhmessage.Poll), &response)
			u := response.Items()[0].(*dheffect.Send).Message().(*dhmessage.Update)
			member.HandleUpdate(now, leader.self, u, &dheffect.List{})
			return u
		}
	}
	t.Fatalf("%s doesn't poll %s", member.self, leader.self)
	return nil
}

// requireContact fails unless a leader knows when it last heard of an instance.
func requireContact(t *testing.T, s *State, name string, want dhclock.Millis) {
	t.Helper()
	if c, known := s.lastContact(name); !known || c.at != want {
		t.Errorf("%s: the last contact of %s was at %d (known: %v), want %d", s.self, name, c.at, known, want)
	}
}

// TestRestartedLeaderLearnsFromMembers elects a process that has just started. The first poll
// of a member must tell it which instances were silent and which look-ups left out.
func TestRestartedLeaderLearnsFromMembers(t *testing.T) {
	member, leader := newMember(t, "c2"), newMember(t, "c3")
	reportSilences(member, 10_000, "c1", []dhmessage.Silence{dhmessage.NewSilence("i1", 4000)}, dhmessage.NewUnavailableInstance("i1", false))
	startLeading(leader, 11_000)
	u := pollLeader(t, 11_020, member, leader)
	if len(u.Unavailable()) != 1 || u.Unavailable()[0].Instance() != "i1" {
		t.Errorf("look-ups leave out %v, want i1", u.Unavailable())
	}
	requireContact(t, leader, "i1", 6000)
	requireContact(t, leader, "i2", 10_000)
	leader.EndBatch(11_100, &dheffect.List{})
	if !leader.isUnavailable("i1") || leader.isUnavailable("i2") {
		t.Errorf("the leader leaves out %v after a check, want i1", leader.unavailable)
	}
}

// TestReportOfARestartedLeaderHidesNothing lets a leader that has just started report to a
// member before anyone has told it what it lacks, or before it has its configuration, and lets
// a process answer that doesn't lead. The next leader must know what was known before.
func TestReportOfARestartedLeaderHidesNothing(t *testing.T) {
	earlier := []dhmessage.Silence{dhmessage.NewSilence("i1", 2000)}
	for name, o := range map[string]dhmessage.UpdateOptions{
		"never heard": {Version: 1, EverConfirmed: true, Leader: "c1", Silences: []dhmessage.Silence{
			dhmessage.NewSilence("i1", 100).WithNeverHeard(true), dhmessage.NewSilence("i2", 100).WithNeverHeard(true),
		}},
		"unconfirmed":   {Version: 1, Leader: "c1"},
		"older version": {EverConfirmed: true, Leader: "c1"},
		"not leading":   {Version: 1, EverConfirmed: true, Leader: "c3"},
	} {
		t.Run(name, func(t *testing.T) {
			member, witness, next := newMember(t, "c2"), newMember(t, "c3"), newMember(t, "c1")
			reportSilences(member, 10_000, "c1", earlier)
			reportSilences(witness, 9900, "c1", earlier)
			o.PollSentAt = 11_000
			member.HandleUpdate(11_000, "c1", dhmessage.NewUpdate(o), &dheffect.List{})
			newcomer := newMember(t, "c4")
			newcomer.HandleUpdate(11_000, "c1", dhmessage.NewUpdate(o), &dheffect.List{})

			startLeading(next, 12_000)
			pollLeader(t, 12_020, newcomer, next)
			pollLeader(t, 12_020, witness, next)
			requireContact(t, next, "i1", 7900)
			requireContact(t, next, "i2", 9900)

			startLeading(member, 12_000)
			requireContact(t, member, "i1", 8000)
			requireContact(t, member, "i2", 10_000)
		})
	}
}

// TestLeaderIgnoresItsOwnReport lets a leader's own report come back to it. It is no contact:
// the instance's silence would start anew with each report.
func TestLeaderIgnoresItsOwnReport(t *testing.T) {
	member, leader := newMember(t, "c2"), newMember(t, "c1")
	startLeading(leader, 10_000)
	leader.recordAck(10_100, dhmessage.NewAck("i1", 1, false))
	for now := dhclock.Millis(10_120); now < 12_000; now += 400 {
		pollLeader(t, now, member, leader)
	}
	requireContact(t, leader, "i1", 10_100)
}

// TestShortLeadershipsKeepASilence lets members lead one after the other, each for less than the
// time after which an instance counts as silent. Its silence must not start anew.
func TestShortLeadershipsKeepASilence(t *testing.T) {
	states := []*State{newMember(t, "c1"), newMember(t, "c2"), newMember(t, "c3")}
	startLeading(states[0], 10_000)
	states[0].recordAck(10_000, dhmessage.NewAck("i1", 1, false))
	for i := range 6 {
		now := 10_500 + dhclock.Millis(i)*900
		leader, next := states[i%3], states[(i+1)%3]
		pollLeader(t, now, next, leader)
		leader.SetLeading(false, now+100)
		startLeading(next, now+500)
	}
	if c, known := states[0].lastContact("i1"); !known || c.at > 10_000+silenceReportAge {
		t.Errorf("the last contact was at %d (known: %v), want at most %d", c.at, known, 10_000+silenceReportAge)
	}
}

// TestOlderReportReplacesNothing lets two members tell a new leader what they know, in both
// orders. What the older report says of an instance that was in contact later doesn't count.
func TestOlderReportReplacesNothing(t *testing.T) {
	for _, olderFirst := range []bool{false, true} {
		older, newer, leader := newMember(t, "c1"), newMember(t, "c2"), newMember(t, "c3")
		reportSilences(older, 8000, "c1", []dhmessage.Silence{dhmessage.NewSilence("i2", 3500)}, dhmessage.NewUnavailableInstance("i2", false))
		reportSilences(newer, 10_000, "c1", []dhmessage.Silence{dhmessage.NewSilence("i1", 2000)})
		startLeading(leader, 11_000)
		members := []*State{newer, older}
		if olderFirst {
			members = []*State{older, newer}
		}
		for _, m := range members {
			pollLeader(t, 11_020, m, leader)
		}
		requireContact(t, leader, "i1", 8000)
		requireContact(t, leader, "i2", 10_000)
		if leader.isUnavailable("i2") {
			t.Error("look-ups leave out i2, which was in contact after that report")
		}
	}
}

// TestLeaderWithoutItsConfigurationKeepsWhatItIsTold lets a process lead that has restarted and
// applied nothing of its log yet. It doesn't know the instances, and mustn't take them for
// present when it steps down.
func TestLeaderWithoutItsConfigurationKeepsWhatItIsTold(t *testing.T) {
	member := newMember(t, "c2")
	leader := New(Options{Self: "c3", IsVoter: true, Voters: []string{"c1", "c2", "c3"}, Now: 1})
	reportSilences(member, 10_000, "c1", []dhmessage.Silence{dhmessage.NewSilence("i1", 4000)}, dhmessage.NewUnavailableInstance("i1", false))
	leader.SetLeader("c3")
	leader.SetLeading(true, 11_000)
	pollLeader(t, 11_020, member, leader)
	leader.EndBatch(11_200, &dheffect.List{})
	if !leader.isUnavailable("i1") {
		t.Error("the leader has forgotten that i1 was left out")
	}
	leader.SetLeading(false, 11_500)
	requireContact(t, leader, "i1", 6000)
	requireContact(t, member, "i1", 6000)
}
