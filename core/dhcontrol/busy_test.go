package dhcontrol

import (
	"errors"
	"strings"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhconsensus"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// declarationOfBytes returns a declaration with a text of some bytes.
func declarationOfBytes(number uint64, bytes int) dhmessage.Declare {
	return dhmessage.NewDeclare(dhcatalog.NewDeclaration(number, strings.Repeat("x", bytes)), nil)
}

// mostWaiting is the number of declarations of 1 MB that may wait at a process.
const mostWaiting = 16

// isBusy reports whether an error says that too many commands wait.
func isBusy(err error) bool {
	var refused dhmessage.RefusedError
	return errors.As(err, &refused) && refused.Kind() == "busy"
}

// TestOrdersWithoutALeaderFillTheMemory proposes 40 declarations of 1 MB at an instance that knows no
// leader. Those that don't fit must be refused at once, and fit again after the others have ended.
func TestOrdersWithoutALeaderFillTheMemory(t *testing.T) {
	s := New(Options{Self: dhmessage.NewPeer("a1-1", ""), Zone: "a1", Voters: []string{"c1"}, StartID: 1, Now: 1000})
	propose := func(id uint64) (refused bool) {
		var out dheffect.List
		s.Handle(dhevent.NewProposalRequested(s.now, dhevent.ProposalRequestedOptions{CorrelationID: id, Command: declarationOfBytes(id, 1<<20), Timeout: 900}), &out)
		for _, e := range out.Items() {
			if r, ok := e.(*dheffect.Reply); ok && r.CorrelationID() == id {
				return isBusy(r.Result().Err())
			}
		}
		return false
	}
	held := 0
	for id := range uint64(40) {
		if !propose(id + 1) {
			held++
		}
	}
	t.Logf("%d of 40 are held", held)
	if held == 0 || held > mostWaiting {
		t.Errorf("%d declarations of 1 MB are held, want 1 to %d", held, mostWaiting)
	}
	var out dheffect.List
	s.Handle(dhevent.NewTicked(s.now+1000, dhevent.TickedOptions{}), &out)
	if propose(100) {
		t.Error("a declaration is refused after the others have ended")
	}
	if s.proposals.bytes != dhmessage.CommandBytes(declarationOfBytes(100, 1<<20)) {
		t.Errorf("%d bytes count as outstanding, want those of one declaration", s.proposals.bytes)
	}
}

// TestOrdersWithoutAMajorityFillTheMemory proposes 40 declarations of 1 MB to a leader none of whose
// entries is committed. Those beyond the bound must be refused at once.
func TestOrdersWithoutAMajorityFillTheMemory(t *testing.T) {
	self := dhmessage.NewPeer("c1", "f1")
	founders := []dhmessage.Member{dhmessage.NewMember(self, "", false)}
	s := New(Options{Self: self, Voters: []string{"c1"}, StartID: 1, Now: 1000, Consensus: &dhconsensus.Options{Self: self, Founders: founders, Now: 1000}})
	handle := func(e dhevent.Event) []dheffect.Effect {
		var out dheffect.List
		s.Handle(e, &out)
		return out.Items()
	}
	for i := 0; i < 100 && !s.voter.node.IsLeader(); i++ {
		handle(dhevent.NewTicked(s.now+20, dhevent.TickedOptions{}))
	}
	handle(dhevent.NewTicked(s.now+20, dhevent.TickedOptions{}))
	if !s.voter.node.IsLeader() {
		t.Fatal("no leader")
	}
	appended, refused := 0, 0
	for id := range uint64(40) {
		before := s.voter.node.LastIndex()
		effects := handle(dhevent.NewMessageReceived(s.now, dhevent.MessageReceivedOptions{
			From: dhmessage.NewPeer("a1-1", ""), Message: dhmessage.NewProposeRequest(dhmessage.ProposeRequestOptions{CorrelationID: id + 1, Command: declarationOfBytes(id+1, 1<<20)}),
		}))
		appended += int(s.voter.node.LastIndex() - before)
		for _, e := range effects {
			if send, ok := e.(*dheffect.Send); ok {
				if r, ok := send.Message().(*dhmessage.ProposeResponse); ok && isBusy(r.Result().Err()) {
					refused++
				}
			}
		}
	}
	t.Logf("%d of 40 are in the log", appended)
	before := s.voter.node.LastIndex()
	outcome := dhmessage.NewOutcome(dhmessage.NewClaimKey("o", "k"), dhmessage.NewClaimant("a1-1", 1, 1), dhmessage.ClaimDone, dhmessage.NewResponse(200, nil, make([]byte, 1<<20)))
	handle(dhevent.NewMessageReceived(s.now, dhevent.MessageReceivedOptions{
		From: dhmessage.NewPeer("a1-1", ""), Message: dhmessage.NewProposeRequest(dhmessage.ProposeRequestOptions{CorrelationID: 99, Command: outcome}),
	}))
	if s.voter.node.LastIndex() == before {
		t.Error("the outcome of a request that has run is refused")
	}
	if appended == 0 || appended > mostWaiting || appended+refused != 40 {
		t.Errorf("%d declarations of 1 MB are in the log and %d are refused, want 1 to %d and the rest", appended, refused, mostWaiting)
	}
}
