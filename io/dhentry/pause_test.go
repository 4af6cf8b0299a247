package dhentry

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
)

// TestReportedRetryAfter reads the Retry-After fields of responses. Dates and malformed
// values must not count.
func TestReportedRetryAfter(t *testing.T) {
	for _, c := range []struct {
		status int
		value  string
		want   dhclock.Millis // 0 for none
	}{
		{503, "3", 3000},
		{503, " 0.25 ", 250},
		{503, "0.0001", 1},
		{503, "1e9", 3_600_000},
		{503, "+Inf", 3_600_000},
		{503, "0", 0},
		{503, "-1", 0},
		{503, "NaN", 0},
		{503, "", 0},
		{503, "soon", 0},
		{503, "3, 4", 0},
		{503, "Fri, 04 Dec 2026 21:45:41 GMT", 0},
		{429, "3", 0},
		{200, "3", 0},
	} {
		got := reportedRetryAfter(&http.Response{StatusCode: c.status, Header: http.Header{"Retry-After": {c.value}}})
		if c.want == 0 && got != nil || c.want != 0 && (got == nil || *got != c.want) {
			t.Errorf("status %d, Retry-After %q: got %v, want %d", c.status, c.value, got, c.want)
		}
	}
	if reportedRetryAfter(nil) != nil {
		t.Error("got a pause without a response")
	}
}

// TestRetryAfterOfRefusedAndForwardedResponses lets an upstream ask for a pause, in a
// refusal and in a response that reaches the caller. It must not get the next request.
func TestRetryAfterOfRefusedAndForwardedResponses(t *testing.T) {
	for name, field := range map[string]string{"refused": HeaderRun + ": " + NotRun + "\r\n", "forwarded": ""} {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, func(r *http.Request, _ int64) (string, bool) {
				return fmt.Sprintf("HTTP/1.1 503 X\r\n%s: %s\r\nRetry-After: 30\r\n%sContent-Length: 0\r\n\r\n",
					HeaderAttempt, r.Header.Get(HeaderAttempt), field), false
			})
			e := startEntryWithRegistered(t, u.Addr().String())
			e.send(http.MethodGet, "/read/1", "")
			startedAt := time.Now()
			if got := e.send(http.MethodGet, "/read/2", ""); got.kind != "noCapacity" || got.run != NotRun {
				t.Errorf("got %+v, want the refusal noCapacity", got)
			}
			if took := time.Since(startedAt); took > 300*time.Millisecond {
				t.Errorf("the request was refused after %v, want at once", took)
			}
			if n := u.requests.Load(); n != 1 {
				t.Errorf("the upstream got %d requests, want 1", n)
			}
		})
	}
}

// TestRetryAfterOfAnotherResponse lets an upstream send a response to another request,
// which asks for a pause. It must not count.
func TestRetryAfterOfAnotherResponse(t *testing.T) {
	u := startUpstream(t, func(*http.Request, int64) (string, bool) {
		return fmt.Sprintf("HTTP/1.1 503 X\r\n%s: other\r\nRetry-After: 30\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", HeaderAttempt, HeaderRun, NotRun), false
	})
	e := startEntryWithRegistered(t, u.Addr().String())
	for i := range int64(2) {
		e.send(http.MethodPost, "/write/1", "x")
		if n := u.requests.Load(); n != i+1 {
			t.Errorf("the upstream got %d requests, want %d", n, i+1)
		}
	}
}

// TestRequestsThatWaitForConnectionsMissAPause sends more requests at once than the instance
// may have connections to the upstream, which answers each after 700 ms and asks for a pause.
// No request may arrive later than half a second after the first answer.
func TestRequestsThatWaitForConnectionsMissAPause(t *testing.T) {
	const (
		requests = 40
		duration = 700 * time.Millisecond
		grace    = 500 * time.Millisecond
	)
	var answeredAt atomic.Int64 // the first answer, in nanoseconds
	var late atomic.Int64
	u := startUpstream(t, func(r *http.Request, _ int64) (string, bool) {
		if at := answeredAt.Load(); at > 0 && time.Now().UnixNano()-at > int64(grace) {
			late.Add(1)
		}
		time.Sleep(duration)
		answeredAt.CompareAndSwap(0, time.Now().UnixNano())
		return fmt.Sprintf("HTTP/1.1 503 X\r\n%s: %s\r\n%s: %s\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n",
			HeaderAttempt, r.Header.Get(HeaderAttempt), HeaderRun, NotRun), false
	})
	e := startEntry(t)
	e.publish(t,
		dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: "slow", PathPrefix: "/slow/", Service: "service", Open: true, Timeout: 5000}),
		dhcatalog.NewUpstream(dhcatalog.UpstreamOptions{Name: "u", Service: "service", Address: u.Addr().String(), Zone: "z", Slots: requests, Incarnation: 1}),
	)
	var callers sync.WaitGroup
	for range requests {
		callers.Go(func() { e.send(http.MethodPost, "/slow/1", "x") })
	}
	callers.Wait()
	if late.Load() > 0 {
		t.Errorf("%d requests arrived during the pause, want none", late.Load())
	}
}

// TestPauseInAnAnswerAfterTheAttempt lets an upstream answer a request after its attempt has
// ended and ask for a pause. At most one of the following requests may reach it.
func TestPauseInAnAnswerAfterTheAttempt(t *testing.T) {
	u := startUpstream(t, func(r *http.Request, n int64) (string, bool) {
		if n == 1 {
			time.Sleep(500 * time.Millisecond) // longer than the timeout of the route
		}
		time.Sleep(50 * time.Millisecond)
		return fmt.Sprintf("HTTP/1.1 503 X\r\n%s: %s\r\n%s: %s\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n",
			HeaderAttempt, r.Header.Get(HeaderAttempt), HeaderRun, NotRun), false
	})
	e := startEntryWithRegistered(t, u.Addr().String())
	if got := e.send(http.MethodPost, "/write/1", "x"); got.run != MayHaveRun {
		t.Fatalf("got %+v, want a time-out", got)
	}
	var callers sync.WaitGroup
	for range 10 {
		callers.Go(func() { e.send(http.MethodPost, "/write/1", "x") })
	}
	callers.Wait()
	if n := u.requests.Load(); n != 2 {
		t.Errorf("%d requests reached the upstream, want the one that was missed and one more", n)
	}
}

// TestPauseInATruncatedAnswer lets the connection break in the body of a response that asks for
// a pause, or says that the upstream is about to stop. The upstream must not get the next request.
func TestPauseInATruncatedAnswer(t *testing.T) {
	for name, head := range map[string]string{"paused": "503 X\r\nRetry-After: 30", "leaving": "200 OK\r\n" + HeaderLeaving + ": 1"} {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, func(r *http.Request, _ int64) (string, bool) {
				return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\nContent-Length: 10\r\n\r\nshort", head, HeaderAttempt, r.Header.Get(HeaderAttempt)), true
			})
			e := startEntryWithRegistered(t, u.Addr().String())
			for range 2 {
				e.send(http.MethodPost, "/write/1", "x")
			}
			if n := u.requests.Load(); n != 1 {
				t.Errorf("the upstream got %d requests, want 1", n)
			}
		})
	}
}
