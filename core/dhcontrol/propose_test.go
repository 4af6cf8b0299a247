package dhcontrol

import (
	"errors"
	"slices"
	"testing"

	"dogwoodhitch/core/dhcatalog"
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

// TestValuesThatMessagesCantHoldAreProposed proposes commands with values that a message
// would truncate or couldn't carry. No message may leave the process.
func TestValuesThatMessagesCantHoldAreProposed(t *testing.T) {
	const beyond32Bits = 1 << 32
	declare := func(list ...dhcatalog.Object) dhmessage.Command {
		return dhmessage.NewDeclare(dhcatalog.NewDeclaration(1, "text"), list)
	}
	for name, command := range map[string]dhmessage.Command{
		"timeout":   declare(dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: "r", PathPrefix: "/", Service: "s", Timeout: beyond32Bits + 1000})),
		"cold rate": declare(dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "s", ColdRate: beyond32Bits + 19_000})),
		"rate":      declare(dhcatalog.NewLimit(dhcatalog.LimitOptions{Name: "l", Organisation: "o", Rate: beyond32Bits + 1, Burst: 1})),
		"text":      dhmessage.NewDeclare(dhcatalog.NewDeclaration(1, "\xff"), nil),
		"put":       dhmessage.NewEdit("test", []dhcatalog.Object{dhcatalog.NewEvacuation("\xff")}, nil),
		"delete":    dhmessage.NewEdit("test", nil, []dhcatalog.Ref{dhcatalog.NewRef(dhcatalog.KindEvacuation, "\xff")}),
	} {
		t.Run(name, func(t *testing.T) {
			s := New(Options{Self: dhmessage.NewPeer("a1-1", ""), Zone: "a1", Voters: []string{"c1"}, StartID: 1, Now: 1000})
			var out dheffect.List
			s.Handle(dhevent.NewProposalRequested(1000, dhevent.ProposalRequestedOptions{CorrelationID: 7, Command: command, Timeout: 1000}), &out)
			if receivers := proposalReceivers(&out); len(receivers) > 0 {
				t.Fatal("the command was sent to ", receivers)
			}
			var invalid dhcatalog.InvalidError
			if r, ok := out.Items()[0].(*dheffect.Reply); !ok || r.CorrelationID() != 7 || !errors.As(r.Result().Err(), &invalid) {
				t.Errorf("got %+v, want a reply with an InvalidError", out.Items()[0])
			}
		})
	}
}

// TestOddRecordOfAnotherReleaseStaysForGood proposes to remove a record whose name this release
// would refuse, together with another one. The removal must be sent.
func TestOddRecordOfAnotherReleaseStaysForGood(t *testing.T) {
	s := New(Options{Self: dhmessage.NewPeer("a1-1", ""), Zone: "a1", Voters: []string{"c1"}, StartID: 1, Now: 1000})
	var out dheffect.List
	s.Handle(dhevent.NewProposalRequested(1000, dhevent.ProposalRequestedOptions{
		CorrelationID: 1, Timeout: 5000, Command: dhmessage.NewEdit("test", nil, []dhcatalog.Ref{
			dhcatalog.NewRef(dhcatalog.KindUpstream, "na/me"), dhcatalog.NewRef(dhcatalog.KindUpstream, "good"),
		}),
	}), &out)
	if receivers := proposalReceivers(&out); !slices.Equal(receivers, []string{"c1"}) {
		t.Errorf("the removal was sent to %q, want c1", receivers)
	}
}
