// Package dhnet checks addresses and sets socket options that the standard library
// leaves at the system's defaults.
package dhnet

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// TCPUserTimeout returns a Control function for net.Dialer or net.ListenConfig
// that sets TCP_USER_TIMEOUT: a connection fails once sent bytes have been
// unacknowledged for the timeout. The system's default is many minutes.
func TCPUserTimeout(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}
