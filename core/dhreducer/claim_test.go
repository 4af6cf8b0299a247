package dhreducer

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// claimRequest is one request with an idempotency key.
type claimRequest struct {
	key     string
	machine *machine
	starts  uint64 // starts of the machine when the request arrived
	ran     bool
	result  string // empty while the request is pending
}

// upstreamAttempt is a request that was forwarded to the upstream.
type upstreamAttempt struct {
	request uint64
	machine *machine
	starts  uint64
}

// claimWorkload sends requests with idempotency keys to a cluster. Its simulated
// upstream may run a request and lose the answer, or refuse it.
type claimWorkload struct {
	*trafficCluster
	t        fatalReporter
	requests map[uint64]*claimRequest
	attempts []upstreamAttempt
	runs     map[string]int
}

func newClaimWorkload(t fatalReporter, random func(n int) int) *claimWorkload {
	c := newTrafficCluster(t, 3, "a1-1", "a1-2", "b1-1")
	c.compactEntries = 4 // takes effect at each voter's next start
	w := &claimWorkload{trafficCluster: c, t: t, requests: map[uint64]*claimRequest{}, runs: map[string]int{}}
	w.effectHandler = func(m *machine, e dheffect.Effect) { w.handleEffect(m, e, random) }
	w.runTraffic(3000, 0)
	return w
}

func (w *claimWorkload) handleEffect(m *machine, e dheffect.Effect, random func(n int) int) {
	switch e := e.(type) {
	case *dheffect.ForwardToUpstream:
		r := w.requests[e.RequestID()]
		if random(4) > 0 { // the upstream runs three in four requests
			w.runs[r.key]++
			r.ran = true
			if w.runs[r.key] > 1 {
				w.t.Fatalf("requests with key %s ran %d times, limit 1", r.key, w.runs[r.key])
			}
		}
		w.attempts = append(w.attempts, upstreamAttempt{request: e.RequestID(), machine: m, starts: m.starts})
	case *dheffect.Refuse:
		r := w.requests[e.RequestID()]
		r.result = string(e.Refusal().Kind())
		if r.ran && !e.Refusal().MayHaveRun() {
			w.t.Fatalf("request %d with key %s ran, but was refused as not run (%s)", e.RequestID(), r.key, r.result)
		}
	case *dheffect.Replay:
		r := w.requests[e.RequestID()]
		r.result = "replayed"
		if want := "answer to " + r.key; string(e.Response().Body()) != want {
			w.t.Fatalf("a resend with key %s got the answer %q", r.key, e.Response().Body())
		}
	}
}

func (w *claimWorkload) send(m *machine, key string, digest byte) {
	if m.disk != nil || m.state == nil || m.frozen {
		return
	}
	w.lastRequest++
	w.requests[w.lastRequest] = &claimRequest{key: key, machine: m, starts: m.starts}
	w.handleTraffic(m, dhevent.NewRequestReceived(w.clock(m), dhevent.RequestReceivedOptions{
		RequestID: w.lastRequest, Path: "/once/x", APIKeyHash: dhcatalog.Hash{1}, IdempotencyKey: key, Digest: dhcatalog.Hash{digest},
	}))
}

// endAttempt ends an attempt: with an answer if it ran, or with a random failure
// that is consistent with whether it ran.
func (w *claimWorkload) endAttempt(i int, random func(n int) int) {
	a := w.attempts[i]
	if a.machine.frozen {
		return // the attempt ends after the machine resumes
	}
	w.attempts = slices.Delete(w.attempts, i, i+1)
	if a.machine.starts != a.starts {
		return // the instance has restarted and lost the request
	}
	r := w.requests[a.request]
	o := dhevent.AttemptEndedOptions{RequestID: a.request, End: dhevent.EndBroken}
	switch kind := random(3); {
	case r.ran && kind > 0:
		o.End, o.Status = dhevent.EndAnswered, 200
		o.Response = dhmessage.NewResponse(200, nil, []byte("answer to "+r.key))
		r.result = "answered"
	case !r.ran && kind == 1:
		o.End = dhevent.EndNotSent
	case !r.ran && kind == 2:
		o.End = dhevent.EndRefused
	}
	w.handleTraffic(a.machine, dhevent.NewAttemptEnded(w.clock(a.machine), o))
}

// TestClaimedKeysNeverRunTwice sends requests with idempotency keys, and resends
// of them, through several instances at once, while the owners of claims fail,
// messages are lost and duplicated, instances restart, and upstreams lose
// answers. No key may run twice, no request that ran may be refused as not run,
// and a resend must get the first answer.
func TestClaimedKeysNeverRunTwice(t *testing.T) {
	served := 0
	rapid.Check(t, func(t *rapid.T) {
		random := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "chance") }
		w := newClaimWorkload(t, random)
		w.random = rapid.Uint64().Draw(t, "seed")
		w.lossPercent, w.delayPercent, w.duplicatePercent = w.nextRandom()%20, w.nextRandom()%40, w.nextRandom()%20
		all := w.actions()
		actions := map[string]func(*rapid.T){}
		for _, name := range []string{"cut", "freeze", "crash", "crashBeforeSync", "restart"} {
			actions[name] = all[name]
		}
		pick := func(t *rapid.T) *machine { return rapid.SampledFrom(w.machines[3:]).Draw(t, "instance") }
		actions["claim"] = func(t *rapid.T) { w.send(pick(t), fmt.Sprint("key-", random(4)), 1) }
		actions["claimTwice"] = func(t *rapid.T) {
			key := fmt.Sprint("key-", random(4))
			w.send(pick(t), key, 1)
			w.send(pick(t), key, 1)
		}
		actions["restartTraffic"] = func(t *rapid.T) { w.restartTraffic(pick(t)) }
		actions["end"] = func(t *rapid.T) {
			if len(w.attempts) > 0 {
				w.endAttempt(random(len(w.attempts)), random)
			}
		}
		actions[""] = func(*rapid.T) { w.runTraffic(60, 0) }
		t.Repeat(actions)
		w.heal()
		for len(w.attempts) > 0 {
			w.endAttempt(0, random)
		}
		w.runTraffic(8000, 0)
		for id, r := range w.requests {
			if r.result == "" && r.machine.starts == r.starts {
				t.Fatalf("request %d with key %s was neither answered nor refused", id, r.key)
			}
			if r.result == "answered" || r.result == "replayed" {
				served++
			}
		}
	})
	t.Logf("%d requests were answered or replayed", served)
}
