package dhprocess

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
)

// TestCallersGetEmptyAnswersWhileConnectionsClose sends requests on open connections while an
// instance closes those of its peers at the end of its stop, one of which is new and unused. No
// request may get status 200, because none runs.
func TestCallersGetEmptyAnswersWhileConnectionsClose(t *testing.T) {
	s := newStopTest(t)
	s.entry.options.LeaveWait, s.entry.options.FinishTimeout = 100, 700
	connections := make(chan net.Conn, 600)
	for range cap(connections) {
		connections <- s.dial()
	}
	close(connections)
	peer, err := net.Dial("tcp", s.entry.BoundAddresses().Peers)
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	s.entry.leave(errTest)
	stopped := make(chan struct{})
	go func() { s.entry.Stop(); close(stopped) }()
	var callers sync.WaitGroup
	var refused, empty atomic.Int64
	for range 16 {
		callers.Go(func() {
			for c := range connections {
				fmt.Fprint(c, "POST /once/late HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1\r\n\r\nx")
				response, err := http.ReadResponse(bufio.NewReader(c), nil)
				switch {
				case err != nil:
				case response.StatusCode == http.StatusOK:
					empty.Add(1)
				case response.StatusCode == http.StatusServiceUnavailable:
					refused.Add(1)
				}
			}
		})
	}
	callers.Wait()
	<-stopped
	if empty.Load() > 0 || refused.Load() == 0 {
		t.Errorf("got %d refusals and %d empty answers with status 200, want only refusals", refused.Load(), empty.Load())
	}
}
