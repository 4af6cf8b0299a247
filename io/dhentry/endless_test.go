package dhentry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhevent"
)

// endlessUpstream is a fake upstream that answers each request with a start and then
// repeats a piece of bytes until its connection is closed.
type endlessUpstream struct {
	net.Listener
	start  string
	piece  string
	sent   atomic.Int64 // bytes
	closed chan struct{}
}

func startEndlessUpstream(t *testing.T, start, piece string) *endlessUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	u := &endlessUpstream{Listener: l, start: start, piece: strings.Repeat(piece, 1+4096/len(piece)), closed: make(chan struct{}, 8)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	return u
}

func (u *endlessUpstream) serve(c net.Conn) {
	defer func() { u.closed <- struct{}{} }()
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	io.Copy(io.Discard, r.Body)
	text := strings.ReplaceAll(u.start, "ATTEMPT", r.Header.Get(HeaderAttempt))
	for {
		n, err := io.WriteString(c, text)
		u.sent.Add(int64(n))
		if err != nil {
			return
		}
		text = u.piece
		time.Sleep(100 * time.Microsecond)
	}
}

// tick sends the traffic state TrafficTicked events until the test ends.
func (e *testEntry) tick(t *testing.T) {
	t.Helper()
	ticker := time.NewTicker(10 * time.Millisecond)
	done := make(chan struct{})
	t.Cleanup(func() { ticker.Stop(); close(done) })
	go func() {
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				e.trafficState.Handle(func(at dhclock.Millis) dhevent.Event { return dhevent.NewTrafficTicked(at) })
			}
		}
	}()
}

// TestEndlessResponsesEndWithTheTimeout guards against requests, connections and
// memory that are held by an upstream which sends bytes without end. The request must
// end with the route's timeout at the latest, must not look complete to the caller,
// and the connection must be closed.
func TestEndlessResponsesEndWithTheTimeout(t *testing.T) {
	const okHead = "HTTP/1.1 200 OK\r\nDogwoodhitch-Attempt: ATTEMPT\r\n"
	const routeTimeout, slack = 400 * time.Millisecond, 500 * time.Millisecond
	for _, c := range []struct{ name, start, piece string }{
		{"no line end", "", "x"},
		{"zero bytes", "", "\x00"},
		{"empty lines", "", "\r\n"},
		{"header fields", okHead, "X: y\r\n"},
		{"header line", okHead + "X: ", "y"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
		{"switched protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\nDogwoodhitch-Attempt: ATTEMPT\r\n\r\n", "x"},
		{"body without a length", okHead + "\r\n", "x"},
		{"body with a huge length", okHead + "Content-Length: 9000000000000000000\r\n\r\n", "x"},
		{"chunks", okHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{"chunk extension", okHead + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"trailers", okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
		{"after a response", okHead + "Content-Length: 2\r\n\r\nok", "x"},
		{"refusal", "HTTP/1.1 503 Service Unavailable\r\nDogwoodhitch-Run: not-run\r\nDogwoodhitch-Attempt: ATTEMPT\r\n\r\n", "x"},
		{"response to another attempt", "HTTP/1.1 200 OK\r\nDogwoodhitch-Attempt: another\r\n\r\n", "x"},
	} {
		for _, method := range []string{http.MethodPost, http.MethodHead} {
			t.Run(c.name+" "+method, func(t *testing.T) {
				u := startEndlessUpstream(t, c.start, c.piece)
				e := startEntry(t, u.Addr().String())
				e.tick(t)
				startedAt := time.Now()
				got := e.send(method, "/write/1", "body")
				if took := time.Since(startedAt); took > routeTimeout+slack {
					t.Errorf("the request took %v, want at most %v", took, routeTimeout+slack)
				}
				complete := got.err == nil && got.kind == "" && got.status < 300
				if headOrWhole := method == http.MethodHead || c.name == "after a response"; complete && !headOrWhole {
					t.Errorf("got %d bytes that look complete", len(got.body))
				}
				select {
				case <-u.closed:
				case <-time.After(routeTimeout + slack):
					t.Errorf("the connection is still open %v after the request; the upstream has sent %d bytes", time.Since(startedAt), u.sent.Load())
				}
				// net/http closes the caller's connection when a write fails, just before
				// the handler reports the end of the request.
				for e.trafficState.OpenRequests() > 0 && time.Since(startedAt) < routeTimeout+slack {
					time.Sleep(time.Millisecond)
				}
				if open := e.trafficState.OpenRequests(); open != 0 {
					t.Errorf("%d requests are still open", open)
				}
			})
		}
	}
}

// TestEndlessResponseToACallerThatStopsReading has a caller that reads nothing of a
// response without end. The request must end with the route's timeout all the same: a
// full send buffer must not hold it.
func TestEndlessResponseToACallerThatStopsReading(t *testing.T) {
	u := startEndlessUpstream(t, "HTTP/1.1 200 OK\r\nDogwoodhitch-Attempt: ATTEMPT\r\nContent-Length: 9000000000000000000\r\n\r\n", "x")
	e := startEntry(t, u.Addr().String())
	caller, err := net.Dial("tcp", e.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	io.WriteString(caller, "POST /write/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+testKey+"\r\nContent-Length: 0\r\n\r\n")
	const routeTimeout, slack = 400 * time.Millisecond, 500 * time.Millisecond
	select {
	case <-u.closed:
	case <-time.After(routeTimeout + slack):
		t.Errorf("the connection to the upstream is still open after %v", routeTimeout+slack)
	}
	for deadline := time.Now().Add(slack); e.trafficState.OpenRequests() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the request is still open %v after its timeout", slack)
		}
	}
}
