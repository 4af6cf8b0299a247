package dhentry

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
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

// TestRequestThatOutlastsTheReadTimeoutIsCut has an upstream answer a request after the server's
// time to read it. That must not end the request.
func TestRequestThatOutlastsTheReadTimeoutIsCut(t *testing.T) {
	upstream := startUpstream(t, func(*http.Request, int64) (string, bool) {
		time.Sleep(250 * time.Millisecond)
		return okResponse("answer"), false
	})
	e := startConfiguredEntry(t, func(s *http.Server) { s.ReadTimeout = 100 * time.Millisecond }, upstream.Addr().String())
	for _, body := range []string{"", "x"} {
		r, err := http.NewRequest(http.MethodPut, e.URL+"/read/", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Authorization", "Bearer "+testKey)
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatalf("a request with the body %q got no answer: %v", body, err)
		}
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			t.Errorf("a request with the body %q got status %d, want 200", body, response.StatusCode)
		}
	}
}

// TestDecidedRequestOfACancelledCallerIsCut sends requests that are refused at once, and ends the
// caller's output with each. The refusal must reach the caller.
func TestDecidedRequestOfACancelledCallerIsCut(t *testing.T) {
	e := startEntry(t)
	for i := range 300 {
		c, err := net.Dial("tcp", e.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, "GET /unknown/ HTTP/1.1\r\nHost: a.example\r\n\r\n")
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("request %d got no answer: %v", i, err)
		}
		if r.StatusCode != http.StatusNotFound {
			t.Fatalf("request %d got status %d, want 404", i, r.StatusCode)
		}
		c.Close()
	}
}

// TestRequestsThatWaitedUnreadAreSentOnAfterTheirCallersLeft lets requests wait until their callers
// have closed the connections, as they do while a process has too little processor time. None of
// them may reach an upstream. Half of the callers send further bytes before they leave, which hide
// the end of the connection from net/http.
func TestRequestsThatWaitedUnreadAreSentOnAfterTheirCallersLeft(t *testing.T) {
	const count = 100
	upstream := startUpstream(t, func(*http.Request, int64) (string, bool) { return okResponse("answer"), false })
	callersLeft, closed := make(chan struct{}), make(chan struct{}, count)
	e := startConfiguredEntry(t, func(s *http.Server) {
		// The server accepts no further connection while this function runs.
		s.ConnState = func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				<-callersLeft
			case http.StateClosed:
				closed <- struct{}{}
			}
		}
	}, upstream.Addr().String())
	for i := range count {
		c, err := net.Dial("tcp", e.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		next := strings.Repeat("P", i%2*8192)
		fmt.Fprintf(c, "POST /write/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\nAuthorization: Bearer "+testKey+"\r\n\r\nbody%s", next)
		c.Close()
	}
	close(callersLeft)
	for range count {
		select {
		case <-closed:
		case <-time.After(10 * time.Second):
			t.Fatal("the connections of callers that left are open for 10 s")
		}
	}
	if got := upstream.requests.Load(); got > 0 {
		t.Errorf("%d of %d requests were sent on after their callers had left", got, count)
	}
}

// holdConnects makes the entry's connections to upstreams wait until a function is called. The
// channel gets a value for each that waits.
func (e *testEntry) holdConnects() (waiting chan struct{}, release func()) {
	waiting, released := make(chan struct{}, 100), make(chan struct{})
	next := e.server.clients.dialer.Control
	e.server.clients.dialer.Control = func(network, address string, c syscall.RawConn) error {
		waiting <- struct{}{}
		<-released
		return next(network, address, c)
	}
	return waiting, func() { close(released) }
}

// leave sends a request followed by further bytes, and closes the connection once the request
// waits for its upstream.
func (e *testEntry) leave(t *testing.T, further string, waiting chan struct{}) {
	t.Helper()
	c, err := net.Dial("tcp", e.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, "GET /read/ HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer "+testKey+"\r\n\r\n"+further)
	<-waiting
	c.Close()
}

