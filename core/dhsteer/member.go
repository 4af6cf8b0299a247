package dhsteer

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
)

// Bounds on the requests that one instance sends to a registered upstream.
const (
	// queueFactor is how many requests one instance may have at an upstream, as a
	// multiple of its slots. The limit includes requests that wait at the
	// upstream: they can't run elsewhere as cheaply, because their objects are
	// cached there.
	queueFactor = 2
	// coldWindow is the window over which the rate of a cold upstream is counted.
	coldWindow = dhclock.Second
)

// Member is one registered upstream as this instance sees it.
type Member struct {
	health
	loadStats
	limitState
	record dhcatalog.Upstream
	region string
	// topologyRevision is that of the Topology at the last update.
	topologyRevision uint64
	seed             uint64
	running          int
	// maxRunning is how many requests this instance may have at the upstream. It includes
	// no request that would wait here for a connection, because what the upstream asks
	// for in the meantime wouldn't reach it.
	maxRunning int
	// unavailable members get no new requests: they are not ready, not registered,
	// or in an evacuated zone.
	unavailable bool
	// misplaced is set when another upstream responds at the address. The member
	// gets no requests until its record changes.
	misplaced bool
	// stopping is set when a response said that the process is about to stop. It gets
	// no requests any more.
	stopping      bool
	removedAt     dhclock.Millis // when the record of a stopping member was removed
	coldUntil     dhclock.Millis
	coldRate      int // requests per coldWindow while cold; negative for no limit
	coldSendTimes []dhclock.Millis
}

// Name returns the upstream's name.
func (m *Member) Name() string { return m.record.Name() }

// Record returns the upstream's record.
func (m *Member) Record() dhcatalog.Upstream { return m.record }

// Address returns the IP address and port that serve requests.
func (m *Member) Address() string { return m.record.Address() }

// Incarnation returns when the upstream's process started, as the upstream reports it.
func (m *Member) Incarnation() int64 { return m.record.Incarnation() }

// Region returns the region in which the upstream runs.
func (m *Member) Region() string { return m.region }

// Cold reports whether the upstream is in its cold start, while its caches fill.
func (m *Member) Cold(now dhclock.Millis) bool { return now < m.coldUntil }

// available reports whether the member may get requests at all.
func (m *Member) available() bool { return !m.unavailable && !m.misplaced && !m.stopping }

// isProcess reports whether a record describes the process that the member stands for.
func (m *Member) isProcess(u dhcatalog.Upstream) bool {
	return m.record.Incarnation() == u.Incarnation() && m.Address() == u.Address()
}

// Stop stops new requests to the member's process for good, and reports whether it got
// some before.
func (m *Member) Stop() bool {
	wasStopping := m.stopping
	m.stopping = true
	return !wasStopping
}

// usable reports whether one more request may go to the member now, apart from the
// limit that it reports.
func (m *Member) usable(now dhclock.Millis) bool {
	if !m.available() || m.Ejected(now) || now < m.backoffUntil || m.Paused(now) {
		return false
	}
	return m.throttle(now, m.slowStart.allowed(now, m.maxRunning)-m.running) > 0 && m.coldRateAllows(now)
}

// coldRateAllows reports whether this instance may send one more request to the
// member without exceeding its share of a cold upstream's rate.
func (m *Member) coldRateAllows(now dhclock.Millis) bool {
	if m.coldRate < 0 || !m.Cold(now) {
		return true
	}
	sends := 0
	for _, at := range m.coldSendTimes {
		if now.Since(at) < coldWindow {
			sends++
		}
	}
	return sends < m.coldRate
}

// recordSent records a request that is sent to a cold upstream.
func (m *Member) recordSent(now dhclock.Millis) {
	if !m.Cold(now) {
		m.coldSendTimes = nil
		return
	}
	for len(m.coldSendTimes) > 0 && now.Since(m.coldSendTimes[0]) >= coldWindow {
		m.coldSendTimes = m.coldSendTimes[1:]
	}
	m.coldSendTimes = append(m.coldSendTimes, now)
}

// load returns a value for comparing members: the share of the slots that this
// instance would use with one more request, multiplied by the latency.
func (m *Member) load() int64 {
	return int64(m.running+1) * (m.latency + latencyScale) / int64(m.record.Slots())
}

// state returns the member's state as shown to operators.
func (m *Member) state(now dhclock.Millis) string {
	switch {
	case !m.available():
		return "leaving"
	case m.Ejected(now):
		return "ejected"
	case m.Paused(now):
		return "paused"
	case m.Cold(now):
		return "warming"
	case m.limit != nil:
		return "limited"
	default:
		return "ok"
	}
}
