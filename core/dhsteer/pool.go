package dhsteer

import (
	"slices"
	"strings"

	"dogwoodhitch/core/dhclock"
)

// Pool holds the upstreams of one service that announce themselves to this
// instance, and the queue of requests that wait for one of their slots.
type Pool struct {
	service       string
	upstreams     []*Upstream
	queue         queue
	remoteRunning int // slots in use by requests from other instances
	nextStart     int // round-robin position, breaks ties of equal load
	// lastEjectionEnd is when the last ejection ends.
	lastEjectionEnd dhclock.Millis
}

// NewPool returns an empty pool.
func NewPool(service string) *Pool {
	return &Pool{service: service, queue: newQueue()}
}

// Service returns the name of the service.
func (p *Pool) Service() string { return p.service }

// Upstreams returns the upstreams, sorted by name. The caller must not change
// the slice.
func (p *Pool) Upstreams() []*Upstream { return p.upstreams }

// Waiting returns how many requests wait.
func (p *Pool) Waiting() int { return p.queue.size }

// Announce adds or renews an upstream. A new upstream goes through a slow start:
// its allowed slots rise to the announced number within the cold-start time. So
// does one that expired or was deregistered, or that has a new address.
func (p *Pool) Announce(now, cold dhclock.Millis, a Announcement) {
	u := p.find(a.Name())
	if u == nil {
		u = &Upstream{announcement: a, health: health{slowStart: slowStart{from: now, duration: cold}}}
		p.insert(u)
	}
	if !u.available(now) || u.announcement.Address() != a.Address() {
		u.slowStart = slowStart{from: now, duration: cold}
		u.leaving, u.pausedUntil, u.halfOpen = false, 0, halfOpen{}
	}
	u.announcement = a
	u.lastAnnounced = now
	u.reportedAt = now
	u.otherRunning = max(0, a.Running()-u.running)
}

// Deregister stops new requests to an upstream at once, and reports whether it could get
// some before.
func (p *Pool) Deregister(name string) bool {
	u := p.find(name)
	if u == nil || u.leaving {
		return false
	}
	u.leaving = true
	return true
}

// RemoveExpired removes expired or deregistered upstreams that run no requests,
// once their last announcement is older than twice the TTL.
func (p *Pool) RemoveExpired(now dhclock.Millis) {
	p.upstreams = slices.DeleteFunc(p.upstreams, func(u *Upstream) bool {
		return u.running == 0 && !u.available(now) && now.Since(u.lastAnnounced) > 2*AnnouncementTTL
	})
}

func (p *Pool) find(name string) *Upstream {
	i, found := p.position(name)
	if !found {
		return nil
	}
	return p.upstreams[i]
}

func (p *Pool) position(name string) (int, bool) {
	return slices.BinarySearchFunc(p.upstreams, name, func(u *Upstream, name string) int {
		return strings.Compare(u.Name(), name)
	})
}

func (p *Pool) insert(u *Upstream) {
	i, _ := p.position(u.Name())
	p.upstreams = slices.Insert(p.upstreams, i, u)
}

// Select returns the least loaded upstream with a free slot, or nil. Ties are
// broken round robin. Upstreams that were tried before for the same request and
// ejected ones are skipped.
func (p *Pool) Select(now dhclock.Millis, tried []*Upstream) *Upstream {
	return p.selectUpstream(now, tried, false)
}

// SelectEjected returns an ejected upstream to probe, or nil. It returns one only
// while more than half of the pool is ejected: the cause of the failures may
// then lie outside the upstreams, and only a probe shows whether it persists.
func (p *Pool) SelectEjected(now dhclock.Millis, tried []*Upstream) *Upstream {
	if now >= p.lastEjectionEnd || !p.majorityEjected(now) {
		return nil
	}
	return p.selectUpstream(now, tried, true)
}

// selectUpstream returns the least loaded upstream among the usable ones, or
// among the ejected ones that may get a probe.
func (p *Pool) selectUpstream(now dhclock.Millis, tried []*Upstream, ejected bool) *Upstream {
	n := len(p.upstreams)
	if n == 0 {
		return nil
	}
	p.nextStart = (p.nextStart + 1) % n
	first, firstLoad := leastLoadedUpstream(now, p.upstreams[p.nextStart:], tried, ejected)
	second, secondLoad := leastLoadedUpstream(now, p.upstreams[:p.nextStart], tried, ejected)
	if first == nil || second != nil && secondLoad < firstLoad {
		return second
	}
	return first
}

