// Package dhnet sets what the standard library leaves to the system's defaults
// on sockets.
package dhnet

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// TCPUserTimeout returns a function for net.Dialer or net.ListenConfig that lets a
// connection fail once sent bytes have stayed unacknowledged for a span. The
// system's default is many minutes.
func TCPUserTimeout(span time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(span.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}
