package dhsteer

import "dogwoodhitch/core/dhclock"

// trialInterval is the time between two trials if the first one isn't answered, in
// milliseconds. An upstream that asks for a pause responds sooner.
const trialInterval dhclock.Millis = 1000

// halfOpen limits the requests to an upstream to one trial at a time after an attempt has
// ended without its response, which may still arrive and ask for a pause. The limit ends
// once a trial is answered. The zero value sets no limit.
type halfOpen struct {
	lastResponse dhclock.Millis // when the last response arrived
	since        dhclock.Millis // when the last response was missed; 0 while there is no limit
	trialAt      dhclock.Millis // when the running trial was sent
	trialRuns    bool
}

// throttle returns how many of a number of requests may be sent now.
func (h *halfOpen) throttle(now dhclock.Millis, requests int) int {
	switch {
	case h.since == 0:
		return requests
	case h.trialRuns && now.Since(h.trialAt) < trialInterval:
		return 0
	default:
		return min(1, requests)
	}
}

// recordTrial records a request that is sent.
func (h *halfOpen) recordTrial(now dhclock.Millis) {
	if h.since > 0 {
		h.trialAt, h.trialRuns = now, true
	}
}

// recordEnd records the end of an attempt. A missed response sets the limit unless another
// one has arrived since its request was sent: then the upstream is heard, and what it asks for is
// known from the others.
func (h *halfOpen) recordEnd(now, sentAt dhclock.Millis, a Arrival) {
	if h.trialRuns && sentAt >= h.trialAt {
		h.trialRuns = false
	}
	switch a {
	case ResponseArrived:
		h.lastResponse = now
		if sentAt >= h.since {
			h.since = 0
		}
	case ResponseMissed:
		if sentAt >= h.lastResponse {
			h.since = now
		}
	case NoResponse:
	}
}

// Arrival tells whether the response to an attempt arrived.
type Arrival int

const (
	// NoResponse means that the upstream got no request.
	NoResponse Arrival = iota
	// ResponseArrived means that what the response says about the upstream is known.
	ResponseArrived
	// ResponseMissed means that the attempt ended before a response arrived.
	ResponseMissed
)
