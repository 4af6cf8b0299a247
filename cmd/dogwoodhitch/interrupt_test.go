package main

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestFirstInterruptAfterTerminationCutsRequests sends SIGTERM to an instance that runs a request,
// and then the first SIGINT. By its help only a second SIGINT ends it at once.
func TestFirstInterruptAfterTerminationCutsRequests(t *testing.T) {
	c := newCluster(t, 1, "a1")
	arrived, answer := make(chan struct{}), make(chan struct{})
	c.startUpstream("gate-a1-1", c.entries[0], func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-answer
		w.Write([]byte("complete"))
	})
	replies := make(chan reply, 1)
	go func() { replies <- sendRequest(c.entries[0], http.MethodPost, "/gate/1", keyOne, "", "x") }()
	<-arrived
	c.entries[0].command.Process.Signal(syscall.SIGTERM)
	eventually(t, "the instance is stopping", func() bool { return strings.Contains(c.entries[0].log.String(), "leaving") })
	c.entries[0].command.Process.Signal(syscall.SIGINT)
	time.Sleep(100 * time.Millisecond)
	close(answer)
	if r := <-replies; r.status != http.StatusOK || r.body != "complete" {
		t.Errorf("the request got %+v, want the complete answer", r)
	}
}
