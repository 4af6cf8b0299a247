package dhnet

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// discardBytes is how much Discard reads at most: the usual size of a request with a small
// body.
const discardBytes = 16 << 10

// Discard reads and drops what has arrived on a TCP connection, up to 16 KiB, without waiting.
// It reports whether there was anything. A connection that is closed with unread bytes is
// reset, and the other side may lose what was sent to it.
func Discard(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	var buffer [discardBytes]byte
	err = raw.Control(func(fd uintptr) { n, _, _ = unix.Recvfrom(int(fd), buffer[:], unix.MSG_DONTWAIT) })
	return err == nil && n > 0
}
