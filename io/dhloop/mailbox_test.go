package dhloop

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhconsensus"
	"dogwoodhitch/core/dhcontrol"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhreducer"
	"dogwoodhitch/io/dhtime"
)

// entries returns a message with an entry of a text of some bytes.
func entries(bytes int) dhevent.Event {
	d := dhmessage.NewDeclare(dhcatalog.NewDeclaration(1, strings.Repeat("x", bytes)), nil)
	return dhevent.NewMessageReceived(1, dhevent.MessageReceivedOptions{
		From:    dhmessage.NewPeer("c1", "f"),
		Message: dhmessage.NewAppendRequest(dhmessage.AppendRequestOptions{Term: 1, Entries: []dhmessage.Entry{dhmessage.NewEntry(1, 1, 1, d)}}),
	})
}

// newLoopWithDisk returns the loop of the only voter of a group, with a function that stores its log.
func newLoopWithDisk(persist func([]*dheffect.Persist) error) *Loop {
	self := dhmessage.NewPeer("c2", "f2")
	return New(dhreducer.NewControl(dhcontrol.Options{
		Self: self, Now: 1,
		Consensus: &dhconsensus.Options{Self: self, Founders: []dhmessage.Member{dhmessage.NewMember(self, "", false)}},
	}), Seams{
		Self: self, Clock: dhtime.System(), TickInterval: time.Millisecond, Random: func() uint64 { return 1 },
		Send: func(string, dhmessage.Message) {}, Persist: persist,
		SaveSnapshot: func(*dheffect.SaveSnapshot) error { return nil },
		Execute:      func(dheffect.Effect) {},
	})
}

// TestMailboxOfAStalledProcessFillsTheMemory sends a process whose disk stalls entries of 1 MB. It
// must turn most of them away, other messages must get through, and all once the disk works again.
func TestMailboxOfAStalledProcessFillsTheMemory(t *testing.T) {
	stalled, release := make(chan struct{}, 1), make(chan struct{})
	loop := newLoopWithDisk(func([]*dheffect.Persist) error {
		select {
		case stalled <- struct{}{}:
		default:
		}
		<-release
		return nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- loop.Run(ctx) }()
	<-stalled
	accepted := 0
	for range 200 {
		if loop.TryPost(entries(1 << 20)) {
			accepted++
		}
	}
	t.Logf("%d of 200 accepted", accepted)
	const most = 16
	if accepted == 0 || accepted > most {
		t.Errorf("%d of 200 entries of 1 MB are in the mailbox, want 1 to %d", accepted, most)
	}
	order := dhevent.NewProposalRequested(1, dhevent.ProposalRequestedOptions{
		Command: dhmessage.NewDeclare(dhcatalog.NewDeclaration(1, strings.Repeat("x", 1<<20)), nil),
	})
	var busy BusyError
	if err := loop.Post(ctx, order); !errors.As(err, &busy) {
		t.Errorf("an order of 1 MB gets %v, want a BusyError", err)
	}
	if !loop.TryPost(dhevent.NewSeedsChanged(1, nil)) {
		t.Error("an event without content is turned away")
	}
	close(release)
	for deadline := time.Now().Add(5 * time.Second); loop.mailboxBytes.Load() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are left in the mailbox", loop.mailboxBytes.Load())
		}
	}
	if !loop.TryPost(entries(1 << 20)) {
		t.Error("an entry is turned away after the stall")
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
