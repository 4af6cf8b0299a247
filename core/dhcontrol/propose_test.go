package dhcontrol

import (
	"slices"
	"testing"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// proposalReceivers returns the names of the processes that a list of effects
// sends a ProposeRequest to.
func proposalReceivers(out *dheffect.List) []string {
	var names []string
	for _, e := range out.Items() {
		send, ok := e.(*dheffect.Send)
		if !ok {
			continue
		}
		if _, ok := send.Message().(*dhmessage.ProposeRequest); ok {
			names = append(names, send.To())
		}
	}
	return names
}

// TestRetriesReachEveryVoter proposes a command at an entry instance with four
// configured voters, none of which responds, and advances the time until shortly
// before the deadline. The proposal must be sent to each voter. Retries that
// advance the position in the list of voters by two reach only half of an even
// number of voters, and the command fails if neither of those can commit it or
// name the leader.
func TestRetriesReachEveryVoter(t *testing.T) {
	const (
		start   dhclock.Millis = 1_000_000
		timeout dhclock.Millis = 5000
		step    dhclock.Millis = 20
	)
	voters := []string{"c1", "c2", "c3", "c4"}
	for _, c := range []struct{ name, leader string }{
		{"no leader is known", ""},
		{"the known leader doesn't respond", "c1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New(Options{Self: dhmessage.NewPeer("a1-1", ""), Zone: "a1", Voters: voters, StartID: 1, Now: start})
			var out dheffect.List
			s.Handle(dhevent.NewMessageReceived(start, dhevent.MessageReceivedOptions{
				From: dhmessage.NewPeer("c2", "c2-folder"), Message: dhmessage.NewRedirect(dhmessage.RedirectOptions{Leader: c.leader}),
			}), &out)
			s.Handle(dhevent.NewProposalRequested(start, dhevent.ProposalRequestedOptions{
				CorrelationID: 1, Command: dhmessage.NewEdit("test", nil, nil), Timeout: timeout,
			}), &out)
			for now := start + step; now < start+timeout; now += step {
				s.Handle(dhevent.NewTicked(now, dhevent.TickedOptions{}), &out)
			}
			receivers := proposalReceivers(&out)
			for _, voter := range voters {
				if !slices.Contains(receivers, voter) {
					t.Errorf("the proposal was never sent to %s, only to %v", voter, receivers)
				}
			}
		})
	}
}
