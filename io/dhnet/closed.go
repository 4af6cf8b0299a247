package dhnet

import (
	"syscall"

	"golang.org/x/sys/unix"
)

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
