package dhpeer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhtime"
)

// serveEndless accepts connections, and answers each request with a start and then the same
// bytes until the connection is closed. It returns the address.
func serveEndless(t *testing.T, start string) (address string, closed chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	closed = make(chan struct{}, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { closed <- struct{}{} }()
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		io.WriteString(c, start)
		for piece := make([]byte, 1<<20); err == nil; {
			_, err = c.Write(piece)
		}
	}()
	return l.Addr().String(), closed
}

// countingConn counts the bytes that are read from a connection. What the kernel holds of a
// response that isn't read doesn't count.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// countBytesRead returns the number of bytes that a sender reads from its connections.
func countBytesRead(s *Sender) *atomic.Int64 {
	read := new(atomic.Int64)
	transport := s.client.Transport.(responseLimiter).next
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countingConn{Conn: c, read: read}, nil
	}
	return read
}

// TestEndlessResponseOfAPeerFillsTheMemory sends a message to an address that answers without
// end, in the header or in the body. The call must end once it has read the limit.
func TestEndlessResponseOfAPeerFillsTheMemory(t *testing.T) {
	for name, c := range map[string]struct {
		start string
		limit int64
	}{
		"no HTTP":         {"", maxResponseHeaderBytes},
		"header":          {"HTTP/1.1 200 OK\r\nA: ", maxResponseHeaderBytes},
		"body":            {"HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n", maxResponseBytes},
		"chunk":           {"HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffff\r\n", maxResponseBytes},
		"body of a fault": {"HTTP/1.1 503 Unavailable\r\nContent-Type: application/json\r\n\r\n", maxResponseBytes},
	} {
		t.Run(name, func(t *testing.T) {
			address, closed := serveEndless(t, c.start)
			log := logrus.New()
			log.SetOutput(io.Discard)
			ctx, cancel := context.WithCancel(t.Context())
			s := NewSender(ctx, SenderOptions{
				Clock: dhtime.System(), Self: dhmessage.NewPeer("a", "f"), Lookup: func(string) string { return address }, Log: log.WithField("test", name),
				Receive: func(dhmessage.Peer, dhmessage.Message) bool { return true },
			})
			read := countBytesRead(s)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			s.Send("b", dhmessage.NewRedirect(dhmessage.RedirectOptions{}))
			select {
			case <-closed:
			case <-time.After(callTimeout + 2*time.Second):
				t.Error("the connection is still open")
			}
			cancel()
			s.Wait()
			runtime.ReadMemStats(&after)
			// Beyond the limit: the head of the response, and what the transport reads ahead.
			const ahead = 16 << 10
			if got := read.Load(); got > c.limit+ahead {
				t.Errorf("%d bytes of the response were read, want at most %d", got, c.limit+ahead)
			}
			t.Logf("%d bytes were read; %d were allocated", read.Load(), after.TotalAlloc-before.TotalAlloc)
		})
	}
}
