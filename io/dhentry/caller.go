package dhentry

import (
	"context"
	"crypto/tls"
	"net"
	"syscall"

	"dogwoodhitch/io/dhnet"
)

// connectionKey is the key under which a request's context holds its connection.
type connectionKey struct{}

// ConnContext is the function http.Server.ConnContext of the servers for callers and peers. It
// lets the handlers find the connection of a request.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// callerConnection returns the TCP connection on which a request arrived; nil if it is unknown.
func callerConnection(ctx context.Context) syscall.Conn {
	c, _ := ctx.Value(connectionKey{}).(net.Conn)
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	s, _ := c.(syscall.Conn)
	return s
}

// hasCallerLeft reports whether the caller has closed its connection. The request's context
// tells that later, or never: net/http reads the end of a connection in a goroutine that waits
// for processor time like all others, and not behind bytes that follow the request.
func (in *inbound) hasCallerLeft() bool {
	return in.connection != nil && dhnet.IsClosedByPeer(in.connection)
}
