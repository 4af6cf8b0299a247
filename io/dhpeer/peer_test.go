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
	sender *Sender
	got    chan dhmessage.Message
	from   atomic.Value
	full   atomic.Bool
	// answers come with the calls of the sender.
	answers chan dhmessage.Message
}

func withPair(t testing.TB, secret string) *pair {
	t.Helper()
	p := &pair{got: make(chan dhmessage.Message, 4096), answers: make(chan dhmessage.Message, 16)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	book := NewBook(nil)
	answering := NewSender(t.Context(), SenderOptions{
		Log: logrus.NewEntry(log), Lookup: func(string) string { return "" },
	})
	receiver := NewReceiver(ReceiverOptions{
		Self: dhmessage.NewPeer("b", "other"), Answers: answering.Answers, Secret: "secret", Learn: book.Learn, Log: logrus.NewEntry(log),
		Take: func(from dhmessage.Peer, m dhmessage.Message) bool {
			if p.full.Load() {
				return false
			}
			p.from.Store(from)
			if u, ok := m.(*dhmessage.GrantRequest); ok {
				answering.Send(from.Name(), dhmessage.NewRedirect(dhmessage.RedirectOptions{CorrelationID: u.StartID()}))
			}
			p.got <- m
			return true
		},
	})
	_, handler := receiver.Handler()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	ctx, cancel := context.WithCancel(t.Context())
	p.sender = NewSender(ctx, SenderOptions{
		Self: dhmessage.NewPeer("a", "folder"), Address: "10.0.0.1:1", Secret: secret, Log: logrus.NewEntry(log),
		Take: func(from dhmessage.Peer, m dhmessage.Message) bool {
			p.from.Store(from)
			p.answers <- m
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

func poll(version uint64) dhmessage.Message {
	return dhmessage.NewPoll(dhmessage.PollOptions{Version: version})
}

// TestDelivery sends messages, and some that must be lost without harm.
func TestDelivery(t *testing.T) {
	p := withPair(t, "secret")
	p.sender.Send("unknown", poll(1))
	for i := range uint64(100) {
		p.sender.Send("b", poll(i))
	}
	seen := map[uint64]bool{}
	for range 100 {
		seen[(<-p.got).(*dhmessage.Poll).Version()] = true
	}
	if from := p.from.Load().(dhmessage.Peer); len(seen) != 100 || from.Name() != "a" || from.FolderID() != "folder" {
		t.Errorf("%d messages from %v", len(seen), from)
	}
	p.full.Store(true)
	p.sender.Send("b", poll(1))
	for i := range uint64(2 * queueSize) { // never waits, whatever the queue holds
		p.sender.Send("b", poll(i))
	}
}

// TestAnswerComesWithTheCall asks a question of a process that can't reach the
// asker by a call of its own.
func TestAnswerComesWithTheCall(t *testing.T) {
	p := withPair(t, "secret")
	p.sender.Send("b", dhmessage.NewGrantRequest(dhmessage.GrantRequestOptions{StartID: 7}))
	if m := (<-p.answers).(*dhmessage.Redirect); m.CorrelationID() != 7 {
		t.Errorf("got %+v", m)
	}
	if from := p.from.Load().(dhmessage.Peer); from.Name() != "b" || from.FolderID() != "other" {
		t.Errorf("from %v", from)
	}
}

// TestWrongSecret delivers nothing.
func TestWrongSecret(t *testing.T) {
	p := withPair(t, "another")
	p.sender.Send("b", poll(1))
	select {
	case m := <-p.got:
		t.Errorf("got %v", m)
	case <-time.After(100 * time.Millisecond):
	}
}

// BenchmarkDeliver sends questions one at a time, each answered within its
// call, and reports the processor time of both sides together.
func BenchmarkDeliver(b *testing.B) {
	p := withPair(b, "secret")
	var before, after syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &before); err != nil {
		b.Fatal(err)
	}
	n := 0
	for b.Loop() {
		p.sender.Send("b", dhmessage.NewGrantRequest(dhmessage.GrantRequestOptions{StartID: 7}))
		<-p.got
		<-p.answers
		n++
	}
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &after); err != nil {
		b.Fatal(err)
	}
	spent := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
	b.ReportMetric(float64(spent)/float64(n)/1000, "cpu-us/call")
}
