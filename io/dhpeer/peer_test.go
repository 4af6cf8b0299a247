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

// pair is a sender and the receiver that it sends to.
type pair struct {
	sender      *Sender
	received    chan dhmessage.Message
	lastSender  atomic.Value
	mailboxFull atomic.Bool
	// responses come with the calls of the sender.
	responses chan dhmessage.Message
}

func newPair(t testing.TB, secret string) *pair {
	t.Helper()
	p := &pair{received: make(chan dhmessage.Message, 4096), responses: make(chan dhmessage.Message, 16)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	book := NewAddressBook(nil)
	answering := NewSender(t.Context(), SenderOptions{
		Log: logrus.NewEntry(log), Lookup: func(string) string { return "" },
	})
	receiver := NewReceiver(ReceiverOptions{
		Self: dhmessage.NewPeer("b", "other"), CollectResponses: answering.CollectResponses, Secret: "secret", RecordAddress: book.RecordAddress, Log: logrus.NewEntry(log),
		Receive: func(from dhmessage.Peer, m dhmessage.Message) bool {
			if p.mailboxFull.Load() {
				return false
			}
			p.lastSender.Store(from)
			if u, ok := m.(*dhmessage.GrantRequest); ok {
				answering.Send(from.Name(), dhmessage.NewRedirect(dhmessage.RedirectOptions{CorrelationID: u.StartID()}))
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

// TestSend sends messages, and some that must be lost without harm.
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
		t.Errorf("%d messages from %v", len(seen), from)
	}
	p.mailboxFull.Store(true)
	p.sender.Send("b", newPoll(1))
	for i := range uint64(2 * queueSize) { // never waits, whatever the queue holds
		p.sender.Send("b", newPoll(i))
	}
}

// TestResponseReturnedInCall asks a question of a process that can't reach the
// asker by a call of its own.
func TestResponseReturnedInCall(t *testing.T) {
	p := newPair(t, "secret")
	p.sender.Send("b", dhmessage.NewGrantRequest(dhmessage.GrantRequestOptions{StartID: 7}))
	if m := (<-p.responses).(*dhmessage.Redirect); m.CorrelationID() != 7 {
		t.Errorf("got %+v", m)
	}
	if from := p.lastSender.Load().(dhmessage.Peer); from.Name() != "b" || from.FolderID() != "other" {
		t.Errorf("from %v", from)
	}
}

// TestWrongSecretRejected delivers nothing.
func TestWrongSecretRejected(t *testing.T) {
	p := newPair(t, "another")
	p.sender.Send("b", newPoll(1))
	select {
	case m := <-p.received:
		t.Errorf("got %v", m)
	case <-time.After(100 * time.Millisecond):
	}
}

// BenchmarkDeliver sends questions one at a time, each answered within its
// call, and reports the processor time of both sides together.
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
