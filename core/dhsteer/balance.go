package dhsteer

import (
	"math"

	"dogwoodhitch/core/dhclock"
)

// LoadReport is what an upstream says of itself in an answer.
type LoadReport struct {
	running int
	waiting int
	slots   int
}

// NewLoadReport returns a report: requests that run and that wait, of all callers, and
// how many run at once.
func NewLoadReport(running, waiting, slots int) LoadReport {
	return LoadReport{running: running, waiting: waiting, slots: slots}
}

// utilisation returns the share of the slots that is asked for.
func (l LoadReport) utilisation() float64 {
	return float64(l.running+l.waiting) / float64(max(1, l.slots))
}

// Constants of balancing. Objects are moved, not requests: each one that moves
// costs work at an upstream that hasn't cached it.
const (
	// balanceInterval is the time between two adjustments, in milliseconds.
	balanceInterval dhclock.Millis = 1000
	// utilisationSmoothing is the weight of a new report, one in so many.
	utilisationSmoothing = 4
	// utilisationTTL is how long a member's reports count, in milliseconds.
	utilisationTTL dhclock.Millis = 4000
	// A member or region above busyHigh gives objects away, one below busyLow
	// takes them back, and only members below busyTake get others' objects. All
	// are shares of the slots; queues grow fast above them.
	highUtilisation   = 0.90
	acceptUtilisation = 0.70
	lowUtilisation    = 0.55
	// offloadStep and movedBack are which share of a member's objects is given away
	// or taken back at a time, and movedMost is the most that is given away.
	offloadStep     = 0.08
	restoreStep     = 0.03
	maxOffloadShare = 0.60
	// regionOffloadStep and regionBack are the same for the objects of a region. They
	// keep shifts between regions small.
	regionOffloadStep = 0.04
	regionRestoreStep = 0.02
	minLocalShare     = 0.02
)

// loadStats smooths what one upstream says of its load.
type loadStats struct {
	utilisation float64
	lastReport  dhclock.Millis
	hasReport   bool
	// offloadShare is the share of its objects that go to another member.
	offloadShare float64
}

// recordLoad notes a report.
func (r *loadStats) recordLoad(now dhclock.Millis, l LoadReport) {
	if !r.hasReport || now.Since(r.lastReport) > utilisationTTL {
		r.utilisation = l.utilisation()
	} else {
		r.utilisation += (l.utilisation() - r.utilisation) / utilisationSmoothing
	}
	r.lastReport, r.hasReport = now, true
}

// fullLoad is what the refusal of an upstream that doesn't tell its load counts
// as: its slots and as many that wait.
var fullLoad = NewLoadReport(1, 1, 1)

// recordRefusal takes a member's refusal. A busy member is full, and fewer requests
// will be admitted; to leave it alone would send all of its objects where they
// aren't cached. One that isn't busy refuses for reasons of its own.
func (m *Member) recordRefusal(now dhclock.Millis, l *LoadReport) {
	if m.hasRecentReport(now) && m.utilisation < highUtilisation {
		m.backOff(now)
		return
	}
	if l == nil {
		m.recordLoad(now, fullLoad)
	}
}

// hasRecentReport tells whether the reports are recent.
func (r *loadStats) hasRecentReport(now dhclock.Millis) bool {
	return r.hasReport && now.Since(r.lastReport) <= utilisationTTL
}

// acceptsOffload tells whether the member gets objects of busier ones.
func (r *loadStats) acceptsOffload(now dhclock.Millis) bool {
	return r.hasRecentReport(now) && r.utilisation < acceptUtilisation
}

// Balance lets busy members give away some of their objects, and the local
// region give some to others. The objects are chosen by hash, so that instances
// that see the same loads move the same ones.
func (g *Group) Balance(now dhclock.Millis) {
	if now.Since(g.lastBalanced) < balanceInterval {
		return
	}
	g.lastBalanced = now
	for i := range g.regions {
		r := &g.regions[i]
		r.balance(now)
		if r.name == g.local {
			g.adjustLocalShare(r.utilisation(now), g.leastLoaded(now))
		}
	}
}

// leastLoaded returns the load of the region with the least, of those that aren't
// the local one. One that tells nothing counts as idle until it does.
func (g *Group) leastLoaded(now dhclock.Millis) float64 {
	least := math.Inf(1)
	for i := range g.regions {
		if r := &g.regions[i]; r.name != g.local {
			least = min(least, r.utilisation(now))
		}
	}
	return least
}

func (r *region) balance(now dhclock.Millis) {
	takers := 0
	for _, m := range r.members {
		if m.usable(now) && m.acceptsOffload(now) {
			takers++
		}
	}
	for _, m := range r.members {
		switch {
		case !m.hasRecentReport(now) || m.utilisation < lowUtilisation:
			m.offloadShare = max(0, m.offloadShare-restoreStep)
		case m.utilisation > highUtilisation && takers > 0:
			m.offloadShare = min(maxOffloadShare, m.offloadShare+offloadStep)
		}
	}
}

// utilisation returns the share of the region's slots that is asked for, as far as its
// members tell.
func (r *region) utilisation(now dhclock.Millis) float64 {
	sum, slots := 0.0, 0
	for _, m := range r.members {
		if m.hasRecentReport(now) {
			sum += m.utilisation * float64(m.record.Slots())
			slots += m.record.Slots()
		}
	}
	return sum / float64(max(1, slots))
}

// adjustLocalShare moves objects out of the local region while it is too busy and
// another one isn't, and back once it has room or the others have less. Regions
// that are all busy would only swap objects.
func (g *Group) adjustLocalShare(busy, calmest float64) {
	switch {
	case len(g.regions) < 2:
		g.localShare = shareScale
	case busy > highUtilisation && calmest < acceptUtilisation:
		g.localShare = max(minLocalShare*shareScale, g.localShare-regionOffloadStep*shareScale)
	case busy < lowUtilisation || calmest > busy:
		g.localShare = min(shareScale, g.localShare+regionRestoreStep*shareScale)
	}
}

// Constants of admission at a busy member, in shares of its slots.
const (
	// admitAllUpTo is up to where every request is admitted, and admitLeast from where
	// on only leastAdmitted of them are.
	admitAllUpTo     = 1.0
	admitMinFrom     = 2.0
	minAdmittedShare = 0.05
	// admitPriorityStep is by how much the bounds are lower for each step of priority.
	admitPriorityStep = 0.1
	// lateLatencyShare is the part of the objective up to which a latency is no sign of
	// overload.
	lateLatencyShare = 0.8
)

// admits tells whether a busy member gets a request. Beyond its slots requests
// queue up there until none is answered in time. So, once answers are late and
// more is asked for than the slots, a part of the requests is turned away at
// once, the less urgent ones first.
func (m *Member) admits(now dhclock.Millis, w *Criteria) bool {
	if w.Objective == 0 || !m.hasRecentReport(now) || m.latency < int64(float64(w.Objective)*lateLatencyShare*latencyScale) {
		return true
	}
	excess := m.utilisation - admitAllUpTo + admitPriorityStep*float64(w.Priority)
	if excess <= 0 {
		return true
	}
	part := max(minAdmittedShare, 1-excess/(admitMinFrom-admitAllUpTo))
	return float64(mixBits(w.Random^hashSalt)%shareScale) < part*shareScale
}
