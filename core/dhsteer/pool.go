package dhsteer

import (
	"slices"
	"strings"

	"dogwoodhitch/core/dhclock"
)

// Pool is the upstreams of one service that announce themselves here, and the
// requests that wait for one of their slots.
type Pool struct {
	service   string
	upstreams []*Upstream
	queue     queue
	taken     int // slots that requests from other instances hold
	turn      int
	// ejectedUntil is when the last ejection ends.
	ejectedUntil dhclock.Millis
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
func (p *Pool) Announce(now, cold dhclock.Millis, a Announce) {
	u := p.find(a.Name())
	if u == nil {
		u = &Upstream{announce: a, warmFrom: now, cold: cold}
		p.insert(u)
	}
	if !u.alive(now) || u.announce.Address() != a.Address() {
		u.warmFrom, u.cold = now, cold
		u.leaving = false
	}
	u.announce = a
	u.renewed = now
	u.reported = now
	u.foreign = max(0, a.Running()-u.running)
}

// Leave stops new work for an upstream at once.
func (p *Pool) Leave(name string) bool {
	u := p.find(name)
	if u == nil {
		return false
	}
	u.leaving = true
	return true
}

// Sweep forgets upstreams that are silent or left and run nothing.
func (p *Pool) Sweep(now dhclock.Millis) {
	p.upstreams = slices.DeleteFunc(p.upstreams, func(u *Upstream) bool {
		return u.running == 0 && !u.alive(now) && now.Since(u.renewed) > 2*AnnounceLife
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

// Choose returns the upstream with a free slot that is least busy, or nil.
// Among equally busy ones the choice goes round. Upstreams that were tried
// before for the same request, and ejected ones, are passed over.
func (p *Pool) Choose(now dhclock.Millis, tried []*Upstream) *Upstream {
	return p.choose(now, tried, false)
}

// ChooseEjected returns an ejected upstream to try, or nil. It gives one only
// when more than half of the pool is ejected: then the failures may lie
// elsewhere, and somebody must find out.
func (p *Pool) ChooseEjected(now dhclock.Millis, tried []*Upstream) *Upstream {
	if now >= p.ejectedUntil || !p.mostEjected(now) {
		return nil
	}
	return p.choose(now, tried, true)
}

// choose goes round the upstreams that may be used, or those that are worth
// trying although they are ejected.
func (p *Pool) choose(now dhclock.Millis, tried []*Upstream, ejected bool) *Upstream {
	n := len(p.upstreams)
	if n == 0 {
		return nil
	}
	p.turn = (p.turn + 1) % n
	first, firstLoad := least(now, p.upstreams[p.turn:], tried, ejected)
	second, secondLoad := least(now, p.upstreams[:p.turn], tried, ejected)
	if first == nil || second != nil && secondLoad < firstLoad {
		return second
	}
	return first
}

// least returns the least busy of some upstreams that may be used, and its
// load.
func least(now dhclock.Millis, list, tried []*Upstream, ejected bool) (*Upstream, int64) {
	var best *Upstream
	var bestLoad int64
	for _, u := range list {
		if ejected && !u.worthTrying(now) || !ejected && !u.usable(now) {
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

// mostEjected tells whether more than half of the live upstreams are ejected.
func (p *Pool) mostEjected(now dhclock.Millis) bool {
	alive, ejected := 0, 0
	for _, u := range p.upstreams {
		if !u.alive(now) {
			continue
		}
		alive++
		if now < u.ejected {
			ejected++
		}
	}
	return 2*ejected > alive
}

// Take starts a request at an upstream.
func (p *Pool) Take(u *Upstream, remote bool) {
	u.running++
	if remote {
		p.taken++
	}
}

// Verdict is how an attempt at an upstream ended.
type Verdict int

// The verdicts.
const (
	// Answered means a whole answer came.
	Answered Verdict = iota
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

// Finish ends a request at an upstream.
func (p *Pool) Finish(now dhclock.Millis, u *Upstream, remote bool, v Verdict, latency dhclock.Millis) {
	u.running--
	if remote {
		p.taken--
	}
	switch v {
	case Answered:
		u.succeed(latency)
	case Failed, Unreachable, Misplaced:
		if u.fail() {
			u.eject(now)
			p.ejectedUntil = max(p.ejectedUntil, u.ejected)
		}
	case Shed:
		u.shedLoad(now)
	case Neutral:
	}
}

// Slots returns the slots of all upstreams that may get new work now, and how
// many of them are free.
func (p *Pool) Slots(now dhclock.Millis) (all, free int) {
	for _, u := range p.upstreams {
		if u.alive(now) && !u.Ejected(now) && now >= u.shed {
			all += u.allowed(now)
			free += u.free(now)
		}
	}
	return all, free
}

// RemoteRoom returns how many more requests from other instances may run here,
// given the share of slots that is open to them, in percent.
func (p *Pool) RemoteRoom(now dhclock.Millis, percent int) int {
	all, free := p.Slots(now)
	return max(0, min(free-p.queue.size, all*percent/100-p.taken))
}

// Remote returns how many requests from other instances run here.
func (p *Pool) Remote() int { return p.taken }
