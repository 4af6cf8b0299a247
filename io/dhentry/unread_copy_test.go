package dhentry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"dogwoodhitch/core/dhevent"
)

// TestUnreadCopyBreaksTheNextRequest lets an upstream write the copy of a response before the
// next request is sent, while the transport waits for bytes and hasn't read them yet. The next
// request must not get the copy.
func TestUnreadCopyBreaksTheNextRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	answered, copied := make(chan struct{}), make(chan struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", HeaderRequestID, r.Header.Get(HeaderRequestID))
					_, _ = io.WriteString(c, response)
					if r.Header.Get(HeaderRequestID) == "last" {
						continue
					}
					<-answered
					_, _ = io.WriteString(c, response)
					copied <- struct{}{}
				}
			}()
		}
	}()
	const rounds = 2000
	broken := 0
	s := startEchoingServer(t)
	for i := range rounds {
		if end, err := s.attemptOnce(t.Context(), l.Addr().String(), fmt.Sprint(i)); end != dhevent.EndAnswered {
			t.Fatalf("request %d ended as %v: %v", i, end, err)
		}
		answered <- struct{}{}
		<-copied // the kernel has the copy
		if end, err := s.attemptOnce(t.Context(), l.Addr().String(), "last"); end != dhevent.EndAnswered {
			if broken++; broken == 1 {
				t.Errorf("the request after copy %d ended as %v: %v", i, end, err)
			}
		}
	}
	if broken > 0 {
		t.Errorf("%d of %d requests broke, %d with the copy", broken, rounds, s.ForeignResponses())
	}
}
