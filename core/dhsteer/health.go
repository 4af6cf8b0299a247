package dhsteer

import "dogwoodhitch/core/dhclock"

// health holds this instance's own measurements of an upstream, for outlier
// ejection and backoff.
type health struct {
	latency        int64          // moving average, in 1/latencyScale ms
	failures       int            // consecutive
	ejectedUntil   dhclock.Millis // 0 if never ejected
	ejectionPeriod dhclock.Millis // duration of the last ejection
	backoffUntil   dhclock.Millis // end of the backoff after a refusal; 0 if none
	backoffPeriod  dhclock.Millis // duration of the last backoff
}

// Ejected reports whether the upstream is excluded from selection after
// failures.
func (h *health) Ejected(now dhclock.Millis) bool { return now < h.ejectedUntil }

// Latency returns the smoothed latency in milliseconds.
func (h *health) Latency() float64 { return float64(h.latency) / latencyScale }

// recordSuccess records the latency of a response, and resets the failure count
// and the durations of the last ejection and backoff.
func (h *health) recordSuccess(latency dhclock.Millis) {
	h.failures, h.ejectionPeriod, h.backoffPeriod = 0, 0, 0
	if h.latency == 0 {
		h.latency = int64(latency) * latencyScale
		return
	}
	h.latency += (int64(latency)*latencyScale - h.latency) / latencySmoothing
}

// recordFailure records a failure and reports whether the upstream should be
// ejected.
func (h *health) recordFailure() bool {
	h.failures++
	return h.failures >= ejectAfterFailures
}

// forgetFailures ends an ejection and resets the failure count.
func (h *health) forgetFailures() { h.failures, h.ejectionPeriod, h.ejectedUntil = 0, 0, 0 }

// backOff excludes an upstream that refused a request from selection, for a time
// that doubles with each consecutive refusal.
func (h *health) backOff(now dhclock.Millis) {
	if now < h.backoffUntil {
		return
	}
	h.backoffPeriod = min(maxShedBackoff, max(minShedBackoff, h.backoffPeriod*2))
	h.backoffUntil = now + h.backoffPeriod
}

// eject excludes the upstream from selection for a time that doubles with each
// ejection. One more failure after that ejects it again.
func (h *health) eject(now dhclock.Millis) {
	h.ejectionPeriod = min(maxEjection, max(minEjection, h.ejectionPeriod*2))
	h.ejectedUntil = now + h.ejectionPeriod
	h.failures = ejectAfterFailures - 1
}
