package dhprocess

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhlogs"
	"dogwoodhitch/io/dhsettings"
	"dogwoodhitch/io/dhtime"
)

// operatorClient calls the operators' API of a voter.
type operatorClient struct {
	t       *testing.T
	process *Process
	log     *bytes.Buffer
}

// newOperatorClient starts a voter that keeps its state in memory, and returns a
// client of it.
func newOperatorClient(t *testing.T) *operatorClient {
	t.Helper()
	log := &bytes.Buffer{}
	logs, err := dhlogs.New(dhlogs.Options{Level: "trace", Output: log})
	if err != nil {
		t.Fatal(err)
	}
	p := New(Options{
		Name: "c1", Role: dhsettings.RoleControl, Logs: logs, Clock: dhtime.System(),
		Listen:   Addresses{Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"},
		Founders: []dhmessage.Member{dhmessage.NewMember(dhmessage.NewPeer("c1", ""), "", false)},
		Secrets:  Secrets{Peers: "peers", Operators: "operators"},
	})
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	return &operatorClient{t: t, process: p, log: log}
}

// call sends a request, and returns the status code and body of the response.
func (o *operatorClient) call(method, path, secret, body string) (int, string) {
	o.t.Helper()
	r, err := http.NewRequestWithContext(o.t.Context(), method, "http://"+o.process.BoundAddresses().Operators+path, strings.NewReader(body))
	if err != nil {
		o.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+secret)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		o.t.Fatal(err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		o.t.Fatal(err)
	}
	return response.StatusCode, string(raw)
}

// TestOperatorAPI sends valid and invalid requests to the operators' API in
// sequence, and checks that no response and no log line contains the secret of a
// caller's key.
func TestOperatorAPI(t *testing.T) {
	o := newOperatorClient(t)
	const secret = "a-secret-key-of-a-caller"
	key := `{"key": {"name": "k", "organisation": "o", "secret": "` + secret + `"}}`
	first := `{"id": "first", "author": "me", "puts": [{"organisation": {"name": "o"}}, ` + key + `]}`
	cases := []struct {
		method, path, secret, body string
		status                     int
		contains                   string
	}{
		{"POST", "/v1/changes?wait=true", "operators", first, 200, `"inForce":true`},
		{"POST", "/v1/changes", "operators", first, 200, `"version":1`}, // the same change set again
		{"POST", "/v1/changes", "operators", strings.Replace(first, "me", "you", 1), 409, "changeIdReused"},
		{"POST", "/v1/changes", "operators", `{"id": "late", "author": "me", "puts": [{"organisation": {"name": "p"}}]}`, 409, "current version 1"},
		{"POST", "/v1/changes", "operators", `{"id": "bad", "base": 1, "author": "me", "puts": [{"limit": {"name": "l", "organisation": "none", "rate": 0, "burst": 1}}]}`, 422, "organisation/none"},
		{"POST", "/v1/changes", "operators", `{"id": "odd", "shape": 1}`, 400, "unknown field"},
		{"POST", "/v1/changes", "operators", `{"id": "short", "base": 1, "puts": [{"key": {"name": "s", "organisation": "o", "secret": "short"}}]}`, 422, "at least 16"},
		{"POST", "/v1/changes?dryRun=true", "operators", `{"id": "dry", "base": 1, "author": "me", "puts": [{"organisation": {"name": "dry"}}]}`, 200, `"dryRun":true`},
		{"GET", "/v1/objects?current=true", "operators", "", 200, `"version":1`},
		{"GET", "/v1/objects?kind=organisation&name=dry", "operators", "", 404, "notFound"},
		{"GET", "/v1/changes", "operators", "", 200, `"id":"first"`},
		{"GET", "/v1/changes/diff?since=0", "operators", "", 200, `"back":{"base":1,"deletes":[{"kind":"organisation","name":"o"}`},
		{"GET", "/v1/changes/diff?since=7", "operators", "", 404, "current version is 1"},
		{"GET", "/v1/status", "operators", "", 200, `"leads":true`},
		{"GET", "/v1/status", "another", "", 401, "denied"},
		{"GET", "/v1/burn", "operators", "", 404, "entry instance"},
		{"GET", "/v1/claims?organisation=o&key=none", "operators", "", 404, "retentionMs"},
		{"POST", "/v1/claims/settle", "operators", `{"organisation": "o", "key": "none", "ran": true}`, 409, "claimUnknown"},
		{"POST", "/v1/claims/settle", "operators", `{"organisation": "o", "key": "none"}`, 400, "ran is missing"},
		{"POST", "/v1/voters", "operators", `{"action": "remove", "name": "c1"}`, 409, "no voter would be left"},
		{"POST", "/v1/voters", "operators", `{"action": "grow"}`, 400, "add, remove or replace"},
		{"GET", "/nothing", "operators", "", 404, "OPERATING"},
		{"GET", "/healthz", "", "", 200, "{}"},
		{"GET", "/readyz", "", "", 200, "{}"},
		{"GET", "/metrics", "", "", 200, "dogwoodhitch_version 1"},
		{"GET", "/metrics", "", "", 200, `dogwoodhitch_queued_events{to="control"}`},
		{"GET", "/metrics", "", "", 200, "dogwoodhitch_loop_age_ms "},
		{"GET", "/metrics", "", "", 200, `dogwoodhitch_role{role="leader"} 1`},
		{"GET", "/metrics", "", "", 200, "dogwoodhitch_term 1"},
		{"GET", "/metrics", "", "", 200, "dogwoodhitch_voters_heard 1"},
		{"GET", "/metrics", "", "", 200, `dogwoodhitch_control_bytes{kind="history"}`},
		{"GET", "/metrics", "", "", 200, `dogwoodhitch_queued_bytes{to="peers"} 0`},
	}
	for _, c := range cases {
		status, body := o.call(c.method, c.path, c.secret, c.body)
		if status != c.status || !strings.Contains(body, c.contains) {
			t.Errorf("%s %s with body %s: got status %d and body %s", c.method, c.path, c.body, status, body)
		}
		if strings.Contains(body, secret) {
			t.Errorf("%s %s: the response contains the secret of a key", c.method, c.path)
		}
	}
	if strings.Contains(o.log.String(), secret) {
		t.Error("the log contains the secret of a key")
	}
}

// TestOrderOfACallerThatLeftIsCarriedOut holds an operator's order until its caller has closed the
// connection, as a paused process does. By then the caller may have sent it to another process, and
// the opposite one after it, so it must not be carried out.
func TestOrderOfACallerThatLeftIsCarriedOut(t *testing.T) {
	o := newOperatorClient(t)
	o.process.handlers.mutex.Lock()
	c, err := net.Dial("tcp", o.process.BoundAddresses().Operators)
	if err != nil {
		t.Fatal(err)
	}
	change := `{"id": "late", "author": "me", "puts": [{"organisation": {"name": "late"}}]}`
	fmt.Fprintf(c, "POST /v1/changes HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer operators\r\nContent-Length: %d\r\n\r\n%s%s",
		len(change), change, strings.Repeat("x", 8192)) // further bytes hide the end of the connection from net/http
	c.Close()
	time.Sleep(50 * time.Millisecond)
	o.process.handlers.mutex.Unlock()
	time.Sleep(50 * time.Millisecond)
	status, body := o.call("POST", "/v1/changes", "operators", `{"id": "next", "author": "me", "puts": [{"organisation": {"name": "next"}}]}`)
	if status != http.StatusOK || !strings.Contains(body, `"version":1`) {
		t.Errorf("the next change: status %d, %s; want version 1", status, body)
	}
}
