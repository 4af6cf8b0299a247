package dhnet

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodhitch/core/dhbacklog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/io/dhtime"
)

// callers is a CallerListener with a clock of its own and the other sides of its connections.
type callers struct {
	*CallerListener
	t         *testing.T
	now       atomic.Int64
	refused   atomic.Int64
	open      []net.Conn
	accepting *countingListener
}

func newCallers(t *testing.T) *callers {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &callers{t: t, accepting: &countingListener{Listener: l}}
	clock := dhtime.New(func() dhclock.Millis { return dhclock.Millis(c.now.Load()) })
	c.CallerListener = NewCallerListener(c.accepting, clock, func(net.Conn) { c.refused.Add(1) })
	go c.Run()
	t.Cleanup(func() {
		l.Close()
		for _, x := range c.open {
			x.Close()
		}
	})
	return c
}

// connect opens connections, each of which carries one byte, and waits until all are accepted.
func (c *callers) connect(count int) {
	c.t.Helper()
	for range count {
		x, err := net.Dial("tcp", c.Addr().String())
		if err != nil {
			c.t.Fatal(err)
		}
		if _, err := x.Write([]byte{1}); err != nil {
			c.t.Fatal(err)
		}
		c.open = append(c.open, x)
	}
	for deadline := time.Now().Add(10 * time.Second); c.accepting.calls.Load() <= int64(len(c.open)); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("not all of %d connections were accepted within 10 s", len(c.open))
		}
	}
}

// countingListener counts the calls of Accept, of which each but the last has returned a
// connection that is in the backlog.
type countingListener struct {
	net.Listener
	calls atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	l.calls.Add(1)
	return l.Listener.Accept()
}

// accept accepts connections as long as there are any.
func (c *callers) accept() []net.Conn {
	c.t.Helper()
	var list []net.Conn
	for {
		accepted := make(chan net.Conn, 1)
		go func() {
			if x, err := c.Accept(); err == nil {
				accepted <- x
			}
		}()
		select {
		case x := <-accepted:
			list = append(list, x)
			c.t.Cleanup(func() { x.Close() })
		case <-time.After(300 * time.Millisecond):
			return list
		}
	}
}

// TestCrowdOfCallersFillsTheServer opens more connections than the server reads. It must get no
// more than it may have unread, the rest must wait, and the oldest beyond the backlog be refused.
func TestCrowdOfCallersFillsTheServer(t *testing.T) {
	c := newCallers(t)
	c.connect(dhbacklog.MaxWaiting + 10)
	if got := c.TurnedAway(); got != 10 || c.refused.Load() != 10 {
		t.Errorf("%d connections were turned away and %d refused, want 10", got, c.refused.Load())
	}
	list := c.accept()
	if len(list) != dhbacklog.MaxUnread {
		t.Errorf("the server got %d connections, want %d", len(list), dhbacklog.MaxUnread)
	}
}

// TestConnectionsOfCallersThatLeftReachTheServer lets connections wait until their callers have
// closed them. They must be dropped, and one that is open be served.
func TestConnectionsOfCallersThatLeftReachTheServer(t *testing.T) {
	c := newCallers(t)
	c.connect(5)
	for _, x := range c.open {
		x.Close()
	}
	c.now.Store(100)
	c.connect(1)
	list := c.accept()
	if len(list) != 1 || c.TurnedAway() != 5 || c.refused.Load() != 0 {
		t.Errorf("the server got %d connections, %d were turned away and %d refused; want 1, 5 and none", len(list), c.TurnedAway(), c.refused.Load())
	}
}

// TestCloseDropsWaitingConnections closes the listener while connections wait. The server must
// still get them, and an error after them.
func TestCloseDropsWaitingConnections(t *testing.T) {
	c := newCallers(t)
	c.connect(3)
	c.Close()
	time.Sleep(50 * time.Millisecond)
	for i := range 3 {
		x, err := c.Accept()
		if err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
		if _, err := io.ReadFull(x, make([]byte, 1)); err != nil {
			t.Errorf("connection %d: %v", i, err)
		}
		x.Close()
	}
	if _, err := c.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("after the last connection: %v, want %v", err, net.ErrClosed)
	}
}
