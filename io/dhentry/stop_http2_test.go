package dhentry

import (
	"net/http"
	"strings"
	"sync"
	"testing"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhevent"
)

// TestHTTP2BodyAfterAbortEndsTheProcess sends requests with a body over HTTP/2 after Abort. A panic outside of a handler ends the process.
func TestHTTP2BodyAfterAbortEndsTheProcess(t *testing.T) {
	e := startEntry(t)
	e.trafficState.Handle(func(at dhclock.Millis) dhevent.Event {
		return dhevent.NewStopScheduled(at, dhevent.StopScheduledOptions{RefuseFrom: at, StopAt: at})
	})
	e.server.CloseConnections()
	e.server.Abort()
	var callers sync.WaitGroup
	for range 16 {
		callers.Go(func() {
			for range 500 {
				protocols := new(http.Protocols)
				protocols.SetUnencryptedHTTP2(true)
				transport := &http.Transport{Protocols: protocols}
				r, err := (&http.Client{Transport: transport}).Post(e.URL+"/write/", "text/plain", strings.NewReader("x"))
				if err == nil {
					r.Body.Close()
				}
				transport.CloseIdleConnections()
			}
		})
	}
	callers.Wait()
}
