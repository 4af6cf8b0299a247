package dhentry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"testing"
	"time"

	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/io/dhtime"
)

// echoingDialect returns a dialect in which upstreams echo the caller's request ID, which is the
// same for all attempts of a request.
func echoingDialect() *Dialect {
	o := StandardDialect().options
	o.AttemptHeader = ""
	return NewDialect(o)
}

// startEchoingServer returns a server with a few connections to each upstream, which echo the
// caller's request ID.
func startEchoingServer(t *testing.T) *Server {
	t.Helper()
	s := New(Options{Clock: dhtime.System(), Dialect: echoingDialect(), MaxConnections: 4})
	t.Cleanup(s.Close)
	return s
}

// attemptOnce sends a request that must not be repeated to an upstream, and returns how the
// attempt ended. While the upstream doesn't accept a connection in time, which a busy machine
// delays, it tries again: nothing was sent.
func (s *Server) attemptOnce(ctx context.Context, address, id string) (end dhevent.AttemptEnd, err error) {
	for range 20 {
		if end, err = s.attempt(ctx, address, id); end != dhevent.EndNotSent {
			break
		}
	}
	return end, err
}

func (s *Server) attempt(ctx context.Context, address, id string) (dhevent.AttemptEnd, error) {
	in := &inbound{id: id, method: http.MethodPost, host: "h", url: &url.URL{Path: "/x"}, header: http.Header{}, body: []byte("x")}
	a := s.sendAttempt(ctx, in, target{address: address, timeout: 10_000, mustEcho: true}, 1<<10)
	if a.end == dhevent.EndAnswered {
		a.close()
	}
	return a.end, a.err
}

// sendBesideEachOther calls a function with 2,400 request IDs from 24 goroutines.
func sendBesideEachOther(f func(id string)) {
	var all sync.WaitGroup
	for n := range 24 {
		all.Go(func() {
			for i := range 100 {
				f(fmt.Sprint(n, "-", i))
			}
		})
	}
	all.Wait()
}

// serveConnections accepts connections for a function, which closes them.
func serveConnections(t *testing.T, serve func(c *net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// copyTime is when an upstream writes the copy of a refusal.
type copyTime int

const (
	withRefusal copyTime = iota // in the same segment
	soonAfterRefusal
	beforeNextResponse
	copyTimes
)

// copyingUpstream refuses the first sending of each request ID, answers later ones, and writes a
// copy of each refusal on its connection.
type copyingUpstream struct {
	mutex   sync.Mutex
	sent    map[string]int // by request ID
	refusal string         // with a verb for the request ID
}

func (u *copyingUpstream) serve(c *net.TCPConn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	owed := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(HeaderRequestID)
		u.mutex.Lock()
		u.sent[id]++
		isFirst, refusals := u.sent[id] == 1, len(u.sent)
		u.mutex.Unlock()
		if !isFirst {
			_, _ = fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 3\r\n\r\nran", owed, HeaderRequestID, id)
			continue
		}
		refusal := fmt.Sprintf(u.refusal, id)
		switch copyTime(refusals) % copyTimes {
		case withRefusal:
			_, _ = io.WriteString(c, owed+refusal+refusal)
		case soonAfterRefusal:
			_, _ = io.WriteString(c, owed+refusal)
			time.Sleep(100 * time.Microsecond)
			_, _ = io.WriteString(c, refusal)
		default:
			_, _ = io.WriteString(c, owed+refusal)
			owed = refusal
		}
	}
}

// TestCopyOfARefusalIsTakenForAResponse sends many requests beside each other over few
// connections to an upstream that writes copies of its refusals. Each must be refused once and
// then answered, whatever requests the connections carried before.
func TestCopyOfARefusalIsTakenForAResponse(t *testing.T) {
	for _, refusal := range []string{
		"HTTP/1.1 503 X\r\n" + HeaderRequestID + ": %s\r\n" + HeaderRun + ": " + NotRun + "\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 X\r\n" + HeaderRequestID + ": %s\r\n" + HeaderRun + ": " + NotRun + "\r\nContent-Length: 4\r\n\r\nfull",
	} {
		u := &copyingUpstream{sent: map[string]int{}, refusal: refusal}
		address := serveConnections(t, u.serve)
		s := startEchoingServer(t)
		sendBesideEachOther(func(id string) {
			first, _ := s.attemptOnce(t.Context(), address, id)
			second, err := s.attemptOnce(t.Context(), address, id)
			if first != dhevent.EndRefused || second != dhevent.EndAnswered {
				t.Errorf("request %s ended as %v, then as %v (%v); want %v, then %v", id, first, second, err, dhevent.EndRefused, dhevent.EndAnswered)
			}
		})
		if retired, foreign := s.RetiredConnections(), s.ForeignResponses(); retired != int64(len(u.sent)) || foreign != 0 {
			t.Errorf("%d connections were retired for %d refusals, and %d responses belonged to no request", retired, len(u.sent), foreign)
		}
	}
}
