package dhdistribution

import (
	"fmt"
	"testing"

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
