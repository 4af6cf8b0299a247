package dhentry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodhitch/core/dhevent"
)

// limitedUpstream accepts a number of connections and resets any beyond it, as upstreams with a
// max_conns do. It refuses each request whose ID ends in refused, and answers the others.
type limitedUpstream struct {
	limit int64
	open  atomic.Int64
	reset atomic.Int64
	body  string // of each response
}

func (u *limitedUpstream) serve(c *net.TCPConn) {
	defer c.Close()
	defer u.open.Add(-1)
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(HeaderRequestID)
		head := "HTTP/1.1 200 OK\r\n"
		if strings.HasSuffix(id, "refused") {
			head = "HTTP/1.1 503 X\r\n" + HeaderRun + ": " + NotRun + "\r\n"
		}
		_, _ = fmt.Fprintf(c, "%s%s: %s\r\nContent-Length: %d\r\n\r\n%s", head, HeaderRequestID, id, len(u.body), u.body)
	}
}

func (u *limitedUpstream) start(t *testing.T) (address string) {
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
			tcp := c.(*net.TCPConn)
			if u.open.Add(1) <= u.limit {
				go u.serve(tcp)
				continue
			}
			u.open.Add(-1)
			u.reset.Add(1)
			_ = tcp.SetLinger(0)
			tcp.Close()
		}
	}()
	return l.Addr().String()
}

// TestRefusalBreaksRequestsAtTheConnectionLimit refuses requests at an upstream that accepts no more
// connections than the instance uses. A refusal must not break other requests, as it does if it
// costs a connection whose end the upstream has yet to see when the next one arrives.
func TestRefusalBreaksRequestsAtTheConnectionLimit(t *testing.T) {
	refuseAtTheConnectionLimit(t, "")
}

// TestRefusalWithABodyBreaksRequestsAtTheConnectionLimit is the same with a body in each response.
func TestRefusalWithABodyBreaksRequestsAtTheConnectionLimit(t *testing.T) {
	refuseAtTheConnectionLimit(t, "no")
}

func refuseAtTheConnectionLimit(t *testing.T, body string) {
	t.Helper()
	const connections = 4 // of startEchoingServer
	u := &limitedUpstream{limit: connections, body: body}
	address := u.start(t)
	s := startEchoingServer(t)
	// However late a busy machine lets the upstream see the end of a connection.
	s.clients = newClients(connections, nil, time.Minute)
	var all sync.WaitGroup
	var broken atomic.Int64
	for n := range connections {
		all.Go(func() {
			for i := range 200 {
				id := fmt.Sprint(n, "-", i, []string{"", "refused"}[i%2])
				switch end, _ := s.attemptOnce(t.Context(), address, id); end {
				case dhevent.EndAnswered, dhevent.EndRefused:
				default:
					broken.Add(1)
				}
			}
		})
	}
	all.Wait()
	if broken.Load() > 0 {
		t.Errorf("%d of %d attempts ended without a response; the upstream reset %d connections", broken.Load(), 200*connections, u.reset.Load())
	}
}