// leastLoadedUpstream returns the least loaded usable upstream of a list, or the
// least loaded one that may get a probe, and its load.
func leastLoadedUpstream(now dhclock.Millis, list, tried []*Upstream, ejected bool) (*Upstream, int64) {
	var best *Upstream
	var bestLoad int64
	for _, u := range list {
		if ejected && !u.mayProbe(now) || !ejected && !u.usable(now) {
			continue
		}
		if len(tried) > 0 && slices.Contains(tried, u) {
			continue
		}
		if load := u.load(now); best == nil || load < bestLoad {
			best, bestLoad = u, load
		}
	}
	return best, bestLoad
}

// majorityEjected reports whether more than half of the available upstreams are
// ejected.
func (p *Pool) majorityEjected(now dhclock.Millis) bool {
	available, ejected := 0, 0
	for _, u := range p.upstreams {
		if !u.available(now) {
			continue
		}
		available++
		if now < u.ejectedUntil {
			ejected++
		}
	}
	return 2*ejected > available
}

// Acquire takes a slot of an upstream for a request; remote means that the
// request comes from another instance.
func (p *Pool) Acquire(now dhclock.Millis, u *Upstream, remote bool) {
	u.running++
	u.recordTrial(now)
	if remote {
		p.remoteRunning++
	}
}

// AttemptOutcome is how an attempt at an upstream ended.
type AttemptOutcome int

// The outcomes of an attempt.
const (
	// Answered means that the upstream sent a complete response.
	Answered AttemptOutcome = iota
	// Failed means that the attempt broke off, or that the upstream responded that
	// it can't serve the request.
	Failed
	// Shed means that the upstream refused the request and did not run it.
	Shed
	// Unreachable means that no connection could be opened.
	Unreachable
	// Misplaced means that another upstream responds at the address.
	Misplaced
	// Neutral means that the attempt shows nothing about the upstream, because the
	// caller cancelled the request.
	Neutral
)

// Release releases a slot of an upstream and records the outcome of the attempt and the
// pause that the response asked for.
func (p *Pool) Release(now dhclock.Millis, u *Upstream, remote bool, o AttemptOutcome, latency dhclock.Millis, r Response) {
	u.running--
	u.recordEnd(now, now-latency, r.Arrival)
	if remote {
		p.remoteRunning--
	}
	switch o {
	case Answered:
		u.recordSuccess(latency)
	case Failed, Unreachable, Misplaced:
		if u.recordFailure() {
			u.eject(now)
			p.lastEjectionEnd = max(p.lastEjectionEnd, u.ejectedUntil)
		}
	case Shed:
		u.backOff(now)
	case Neutral:
	}
	if r.Pause > 0 {
		u.pause(now, r.Pause, r.Random)
	}
}

// PausedUntil returns when the first pause ends if all available upstreams are paused,
// else 0.
func (p *Pool) PausedUntil(now dhclock.Millis) dhclock.Millis {
	return firstPauseEnd(now, func(yield func(*health) bool) {
		for _, u := range p.upstreams {
			if u.available(now) && !yield(&u.health) {
				return
			}
		}
	})
}

// Slots returns the allowed slots of all upstreams that may get new requests now,
// and how many of them are free.
func (p *Pool) Slots(now dhclock.Millis) (all, free int) {
	for _, u := range p.upstreams {
		if u.available(now) && !u.Ejected(now) && now >= u.backoffUntil && !u.Paused(now) {
			all += u.allowedSlots(now)
			free += u.freeSlots(now)
		}
	}
	return all, free
}

// RemoteCapacity returns how many more requests from other instances may run
// here, given the share of slots that is open to them, in percent.
func (p *Pool) RemoteCapacity(now dhclock.Millis, percent int) int {
	all, free := p.Slots(now)
	return max(0, min(free-p.queue.size, all*percent/100-p.remoteRunning))
}

// RemoteRunning returns how many requests from other instances run here.
func (p *Pool) RemoteRunning() int { return p.remoteRunning }
