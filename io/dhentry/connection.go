package dhentry

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync/atomic"
)

// requestConn is a connection to an upstream or a peer. If it is closed before the response
// to a request has begun, it is reset: otherwise the kernel would go on to send what it holds
// of the request, which could arrive seconds after the attempt has ended.
type requestConn struct {
	*net.TCPConn
	unanswered atomic.Bool
	abandoned  atomic.Pointer[error] // the error of writes after abandon
	// carried is how many requests the transport has given the connection to.
	carried atomic.Int64
}

// dialRequestConn returns a dial function for requestConns.
func dialRequestConn(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if tcp, ok := c.(*net.TCPConn); ok {
			return &requestConn{TCPConn: tcp}, err
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
)

// Write implements net.Conn.
func (c *requestConn) Write(b []byte) (int, error) {
	if reason := c.abandoned.Load(); reason != nil {
		return 0, *reason
	}
	return c.TCPConn.Write(b)
}

// Close implements net.Conn.
func (c *requestConn) Close() error {
	if c.unanswered.Load() {
		// If that fails, the connection is closed in the usual way.
		_ = c.SetLinger(0)
	}
	return c.TCPConn.Close()
}
