package dhsteer

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
)

// Bounds of what one instance sends to a registered upstream.
const (
	// queueFactor is how many requests one instance may have at an upstream, in
	// multiples of its slots: those that run, and those that wait there because
	// the objects that they are about are cached there.
	queueFactor = 2
	// coldWindow is the span over which a cold upstream's rate is counted.
	coldWindow = dhclock.Second
)

// Member is one registered upstream as this instance sees it.
type Member struct {
	health
	loadStats
	record  dhcatalog.Upstream
	region  string
	seed    uint64
	running int
	// unavailable members get no new work: the record or an evacuation says so.
	unavailable bool
	// misplaced means that another upstream answered at the address.
	misplaced     bool
	coldUntil     dhclock.Millis
	coldRate      int // requests in a coldWindow while it is cold; negative for any
	coldSendTimes []dhclock.Millis
}

// Name returns the upstream's name.
func (m *Member) Name() string { return m.record.Name() }

// Address returns the IP address and port that serve requests.
func (m *Member) Address() string { return m.record.Address() }

// Region returns the region in which the upstream runs.
func (m *Member) Region() string { return m.region }

// Cold tells whether the upstream still warms up.
func (m *Member) Cold(now dhclock.Millis) bool { return now < m.coldUntil }

// usable tells whether one more request may go there now.
func (m *Member) usable(now dhclock.Millis) bool {
	if m.unavailable || m.misplaced || now < m.ejectedUntil || now < m.backoffUntil {
		return false
	}
	return m.running < queueFactor*m.record.Slots() && m.coldRateAllows(now)
}

// coldRateAllows tells whether a cold upstream bears one more request of this
// instance.
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

// recordSent counts a request that is sent to a cold upstream.
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

// load returns how busy the upstream is with requests of this instance, for
// comparison.
func (m *Member) load() int64 {
	return int64(m.running+1) * (m.latency + latencyScale) / int64(m.record.Slots())
}

// state names the member's condition for operators.
func (m *Member) state(now dhclock.Millis) string {
	switch {
	case m.unavailable || m.misplaced:
		return "leaving"
	case m.Ejected(now):
		return "ejected"
	case m.Cold(now):
		return "warming"
	default:
		return "ok"
	}
}
