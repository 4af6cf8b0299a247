package dhsteer

import (
	"cmp"
	"slices"

	"dogwoodhitch/core/dhclock"
)

// Priorities is the number of priority levels; 0 is served first.
const Priorities = 10

// MaxWaiting bounds the queue of one pool.
const MaxWaiting = 4096

// costUnit is the virtual time of one request of an organisation of weight 1.
const costUnit = 1 << 20

// Waiter is one request that waits for a slot.
type Waiter struct {
	request       uint64
	organisation  string
	weight        int
	priority      int
	deadline      dhclock.Millis
	virtualFinish int64 // virtual time at which fair queueing finishes it
	pool          *Pool
}

// WaiterOptions are the fields of a Waiter.
type WaiterOptions struct {
	Request      uint64
	Organisation string
	Weight       int
	Priority     int
	Deadline     dhclock.Millis
}

// NewWaiter returns a waiter that is not in a queue yet.
func NewWaiter(o WaiterOptions) *Waiter {
	return &Waiter{
		request: o.Request, organisation: o.Organisation, weight: max(1, o.Weight),
		priority: min(max(0, o.Priority), Priorities-1), deadline: o.Deadline,
	}
}

// Request returns the ID of the request that waits.
func (w *Waiter) Request() uint64 { return w.request }

// Deadline returns the time at which the request stops waiting.
func (w *Waiter) Deadline() dhclock.Millis { return w.deadline }

// queue orders waiters by priority, then by weighted fair queueing across
// organisations: each request gets a virtual finish time from its organisation's
// weight, and the earliest one is served first. A flood from one organisation
// thus delays another organisation's request by one request, not by all.
type queue struct {
	levels [Priorities]priorityLevel
	size   int
}

type priorityLevel struct {
	flows       map[string]*flow
	virtualTime int64
}

// flow holds the waiting requests of one organisation at one priority level, in
// order of arrival.
type flow struct {
	waiters    []*Waiter
	lastFinish int64
}

func newQueue() queue {
	var q queue
	for i := range q.levels {
		q.levels[i].flows = map[string]*flow{}
	}
	return q
}

// Enqueue adds a request to the queue. If the queue is full, it drops and returns
// the newest request of the longest flow, or returns false if that flow belongs to
// the same organisation.
func (p *Pool) Enqueue(w *Waiter) (dropped *Waiter, ok bool) {
	if p.queue.size >= MaxWaiting {
		dropped = p.queue.newestOfLongestFlow(w.organisation)
		if dropped == nil {
			return nil, false
		}
		p.Cancel(dropped)
	}
	w.pool = p
	l := &p.queue.levels[w.priority]
	fl, found := l.flows[w.organisation]
	if !found {
		fl = &flow{lastFinish: l.virtualTime}
		l.flows[w.organisation] = fl
	}
	w.virtualFinish = max(fl.lastFinish, l.virtualTime) + costUnit/int64(w.weight)
	fl.lastFinish = w.virtualFinish
	fl.waiters = append(fl.waiters, w)
	p.queue.size++
	return dropped, true
}

// newestOfLongestFlow returns the newest waiter of the longest flow, or nil if
// that flow belongs to the given organisation.
func (q *queue) newestOfLongestFlow(organisation string) *Waiter {
	var best *flow
	owner := ""
	for i := range q.levels {
		for name, fl := range q.levels[i].flows {
			if best == nil || len(fl.waiters) > len(best.waiters) || len(fl.waiters) == len(best.waiters) && name < owner {
				best, owner = fl, name
			}
		}
	}
	if best == nil || owner == organisation || len(best.waiters) == 0 {
		return nil
	}
	return best.waiters[len(best.waiters)-1]
}

// Cancel removes a request from the queue.
func (p *Pool) Cancel(w *Waiter) {
	if w.pool != p {
		return
	}
	l := &p.queue.levels[w.priority]
	fl := l.flows[w.organisation]
	for i, x := range fl.waiters {
		if x == w {
			fl.waiters = append(fl.waiters[:i], fl.waiters[i+1:]...)
			break
		}
	}
	p.recordRemoval(l, fl, w)
}

func (p *Pool) recordRemoval(l *priorityLevel, fl *flow, w *Waiter) {
	w.pool = nil
	p.queue.size--
	if len(fl.waiters) == 0 {
		delete(l.flows, w.organisation)
	}
}

// Dequeue removes and returns the request to serve next, or nil if the queue is
// empty.
func (p *Pool) Dequeue() *Waiter {
	for i := range p.queue.levels {
		l := &p.queue.levels[i]
		var best *flow
		for _, fl := range l.flows {
			if best == nil || precedes(fl.waiters[0], best.waiters[0]) {
				best = fl
			}
		}
		if best == nil {
			continue
		}
		w := best.waiters[0]
		best.waiters = best.waiters[1:]
		l.virtualTime = max(l.virtualTime, w.virtualFinish-costUnit/int64(w.weight))
		p.recordRemoval(l, best, w)
		return w
	}
	return nil
}

func precedes(a, b *Waiter) bool {
	if a.virtualFinish != b.virtualFinish {
		return a.virtualFinish < b.virtualFinish
	}
	return a.request < b.request
}

// Requeue puts a request that Dequeue returned back at the head of its flow.
func (p *Pool) Requeue(w *Waiter) {
	w.pool = p
	l := &p.queue.levels[w.priority]
	fl, found := l.flows[w.organisation]
	if !found {
		fl = &flow{lastFinish: w.virtualFinish}
		l.flows[w.organisation] = fl
	}
	fl.waiters = append([]*Waiter{w}, fl.waiters...)
	p.queue.size++
}

// Expired returns the requests whose deadline has passed, sorted by ID.
func (p *Pool) Expired(now dhclock.Millis) []*Waiter {
	if p.queue.size == 0 {
		return nil
	}
	var list []*Waiter
	for i := range p.queue.levels {
		for _, fl := range p.queue.levels[i].flows {
			for _, w := range fl.waiters {
				if w.deadline <= now {
					list = append(list, w)
				}
			}
		}
	}
	slices.SortFunc(list, func(a, b *Waiter) int { return cmp.Compare(a.request, b.request) })
	return list
}
