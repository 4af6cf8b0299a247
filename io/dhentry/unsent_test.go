package dhentry

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"

	"dogwoodhitch/core/dhevent"
)

// TestUnsentRequestBreaksWithItsConnection lets the transport close a connection between the
// time at which an attempt gets it and the first byte of the request. The request must be sent on
// the next connection.
func TestUnsentRequestBreaksWithItsConnection(t *testing.T) {
	u := startUpstream(t, func(*http.Request, int64) (string, bool) { return "", true })
	s := startEchoingServer(t)
	sent := 0
	s.clients.pooled.Transport = transportFunc(func(r *http.Request) (*http.Response, error) {
		c := connectTo(t, u.Addr().String())
		trace := httptrace.ContextClientTrace(r.Context())
		if sent++; sent == 1 {
			c.carried.Store(1)
			go func() { _, _ = c.Read(make([]byte, 1)) }()
			trace.GotConn(httptrace.GotConnInfo{Conn: c, Reused: true, WasIdle: true})
			return nil, errors.New("the connection was closed")
		}
		trace.GotConn(httptrace.GotConnInfo{Conn: c})
		raw := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", HeaderRequestID, r.Header.Get(HeaderRequestID))
		return http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), r)
	})
	if end, err := s.attemptOnce(t.Context(), u.Addr().String(), "x"); end != dhevent.EndAnswered {
		t.Errorf("the attempt ended as %v (%v), want %v", end, err, dhevent.EndAnswered)
	}
}
