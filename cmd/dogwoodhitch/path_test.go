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

// TestPath follows requests from the look-up to the upstream and back, over
// separate processes in two zones.
func TestPath(t *testing.T) {
	c := withCluster(t, 3, "a1", "b1")
	var leaked atomic.Bool
	upstream := c.withUpstream("gate-a1-1", c.entries[0], func(w http.ResponseWriter, r *http.Request) {
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
	lookup := call(c.entries[1], http.MethodGet, "/dogwoodhitch/v1/lookup?address=192.0.2.1", "", "", "")
	if err := json.Unmarshal([]byte(lookup.body), &answer); err != nil || answer.Entries[0].Address != c.entries[0].callers {
		t.Fatalf("look-up gave %+v", lookup)
	}
	if r := call(c.entries[0], http.MethodGet, "/gate/1?apiKey="+keyOne, "", "", ""); r.body != "pass ok for glenmorven/gate/1" {
		t.Errorf("keyed request gave %+v", r)
	}
	// The other zone has no upstream of its own and passes the request on.
	if r := call(c.entries[1], http.MethodGet, "/gate/2", keyOne, "", ""); r.body != "pass ok for glenmorven/gate/2" {
		t.Errorf("request passed on gave %+v", r)
	}
	if r := call(c.entries[0], http.MethodGet, "/gate/1", "", "", ""); r.kind != "keyMissing" || r.run != "not-run" {
		t.Errorf("request without key gave %+v", r)
	}
	if r := call(c.entries[0], http.MethodGet, "/nothing", keyOne, "", ""); r.kind != "noRoute" {
		t.Errorf("unknown path gave %+v", r)
	}
	first := call(c.entries[0], http.MethodPost, "/purchases/1", keyOne, "p-1", "week pass")
	served := upstream.Served()
	again := call(c.entries[1], http.MethodPost, "/purchases/1", keyOne, "p-1", "week pass")
	if first.status != http.StatusOK || again.body != first.body || !again.replay || upstream.Served() != served {
		t.Errorf("purchase gave %+v, resend through the other zone %+v", first, again)
	}
	if r := call(c.entries[1], http.MethodPost, "/purchases/1", keyOne, "p-1", "season pass"); r.kind != "idempotencyKeyReused" {
		t.Errorf("reused key gave %+v", r)
	}
	if leaked.Load() {
		t.Error("the upstream saw the caller's key")
	}
}

// TestWithdrawnKey withdraws a key under a connection that stays open, and
// under an instance that is frozen meanwhile.
func TestWithdrawnKey(t *testing.T) {
	c := withCluster(t, 1, "a1", "b1")
	c.withUpstream("gate-a1-1", c.entries[0], nil)
	c.withUpstream("gate-b1-1", c.entries[1], nil)
	for _, e := range c.entries {
		if r := call(e, http.MethodGet, "/gate/1", keyOne, "", ""); r.status != http.StatusOK {
			t.Fatalf("before the withdrawal %s gave %+v", e.name, r)
		}
	}
	frozen := c.entries[1]
	frozen.command.Process.Signal(syscall.SIGSTOP)
	c.apply("", `{"kind": "key", "name": "key-1"}`)
	if r := call(c.entries[0], http.MethodGet, "/gate/1", keyOne, "", ""); r.kind != "keyUnknown" || r.run != "not-run" {
		t.Errorf("after the withdrawal gave %+v", r)
	}
	if r := call(c.entries[0], http.MethodGet, "/gate/1", keyTwo, "", ""); r.status != http.StatusOK {
		t.Errorf("the other key gave %+v", r)
	}
	got := make(chan reply)
	go func() { got <- call(frozen, http.MethodGet, "/gate/1", keyOne, "", "") }()
	time.Sleep(100 * time.Millisecond)
	frozen.command.Process.Signal(syscall.SIGCONT)
	if r := <-got; r.status == http.StatusOK {
		t.Errorf("the instance that was frozen served a withdrawn key: %+v", r)
	}
}

// TestJournal replays what a live entry instance recorded.
func TestJournal(t *testing.T) {
	c := withCluster(t, 1, "a1")
	c.withUpstream("gate-a1-1", c.entries[0], nil)
	for range 20 {
		call(c.entries[0], http.MethodGet, "/gate/1", keyOne, "", "")
		call(c.entries[0], http.MethodPost, "/purchases/1", keyOne, "p", "x")
	}
	c.entries[0].command.Process.Signal(syscall.SIGTERM)
	<-c.entries[0].done
	if out := c.run("replay", c.entries[0].folder+".journal"); !strings.Contains(out, "events gave the same effects") {
		t.Error(out)
	} else {
		t.Log(out)
	}
}

// TestQuickstart runs the quickstart's sample load.
func TestQuickstart(t *testing.T) {
	c := &cluster{t: t}
	t.Log(c.run("quickstart", "--once"))
}
