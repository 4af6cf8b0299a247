package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dogwoodhitch/io/dhtestcluster"
)

// TestRequestsEndToEnd sends requests through two zones of separate processes,
// from the look-up to the upstream and back: with and without a key, forwarded to
// the other zone, and purchases, which must run at most once.
func TestRequestsEndToEnd(t *testing.T) {
	c := newCluster(t, 3, "a1", "b1")
	var keyLeaked atomic.Bool
	upstream := c.StartUpstream("gate-a1-1", func(w http.ResponseWriter, r *http.Request) {
		for name, values := range r.Header {
			if strings.Contains(strings.Join(values, " ")+name, dhtestcluster.KeyOne) {
				keyLeaked.Store(true)
			}
		}
		if strings.Contains(r.URL.String(), dhtestcluster.KeyOne) {
			keyLeaked.Store(true)
		}
		w.Write([]byte("pass ok for " + r.Header.Get("Dogwoodhitch-Organisation") + r.URL.Path))
	}, c.Entries()[0])

	var answer struct {
		Entries []struct{ Address string } `json:"entries"`
	}
	lookup := sendRequest(c.Entries()[1], http.MethodGet, "/dogwoodhitch/v1/lookup?address=192.0.2.1", "", "", "")
	if err := json.Unmarshal([]byte(lookup.body), &answer); err != nil || answer.Entries[0].Address != c.Entries()[0].Callers() {
		t.Fatalf("the look-up got %+v, want the instance of the default site", lookup)
	}
	if r := sendRequest(c.Entries()[0], http.MethodGet, "/gate/1?apiKey="+dhtestcluster.KeyOne, "", "", ""); r.body != "pass ok for glenmorven/gate/1" {
		t.Errorf("a request with a key got %+v, want the upstream's response", r)
	}
	// The other zone has no upstream of its own and forwards the request.
	if r := sendRequest(c.Entries()[1], http.MethodGet, "/gate/2", dhtestcluster.KeyOne, "", ""); r.body != "pass ok for glenmorven/gate/2" {
		t.Errorf("a request forwarded to the other zone got %+v, want the upstream's response", r)
	}
	if r := sendRequest(c.Entries()[0], http.MethodGet, "/gate/1", "", "", ""); r.refusal != "keyMissing" || r.run != "not-run" {
		t.Errorf("a request without a key got %+v, want keyMissing and not-run", r)
	}
	if r := sendRequest(c.Entries()[0], http.MethodGet, "/nothing", dhtestcluster.KeyOne, "", ""); r.refusal != "noRoute" {
		t.Errorf("a request to an unknown path got %+v, want noRoute", r)
	}
	first := sendRequest(c.Entries()[0], http.MethodPost, "/purchases/1", dhtestcluster.KeyOne, "p-1", "week pass")
	served := upstream.Served()
	resent := sendRequest(c.Entries()[1], http.MethodPost, "/purchases/1", dhtestcluster.KeyOne, "p-1", "week pass")
	if first.status != http.StatusOK || resent.body != first.body || !resent.replayed || upstream.Served() != served {
		t.Errorf("a purchase got %+v and its resend through the other zone %+v, want the recorded response of a single run", first, resent)
	}
	if r := sendRequest(c.Entries()[1], http.MethodPost, "/purchases/1", dhtestcluster.KeyOne, "p-1", "season pass"); r.refusal != "idempotencyKeyReused" {
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
	c.StartUpstream("gate-a1-1", nil, c.Entries()[0])
	c.StartUpstream("gate-b1-1", nil, c.Entries()[1])
	for _, e := range c.Entries() {
		if r := sendRequest(e, http.MethodGet, "/gate/1", dhtestcluster.KeyOne, "", ""); r.status != http.StatusOK {
			t.Fatalf("before the key was revoked, a request to %s got %+v, want status 200", e.Name(), r)
		}
	}
	frozen := c.Entries()[1]
	frozen.Signal(syscall.SIGSTOP)
	c.ApplyChange("", `{"kind": "key", "name": "key-1"}`)
	if r := sendRequest(c.Entries()[0], http.MethodGet, "/gate/1", dhtestcluster.KeyOne, "", ""); r.refusal != "keyUnknown" || r.run != "not-run" {
		t.Errorf("after the key was revoked, a request with it got %+v, want keyUnknown and not-run", r)
	}
	if r := sendRequest(c.Entries()[0], http.MethodGet, "/gate/1", dhtestcluster.KeyTwo, "", ""); r.status != http.StatusOK {
		t.Errorf("a request with the other key got %+v, want status 200", r)
	}
	replies := make(chan reply)
	go func() { replies <- sendRequest(frozen, http.MethodGet, "/gate/1", dhtestcluster.KeyOne, "", "") }()
	time.Sleep(100 * time.Millisecond)
	frozen.Signal(syscall.SIGCONT)
	if r := <-replies; r.status == http.StatusOK {
		t.Errorf("the instance that was frozen served a request with the revoked key: %+v", r)
	}
}

// TestReplayJournal replays the journal that an entry instance recorded under
// load: the replay must return the same effects.
func TestReplayJournal(t *testing.T) {
	c := newCluster(t, 1, "a1")
	c.StartUpstream("gate-a1-1", nil, c.Entries()[0])
	for range 20 {
		sendRequest(c.Entries()[0], http.MethodGet, "/gate/1", dhtestcluster.KeyOne, "", "")
		sendRequest(c.Entries()[0], http.MethodPost, "/purchases/1", dhtestcluster.KeyOne, "p", "x")
	}
	c.Entries()[0].Signal(syscall.SIGTERM)
	<-c.Entries()[0].Done()
	if out := c.RunProgram("replay", c.Entries()[0].Folder()+".journal"); !strings.Contains(out, "events returned the same effects") {
		t.Error(out)
	} else {
		t.Log(out)
	}
}

// TestQuickstart runs the sample load of the quickstart, which checks the
// invariants that it can observe.
func TestQuickstart(t *testing.T) {
	t.Log(dhtestcluster.RunProgram(t, "quickstart", "--once"))
}
