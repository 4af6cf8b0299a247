// Package dhshard drives the traffic state of one instance from the goroutines
// that serve requests. They share one lock, which control state never takes.
package dhshard

import (
	"sync"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhreducer"
	"dogwoodhitch/io/dhtime"
)

// Seams are the functions by which the shard reaches the world.
type Seams struct {
	Clock dhtime.Clock
	// Execute carries out an effect that isn't for a request or a question.
	// It must not wait.
	Execute func(e dheffect.Effect)
	// Record notes events and effects for a journal; nil for none.
	Record func(e dhevent.Event, effects []dheffect.Effect)
}

// Shard owns traffic state.
type Shard struct {
	seams         Seams
	mutex         sync.Mutex
	state         *dhreducer.State
	effects       dheffect.List
	lastRequestID uint64
	waiters       map[uint64]*Waiter
}

// Waiter is a request whose goroutine waits for what becomes of it.
type Waiter struct {
	requestID uint64
	decisions chan Decision
}

// RequestID returns the request's number.
func (w *Waiter) RequestID() uint64 { return w.requestID }

// Decisions returns the channel on which decisions come.
func (w *Waiter) Decisions() <-chan Decision { return w.decisions }

// Decision is an effect for one request, and when it was decided.
type Decision struct {
	effect dheffect.Effect
	at     dhclock.Millis
}

// Effect returns a Forward, Pass, Refuse or Replay.
func (d Decision) Effect() dheffect.Effect { return d.effect }

// At returns the clock reading of the event that led to the decision.
func (d Decision) At() dhclock.Millis { return d.at }

// decisionBuffer is how many decisions may come before the goroutine takes
// one: a request gets at most one for each event of its own.
const decisionBuffer = 4

// New returns a shard.
func New(s *dhreducer.State, seams Seams) *Shard {
	return &Shard{state: s, seams: seams, waiters: map[uint64]*Waiter{}}
}

// OpenRequests returns how many requests haven't ended.
func (s *Shard) OpenRequests() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Traffic().OpenRequests()
}

// StartRequest starts a request. The function makes its event from a clock reading
// and the request's number.
func (s *Shard) StartRequest(event func(at dhclock.Millis, request uint64) dhevent.Event) *Waiter {
	s.mutex.Lock()
	s.lastRequestID++
	w := &Waiter{requestID: s.lastRequestID, decisions: make(chan Decision, decisionBuffer)}
	s.waiters[w.requestID] = w
	rest := s.reduce(func(at dhclock.Millis) dhevent.Event { return event(at, w.requestID) })
	s.mutex.Unlock()
	s.execute(rest)
	return w
}

// RemoveWaiter ends the interest in a request's decisions.
func (s *Shard) RemoveWaiter(w *Waiter) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.waiters, w.requestID)
}

// Handle takes an event. The clock is read once the event's turn has come.
func (s *Shard) Handle(event func(at dhclock.Millis) dhevent.Event) {
	s.mutex.Lock()
	rest := s.reduce(event)
	s.mutex.Unlock()
	s.execute(rest)
}

// Query takes an event that is a question and returns its effects.
func (s *Shard) Query(event func(at dhclock.Millis) dhevent.Event) []dheffect.Effect {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reduce(event)
}

// reduce runs the reducer and hands decisions to the requests that they are
// for. It returns the other effects.
func (s *Shard) reduce(event func(at dhclock.Millis) dhevent.Event) []dheffect.Effect {
	e := event(s.seams.Clock.Now())
	s.effects.Reset()
	dhreducer.Reduce(s.state, e, &s.effects)
	if s.seams.Record != nil {
		s.seams.Record(e, s.effects.Items())
	}
	var rest []dheffect.Effect
	for _, x := range s.effects.Items() {
		request, ok := requestIDOf(x)
		if !ok {
			rest = append(rest, x)
			continue
		}
		if w, found := s.waiters[request]; found {
			w.decisions <- Decision{effect: x, at: e.At()}
		}
	}
	return rest
}

// requestIDOf returns the number of the request that an effect decides on.
func requestIDOf(e dheffect.Effect) (uint64, bool) {
	switch e := e.(type) {
	case *dheffect.ForwardToUpstream:
		return e.RequestID(), true
	case *dheffect.ForwardToPeer:
		return e.RequestID(), true
	case *dheffect.Refuse:
		return e.RequestID(), true
	case *dheffect.Replay:
		return e.RequestID(), true
	default:
		return 0, false
	}
}

func (s *Shard) execute(list []dheffect.Effect) {
	for _, e := range list {
		s.seams.Execute(e)
	}
}
