package dhsteer

import (
	"iter"

	"dogwoodhitch/core/dhclock"
)

// health holds this instance's own measurements of an upstream, for outlier
// ejection and backoff.
type health struct {
	latency        int64          // moving average, in 1/latencyScale ms
	failures       int            // consecutive
	ejectedUntil   dhclock.Millis // 0 if never ejected
	ejectionPeriod dhclock.Millis // duration of the last ejection
	backoffUntil   dhclock.Millis // end of the backoff after a refusal; 0 if none
	backoffPeriod  dhclock.Millis // duration of the last backoff
	pausedUntil    dhclock.Millis // end of the pause that the upstream asked for; 0 if none
	slowStart      slowStart
	halfOpen
}

// slowStart raises the number of requests that may run at an upstream from one to its
// slots. The zero value has no effect.
type slowStart struct {
	from     dhclock.Millis
	duration dhclock.Millis
}

// allowed returns how many of the slots may be used now.
func (s slowStart) allowed(now dhclock.Millis, slots int) int {
	since := now.Since(s.from)
	if s.duration <= 0 || since >= s.duration {
		return slots
	}
	return min(slots, 1+int(int64(slots)*int64(max(0, since))/int64(s.duration)))
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

// SpreadPause extends a pause by a random time, so that those who wait for its end don't
// all return at the same moment.
func SpreadPause(pause dhclock.Millis, random uint64) dhclock.Millis {
	longest := min(maxPauseExtension, pause/pauseExtensionDivisor)
	return pause + dhclock.Millis(mixBits(random)%uint64(longest+1))
}

// Paused reports whether the upstream asked for no requests before a later time.
func (h *health) Paused(now dhclock.Millis) bool { return now < h.pausedUntil }

// firstPauseEnd returns when the first pause of some upstreams ends if all are paused, else 0.
func firstPauseEnd(now dhclock.Millis, upstreams iter.Seq[*health]) dhclock.Millis {
	first := dhclock.Millis(0)
	for h := range upstreams {
		if !h.Paused(now) {
			return 0
		}
		if first == 0 || h.pausedUntil < first {
			first = h.pausedUntil
		}
	}
	return first
}

// pause excludes the upstream from selection for the time that it asked for. A slow
// start follows.
func (h *health) pause(now, duration dhclock.Millis, random uint64) {
	if end := now + SpreadPause(duration, random); end > h.pausedUntil {
		h.pausedUntil = end
		h.startSlowlyFrom(end)
	}
}

// startSlowlyFrom lets a slow start begin when the upstream gets requests again.
func (h *health) startSlowlyFrom(at dhclock.Millis) {
	h.slowStart.from = at
	h.slowStart.duration = max(h.slowStart.duration, minSlowStart)
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
