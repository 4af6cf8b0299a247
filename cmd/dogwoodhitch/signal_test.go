package main

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestRepeatedSignalsCutRequests sends SIGHUP and SIGTERM to an instance again and again while it
// runs a request. The request must be answered, and the instance must stop as after one SIGTERM.
func TestRepeatedSignalsCutRequests(t *testing.T) {
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
	for _, p := range []*process{c.voters[0], c.entries[0]} {
		p.command.Process.Signal(syscall.SIGHUP)
		eventually(t, p.name+" has received SIGHUP", func() bool { return strings.Contains(p.log.String(), "SIGHUP") || p.hasEnded() })
	}
	c.entries[0].command.Process.Signal(syscall.SIGTERM)
	eventually(t, "the instance is stopping", func() bool {
		return strings.Contains(c.entries[0].log.String(), "leaving") || c.entries[0].hasEnded()
	})
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM} {
		c.entries[0].command.Process.Signal(s)
		time.Sleep(50 * time.Millisecond)
	}
	close(answer)
	if r := <-replies; r.status != http.StatusOK || r.body != "complete" {
		t.Errorf("the request got %+v, want the complete answer", r)
	}
	<-c.entries[0].done
	if code := c.entries[0].command.ProcessState.ExitCode(); code != 0 {
		t.Errorf("the instance ended with exit code %d, want 0", code)
	}
	if c.voters[0].hasEnded() {
		t.Error("the voter ended by SIGHUP")
	}
}

// TestSecondInterruptIsIgnored interrupts an instance with an open request twice. The second
// time it must end at once, as an operator at a terminal expects.
func TestSecondInterruptIsIgnored(t *testing.T) {
	c := newCluster(t, 1, "a1")
	arrived, answer := make(chan struct{}), make(chan struct{})
	c.startUpstream("gate-a1-1", c.entries[0], func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-answer
	})
	defer close(answer)
	go sendRequest(c.entries[0], http.MethodPost, "/gate/1", keyOne, "", "x")
	<-arrived
	c.entries[0].command.Process.Signal(syscall.SIGINT)
	eventually(t, "the instance is stopping", func() bool { return strings.Contains(c.entries[0].log.String(), "leaving") })
	c.entries[0].command.Process.Signal(syscall.SIGINT)
	eventually(t, "the instance has ended", c.entries[0].hasEnded)
	if c.entries[0].command.ProcessState.ExitCode() == 0 {
		t.Error("the instance stopped as if it had been interrupted once")
	}
}

// hasEnded reports whether a process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}
