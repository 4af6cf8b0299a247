package main

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"dogwoodhitch/io/dhtestcluster"
)

// openRequest is a request that an instance has passed on to an upstream.
type openRequest struct {
	*dhtestcluster.Cluster
	entry  *dhtestcluster.Process
	answer chan struct{} // closed to let the upstream answer
	reply  chan reply    // of the instance
}

// newOpenRequest starts an instance and sends it a request, which the upstream doesn't answer yet.
func newOpenRequest(t *testing.T) *openRequest {
	t.Helper()
	r := &openRequest{Cluster: newCluster(t, 1, "a1"), answer: make(chan struct{}), reply: make(chan reply, 1)}
	r.entry = r.Entries()[0]
	arrived := make(chan struct{})
	r.StartUpstream("gate-a1-1", func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-r.answer
		w.Write([]byte("complete"))
	}, r.entry)
	go func() { r.reply <- sendRequest(r.entry, http.MethodPost, "/gate/1", dhtestcluster.KeyOne, "", "x") }()
	<-arrived
	return r
}

// stop sends a signal to the instance, and waits until the instance is stopping.
func (r *openRequest) stop(t *testing.T, s syscall.Signal) {
	t.Helper()
	r.entry.Signal(s)
	dhtestcluster.Eventually(t, "the instance is stopping", func() bool { return strings.Contains(r.entry.Log(), "leaving") || hasEnded(r.entry) })
}

// checkAnswered lets the upstream answer, and checks that the caller gets the answer.
func (r *openRequest) checkAnswered(t *testing.T) {
	t.Helper()
	close(r.answer)
	if got := <-r.reply; got.status != http.StatusOK || got.body != "complete" {
		t.Errorf("the request got %+v, want the complete answer", got)
	}
}

// TestRepeatedSignalsCutRequests sends SIGHUP and SIGTERM to an instance again and again while it
// runs a request. The request must be answered, and the instance must stop as after one SIGTERM.
func TestRepeatedSignalsCutRequests(t *testing.T) {
	r := newOpenRequest(t)
	for _, p := range []*dhtestcluster.Process{r.Voters()[0], r.entry} {
		p.Signal(syscall.SIGHUP)
		dhtestcluster.Eventually(t, p.Name()+" has received SIGHUP", func() bool { return strings.Contains(p.Log(), "SIGHUP") || hasEnded(p) })
	}
	r.stop(t, syscall.SIGTERM)
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM} {
		r.entry.Signal(s)
		time.Sleep(50 * time.Millisecond)
	}
	r.checkAnswered(t)
	<-r.entry.Done()
	if code := r.entry.ExitCode(); code != 0 {
		t.Errorf("the instance ended with exit code %d, want 0", code)
	}
	if hasEnded(r.Voters()[0]) {
		t.Error("the voter ended by SIGHUP")
	}
}

// TestFirstInterruptAfterTerminationCutsRequests sends SIGTERM to an instance that runs a request,
// and then the first SIGINT. By its help only a second SIGINT ends it at once.
func TestFirstInterruptAfterTerminationCutsRequests(t *testing.T) {
	r := newOpenRequest(t)
	r.stop(t, syscall.SIGTERM)
	r.entry.Signal(syscall.SIGINT)
	time.Sleep(100 * time.Millisecond)
	r.checkAnswered(t)
}

// TestSecondInterruptIsIgnored interrupts an instance with an open request twice. The second
// time it must end at once, as an operator at a terminal expects.
func TestSecondInterruptIsIgnored(t *testing.T) {
	r := newOpenRequest(t)
	defer close(r.answer)
	r.stop(t, syscall.SIGINT)
	r.entry.Signal(syscall.SIGINT)
	dhtestcluster.Eventually(t, "the instance has ended", func() bool { return hasEnded(r.entry) })
	if r.entry.ExitCode() == 0 {
		t.Error("the instance stopped as if it had been interrupted once")
	}
}

// hasEnded reports whether a process has ended.
func hasEnded(p *dhtestcluster.Process) bool {
	select {
	case <-p.Done():
		return true
	default:
		return false
	}
}
