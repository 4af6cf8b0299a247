package main

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"dogwoodhitch/io/dhtestcluster"
)

// TestFirstInterruptAfterTerminationCutsRequests sends SIGTERM to an instance that runs a request,
// and then the first SIGINT. By its help only a second SIGINT ends it at once.
func TestFirstInterruptAfterTerminationCutsRequests(t *testing.T) {
	c := newCluster(t, 1, "a1")
	arrived, answer := make(chan struct{}), make(chan struct{})
	c.StartUpstream("gate-a1-1", func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-answer
		w.Write([]byte("complete"))
	}, c.Entries()[0])
	replies := make(chan reply, 1)
	go func() {
		replies <- sendRequest(c.Entries()[0], http.MethodPost, "/gate/1", dhtestcluster.KeyOne, "", "x")
	}()
	<-arrived
	c.Entries()[0].Signal(syscall.SIGTERM)
	dhtestcluster.Eventually(t, "the instance is stopping", func() bool { return strings.Contains(c.Entries()[0].Log(), "leaving") })
	c.Entries()[0].Signal(syscall.SIGINT)
	time.Sleep(100 * time.Millisecond)
	close(answer)
	if r := <-replies; r.status != http.StatusOK || r.body != "complete" {
		t.Errorf("the request got %+v, want the complete answer", r)
	}
}
