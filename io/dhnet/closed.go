package dhnet

import (
	"context"
	"crypto/tls"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connectionKey is the key under which a request's context holds its connection.
type connectionKey struct{}

// ConnContext is a function for http.Server.ConnContext. It lets HasCallerLeft find the
// connection of a request.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// HasCallerLeft reports whether the caller has closed the connection of the request with a
// context, which may have ended since. The context tells that later, or never: net/http reads
// the end of a connection in a goroutine that waits for processor time like all others, and not
// behind bytes that follow the request. On HTTP/2 it doesn't see that a single stream was
// cancelled.
func HasCallerLeft(ctx context.Context) bool {
	c, _ := ctx.Value(connectionKey{}).(net.Conn)
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	s, ok := c.(syscall.Conn)
	return ok && IsClosedByPeer(s)
}

// IsClosedByPeer reports whether the other side of a TCP connection has ended its output or
// reset the connection, also if bytes that it sent before haven't been read. It doesn't block,
// and may be called while another goroutine reads. If the system can't tell, the connection
// counts as open.
func IsClosedByPeer(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		// Errors and hang-ups are reported whether or not they are asked for.
		fds := [...]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		ready, err := unix.Poll(fds[:], 0)
		closed = err == nil && ready > 0
	})
	return err == nil && closed
}
