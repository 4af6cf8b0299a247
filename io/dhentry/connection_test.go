package dhentry

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// startWatchedUpstream starts an upstream that answers the first requests on each connection
// and no further one. It returns how each connection ended.
func startWatchedUpstream(t *testing.T, answered int) (address string, ends chan error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	ends = make(chan error, 4)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { ends <- serveSome(c, answered) }()
		}
	}()
	return l.Addr().String(), ends
}

func serveSome(c net.Conn, answered int) error {
	defer c.Close()
	reader := bufio.NewReader(c)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return err
		}
		if n <= answered {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", HeaderAttempt, r.Header.Get(HeaderAttempt))
		}
	}
}

// TestKernelSendsRequestsOfEndedAttempts lets attempts at an upstream time out before the
// response, on a new connection and on one that is used again. The connection must be reset,
// so that the kernel doesn't go on sending the request. One that is only idle must be closed
// in the usual way.
func TestKernelSendsRequestsOfEndedAttempts(t *testing.T) {
	for _, c := range []struct {
		answered, requests int
		want               error
	}{{0, 1, syscall.ECONNRESET}, {2, 3, syscall.ECONNRESET}, {1, 1, io.EOF}} {
		t.Run(fmt.Sprintf("%d of %d answered", c.answered, c.requests), func(t *testing.T) {
			address, ends := startWatchedUpstream(t, c.answered)
			e := startEntryWithRegistered(t, address)
			for range c.requests {
				e.send(http.MethodPost, "/read/1", "x")
			}
			if errors.Is(c.want, io.EOF) {
				e.server.Close()
			}
			select {
			case err := <-ends:
				if !errors.Is(err, c.want) {
					t.Errorf("the connection ended with %v, want %v", err, c.want)
				}
			case <-time.After(5 * time.Second):
				t.Error("the connection stays open")
			}
		})
	}
}

// TestKernelSendsRequestsAfterForeignResponses lets an upstream write a response that belongs to
// another request. The true one may not have begun, so the connection must be reset.
func TestKernelSendsRequestsAfterForeignResponses(t *testing.T) {
	ends := make(chan error, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		reader := bufio.NewReader(c)
		if r, err := http.ReadRequest(reader); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: other\r\nContent-Length: 0\r\n\r\n", HeaderAttempt)
		_, err = reader.ReadByte()
		ends <- err
	}()
	startEntryWithRegistered(t, l.Addr().String()).send(http.MethodPost, "/write/1", "x")
	if err := <-ends; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v, want %v", err, syscall.ECONNRESET)
	}
}
