package dhsteer

import (
	"math"

	"dogwoodhitch/core/dhclock"
)

// Load is what an upstream says of itself in an answer.
type Load struct {
	running int
	waiting int
	slots   int
}

// NewLoad returns a report: requests that run and that wait, of all callers, and
// how many run at once.
func NewLoad(running, waiting, slots int) Load {
	return Load{running: running, waiting: waiting, slots: slots}
}

// busy returns the share of the slots that is asked for.
func (l Load) busy() float64 { return float64(l.running+l.waiting) / float64(max(1, l.slots)) }

// Constants of balancing. Objects are moved, not requests: each one that moves
// costs work at an upstream that hasn't cached it.
const (
	// balanceInterval is the time between two adjustments, in milliseconds.
	balanceInterval dhclock.Millis = 1000
	// busyWeight is the weight of a new report, one in so many.
	busyWeight = 4
	// busyLife is how long a member's reports count, in milliseconds.
	busyLife dhclock.Millis = 4000
	// A member or region above busyHigh gives objects away, one below busyLow
	// takes them back, and only members below busyTake get others' objects. All
	// are shares of the slots; queues grow fast above them.
	busyHigh = 0.90
	busyTake = 0.70
	busyLow  = 0.55
	// movedStep and movedBack are which share of a member's objects is given away
	// or taken back at a time, and movedMost is the most that is given away.
	movedStep = 0.08
	movedBack = 0.03
	movedMost = 0.60
	// regionStep and regionBack are the same for the objects of a region. They
	// keep shifts between regions small.
	regionStep  = 0.04
	regionBack  = 0.02
	regionLeast = 0.02
)

// reports smooths what one upstream says of its load.
type reports struct {
	busy  float64
	heard dhclock.Millis
	ever  bool
	// moved is the share of its objects that go to another member.
	moved float64
}

// noteLoad notes a report.
func (r *reports) noteLoad(now dhclock.Millis, l Load) {
	if !r.ever || now.Since(r.heard) > busyLife {
		r.busy = l.busy()
	} else {
		r.busy += (l.busy() - r.busy) / busyWeight
	}
	r.heard, r.ever = now, true
}

// fullLoad is what the refusal of an upstream that doesn't tell its load counts
// as: its slots and as many that wait.
var fullLoad = NewLoad(1, 1, 1)

// refused takes a member's refusal. A busy member is full, and fewer requests
// will be admitted; to leave it alone would send all of its objects where they
// aren't cached. One that isn't busy refuses for reasons of its own.
func (m *Member) refused(now dhclock.Millis, l *Load) {
	if m.known(now) && m.busy < busyHigh {
		m.shedLoad(now)
		return
	}
	if l == nil {
		m.noteLoad(now, fullLoad)
	}
}

// known tells whether the reports are recent.
func (r *reports) known(now dhclock.Millis) bool { return r.ever && now.Since(r.heard) <= busyLife }

// takes tells whether the member gets objects of busier ones.
func (r *reports) takes(now dhclock.Millis) bool { return r.known(now) && r.busy < busyTake }

// Balance lets busy members give away some of their objects, and the local
// region give some to others. The objects are chosen by hash, so that instances
// that see the same loads move the same ones.
func (g *Group) Balance(now dhclock.Millis) {
	if now.Since(g.balanced) < balanceInterval {
		return
	}
	g.balanced = now
	for i := range g.regions {
		r := &g.regions[i]
		r.balance(now)
		if r.name == g.local {
			g.adjustShare(r.busy(now), g.calmest(now))
		}
	}
}

// calmest returns the load of the region with the least, of those that aren't
// the local one. One that tells nothing counts as idle until it does.
func (g *Group) calmest(now dhclock.Millis) float64 {
	least := math.Inf(1)
	for i := range g.regions {
		if r := &g.regions[i]; r.name != g.local {
			least = min(least, r.busy(now))
		}
	}
	return least
}

func (r *region) balance(now dhclock.Millis) {
	takers := 0
	for _, m := range r.members {
		if m.usable(now) && m.takes(now) {
			takers++
		}
	}
	for _, m := range r.members {
		switch {
		case !m.known(now) || m.busy < busyLow:
			m.moved = max(0, m.moved-movedBack)
		case m.busy > busyHigh && takers > 0:
			m.moved = min(movedMost, m.moved+movedStep)
		}
	}
}

// busy returns the share of the region's slots that is asked for, as far as its
// members tell.
func (r *region) busy(now dhclock.Millis) float64 {
	sum, slots := 0.0, 0
	for _, m := range r.members {
		if m.known(now) {
			sum += m.busy * float64(m.record.Slots())
			slots += m.record.Slots()
		}
	}
	return sum / float64(max(1, slots))
}

// adjustShare moves objects out of the local region while it is too busy and
// another one isn't, and back once it has room or the others have less. Regions
// that are all busy would only swap objects.
func (g *Group) adjustShare(busy, calmest float64) {
	switch {
	case len(g.regions) < 2:
		g.localShare = shareScale
	case busy > busyHigh && calmest < busyTake:
		g.localShare = max(regionLeast*shareScale, g.localShare-regionStep*shareScale)
	case busy < busyLow || calmest > busy:
		g.localShare = min(shareScale, g.localShare+regionBack*shareScale)
	}
}

// Constants of admission at a busy member, in shares of its slots.
const (
	// admitAll is up to where every request is admitted, and admitLeast from where
	// on only leastAdmitted of them are.
	admitAll      = 1.0
	admitLeast    = 2.0
	leastAdmitted = 0.05
	// admitPriority is by how much the bounds are lower for each step of priority.
	admitPriority = 0.1
	// lateShare is the part of the objective up to which a latency is no sign of
	// overload.
	lateShare = 0.8
)

// admits tells whether a busy member gets a request. Beyond its slots requests
// queue up there until none is answered in time. So, once answers are late and
// more is asked for than the slots, a part of the requests is turned away at
// once, the less urgent ones first.
func (m *Member) admits(now dhclock.Millis, w *Wish) bool {
	if w.Objective == 0 || !m.known(now) || m.latency < int64(float64(w.Objective)*lateShare*latencyScale) {
		return true
	}
	excess := m.busy - admitAll + admitPriority*float64(w.Priority)
	if excess <= 0 {
		return true
	}
	part := max(leastAdmitted, 1-excess/(admitLeast-admitAll))
	return float64(mix(w.Random^localSalt)%shareScale) < part*shareScale
}
