// Package dhshard holds the traffic state of one entry instance. The goroutines
// that serve requests reduce their events directly, under one lock. The control
// loop never acquires this lock.
package dhshard

import (
	"sync"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhreducer"
	"dogwoodhitch/io/dhtime"
)

// Seams connect the shard to the rest of the process.
type Seams struct {
	// Clock returns the clock readings of events.
	Clock dhtime.Clock
	// Execute executes an effect that is neither a decision on a request nor
	// the result of a query. It must not block.
	Execute func(e dheffect.Effect)
	// Record writes an event and its effects to a journal; nil if there is none.
	Record func(e dhevent.Event, effects []dheffect.Effect)
}

// Shard owns the traffic state.
type Shard struct {
	seams         Seams
	mutex         sync.Mutex
	state         *dhreducer.State
	effects       dheffect.List
	lastRequestID uint64
	waiters       map[uint64]*Waiter
}

// Waiter receives the decisions on one request for the goroutine that serves
// it.
type Waiter struct {
	requestID uint64
	decisions chan Decision
}

// RequestID returns the shard's ID of the request: a number counted from the
// process's start. The caller's request ID is another one.
func (w *Waiter) RequestID() uint64 { return w.requestID }

// Decisions returns the channel that receives the decisions.
func (w *Waiter) Decisions() <-chan Decision { return w.decisions }

// Decision is an effect that decides on one request.
type Decision struct {
	effect dheffect.Effect
	at     dhclock.Millis
}

// Effect returns a ForwardToUpstream, ForwardToPeer, Refuse or Replay.
func (d Decision) Effect() dheffect.Effect { return d.effect }

// At returns the clock reading of the event that caused the decision.
func (d Decision) At() dhclock.Millis { return d.at }

// decisionBuffer is the capacity of a Waiter's channel. It is sufficient because
// a request gets at most one decision for each event of its own; a full channel
// would block the shard.
const decisionBuffer = 4

// New returns a shard that holds the given traffic state.
func New(s *dhreducer.State, seams Seams) *Shard {
	return &Shard{state: s, seams: seams, waiters: map[uint64]*Waiter{}}
}

// OpenRequests returns the number of requests that have not ended.
func (s *Shard) OpenRequests() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Traffic().OpenRequests()
}

// StartRequest assigns an ID to a request and reduces its first event, which the
// function creates from a clock reading and that ID.
func (s *Shard) StartRequest(event func(at dhclock.Millis, requestID uint64) dhevent.Event) *Waiter {
	s.mutex.Lock()
	s.lastRequestID++
	w := &Waiter{requestID: s.lastRequestID, decisions: make(chan Decision, decisionBuffer)}
	s.waiters[w.requestID] = w
	rest := s.reduce(func(at dhclock.Millis) dhevent.Event { return event(at, w.requestID) })
	s.mutex.Unlock()
	s.execute(rest)
	return w
}

// RemoveWaiter unregisters a waiter. Further decisions on its request are
// dropped.
func (s *Shard) RemoveWaiter(w *Waiter) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.waiters, w.requestID)
}

// Handle reduces an event and executes its effects. The function that creates
// the event gets a clock reading taken under the lock, so that the time spent
// waiting for the lock is included.
func (s *Shard) Handle(event func(at dhclock.Millis) dhevent.Event) {
	s.mutex.Lock()
	rest := s.reduce(event)
	s.mutex.Unlock()
	s.execute(rest)
}

// Query reduces an event that requests information, and returns its effects
// without executing them.
func (s *Shard) Query(event func(at dhclock.Millis) dhevent.Event) []dheffect.Effect {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reduce(event)
}

// reduce runs the reducer and sends decisions to the waiters of their requests.
// It returns the other effects. The caller must hold the lock.
func (s *Shard) reduce(event func(at dhclock.Millis) dhevent.Event) []dheffect.Effect {
	e := event(s.seams.Clock.Now())
	s.effects.Reset()
	dhreducer.Reduce(s.state, e, &s.effects)
	if s.seams.Record != nil {
		s.seams.Record(e, s.effects.Items())
	}
	var rest []dheffect.Effect
	for _, x := range s.effects.Items() {
		requestID, ok := requestIDOf(x)
		if !ok {
			rest = append(rest, x)
			continue
		}
		if w, found := s.waiters[requestID]; found {
			w.decisions <- Decision{effect: x, at: e.At()}
		}
	}
	return rest
}

// requestIDOf returns the ID of the request that an effect decides on, or
// false if the effect isn't a decision.
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
