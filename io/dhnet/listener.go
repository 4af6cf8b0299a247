package dhnet

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dogwoodhitch/core/dhbacklog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/io/dhtime"
)

const (
	// staleWait is the wait from which on a connection that its caller has closed is
	// dropped unread, in milliseconds. One that waits less is served, because its caller
	// may have ended only its output.
	staleWait dhclock.Millis = 20
	// acceptRetryInterval is the time until connections are accepted again while this
	// process has no descriptors left.
	acceptRetryInterval = 5 * time.Millisecond
)

// CallerListener accepts connections of callers at once, and hands them to the server in the
// order and at the pace of a dhbacklog.Backlog.
type CallerListener struct {
	net.Listener
	clock      dhtime.Clock
	refuse     func(c net.Conn)
	turnedAway atomic.Int64
	changed    chan struct{} // has a value once Accept may have something to return
	mutex      sync.Mutex
	backlog    dhbacklog.Backlog[*callerConn]
	err        error // of the listener, after which no connections follow
}

// NewCallerListener returns a CallerListener on a TCP listener. It calls refuse, which must not
// block, with each connection that is turned away while its caller still waits; nil to close it
// without an answer.
func NewCallerListener(l net.Listener, clock dhtime.Clock, refuse func(c net.Conn)) *CallerListener {
	return &CallerListener{Listener: l, clock: clock, refuse: refuse, changed: make(chan struct{}, 1)}
}

// TurnedAway returns how many connections were closed unread, because their callers had left or
// too many waited.
func (l *CallerListener) TurnedAway() int64 { return l.turnedAway.Load() }

// Run moves connections from the system's queue to the backlog, until the listener is closed.
func (l *CallerListener) Run() {
	for {
		c, err := l.Listener.Accept()
		switch tcp, ok := c.(*net.TCPConn); {
		case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
			time.Sleep(acceptRetryInterval)
		case err != nil:
			l.end(err)
			return
		case ok:
			l.add(&callerConn{TCPConn: tcp, listener: l})
		default:
			c.Close()
		}
	}
}

func (l *CallerListener) add(c *callerConn) {
	l.mutex.Lock()
	oldest, isFull := l.backlog.Add(l.clock.Now(), c)
	l.mutex.Unlock()
	if isFull {
		l.turnAway(oldest)
	}
	l.signal()
}

// end lets Accept return an error once no connection waits.
func (l *CallerListener) end(err error) {
	l.mutex.Lock()
	l.err = err
	l.mutex.Unlock()
	l.signal()
}

func (l *CallerListener) signal() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

func (l *CallerListener) turnAway(c *callerConn) {
	l.turnedAway.Add(1)
	if l.refuse != nil && !IsClosedByPeer(c) {
		l.refuse(c.TCPConn)
	}
	_ = c.Close() // its caller gets no more either way
}

// Accept implements net.Listener. After Close it returns the connections that still wait.
func (l *CallerListener) Accept() (net.Conn, error) {
	for {
		now := l.clock.Now()
		l.mutex.Lock()
		c, wait, ok := l.backlog.Next(now)
		timeout, hasTimeout := l.backlog.NextTimeout(now)
		err := l.err
		l.mutex.Unlock()
		switch {
		case ok && wait >= staleWait && IsClosedByPeer(c):
			l.turnAway(c)
		case ok:
			return c, nil
		case hasTimeout:
			l.waitFor(timeout)
		case err != nil:
			return nil, err
		default:
			<-l.changed
		}
	}
}

// waitFor waits until the backlog has changed, at most for a time.
func (l *CallerListener) waitFor(timeout dhclock.Millis) {
	timer := time.NewTimer(dhtime.Duration(timeout + 1))
	defer timer.Stop()
	select {
	case <-l.changed:
	case <-timer.C:
	}
}

// callerConn is a connection of a caller.
type callerConn struct {
	*net.TCPConn
	listener *CallerListener
	wasRead  atomic.Bool
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if c.wasRead.CompareAndSwap(false, true) {
		c.listener.mutex.Lock()
		c.listener.backlog.Read(c)
		c.listener.mutex.Unlock()
		c.listener.signal()
	}
	return n, err
}
