package dhsteer

import (
	"slices"
	"strings"

	"dogwoodhitch/core/dhclock"
)

// Pool is the upstreams of one service that announce themselves here, and the
// requests that wait for one of their slots.
type Pool struct {
	service       string
	upstreams     []*Upstream
	queue         queue
	remoteRunning int // slots that requests from other instances hold
	nextStart     int
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

// Announce adds or renews an upstream. A new one rises to its slots within
// the cold-start time; so does one that comes back after it was lost.
func (p *Pool) Announce(now, cold dhclock.Millis, a Announcement) {
	u := p.find(a.Name())
	if u == nil {
		u = &Upstream{announcement: a, slowStartFrom: now, slowStart: cold}
		p.insert(u)
	}
	if !u.available(now) || u.announcement.Address() != a.Address() {
		u.slowStartFrom, u.slowStart = now, cold
		u.leaving = false
	}
	u.announcement = a
	u.lastAnnounced = now
	u.reportedAt = now
	u.otherRunning = max(0, a.Running()-u.running)
}

// Deregister stops new work for an upstream at once.
func (p *Pool) Deregister(name string) bool {
	u := p.find(name)
	if u == nil {
		return false
	}
	u.leaving = true
	return true
}

// RemoveExpired forgets upstreams that are silent or left and run nothing.
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

// Select returns the upstream with a free slot that is least busy, or nil.
// Among equally busy ones the choice goes round. Upstreams that were tried
// before for the same request, and ejected ones, are passed over.
func (p *Pool) Select(now dhclock.Millis, tried []*Upstream) *Upstream {
	return p.selectUpstream(now, tried, false)
}

// SelectEjected returns an ejected upstream to try, or nil. It gives one only
// when more than half of the pool is ejected: then the failures may lie
// elsewhere, and somebody must find out.
func (p *Pool) SelectEjected(now dhclock.Millis, tried []*Upstream) *Upstream {
	if now >= p.lastEjectionEnd || !p.majorityEjected(now) {
		return nil
	}
	return p.selectUpstream(now, tried, true)
}

// selectUpstream goes round the upstreams that may be used, or those that are worth
// trying although they are ejected.
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

// leastLoadedUpstream returns the least busy of some upstreams that may be used, and its
// load.
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

// majorityEjected tells whether more than half of the live upstreams are ejected.
func (p *Pool) majorityEjected(now dhclock.Millis) bool {
	alive, ejected := 0, 0
	for _, u := range p.upstreams {
		if !u.available(now) {
			continue
		}
		alive++
		if now < u.ejectedUntil {
			ejected++
		}
	}
	return 2*ejected > alive
}

// Acquire starts a request at an upstream.
func (p *Pool) Acquire(u *Upstream, remote bool) {
	u.running++
	if remote {
		p.remoteRunning++
	}
}

// AttemptOutcome is how an attempt at an upstream ended.
type AttemptOutcome int

// The verdicts.
const (
	// Answered means a whole answer came.
	Answered AttemptOutcome = iota
	// Failed means that the upstream failed, or answered that it is unable.
	Failed
	// Shed means that the upstream refused the work and did not run it.
	Shed
	// Unreachable means that no connection was had.
	Unreachable
	// Misplaced means that another upstream answers at the address.
	Misplaced
	// Neutral says nothing about the upstream: the caller went away.
	Neutral
)

// Release ends a request at an upstream.
func (p *Pool) Release(now dhclock.Millis, u *Upstream, remote bool, v AttemptOutcome, latency dhclock.Millis) {
	u.running--
	if remote {
		p.remoteRunning--
	}
	switch v {
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
}

// Slots returns the slots of all upstreams that may get new work now, and how
// many of them are free.
func (p *Pool) Slots(now dhclock.Millis) (all, free int) {
	for _, u := range p.upstreams {
		if u.available(now) && !u.Ejected(now) && now >= u.backoffUntil {
			all += u.allowedSlots(now)
			free += u.freeSlots(now)
		}
	}
	return all, free
}

// RemoteCapacity returns how many more requests from other instances may run here,
// given the share of slots that is open to them, in percent.
func (p *Pool) RemoteCapacity(now dhclock.Millis, percent int) int {
	all, free := p.Slots(now)
	return max(0, min(free-p.queue.size, all*percent/100-p.remoteRunning))
}

// RemoteRunning returns how many requests from other instances run here.
func (p *Pool) RemoteRunning() int { return p.remoteRunning }
