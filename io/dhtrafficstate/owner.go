// Package dhtrafficstate holds the traffic state of one entry instance. The
// goroutines that serve requests reduce their events directly, under one lock.
// The control loop never acquires this lock.
package dhtrafficstate

import (
	"sync"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhreducer"
	"dogwoodhitch/io/dhtime"
)

// Seams connect the Owner to the rest of the process.
type Seams struct {
	// Clock returns the clock readings of events.
	Clock dhtime.Clock
	// Execute executes an effect that is neither a decision on a request nor
	// the result of a query. It must not block.
	Execute func(e dheffect.Effect)
	// Record writes an event and its effects to a journal; nil if there is none.
	Record func(e dhevent.Event, effects []dheffect.Effect)
}

// Owner owns the traffic state, as dhloop.Loop owns the control state.
type Owner struct {
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

// RequestID returns the Owner's ID of the request: a number counted from the
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
// would block the Owner.
const decisionBuffer = 4

// New returns an Owner of the given traffic state.
func New(s *dhreducer.State, seams Seams) *Owner {
	return &Owner{state: s, seams: seams, waiters: map[uint64]*Waiter{}}
}

// OpenRequests returns the number of requests that have not ended.
func (o *Owner) OpenRequests() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.state.Traffic().OpenRequests()
}

// StartRequest assigns an ID to a request and reduces its first event, which the
// function creates from a clock reading and that ID.
func (o *Owner) StartRequest(event func(at dhclock.Millis, requestID uint64) dhevent.Event) *Waiter {
	w := &Waiter{decisions: make(chan Decision, decisionBuffer)}
	o.Handle(func(at dhclock.Millis) dhevent.Event {
		o.lastRequestID++
		w.requestID = o.lastRequestID
		o.waiters[w.requestID] = w
		return event(at, w.requestID)
	})
	return w
}

// RemoveWaiter unregisters a waiter. Further decisions on its request are
// dropped.
func (o *Owner) RemoveWaiter(w *Waiter) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.waiters, w.requestID)
}

// Handle reduces an event and executes its effects. The function that creates
// the event gets a clock reading taken under the lock, so that the time spent
// waiting for the lock is included.
func (o *Owner) Handle(event func(at dhclock.Millis) dhevent.Event) {
	for _, e := range o.Query(event) {
		o.seams.Execute(e)
	}
}

// Query reduces an event that requests information, and returns its effects
// without executing them. After a panic, from which net/http recovers, the Owner goes on
// with the state as it is.
func (o *Owner) Query(event func(at dhclock.Millis) dhevent.Event) []dheffect.Effect {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.reduce(event)
}

// reduce runs the reducer and sends decisions to the waiters of their requests.
// It returns the other effects. The caller must hold the lock.
func (o *Owner) reduce(event func(at dhclock.Millis) dhevent.Event) []dheffect.Effect {
	e := event(o.seams.Clock.Now())
	o.effects.Reset()
	dhreducer.Reduce(o.state, e, &o.effects)
	if o.seams.Record != nil {
		o.seams.Record(e, o.effects.Items())
	}
	var rest []dheffect.Effect
	for _, x := range o.effects.Items() {
		requestID, ok := requestIDOf(x)
		if !ok {
			rest = append(rest, x)
			continue
		}
		if w, found := o.waiters[requestID]; found {
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
