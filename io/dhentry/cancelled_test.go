package dhentry

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestCallerThatEndsItsOutputGetsAnEmptyAnswer closes a caller's side of its connection after a
// request, which net/http takes for a closed connection. The caller must not get status 200
// without the upstream's answer.
func TestCallerThatEndsItsOutputGetsAnEmptyAnswer(t *testing.T) {
	upstream := startUpstream(t, func(*http.Request, int64) (string, bool) {
		time.Sleep(100 * time.Millisecond)
		return okResponse("answer"), false
	})
	e := startEntry(t, upstream.Addr().String())
	c, err := net.Dial("tcp", e.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "GET /read/ HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer "+testKey+"\r\n\r\n")
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil && r.StatusCode == http.StatusOK && r.ContentLength != int64(len("answer")) {
		t.Errorf("got status %d with a body of %d bytes, want the upstream's answer or none", r.StatusCode, r.ContentLength)
	}
}
