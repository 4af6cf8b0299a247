package dhdistribution

import (
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// TestConfirmationsCeaseWhileVersionsFollowOneAnother has an instance get a version every 100 ms.
// Each response to its polls is of a version that arrives 50 ms later. Its confirmation must not
// be older than half a second.
func TestConfirmationsCeaseWhileVersionsFollowOneAnother(t *testing.T) {
	leader := newLeader(100, 100)
	s := New(Options{Self: "i", Zone: "z", Voters: []string{"c1"}, Now: 1})
	var out dheffect.List
	for version := 1; version < 60; version++ {
		now := dhclock.Millis(1000 + 100*version)
		s.HandleUpdate(now, "c1", dhmessage.NewUpdate(dhmessage.UpdateOptions{
			PollSentAt: now - 20, Version: uint64(version), EverConfirmed: true, Age: 5,
		}), &out)
		s.HandleUpdate(now+50, "c1", dhmessage.NewUpdate(dhmessage.UpdateOptions{
			Version: uint64(version), Changes: changesOf(leader, version),
		}), &out)
		s.EndBatch(now+50, &out)
		if at, ok := s.ConfirmedAt(); !ok || now.Since(at) > 500 {
			t.Fatalf("version %d: confirmed: %t, %d ms ago", version, ok, now.Since(at))
		}
	}
}

// TestMembersPollTheLeaderForEachVersion has a learner get a version from the log. It must not
// poll the leader, which sent it.
func TestMembersPollTheLeaderForEachVersion(t *testing.T) {
	leader := newLeader(3, 3)
	s := New(Options{Self: "c2", Zone: "z", IsVoter: true, Voters: []string{"c1"}})
	s.SetLeader("c1")
	var out dheffect.List
	s.Tick(1000, &out)
	out.Reset()
	s.SetCatalog(1010, leader.Catalog(), leader.History())
	s.EndBatch(1010, &out)
	for _, e := range out.Items() {
		if send, ok := e.(*dheffect.Send); ok {
			t.Errorf("the learner sends %T", send.Message())
		}
	}
}

// changesOf returns the change set that leads to a version.
func changesOf(s *State, version int) []dhcatalog.ChangeSet {
	sets, _ := s.changeSetsSince(uint64(version - 1))
	return sets[:1]
}
