package dhentry

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhevent"
)

// TestRequestAfterAbortGetsAnEmptyAnswer sends requests on new connections after Abort, as callers
// do while the server shuts down. Each must be refused: none has run.
func TestRequestAfterAbortGetsAnEmptyAnswer(t *testing.T) {
	e := startEntry(t)
	e.trafficState.Handle(func(at dhclock.Millis) dhevent.Event {
		return dhevent.NewStopScheduled(at, dhevent.StopScheduledOptions{RefuseFrom: at, StopAt: at})
	})
	e.server.CloseConnections()
	e.server.Abort()
	statuses := map[int]int{}
	for range 1000 {
		c, err := net.Dial("tcp", e.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, "GET /read/ HTTP/1.1\r\nHost: a.example\r\n\r\n")
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		statuses[r.StatusCode]++
		c.Close()
	}
	if len(statuses) != 1 || statuses[http.StatusServiceUnavailable] == 0 {
		t.Errorf("got the statuses %v, want only 503", statuses)
	}
}