// waitForEnd waits until the entry has no open request.
func (e *testEntry) waitForEnd(t *testing.T) {
	t.Helper()
	for start := time.Now(); e.trafficState.OpenRequests() > 0; time.Sleep(time.Millisecond) {
		if time.Since(start) > 10*time.Second {
			t.Fatal("requests of callers that left are open for 10 s")
		}
	}
}

// TestCallersThatLeaveDuringConnectsEjectTheUpstream has callers leave while the connections to
// their upstream are opened. That is no failure of the upstream.
func TestCallersThatLeaveDuringConnectsEjectTheUpstream(t *testing.T) {
	upstream := startUpstream(t, func(*http.Request, int64) (string, bool) { return okResponse("answer"), false })
	e := startEntry(t, upstream.Addr().String())
	waiting, release := e.holdConnects()
	defer release()
	for range 8 {
		e.leave(t, "", waiting)
	}
	e.waitForEnd(t)
	if got := e.upstreamState(); got != "ok" {
		t.Errorf("the upstream is %s after its callers have left, want ok", got)
	}
}

// upstreamState returns the state of the only upstream, as shown to operators.
func (e *testEntry) upstreamState() string {
	reply := e.trafficState.Query(func(at dhclock.Millis) dhevent.Event { return dhevent.NewPoolStatusRequested(at) })[0].(*dheffect.PoolStatusReply)
	return reply.Pools()[0].Upstreams()[0].State()
}

// TestOwnFailuresToConnectEjectTheUpstream sends requests that get no connection to their upstream
// because their timeouts are too short, or because this process has no descriptors left. Neither
// is a failure of the upstream.
func TestOwnFailuresToConnectEjectTheUpstream(t *testing.T) {
	for name, control := range map[string]func() error{
		"timeouts":       func() error { <-t.Context().Done(); return nil },
		"no descriptors": func() error { return syscall.EMFILE },
	} {
		t.Run(name, func(t *testing.T) {
			upstream := startUpstream(t, func(*http.Request, int64) (string, bool) { return okResponse("answer"), false })
			e := startEntry(t, upstream.Addr().String())
			e.server.clients.dialer.Control = func(string, string, syscall.RawConn) error { return control() }
			for range 8 {
				if got := e.send(http.MethodGet, "/read/", "", HeaderTimeout, "30"); got.run != NotRun {
					t.Fatalf("a request without a connection: %+v, want a refusal that states that it did not run", got)
				}
			}
			if got := e.upstreamState(); got != "ok" {
				t.Errorf("the upstream is %s, want ok", got)
			}
		})
	}
}

// TestUpstreamThatNeverAcceptsConnectionsIsNotEjected sends requests with a timeout that is shorter
// than the dialer's, but long enough for a connection to any upstream that works.
func TestUpstreamThatNeverAcceptsConnectionsIsNotEjected(t *testing.T) {
	upstream := startUpstream(t, func(*http.Request, int64) (string, bool) { return okResponse("answer"), false })
	e := startEntry(t, upstream.Addr().String())
	e.server.clients.dialer.Control = func(string, string, syscall.RawConn) error { <-t.Context().Done(); return nil }
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() { e.send(http.MethodGet, "/read/", "", HeaderTimeout, "300") })
	}
	callers.Wait()
	if got := e.upstreamState(); got != "ejected" {
		t.Errorf("the upstream is %s, want ejected", got)
	}
}

// TestRequestsAreSentOnOverNewConnectionsAfterTheirCallersLeft has callers leave while the
// connections to their upstream are opened, with further bytes that hide the end of theirs from
// net/http. Once the connections are open, nothing may be sent.
func TestRequestsAreSentOnOverNewConnectionsAfterTheirCallersLeft(t *testing.T) {
	upstream := startUpstream(t, func(*http.Request, int64) (string, bool) { return okResponse("answer"), false })
	e := startEntry(t, upstream.Addr().String())
	waiting, release := e.holdConnects()
	for range 8 {
		e.leave(t, strings.Repeat("G", 8192), waiting)
	}
	release()
	e.waitForEnd(t)
	if got := upstream.requests.Load(); got > 0 {
		t.Errorf("%d of 8 requests were sent on after their callers had left", got)
	}
}
