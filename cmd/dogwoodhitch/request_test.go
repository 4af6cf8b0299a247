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

// TestRequestsEndToEnd sends requests through two zones of separate processes,
// from the look-up to the upstream and back: with and without a key, forwarded to
// the other zone, and purchases, which must run at most once.
func TestRequestsEndToEnd(t *testing.T) {
	c := newCluster(t, 3, "a1", "b1")
	var keyLeaked atomic.Bool
	upstream := c.startUpstream("gate-a1-1", c.entries[0], func(w http.ResponseWriter, r *http.Request) {
		for name, values := range r.Header {
			if strings.Contains(strings.Join(values, " ")+name, keyOne) {
				keyLeaked.Store(true)
			}
		}
		if strings.Contains(r.URL.String(), keyOne) {
			keyLeaked.Store(true)
		}
		w.Write([]byte("pass ok for " + r.Header.Get("Dogwoodhitch-Organisation") + r.URL.Path))
	})

	var answer struct {
		Entries []struct{ Address string } `json:"entries"`
	}
	lookup := sendRequest(c.entries[1], http.MethodGet, "/dogwoodhitch/v1/lookup?address=192.0.2.1", "", "", "")
	if err := json.Unmarshal([]byte(lookup.body), &answer); err != nil || answer.Entries[0].Address != c.entries[0].callers {
		t.Fatalf("the look-up got %+v, want the instance of the default site", lookup)
	}
	if r := sendRequest(c.entries[0], http.MethodGet, "/gate/1?apiKey="+keyOne, "", "", ""); r.body != "pass ok for glenmorven/gate/1" {
		t.Errorf("a request with a key got %+v, want the upstream's response", r)
	}
	// The other zone has no upstream of its own and forwards the request.
	if r := sendRequest(c.entries[1], http.MethodGet, "/gate/2", keyOne, "", ""); r.body != "pass ok for glenmorven/gate/2" {
		t.Errorf("a request forwarded to the other zone got %+v, want the upstream's response", r)
	}
	if r := sendRequest(c.entries[0], http.MethodGet, "/gate/1", "", "", ""); r.refusal != "keyMissing" || r.run != "not-run" {
		t.Errorf("a request without a key got %+v, want keyMissing and not-run", r)
	}
	if r := sendRequest(c.entries[0], http.MethodGet, "/nothing", keyOne, "", ""); r.refusal != "noRoute" {
		t.Errorf("a request to an unknown path got %+v, want noRoute", r)
	}
	first := sendRequest(c.entries[0], http.MethodPost, "/purchases/1", keyOne, "p-1", "week pass")
	served := upstream.Served()
	resent := sendRequest(c.entries[1], http.MethodPost, "/purchases/1", keyOne, "p-1", "week pass")
	if first.status != http.StatusOK || resent.body != first.body || !resent.replayed || upstream.Served() != served {
		t.Errorf("a purchase got %+v and its resend through the other zone %+v, want the recorded response of a single run", first, resent)
	}
	if r := sendRequest(c.entries[1], http.MethodPost, "/purchases/1", keyOne, "p-1", "season pass"); r.refusal != "idempotencyKeyReused" {
		t.Errorf("an idempotency key reused for other content got %+v, want idempotencyKeyReused", r)
	}
	if keyLeaked.Load() {
		t.Error("the upstream received the caller's API key")
	}
}

// TestRevokedKey revokes a key while a caller's connection stays open, and while
// another instance is frozen. Once the revocation is in force everywhere, neither
// instance may serve the key, the frozen one not even when it continues.
func TestRevokedKey(t *testing.T) {
	c := newCluster(t, 1, "a1", "b1")
	c.startUpstream("gate-a1-1", c.entries[0], nil)
	c.startUpstream("gate-b1-1", c.entries[1], nil)
	for _, e := range c.entries {
		if r := sendRequest(e, http.MethodGet, "/gate/1", keyOne, "", ""); r.status != http.StatusOK {
			t.Fatalf("before the key was revoked, a request to %s got %+v, want status 200", e.name, r)
		}
	}
	frozen := c.entries[1]
	frozen.command.Process.Signal(syscall.SIGSTOP)
	c.applyChange("", `{"kind": "key", "name": "key-1"}`)
	if r := sendRequest(c.entries[0], http.MethodGet, "/gate/1", keyOne, "", ""); r.refusal != "keyUnknown" || r.run != "not-run" {
		t.Errorf("after the key was revoked, a request with it got %+v, want keyUnknown and not-run", r)
	}
	if r := sendRequest(c.entries[0], http.MethodGet, "/gate/1", keyTwo, "", ""); r.status != http.StatusOK {
		t.Errorf("a request with the other key got %+v, want status 200", r)
	}
	replies := make(chan reply)
	go func() { replies <- sendRequest(frozen, http.MethodGet, "/gate/1", keyOne, "", "") }()
	time.Sleep(100 * time.Millisecond)
	frozen.command.Process.Signal(syscall.SIGCONT)
	if r := <-replies; r.status == http.StatusOK {
		t.Errorf("the instance that was frozen served a request with the revoked key: %+v", r)
	}
}

// TestReplayJournal replays the journal that an entry instance recorded under
// load: the replay must return the same effects.
func TestReplayJournal(t *testing.T) {
	c := newCluster(t, 1, "a1")
	c.startUpstream("gate-a1-1", c.entries[0], nil)
	for range 20 {
		sendRequest(c.entries[0], http.MethodGet, "/gate/1", keyOne, "", "")
		sendRequest(c.entries[0], http.MethodPost, "/purchases/1", keyOne, "p", "x")
	}
	c.entries[0].command.Process.Signal(syscall.SIGTERM)
	<-c.entries[0].done
	if out := c.runProgram("replay", c.entries[0].folder+".journal"); !strings.Contains(out, "events returned the same effects") {
		t.Error(out)
	} else {
		t.Log(out)
	}
}

// TestQuickstart runs the sample load of the quickstart, which checks the
// invariants that it can observe.
func TestQuickstart(t *testing.T) {
	c := &cluster{t: t}
	t.Log(c.runProgram("quickstart", "--once"))
}
