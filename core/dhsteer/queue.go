package dhsteer

import (
	"cmp"
	"slices"

	"dogwoodhitch/core/dhclock"
)

// Priorities is how many priorities there are; 0 goes first.
const Priorities = 10

// MaxWaiting bounds the requests that wait in one pool.
const MaxWaiting = 4096

// costUnit is the virtual time that one request of an organisation of weight 1
// takes.
const costUnit = 1 << 20

// Waiter is one request that waits for a slot.
type Waiter struct {
	request       uint64
	organisation  string
	weight        int
	priority      int
	deadline      dhclock.Millis
	virtualFinish int64
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

// NewWaiter returns a waiter that stands in no queue yet.
func NewWaiter(o WaiterOptions) *Waiter {
	return &Waiter{
		request: o.Request, organisation: o.Organisation, weight: max(1, o.Weight),
		priority: min(max(0, o.Priority), Priorities-1), deadline: o.Deadline,
	}
}

// Request returns the number of the request that waits.
func (w *Waiter) Request() uint64 { return w.request }

// Deadline returns until when the request waits.
func (w *Waiter) Deadline() dhclock.Millis { return w.deadline }

// queue orders waiters by priority, then by weighted fair queueing over
// organisations: each organisation's requests finish in its own virtual time,
// and the earliest finish goes first. So a flood by one organisation waits
// behind one request of every other.
type queue struct {
	levels [Priorities]priorityLevel
	size   int
}

type priorityLevel struct {
	flows       map[string]*flow
	virtualTime int64
}

// flow is the requests of one organisation, in order of arrival.
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

// Enqueue puts a request into the queue; false if the queue is full. When it is
// full, the newest request of the organisation with the longest line makes
// room for one of an organisation with a shorter line; that request is
// returned.
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
	ln, found := l.flows[w.organisation]
	if !found {
		ln = &flow{lastFinish: l.virtualTime}
		l.flows[w.organisation] = ln
	}
	w.virtualFinish = max(ln.lastFinish, l.virtualTime) + costUnit/int64(w.weight)
	ln.lastFinish = w.virtualFinish
	ln.waiters = append(ln.waiters, w)
	p.queue.size++
	return dropped, true
}

// newestOfLongestFlow returns the newest waiter of the longest line, unless that belongs
// to the organisation itself.
func (q *queue) newestOfLongestFlow(organisation string) *Waiter {
	var best *flow
	owner := ""
	for i := range q.levels {
		for name, ln := range q.levels[i].flows {
			if best == nil || len(ln.waiters) > len(best.waiters) || len(ln.waiters) == len(best.waiters) && name < owner {
				best, owner = ln, name
			}
		}
	}
	if best == nil || owner == organisation || len(best.waiters) == 0 {
		return nil
	}
	return best.waiters[len(best.waiters)-1]
}

// Cancel takes a request out of the queue.
func (p *Pool) Cancel(w *Waiter) {
	if w.pool != p {
		return
	}
	l := &p.queue.levels[w.priority]
	ln := l.flows[w.organisation]
	for i, x := range ln.waiters {
		if x == w {
			ln.waiters = append(ln.waiters[:i], ln.waiters[i+1:]...)
			break
		}
	}
	p.recordRemoval(l, ln, w)
}

func (p *Pool) recordRemoval(l *priorityLevel, ln *flow, w *Waiter) {
	w.pool = nil
	p.queue.size--
	if len(ln.waiters) == 0 {
		delete(l.flows, w.organisation)
	}
}

// Dequeue returns the request that goes first and takes it out of the queue, or
// nil.
func (p *Pool) Dequeue() *Waiter {
	for i := range p.queue.levels {
		l := &p.queue.levels[i]
		var best *flow
		for _, ln := range l.flows {
			if best == nil || precedes(ln.waiters[0], best.waiters[0]) {
				best = ln
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

// Requeue returns the request that Next gave to the head of its line.
func (p *Pool) Requeue(w *Waiter) {
	w.pool = p
	l := &p.queue.levels[w.priority]
	ln, found := l.flows[w.organisation]
	if !found {
		ln = &flow{lastFinish: w.virtualFinish}
		l.flows[w.organisation] = ln
	}
	ln.waiters = append([]*Waiter{w}, ln.waiters...)
	p.queue.size++
}

// Expired returns the requests whose wait is over, in order of their numbers.
func (p *Pool) Expired(now dhclock.Millis) []*Waiter {
	if p.queue.size == 0 {
		return nil
	}
	var list []*Waiter
	for i := range p.queue.levels {
		for _, ln := range p.queue.levels[i].flows {
			for _, w := range ln.waiters {
				if w.deadline <= now {
					list = append(list, w)
				}
			}
		}
	}
	slices.SortFunc(list, func(a, b *Waiter) int { return cmp.Compare(a.request, b.request) })
	return list
}
