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

// purchase is one request for a key.
type purchase struct {
	key     string
	machine *machine
	start   uint64 // the machine's start at which it came
	ran     bool
	ended   string
}

// attempt is a request that an upstream has.
type attempt struct {
	request uint64
	machine *machine
	start   uint64
}

// shop sends purchases through a fleet and runs them at an upstream that may
// run a request and lose the answer, or refuse it.
type shop struct {
	*fleet
	t         fataler
	purchases map[uint64]*purchase
	attempts  []attempt
	runs      map[string]int
}

func withShop(t fataler, random func(n int) int) *shop {
	f := withFleet(t, 3, "a1-1", "a1-2", "b1-1")
	f.compact = 4 // from the next start of each voter on
	s := &shop{fleet: f, t: t, purchases: map[uint64]*purchase{}, runs: map[string]int{}}
	s.decided = func(m *machine, e dheffect.Effect) { s.decide(m, e, random) }
	s.runFleet(3000, 0)
	return s
}

func (s *shop) decide(m *machine, e dheffect.Effect, random func(n int) int) {
	switch e := e.(type) {
	case *dheffect.ForwardToUpstream:
		p := s.purchases[e.RequestID()]
		if random(4) > 0 { // the upstream runs three of four
			s.runs[p.key]++
			p.ran = true
			if s.runs[p.key] > 1 {
				s.t.Fatalf("%s ran %d times", p.key, s.runs[p.key])
			}
		}
		s.attempts = append(s.attempts, attempt{request: e.RequestID(), machine: m, start: m.starts})
	case *dheffect.Refuse:
		p := s.purchases[e.RequestID()]
		p.ended = string(e.Refusal().Kind())
		if p.ran && !e.Refusal().MayHaveRun() {
			s.t.Fatalf("request %d of %s was refused as not run (%s), but ran", e.RequestID(), p.key, p.ended)
		}
	case *dheffect.Replay:
		p := s.purchases[e.RequestID()]
		p.ended = "replayed"
		if want := "answer to " + p.key; string(e.Response().Body()) != want {
			s.t.Fatalf("%s got the answer %q", p.key, e.Response().Body())
		}
	}
}

func (s *shop) buy(m *machine, key string, digest byte) {
	if m.disk != nil || m.state == nil || m.frozen {
		return
	}
	s.request++
	s.purchases[s.request] = &purchase{key: key, machine: m, start: m.starts}
	s.onTraffic(m, dhevent.NewRequestReceived(s.clock(m), dhevent.RequestReceivedOptions{
		RequestID: s.request, Path: "/once/x", APIKeyHash: dhcatalog.KeyHash{1}, IdempotencyKey: key, Digest: dhcatalog.KeyHash{digest},
	}))
}

// end ends an attempt: with an answer if it ran, or with any failure that is
// true of it.
func (s *shop) end(i int, random func(n int) int) {
	a := s.attempts[i]
	if a.machine.frozen {
		return // it takes the end once it wakes
	}
	s.attempts = slices.Delete(s.attempts, i, i+1)
	if a.machine.starts != a.start {
		return // the instance that waited is gone
	}
	p := s.purchases[a.request]
	o := dhevent.AttemptEndedOptions{RequestID: a.request, End: dhevent.EndBroken}
	switch kind := random(3); {
	case p.ran && kind > 0:
		o.End, o.Status = dhevent.EndAnswered, 200
		o.Response = dhmessage.NewResponse(200, nil, []byte("answer to "+p.key))
		p.ended = "answered"
	case !p.ran && kind == 1:
		o.End = dhevent.EndNotSent
	case !p.ran && kind == 2:
		o.End = dhevent.EndRefused
	}
	s.onTraffic(a.machine, dhevent.NewAttemptEnded(s.clock(a.machine), o))
}

// TestClaims sends purchases and their resends through several instances at
// once, while claims' owners fail, messages are lost and repeated, instances
// restart, and upstreams lose answers. No key runs twice, no refusal that says
// "not run" is untrue, and a resend gets the first answer.
func TestClaims(t *testing.T) {
	served := 0
	rapid.Check(t, func(t *rapid.T) {
		random := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "chance") }
		s := withShop(t, random)
		s.random = rapid.Uint64().Draw(t, "seed")
		s.lose, s.late, s.repeat = s.next()%20, s.next()%40, s.next()%20
		all := s.actions()
		actions := map[string]func(*rapid.T){}
		for _, name := range []string{"cut", "freeze", "crash", "crashBeforeSync", "restart"} {
			actions[name] = all[name]
		}
		pick := func(t *rapid.T) *machine { return rapid.SampledFrom(s.machines[3:]).Draw(t, "instance") }
		actions["buy"] = func(t *rapid.T) { s.buy(pick(t), fmt.Sprint("key-", random(4)), 1) }
		actions["buyTwice"] = func(t *rapid.T) {
			key := fmt.Sprint("key-", random(4))
			s.buy(pick(t), key, 1)
			s.buy(pick(t), key, 1)
		}
		actions["restartTraffic"] = func(t *rapid.T) { s.restartTraffic(pick(t)) }
		actions["end"] = func(t *rapid.T) {
			if len(s.attempts) > 0 {
				s.end(random(len(s.attempts)), random)
			}
		}
		actions[""] = func(*rapid.T) { s.runFleet(60, 0) }
		t.Repeat(actions)
		s.heal()
		for len(s.attempts) > 0 {
			s.end(0, random)
		}
		s.runFleet(8000, 0)
		for id, p := range s.purchases {
			if p.ended == "" && p.machine.starts == p.start {
				t.Fatalf("request %d of %s got no end", id, p.key)
			}
			if p.ended == "answered" || p.ended == "replayed" {
				served++
			}
		}
	})
	t.Logf("%d purchases were answered or replayed", served)
}
