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
)

// serveEndless accepts connections, and answers each request with a start and then the same
// bytes until the connection is closed. It returns the address and the number of bytes sent.
func serveEndless(t *testing.T, start string) (address string, sent *atomic.Int64, closed chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	sent, closed = new(atomic.Int64), make(chan struct{}, 1)
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
			var n int
			n, err = c.Write(piece)
			sent.Add(int64(n))
		}
	}()
	return l.Addr().String(), sent, closed
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
			address, sent, closed := serveEndless(t, c.start)
			log := logrus.New()
			log.SetOutput(io.Discard)
			ctx, cancel := context.WithCancel(t.Context())
			s := NewSender(ctx, SenderOptions{
				Self: dhmessage.NewPeer("a", "f"), Lookup: func(string) string { return address }, Log: log.WithField("test", name),
				Receive: func(dhmessage.Peer, dhmessage.Message) bool { return true },
			})
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
			// The buffers of both sockets hold a few megabytes.
			const buffered = 16 << 20
			if got := sent.Load(); got > c.limit+buffered {
				t.Errorf("the peer sent %d bytes until the connection was closed, want at most %d", got, c.limit+buffered)
			}
			t.Logf("the peer sent %d bytes; %d were allocated", sent.Load(), after.TotalAlloc-before.TotalAlloc)
		})
	}
}
