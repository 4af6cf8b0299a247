package dhentry

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"

	"dogwoodhitch/core/dhevent"
)

// transportFunc is a function as a transport.
type transportFunc func(r *http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f transportFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// connectTo returns a connection to an address that no attempt has used.
func connectTo(t *testing.T, address string) *requestConn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return newRequestConn(c.(*net.TCPConn), closeTimeout)
}

// TestCopyIsTakenForTheResponseToAnUnsentRequest gives an attempt a connection that an earlier
// one has retired. The transport reads the copy of a refusal that it had buffered, before it
// sees that the request can't be written. The request must be sent on the next connection.
func TestCopyIsTakenForTheResponseToAnUnsentRequest(t *testing.T) {
	u := startUpstream(t, func(*http.Request, int64) (string, bool) { return "", true })
	retired := connectTo(t, u.Addr().String())
	if !retired.acquire(t.Context(), false) {
		t.Fatal("a new connection can't be acquired")
	}
	retired.retire()
	retired.release()
	sent := 0
	s := startEchoingServer(t)
	s.clients.pooled.Transport = transportFunc(func(r *http.Request) (*http.Response, error) {
		id, c := "earlier", retired
		if sent++; sent > 1 {
			id, c = r.Header.Get(HeaderRequestID), connectTo(t, u.Addr().String())
		}
		httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{Conn: c, Reused: sent == 1, WasIdle: true})
		raw := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", HeaderRequestID, id)
		if id == "earlier" {
			raw = strings.Replace(raw, "200 OK", "503 X\r\n"+HeaderRun+": "+NotRun, 1)
		}
		return http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), r)
	})
	if end, err := s.attemptOnce(t.Context(), u.Addr().String(), "x"); end != dhevent.EndAnswered {
		t.Errorf("the attempt ended as %v (%v), want %v", end, err, dhevent.EndAnswered)
	}
}
