package dhentry

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodhitch/io/dhnet"
)

// requestConn is a connection to an upstream or a peer. If it is closed before the response
// to a request has begun, it is reset: otherwise the kernel would go on to send what it holds
// of the request, which could arrive seconds after the attempt has ended.
//
// The transport of net/http pools a connection as soon as it has read a response, before the
// attempt has checked it and before it is known whether bytes follow the response. So an attempt
// acquires the connection that it gets from the transport, which waits for both.
type requestConn struct {
	*net.TCPConn
	unanswered atomic.Bool
	abandoned  atomic.Pointer[error] // the error of writes after abandon
	// checked holds a token unless an attempt has acquired the connection and not yet released
	// it.
	checked chan struct{}
	// written is whether the attempt that acquired the connection last may have written to it.
	written atomic.Bool
	// carried is how many requests the transport has given the connection to.
	carried atomic.Int64
	retired sync.Once
	// closeTimeout is how long the other side has to close the connection once it is retired.
	closeTimeout time.Duration

	mutex     sync.Mutex
	isWaiting bool          // the transport waits for bytes, and has taken none
	isClosed  bool          // by this side
	hasEnded  bool          // by the other side, or broken
	changed   chan struct{} // closed at the next change of one of these; nil if nobody waits
}

func newRequestConn(c *net.TCPConn, closeTimeout time.Duration) *requestConn {
	r := &requestConn{TCPConn: c, checked: make(chan struct{}, 1), closeTimeout: closeTimeout}
	r.release()
	return r
}

// acquire reports whether the connection may carry a request. If it has carried some before, it
// waits until the last response was checked and the transport reads beyond it. After true,
// release must follow.
func (c *requestConn) acquire(ctx context.Context, isReused bool) bool {
	if c == nil {
		return true
	}
	select {
	case <-c.checked:
	case <-ctx.Done():
		return false
	}
	if isReused && (c.abandoned.Load() != nil || !c.awaitRead(ctx)) {
		c.release()
		return false
	}
	c.written.Store(false)
	return true
}

// awaitRead waits until the transport waits for bytes and there are none, and reports whether
// that is so. The transport closes an idle connection instead if it gets bytes that belong to no
// request.
func (c *requestConn) awaitRead(ctx context.Context) bool {
	isIdle := false
	c.await(ctx, func() bool {
		isIdle = c.isWaiting && !c.isClosed && !dhnet.HasInput(c)
		return isIdle || c.isClosed
	})
	return isIdle
}

// awaitEnd waits until one side has closed the connection.
func (c *requestConn) awaitEnd(ctx context.Context) {
	c.await(ctx, func() bool { return c.hasEnded || c.isClosed })
}

// await waits until a condition on the state that change changes holds, or the context ends.
func (c *requestConn) await(ctx context.Context, condition func() bool) {
	for {
		changed := c.changedUnless(condition)
		if changed == nil {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// changedUnless returns nil if a condition holds, else a channel that is closed at the next change
// of the state.
func (c *requestConn) changedUnless(condition func() bool) <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if condition() {
		return nil
	}
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// change changes the state that await waits for.
func (c *requestConn) change(f func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	f()
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// release lets the next attempt acquire the connection.
func (c *requestConn) release() {
	if c != nil {
		c.checked <- struct{}{}
	}
}

// retire lets the connection carry no request any more. Only the output is closed at first, so
// that the connection counts among those to the upstream until that has closed it too: an
// upstream may reset connections beyond a number.
func (c *requestConn) retire() {
	if c == nil {
		return
	}
	c.abandon(errRetired)
	c.retired.Do(func() {
		if c.CloseWrite() != nil {
			_ = c.Close()
			return
		}
		time.AfterFunc(c.closeTimeout, func() { _ = c.Close() })
	})
}

// reset resets the connection, which carries no request any more.
func (c *requestConn) reset() {
	if c == nil {
		return
	}
	c.abandon(errRetired)
	c.setUnanswered(true)
	_ = c.Close()
}

// abandonUnwritten lets nothing be written to the connection any more, and reports whether
// nothing was. The alert with which TLS closes a connection counts as written.
func (c *requestConn) abandonUnwritten() bool {
	if c == nil {
		return false
	}
	c.abandon(errRetired)
	return !c.written.Load()
}

// isWritten reports whether the attempt that acquired the connection last may have written
// to it.
func (c *requestConn) isWritten() bool { return c == nil || c.written.Load() }

// dialRequestConn returns a dial function for requestConns.
func dialRequestConn(d *net.Dialer, closeTimeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if tcp, ok := c.(*net.TCPConn); ok {
			return newRequestConn(tcp, closeTimeout), err
		}
		return c, err
	}
}

// requestConnOf returns the requestConn below a connection of the transport, or nil.
func requestConnOf(c net.Conn) *requestConn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	r, _ := c.(*requestConn)
	return r
}

// setUnanswered records whether the connection carries a request to which no response has
// begun.
func (c *requestConn) setUnanswered(unanswered bool) {
	if c != nil {
		c.unanswered.Store(unanswered)
	}
}

// countRequest counts a request that the connection carries, and returns how many it had
// carried before; nil if that is unknown.
func (c *requestConn) countRequest() *int {
	if c == nil {
		return nil
	}
	return new(int(c.carried.Add(1) - 1))
}

// localAddress returns the address of this side, which identifies the connection, or "".
func (c *requestConn) localAddress() string {
	if c == nil {
		return ""
	}
	return c.LocalAddr().String()
}

// abandon lets nothing more be written to the connection, for a reason.
func (c *requestConn) abandon(reason error) {
	if c != nil {
		c.abandoned.Store(&reason)
	}
}

// Reasons to abandon a connection.
var (
	errCallerLeft = errors.New("the caller has closed its connection")
	errLate       = errors.New("the upstream may have departed: the configuration here is too old by now")
	errRetired    = errors.New("the connection is closed, or carries no request any more")
)

// Read implements net.Conn.
func (c *requestConn) Read(b []byte) (int, error) {
	c.change(func() { c.isWaiting = true })
	if dhnet.AwaitInput(c) == nil {
		// Until this change is seen, awaitRead sees the bytes in the kernel.
		c.change(func() { c.isWaiting = false })
	}
	n, err := c.TCPConn.Read(b)
	c.change(func() { c.isWaiting, c.hasEnded = false, c.hasEnded || err != nil })
	return n, err
}

// Write implements net.Conn.
func (c *requestConn) Write(b []byte) (int, error) {
	c.written.Store(true)
	if reason := c.abandoned.Load(); reason != nil {
		return 0, *reason
	}
	return c.TCPConn.Write(b)
}

// Close implements net.Conn.
func (c *requestConn) Close() error {
	c.change(func() { c.isClosed = true })
	if c.unanswered.Load() {
		// If that fails, the connection is closed in the usual way.
		_ = c.SetLinger(0)
	}
	return c.TCPConn.Close()
}
