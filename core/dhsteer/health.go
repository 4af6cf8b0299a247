package dhsteer

import "dogwoodhitch/core/dhclock"

// health is what this instance has seen of an upstream by itself.
type health struct {
	latency  int64
	failures int
	ejected  dhclock.Millis // until when; 0 if never
	ejection dhclock.Millis // length of the last ejection
	shed     dhclock.Millis // until when it is left alone; 0 if never
	shedding dhclock.Millis // length of the last such time
}

// Ejected tells whether the upstream is left out after failures.
func (h *health) Ejected(now dhclock.Millis) bool { return now < h.ejected }

// Latency returns the smoothed latency in milliseconds.
func (h *health) Latency() float64 { return float64(h.latency) / latencyScale }

// succeed notes an answer that came after a span.
func (h *health) succeed(latency dhclock.Millis) {
	h.failures, h.ejection, h.shedding = 0, 0, 0
	if h.latency == 0 {
		h.latency = int64(latency) * latencyScale
		return
	}
	h.latency += (int64(latency)*latencyScale - h.latency) / latencyWeight
}

// fail notes a failure and tells whether the upstream should be ejected.
func (h *health) fail() bool {
	h.failures++
	return h.failures >= ejectFailures
}

// shedLoad leaves an upstream that refused work alone for a time that doubles
// with each refusal in a row.
func (h *health) shedLoad(now dhclock.Millis) {
	if now < h.shed {
		return
	}
	h.shedding = min(shedMost, max(shedFirst, h.shedding*2))
	h.shed = now + h.shedding
}

// eject leaves the upstream out for a time that doubles with each ejection.
func (h *health) eject(now dhclock.Millis) {
	h.ejection = min(ejectMost, max(ejectFirst, h.ejection*2))
	h.ejected = now + h.ejection
	h.failures = ejectFailures - 1
}
