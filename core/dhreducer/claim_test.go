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

// claimRequest is one request for a key.
type claimRequest struct {
	key     string
	machine *machine
	starts  uint64 // the machine's start at which it came
	ran     bool
	result  string
}

// upstreamAttempt is a request that an upstream has.
type upstreamAttempt struct {
	request uint64
	machine *machine
	starts  uint64
}

// claimWorkload sends purchases through a fleet and runs them at an upstream that may
// run a request and lose the answer, or refuse it.
type claimWorkload struct {
	*trafficCluster
	t        fatalReporter
	requests map[uint64]*claimRequest
	attempts []upstreamAttempt
	runs     map[string]int
}

func newClaimWorkload(t fatalReporter, random func(n int) int) *claimWorkload {
	f := newTrafficCluster(t, 3, "a1-1", "a1-2", "b1-1")
	f.compactEntries = 4 // from the next start of each voter on
	s := &claimWorkload{trafficCluster: f, t: t, requests: map[uint64]*claimRequest{}, runs: map[string]int{}}
	s.effectHandler = func(m *machine, e dheffect.Effect) { s.handleEffect(m, e, random) }
	s.runTraffic(3000, 0)
	return s
}

func (s *claimWorkload) handleEffect(m *machine, e dheffect.Effect, random func(n int) int) {
	switch e := e.(type) {
	case *dheffect.ForwardToUpstream:
		p := s.requests[e.RequestID()]
		if random(4) > 0 { // the upstream runs three of four
			s.runs[p.key]++
			p.ran = true
			if s.runs[p.key] > 1 {
				s.t.Fatalf("%s ran %d times", p.key, s.runs[p.key])
			}
		}
		s.attempts = append(s.attempts, upstreamAttempt{request: e.RequestID(), machine: m, starts: m.starts})
	case *dheffect.Refuse:
		p := s.requests[e.RequestID()]
		p.result = string(e.Refusal().Kind())
		if p.ran && !e.Refusal().MayHaveRun() {
			s.t.Fatalf("request %d of %s was refused as not run (%s), but ran", e.RequestID(), p.key, p.result)
		}
	case *dheffect.Replay:
		p := s.requests[e.RequestID()]
		p.result = "replayed"
		if want := "answer to " + p.key; string(e.Response().Body()) != want {
			s.t.Fatalf("%s got the answer %q", p.key, e.Response().Body())
		}
	}
}

func (s *claimWorkload) send(m *machine, key string, digest byte) {
	if m.disk != nil || m.state == nil || m.frozen {
		return
	}
	s.lastRequest++
	s.requests[s.lastRequest] = &claimRequest{key: key, machine: m, starts: m.starts}
	s.handleTraffic(m, dhevent.NewRequestReceived(s.clock(m), dhevent.RequestReceivedOptions{
		RequestID: s.lastRequest, Path: "/once/x", APIKeyHash: dhcatalog.KeyHash{1}, IdempotencyKey: key, Digest: dhcatalog.KeyHash{digest},
	}))
}

// endAttempt ends an attempt: with an answer if it ran, or with any failure that is
// true of it.
func (s *claimWorkload) endAttempt(i int, random func(n int) int) {
	a := s.attempts[i]
	if a.machine.frozen {
		return // it takes the end once it wakes
	}
	s.attempts = slices.Delete(s.attempts, i, i+1)
	if a.machine.starts != a.starts {
		return // the instance that waited is gone
	}
	p := s.requests[a.request]
	o := dhevent.AttemptEndedOptions{RequestID: a.request, End: dhevent.EndBroken}
	switch kind := random(3); {
	case p.ran && kind > 0:
		o.End, o.Status = dhevent.EndAnswered, 200
		o.Response = dhmessage.NewResponse(200, nil, []byte("answer to "+p.key))
		p.result = "answered"
	case !p.ran && kind == 1:
		o.End = dhevent.EndNotSent
	case !p.ran && kind == 2:
		o.End = dhevent.EndRefused
	}
	s.handleTraffic(a.machine, dhevent.NewAttemptEnded(s.clock(a.machine), o))
}

// TestClaimedKeysNeverRunTwice sends purchases and their resends through several instances at
// once, while claims' owners fail, messages are lost and repeated, instances
// restart, and upstreams lose answers. No key runs twice, no refusal that says
// "not run" is untrue, and a resend gets the first answer.
func TestClaimedKeysNeverRunTwice(t *testing.T) {
	served := 0
	rapid.Check(t, func(t *rapid.T) {
		random := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "chance") }
		s := newClaimWorkload(t, random)
		s.random = rapid.Uint64().Draw(t, "seed")
		s.lossPercent, s.delayPercent, s.duplicatePercent = s.next()%20, s.next()%40, s.next()%20
		all := s.actions()
		actions := map[string]func(*rapid.T){}
		for _, name := range []string{"cut", "freeze", "crash", "crashBeforeSync", "restart"} {
			actions[name] = all[name]
		}
		pick := func(t *rapid.T) *machine { return rapid.SampledFrom(s.machines[3:]).Draw(t, "instance") }
		actions["buy"] = func(t *rapid.T) { s.send(pick(t), fmt.Sprint("key-", random(4)), 1) }
		actions["buyTwice"] = func(t *rapid.T) {
			key := fmt.Sprint("key-", random(4))
			s.send(pick(t), key, 1)
			s.send(pick(t), key, 1)
		}
		actions["restartTraffic"] = func(t *rapid.T) { s.restartTraffic(pick(t)) }
		actions["end"] = func(t *rapid.T) {
			if len(s.attempts) > 0 {
				s.endAttempt(random(len(s.attempts)), random)
			}
		}
		actions[""] = func(*rapid.T) { s.runTraffic(60, 0) }
		t.Repeat(actions)
		s.heal()
		for len(s.attempts) > 0 {
			s.endAttempt(0, random)
		}
		s.runTraffic(8000, 0)
		for id, p := range s.requests {
			if p.result == "" && p.machine.starts == p.starts {
				t.Fatalf("request %d of %s got no end", id, p.key)
			}
			if p.result == "answered" || p.result == "replayed" {
				served++
			}
		}
	})
	t.Logf("%d purchases were answered or replayed", served)
}
