package dhsteer

import "dogwoodhitch/core/dhclock"

// health is what this instance has seen of an upstream by itself.
type health struct {
	latency        int64
	failures       int
	ejectedUntil   dhclock.Millis // until when; 0 if never
	ejectionPeriod dhclock.Millis // length of the last ejection
	backoffUntil   dhclock.Millis // until when it is left alone; 0 if never
	backoffPeriod  dhclock.Millis // length of the last such time
}

// Ejected tells whether the upstream is left out after failures.
func (h *health) Ejected(now dhclock.Millis) bool { return now < h.ejectedUntil }

// Latency returns the smoothed latency in milliseconds.
func (h *health) Latency() float64 { return float64(h.latency) / latencyScale }

// recordSuccess notes an answer that came after a span.
func (h *health) recordSuccess(latency dhclock.Millis) {
	h.failures, h.ejectionPeriod, h.backoffPeriod = 0, 0, 0
	if h.latency == 0 {
		h.latency = int64(latency) * latencyScale
		return
	}
	h.latency += (int64(latency)*latencyScale - h.latency) / latencySmoothing
}

// recordFailure notes a failure and tells whether the upstream should be ejected.
func (h *health) recordFailure() bool {
	h.failures++
	return h.failures >= ejectAfterFailures
}

// backOff leaves an upstream that refused work alone for a time that doubles
// with each refusal in a row.
func (h *health) backOff(now dhclock.Millis) {
	if now < h.backoffUntil {
		return
	}
	h.backoffPeriod = min(maxShedBackoff, max(minShedBackoff, h.backoffPeriod*2))
	h.backoffUntil = now + h.backoffPeriod
}

// eject leaves the upstream out for a time that doubles with each ejection.
func (h *health) eject(now dhclock.Millis) {
	h.ejectionPeriod = min(maxEjection, max(minEjection, h.ejectionPeriod*2))
	h.ejectedUntil = now + h.ejectionPeriod
	h.failures = ejectAfterFailures - 1
}
