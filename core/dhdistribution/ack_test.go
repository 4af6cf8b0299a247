package dhdistribution

import (
	"fmt"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// pollsOf counts the polls that a learner sends in a second in which an instance of its zone
// acknowledges something new every 10 ms, in a group with a number of members.
func pollsOf(members int) int {
	s := New(Options{Self: "c2", Zone: "z", IsVoter: true, Voters: []string{"c1"}})
	var list []dhmessage.Member
	for i := range members {
		list = append(list, dhmessage.NewMember(dhmessage.NewPeer(fmt.Sprint("c", i+1), ""), "a:1", i > 4))
	}
	s.SetMembers(list)
	s.SetLeader("c1")
	s.RecordConfirmation(1000)
	polls := 0
	for now := dhclock.Millis(1000); now < 2000; now += 10 {
		var out dheffect.List
		s.HandlePoll(now, "i", dhmessage.NewPoll(dhmessage.PollOptions{
			Version: uint64(now), SentAt: now, Acks: []dhmessage.Ack{dhmessage.NewAck("i", uint64(now), false)},
		}), &out)
		s.RecordConfirmation(now)
		s.Tick(now, &out)
		for _, e := range out.Items() {
			if _, isPoll := e.(*dheffect.Send).Message().(*dhmessage.Poll); isPoll {
				polls++
			}
		}
	}
	return polls
}

// TestAcknowledgementsSaturateTheLeader has the members of a consensus group forward
// acknowledgements while the configuration changes all the time. The leader may get 150 polls a
// second of them, a tenth of the calls that it has time for, however many members there are.
func TestAcknowledgementsSaturateTheLeader(t *testing.T) {
	for _, members := range []int{5, 9, 27} {
		if got := (members - 1) * pollsOf(members); got > 150 {
			t.Errorf("%d members: the leader gets %d polls a second, want at most 150", members, got)
		}
	}
}

// catalogOfZone returns a configuration with instances in one zone, i000 and so on.
func catalogOfZone(t *testing.T, instances int) *dhcatalog.Catalog {
	t.Helper()
	objects := []dhcatalog.Object{dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "z", Region: "r"})}
	for i := range instances {
		objects = append(objects, newInstance(fmt.Sprintf("i%03d", i)))
	}
	c, err := dhcatalog.New().Apply(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{ID: "x", Author: "test", Puts: objects}))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestInstancesPollForEachVersion has one of 273 instances get a version every 50 ms. It may
// acknowledge them with four polls a second. One of 14 instances must acknowledge each at once.
func TestInstancesPollForEachVersion(t *testing.T) {
	for _, c := range []struct{ instances, least, most int }{{273, 3, 5}, {14, 20, 25}} {
		leader := catalogOfZone(t, c.instances)
		s := New(Options{Self: "i000", Zone: "z", Voters: []string{"c1"}, Now: 1})
		s.SetMembers([]dhmessage.Member{memberIn("c1", "z")})
		var out dheffect.List
		s.HandleUpdate(900, "c1", dhmessage.NewUpdate(dhmessage.UpdateOptions{PollSentAt: 899, Version: 1, EverConfirmed: true, Full: leader}), &out)
		s.EndBatch(900, &out)
		polls := 0
		for now := dhclock.Millis(1000); now < 2000; now += 10 {
			out.Reset()
			if now%50 == 0 {
				next, change := nextChange(s.Catalog())
				s.HandleUpdate(now, "c1", dhmessage.NewUpdate(dhmessage.UpdateOptions{
					PollSentAt: now - 5, Version: next.Version(), EverConfirmed: true, Changes: []dhcatalog.ChangeSet{change.ChangeSet()},
				}), &out)
				s.EndBatch(now, &out)
			}
			s.Tick(now, &out)
			for _, e := range out.Items() {
				if send, ok := e.(*dheffect.Send); ok {
					if _, isPoll := send.Message().(*dhmessage.Poll); isPoll {
						polls++
					}
				}
			}
		}
		if polls < c.least || polls > c.most {
			t.Errorf("one of %d instances sends %d polls in a second, want %d to %d", c.instances, polls, c.least, c.most)
		}
	}
}
