package dhtestcluster

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"
)

// Direction is the way that data takes on a link.
type Direction int

// The directions of a link.
const (
	ToTarget Direction = iota
	FromTarget
)

// linkBufferBytes is the most that a link forwards at once.
const linkBufferBytes = 32 << 10

// Link is a TCP proxy that can be cut: it then closes all connections, and closes
// new ones at once until it is restored. It can also delay data, or hold it back in one
// direction while connections stay open.
type Link struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	changed  *sync.Cond // broadcast when data may be forwarded again
	cut      bool
	delay    time.Duration
	isSilent [2]bool // by Direction
	open     map[net.Conn]bool
}

// StartLink starts a link to a target address, which stops at the end of the
// test.
func StartLink(t *testing.T, target string) *Link {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	l := &Link{listener: listener, target: target, open: map[net.Conn]bool{}}
	l.changed = sync.NewCond(&l.mutex)
	t.Cleanup(func() {
		listener.Close()
		l.SetCut(true)
		l.SetSilent(ToTarget, false)
		l.SetSilent(FromTarget, false)
	})
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(c)
		}
	}()
	return l
}

// Address returns the address that the link listens on.
func (l *Link) Address() string { return l.listener.Addr().String() }

// forward copies the data of a connection to the target and back, until one side
// closes or the link is cut.
func (l *Link) forward(incoming net.Conn) {
	defer incoming.Close()
	l.mutex.Lock()
	cut := l.cut
	l.mutex.Unlock()
	if cut {
		return
	}
	outgoing, err := new(net.Dialer).DialContext(context.Background(), "tcp", l.target)
	if err != nil {
		return
	}
	defer outgoing.Close()
	l.mutex.Lock()
	l.open[incoming], l.open[outgoing] = true, true
	l.mutex.Unlock()
	go func() {
		l.copy(outgoing, incoming, ToTarget)
		outgoing.Close()
	}()
	l.copy(incoming, outgoing, FromTarget)
	l.mutex.Lock()
	delete(l.open, incoming)
	delete(l.open, outgoing)
	l.mutex.Unlock()
}

// copy forwards data in one direction until one side closes.
func (l *Link) copy(to, from net.Conn, d Direction) {
	buffer := make([]byte, linkBufferBytes)
	for {
		n, err := from.Read(buffer)
		l.hold(d)
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// hold waits until data may be forwarded in a direction.
func (l *Link) hold(d Direction) {
	l.mutex.Lock()
	for l.isSilent[d] {
		l.changed.Wait()
	}
	delay := l.delay
	l.mutex.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
}

// SetCut cuts or restores the link.
func (l *Link) SetCut(cut bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cut = cut
	if cut {
		for c := range l.open {
			c.Close()
		}
	}
}

// SetDelay delays data in both directions; 0 for no delay.
func (l *Link) SetDelay(delay time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.delay = delay
}

// SetSilent holds data back in one direction, or forwards what was held back.
func (l *Link) SetSilent(d Direction, silent bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.isSilent[d] = silent
	l.changed.Broadcast()
}

// Reset closes all connections by a TCP reset.
func (l *Link) Reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for c := range l.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails if the connection is closed already
		}
		c.Close()
	}
}
