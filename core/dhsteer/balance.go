package dhsteer

import (
	"math"

	"dogwoodhitch/core/dhclock"
)

// LoadReport is the load that an upstream reports with a response.
type LoadReport struct {
	running int
	waiting int
	slots   int
}

// NewLoadReport returns a report of the running and waiting requests of all
// callers, and of the number of requests that the upstream runs at once.
func NewLoadReport(running, waiting, slots int) LoadReport {
	return LoadReport{running: running, waiting: waiting, slots: slots}
}

// maxUtilisation bounds a reported utilisation, so that a false report doesn't outweigh
// many true ones in the average.
const maxUtilisation = 16

// utilisation returns the running and waiting requests as a share of the slots.
func (l LoadReport) utilisation() float64 {
	return min(maxUtilisation, (float64(l.running)+float64(l.waiting))/float64(max(1, l.slots)))
}

// Constants of load balancing. Load is moved by object rather than by request,
// because every object that moves costs work at an upstream that has not cached
// it.
const (
	// balanceInterval is the time between two adjustments, in milliseconds.
	balanceInterval dhclock.Millis = 1000
	// utilisationSmoothing is the inverse of a new report's weight in the moving
	// average of the utilisation.
	utilisationSmoothing = 4
	// utilisationTTL is how long the utilisation counts after the last report, in
	// milliseconds.
	utilisationTTL dhclock.Millis = 4000
	// A member or region above highUtilisation offloads objects and one below
	// lowUtilisation regains them; only members and regions below
	// acceptUtilisation get the objects of others. All are shares of the slots;
	// queues grow fast above them.
	highUtilisation   = 0.90
	acceptUtilisation = 0.70
	lowUtilisation    = 0.55
	// offloadStep and restoreStep are the shares of a member's objects that one
	// adjustment offloads or restores; maxOffloadShare is the largest share that a
	// member offloads.
	offloadStep     = 0.08
	restoreStep     = 0.03
	maxOffloadShare = 0.60
	// regionOffloadStep and regionRestoreStep are the steps for the local region.
	// They keep shifts between regions small. minLocalShare is the smallest share
	// of objects that stays in the local region.
	regionOffloadStep = 0.04
	regionRestoreStep = 0.02
	minLocalShare     = 0.02
)

// loadStats holds the moving average of one upstream's reported load.
type loadStats struct {
	utilisation float64
	lastReport  dhclock.Millis
	hasReport   bool
	// offloadShare is the share of the member's objects that go to another member.
	offloadShare float64
}

// recordLoad adds a report to the moving average, or starts a new average if the
// last report is too old.
func (r *loadStats) recordLoad(now dhclock.Millis, l LoadReport) {
	if !r.hasReport || now.Since(r.lastReport) > utilisationTTL {
		r.utilisation = l.utilisation()
	} else {
		r.utilisation += (l.utilisation() - r.utilisation) / utilisationSmoothing
	}
	r.lastReport, r.hasReport = now, true
}

// fullLoad stands for the load of an upstream that refuses a request without a
// load report: all slots run, and as many requests wait.
var fullLoad = NewLoadReport(1, 1, 1)

// recordRefusal handles the refusal of a request by a member. A busy member
// counts as full, so that fewer requests are admitted; a backoff would send all
// of its objects to members that have not cached them. A member whose recent
// reports show that it isn't busy refuses for another reason and gets a backoff.
func (m *Member) recordRefusal(now dhclock.Millis, l *LoadReport) {
	if m.hasRecentReport(now) && m.utilisation < highUtilisation {
		m.backOff(now)
		return
	}
	if l == nil {
		m.recordLoad(now, fullLoad)
	}
}

// hasRecentReport reports whether the utilisation is current.
func (r *loadStats) hasRecentReport(now dhclock.Millis) bool {
	return r.hasReport && now.Since(r.lastReport) <= utilisationTTL
}

