package dhpeer

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"dogwoodhitch/core/dhmessage"
)

// pair is a sender of process a and the receiver of process b.
type pair struct {
	sender      *Sender
	received    chan dhmessage.Message
	lastSender  atomic.Value
	mailboxFull atomic.Bool
	// responses are the messages that the responses of the sender's calls carry.
	responses chan dhmessage.Message
}

// newPair returns a pair whose sender uses the given secret. Process b answers a
// GrantRequest with a Redirect, and knows no address of process a.
func newPair(t testing.TB, secret string) *pair {
	t.Helper()
	p := &pair{received: make(chan dhmessage.Message, 4096), responses: make(chan dhmessage.Message, 16)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	book := NewAddressBook(nil)
	senderOfB := NewSender(t.Context(), SenderOptions{
		Log: logrus.NewEntry(log), Lookup: func(string) string { return "" },
	})
	receiver := NewReceiver(ReceiverOptions{
		Self: dhmessage.NewPeer("b", "other"), CollectResponses: senderOfB.CollectResponses, Secret: "secret", RecordAddress: book.RecordAddress, Log: logrus.NewEntry(log),
		Receive: func(from dhmessage.Peer, m dhmessage.Message) bool {
			if p.mailboxFull.Load() {
				return false
			}
			p.lastSender.Store(from)
			if request, ok := m.(*dhmessage.GrantRequest); ok {
				senderOfB.Send(from.Name(), dhmessage.NewRedirect(dhmessage.RedirectOptions{CorrelationID: request.StartID()}))
			}
			p.received <- m
			return true
		},
	})
	_, handler := receiver.Handler()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	ctx, cancel := context.WithCancel(t.Context())
	p.sender = NewSender(ctx, SenderOptions{
		Self: dhmessage.NewPeer("a", "folder"), Address: "10.0.0.1:1", Secret: secret, Log: logrus.NewEntry(log),
		Receive: func(from dhmessage.Peer, m dhmessage.Message) bool {
			p.lastSender.Store(from)
			p.responses <- m
			return true
		},
		Lookup: func(name string) string {
			if name != "b" {
				return ""
			}
			return strings.TrimPrefix(s.URL, "http://")
		},
	})
	t.Cleanup(func() {
		cancel()
		p.sender.Wait()
	})
	return p
}

func newPoll(version uint64) dhmessage.Message {
	return dhmessage.NewPoll(dhmessage.PollOptions{Version: version})
}

// TestSend checks that messages arrive with the identity of their sender, and
// that sending neither blocks nor fails when the receiver's address is unknown
// or its mailbox and the queue are full.
func TestSend(t *testing.T) {
	p := newPair(t, "secret")
	p.sender.Send("unknown", newPoll(1))
	for i := range uint64(100) {
		p.sender.Send("b", newPoll(i))
	}
	seen := map[uint64]bool{}
	for range 100 {
		seen[(<-p.received).(*dhmessage.Poll).Version()] = true
	}
	if from := p.lastSender.Load().(dhmessage.Peer); len(seen) != 100 || from.Name() != "a" || from.FolderID() != "folder" {
		t.Errorf("received %d of 100 distinct messages, the last from %v", len(seen), from)
	}
	p.mailboxFull.Store(true)
	p.sender.Send("b", newPoll(1))
	for i := range uint64(2 * queueSize) { // must not block when the queue is full
		p.sender.Send("b", newPoll(i))
	}
}

// TestResponseReturnedInCall sends a request message to a process that can't
// call the sender, so that the response can only arrive in the sender's own
// call.
func TestResponseReturnedInCall(t *testing.T) {
	p := newPair(t, "secret")
	p.sender.Send("b", dhmessage.NewGrantRequest(dhmessage.GrantRequestOptions{StartID: 7}))
	if m := (<-p.responses).(*dhmessage.Redirect); m.CorrelationID() != 7 {
		t.Errorf("response: got %+v, want a Redirect with correlation ID 7", m)
	}
	if from := p.lastSender.Load().(dhmessage.Peer); from.Name() != "b" || from.FolderID() != "other" {
		t.Errorf("sender of the response: got %v, want b with folder other", from)
	}
}

// TestWrongSecretRejected checks that no message of a sender with another secret
// is delivered.
func TestWrongSecretRejected(t *testing.T) {
	p := newPair(t, "another")
	p.sender.Send("b", newPoll(1))
	select {
	case m := <-p.received:
		t.Errorf("message with a wrong secret was delivered: %v", m)
	case <-time.After(100 * time.Millisecond):
	}
}

// BenchmarkDeliver sends request messages one at a time, each answered within
// its call, and reports the processor time of both sides together.
func BenchmarkDeliver(b *testing.B) {
	p := newPair(b, "secret")
	var before, after syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &before); err != nil {
		b.Fatal(err)
	}
	n := 0
	for b.Loop() {
		p.sender.Send("b", dhmessage.NewGrantRequest(dhmessage.GrantRequestOptions{StartID: 7}))
		<-p.received
		<-p.responses
		n++
	}
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &after); err != nil {
		b.Fatal(err)
	}
	spent := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
	b.ReportMetric(float64(spent)/float64(n)/1000, "cpu-us/call")
}
