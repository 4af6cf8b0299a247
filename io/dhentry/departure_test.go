package dhentry

import (
	"net/http"
	"net/url"
	"sync"
	"testing"
	"time"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/io/dhtime"
)

// TestRequestLeavesAfterItsUpstreamMayHaveDeparted occupies all connections to an upstream, so that
// a request waits for one until after the time at which it may be sent. The upstream must not get
// it, and the attempt must count as untried.
func TestRequestLeavesAfterItsUpstreamMayHaveDeparted(t *testing.T) {
	const connections = 16
	release := make(chan struct{})
	u := startUpstream(t, func(*http.Request, int64) (string, bool) {
		<-release
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false
	})
	e := startEntry(t)
	clock := dhtime.System()
	send := func(sendBefore dhclock.Millis) dhevent.AttemptEnd {
		in := &inbound{id: "1", method: http.MethodGet, host: "h", url: &url.URL{Path: "/x"}, header: http.Header{}}
		a := e.server.sendAttempt(t.Context(), in, target{address: u.Addr().String(), timeout: 10_000, sendBefore: sendBefore}, 1<<10)
		if a.end == dhevent.EndAnswered {
			a.close()
		}
		return a.end
	}
	var others sync.WaitGroup
	for range connections {
		others.Go(func() { send(0) })
	}
	for u.requests.Load() < connections {
		time.Sleep(time.Millisecond)
	}
	time.AfterFunc(300*time.Millisecond, func() { close(release) })
	if end := send(clock.Now() + 100); end != dhevent.EndUntried {
		t.Errorf("the attempt ended as %v, want %v", end, dhevent.EndUntried)
	}
	others.Wait()
	if end := send(clock.Now() + 5000); end != dhevent.EndAnswered {
		t.Errorf("an attempt in time ended as %v, want %v", end, dhevent.EndAnswered)
	}
	if got := u.requests.Load(); got != connections+1 {
		t.Errorf("the upstream got %d requests, want %d", got, connections+1)
	}
}
