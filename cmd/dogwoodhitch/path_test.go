package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	keyOne = "key-one-of-glenmorven"
	keyTwo = "key-two-of-glenmorven"
)

// TestRequestsEndToEnd follows requests from the look-up to the upstream and back, over
// separate processes in two zones.
func TestRequestsEndToEnd(t *testing.T) {
	c := startCluster(t, 3, "a1", "b1")
	var leaked atomic.Bool
	upstream := c.startUpstream("gate-a1-1", c.entries[0], func(w http.ResponseWriter, r *http.Request) {
		for name, values := range r.Header {
			if strings.Contains(strings.Join(values, " ")+name, keyOne) {
				leaked.Store(true)
			}
		}
		if strings.Contains(r.URL.String(), keyOne) {
			leaked.Store(true)
		}
		w.Write([]byte("pass ok for " + r.Header.Get("Dogwoodhitch-Organisation") + r.URL.Path))
	})

	var answer struct {
		Entries []struct{ Address string } `json:"entries"`
	}
	lookup := sendRequest(c.entries[1], http.MethodGet, "/dogwoodhitch/v1/lookup?address=192.0.2.1", "", "", "")
	if err := json.Unmarshal([]byte(lookup.body), &answer); err != nil || answer.Entries[0].Address != c.entries[0].callers {
		t.Fatalf("look-up gave %+v", lookup)
	}
	if r := sendRequest(c.entries[0], http.MethodGet, "/gate/1?apiKey="+keyOne, "", "", ""); r.body != "pass ok for glenmorven/gate/1" {
		t.Errorf("keyed request gave %+v", r)
	}
	// The other zone has no upstream of its own and passes the request on.
	if r := sendRequest(c.entries[1], http.MethodGet, "/gate/2", keyOne, "", ""); r.body != "pass ok for glenmorven/gate/2" {
		t.Errorf("request passed on gave %+v", r)
	}
	if r := sendRequest(c.entries[0], http.MethodGet, "/gate/1", "", "", ""); r.refusal != "keyMissing" || r.executed != "not-run" {
		t.Errorf("request without key gave %+v", r)
	}
	if r := sendRequest(c.entries[0], http.MethodGet, "/nothing", keyOne, "", ""); r.refusal != "noRoute" {
		t.Errorf("unknown path gave %+v", r)
	}
	first := sendRequest(c.entries[0], http.MethodPost, "/purchases/1", keyOne, "p-1", "week pass")
	served := upstream.Served()
	again := sendRequest(c.entries[1], http.MethodPost, "/purchases/1", keyOne, "p-1", "week pass")
	if first.status != http.StatusOK || again.body != first.body || !again.replayed || upstream.Served() != served {
		t.Errorf("purchase gave %+v, resend through the other zone %+v", first, again)
	}
	if r := sendRequest(c.entries[1], http.MethodPost, "/purchases/1", keyOne, "p-1", "season pass"); r.refusal != "idempotencyKeyReused" {
		t.Errorf("reused key gave %+v", r)
	}
	if leaked.Load() {
		t.Error("the upstream saw the caller's key")
	}
}

// TestRevokedKey withdraws a key under a connection that stays open, and
// under an instance that is frozen meanwhile.
func TestRevokedKey(t *testing.T) {
	c := startCluster(t, 1, "a1", "b1")
	c.startUpstream("gate-a1-1", c.entries[0], nil)
	c.startUpstream("gate-b1-1", c.entries[1], nil)
	for _, e := range c.entries {
		if r := sendRequest(e, http.MethodGet, "/gate/1", keyOne, "", ""); r.status != http.StatusOK {
			t.Fatalf("before the withdrawal %s gave %+v", e.name, r)
		}
	}
	frozen := c.entries[1]
	frozen.command.Process.Signal(syscall.SIGSTOP)
	c.apply("", `{"kind": "key", "name": "key-1"}`)
	if r := sendRequest(c.entries[0], http.MethodGet, "/gate/1", keyOne, "", ""); r.refusal != "keyUnknown" || r.executed != "not-run" {
		t.Errorf("after the withdrawal gave %+v", r)
	}
	if r := sendRequest(c.entries[0], http.MethodGet, "/gate/1", keyTwo, "", ""); r.status != http.StatusOK {
		t.Errorf("the other key gave %+v", r)
	}
	got := make(chan reply)
	go func() { got <- sendRequest(frozen, http.MethodGet, "/gate/1", keyOne, "", "") }()
	time.Sleep(100 * time.Millisecond)
	frozen.command.Process.Signal(syscall.SIGCONT)
	if r := <-got; r.status == http.StatusOK {
		t.Errorf("the instance that was frozen served a withdrawn key: %+v", r)
	}
}

// TestReplayJournal replays what a live entry instance recorded.
func TestReplayJournal(t *testing.T) {
	c := startCluster(t, 1, "a1")
	c.startUpstream("gate-a1-1", c.entries[0], nil)
	for range 20 {
		sendRequest(c.entries[0], http.MethodGet, "/gate/1", keyOne, "", "")
		sendRequest(c.entries[0], http.MethodPost, "/purchases/1", keyOne, "p", "x")
	}
	c.entries[0].command.Process.Signal(syscall.SIGTERM)
	<-c.entries[0].done
	if out := c.runProgram("replay", c.entries[0].folder+".journal"); !strings.Contains(out, "events gave the same effects") {
		t.Error(out)
	} else {
		t.Log(out)
	}
}

// TestQuickstart runs the quickstart's sample load.
func TestQuickstart(t *testing.T) {
	c := &cluster{t: t}
	t.Log(c.runProgram("quickstart", "--once"))
}
