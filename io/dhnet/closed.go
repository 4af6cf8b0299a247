package dhnet

import (
	"context"
	"crypto/tls"
	"errors"
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
	isReady, err := poll(c, unix.POLLRDHUP)
	return err == nil && isReady
}

// HasInput reports whether bytes of a TCP connection, or its end, wait to be read. It doesn't
// block, and may be called while another goroutine reads. If the system can't tell, they do.
func HasInput(c syscall.Conn) bool {
	isReady, err := poll(c, unix.POLLIN)
	return err != nil || isReady
}

// AwaitInput waits until bytes of a connection, or its end, wait to be read, and reads none. The
// connection's read deadline applies.
func AwaitInput(c syscall.Conn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var pollErr error
	err = raw.Read(func(fd uintptr) bool {
		isReady := false
		isReady, pollErr = pollNow(fd, unix.POLLIN)
		return pollErr != nil || isReady
	})
	return errors.Join(err, pollErr)
}

// poll asks the system for an event on a connection.
func poll(c syscall.Conn, event int16) (isReady bool, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return false, err
	}
	var pollErr error
	err = raw.Control(func(fd uintptr) { isReady, pollErr = pollNow(fd, event) })
	return isReady, errors.Join(err, pollErr)
}

// pollNow reports whether there is an event, an error or a hang-up on a descriptor.
func pollNow(fd uintptr, event int16) (bool, error) {
	fds := [...]unix.PollFd{{Fd: int32(fd), Events: event}}
	for {
		ready, err := unix.Poll(fds[:], 0)
		if !errors.Is(err, unix.EINTR) {
			return ready > 0, err
		}
	}
}