// acceptsOffload reports whether the member gets objects that busier members
// offload. One that reports a limit doesn't.
func (m *Member) acceptsOffload(now dhclock.Millis) bool {
	return m.hasRecentReport(now) && m.utilisation < acceptUtilisation && m.limit == nil
}

// Balance adjusts the share of objects that busy members offload to other
// members, and that the local region offloads to other regions. Objects are
// selected by hash, so that instances that see the same loads move the same
// objects.
func (g *Group) Balance(now dhclock.Millis) {
	interval := now.Since(g.lastBalanced)
	if interval < balanceInterval {
		return
	}
	g.lastBalanced = now
	for i := range g.regions {
		r := &g.regions[i]
		r.updateRate(interval)
		r.updateKeptShares()
		r.balance(now)
		if r.name == g.local {
			g.adjustLocalShare(r.utilisation(now), g.leastLoaded(now))
		}
	}
}

// rateSmoothing is the inverse of the weight of the last interval in the moving
// average of a region's request rate.
const rateSmoothing = 4

// updateRate updates the rate of the requests that this instance sends to the region
// after an interval.
func (r *region) updateRate(interval dhclock.Millis) {
	rate := float64(r.requests) * float64(dhclock.Second) / float64(max(1, interval))
	r.rate += (rate - r.rate) / rateSmoothing
	r.requests = 0
}

// leastLoaded returns the lowest utilisation of the regions other than the local
// one. A region without load reports counts as idle.
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
	accepting := 0
	for _, m := range r.members {
		if m.usable(now) && m.acceptsOffload(now) {
			accepting++
		}
	}
	for _, m := range r.members {
		switch {
		case !m.hasRecentReport(now) || m.utilisation < lowUtilisation:
			m.offloadShare = max(0, m.offloadShare-restoreStep)
		case m.utilisation > highUtilisation && accepting > 0:
			m.offloadShare = min(maxOffloadShare, m.offloadShare+offloadStep)
		}
	}
}

// utilisation returns the average utilisation of the members that have a recent
// report, weighted by slots.
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

// adjustLocalShare offloads objects from the local region while it is overloaded
// and another region isn't, and restores them once the local region has capacity
// or the others are more loaded. If all regions are overloaded, no objects move
// out: the regions would only swap them.
func (g *Group) adjustLocalShare(local, leastLoaded float64) {
	switch {
	case len(g.regions) < 2:
		g.localShare = shareScale
	case local > highUtilisation && leastLoaded < acceptUtilisation:
		g.localShare = max(minLocalShare*shareScale, g.localShare-regionOffloadStep*shareScale)
	case local < lowUtilisation || leastLoaded > local:
		g.localShare = min(shareScale, g.localShare+regionRestoreStep*shareScale)
	}
}

// Constants of admission control at a busy member, as shares of its slots unless
// noted.
const (
	// Every request is admitted up to a utilisation of admitAllUpTo, and only the
	// share minAdmittedShare of the requests from admitMinFrom on.
	admitAllUpTo     = 1.0
	admitMinFrom     = 2.0
	minAdmittedShare = 0.05
	// admitPriorityStep lowers both bounds for each level of priority below the
	// most urgent one.
	admitPriorityStep = 0.1
	// lateLatencyShare is the share of the latency objective below which the
	// latency shows no overload.
	lateLatencyShare = 0.8
)

// admits reports whether a member admits a request. Requests beyond its slots
// queue at the member until no response is in time. Therefore, once responses
// are late and the member has more requests than slots, a share of the requests
// is refused at once, those of lower priority first.
func (m *Member) admits(now dhclock.Millis, c *Criteria) bool {
	if c.Objective == 0 || !m.hasRecentReport(now) || m.latency < int64(float64(c.Objective)*lateLatencyShare*latencyScale) {
		return true
	}
	excess := m.utilisation - admitAllUpTo + admitPriorityStep*float64(c.Priority)
	if excess <= 0 {
		return true
	}
	share := max(minAdmittedShare, 1-excess/(admitMinFrom-admitAllUpTo))
	return float64(mixBits(c.Random^hashSalt)%shareScale) < share*shareScale
}
