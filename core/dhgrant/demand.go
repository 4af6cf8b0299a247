package dhgrant

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// Parameters of requesting tokens from the owner.
const (
	// demandWindow is the window over which requests are counted, in
	// milliseconds.
	demandWindow dhclock.Millis = 100
	// demandHorizon is how far ahead a holder requests tokens for the expected
	// demand, in milliseconds.
	demandHorizon dhclock.Millis = 250
	// requestTimeout is the time after which a request for tokens without a
	// response is repeated, in milliseconds.
	requestTimeout dhclock.Millis = 150
	// demandDecayEighths is the part of the estimate that remains after a window
	// with less demand, in eighths.
	demandDecayEighths = 6
)

// demandEstimator estimates the number of requests in a window.
type demandEstimator struct {
	windowStart dhclock.Millis
	count       int64
	estimate    int64 // requests per window, in sixteenths
}

func (d *demandEstimator) add(now dhclock.Millis) {
	d.closeWindows(now)
	d.count++
}

// closeWindows updates the estimate for each window that has ended. The estimate
// rises at once and decays exponentially.
func (d *demandEstimator) closeWindows(now dhclock.Millis) {
	for windows := 0; now.Since(d.windowStart) >= demandWindow; windows++ {
		if windows > maxClosedWindows {
			d.windowStart, d.estimate = now, 0
			return
		}
		d.estimate = max(d.count*16, d.estimate*demandDecayEighths/8)
		d.count = 0
		d.windowStart += demandWindow
	}
}

// maxClosedWindows bounds the windows that are closed one by one after a long
// pause; beyond it the estimate is reset.
const maxClosedWindows = 64

// expectedDemand returns the tokens needed within demandHorizon at the current
// estimate. A single request in a window foretells none: where many instances share a small
// limit, tokens for one more at each of them would exceed the burst.
func (d *demandEstimator) expectedDemand(now dhclock.Millis) dhmessage.Tokens {
	d.closeWindows(now)
	rate := max(d.estimate, d.count*16)
	if rate <= 16 {
		return 0
	}
	return dhmessage.Tokens(rate) * dhmessage.Token / 16 * dhmessage.Tokens(demandHorizon/demandWindow)
}

// TokensToRequest returns how many tokens to request from the owner now, given
// the number of requests that wait for a token. Those of the floor need no owner. It returns 0 if none are needed
// or an earlier request is in flight, unless the need has at least doubled since.
func (h *Holder) TokensToRequest(now dhclock.Millis, waiting int) dhmessage.Tokens {
	target := h.demand.expectedDemand(now) + dhmessage.Tokens(waiting)*dhmessage.Token
	held := h.Held(now) + h.floor.available(now)
	if held >= target/2 && waiting == 0 || target <= held {
		return 0
	}
	tokens := target - held
	if now.Since(h.requestedAt) < requestTimeout && h.requestedAt > 0 && tokens < 2*h.requested {
		return 0
	}
	h.requestedAt, h.requested = now, tokens
	return tokens
}

// RecordResponse records that the owner has responded to the last request for
// tokens.
func (h *Holder) RecordResponse(now dhclock.Millis) {
	h.requested, h.requestedAt = 0, 0
	h.respondedAt = &now
}

// OwnerSilence returns the time since the owner last responded; nil if it never did.
func (h *Holder) OwnerSilence(now dhclock.Millis) *dhclock.Millis {
	if h.respondedAt == nil {
		return nil
	}
	return new(now.Since(*h.respondedAt))
}

// TokenDemand returns one organisation's part of a request for tokens, with the
// position and the dropped tokens to report. These belong to the owner of
// OwnerTerm and must be reported only to that owner.
func (h *Holder) TokenDemand(organisation string, tokens dhmessage.Tokens) dhmessage.TokenDemand {
	return dhmessage.NewTokenDemand(organisation, tokens, h.position, h.dropped)
}

// OwnerTerm returns the term of the owner whose tokens Position counts.
func (h *Holder) OwnerTerm() uint64 { return h.ownerTerm }

// Position returns the position up to which the tokens of this owner term are
// spent or dropped.
func (h *Holder) Position() dhmessage.Tokens { return h.position }

// Dropped returns how many tokens of this owner term were dropped unspent.
func (h *Holder) Dropped() dhmessage.Tokens { return h.dropped }

// shortfallWindow is how long a shortfall that the owner has reported counts, in
// milliseconds.
const shortfallWindow dhclock.Millis = 1000

// RecordShortfall records whether the owner has granted less than requested.
func (h *Holder) RecordShortfall(now dhclock.Millis, short bool) {
	if short {
		h.lastShortfall, h.hadShortfall = now, true
	}
}

// Exhausted reports whether the organisation uses its full rate: the owner has
// reported a shortfall within the last shortfallWindow.
func (h *Holder) Exhausted(now dhclock.Millis) bool {
	return h.hadShortfall && now.Since(h.lastShortfall) <= shortfallWindow
}
