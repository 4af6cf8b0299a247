package dhgrant

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// Constants of the asking policy.
const (
	// demandWindow is the span over which demand is counted, in milliseconds.
	demandWindow dhclock.Millis = 100
	// demandHorizon is for how long a holder wants tokens ahead, in milliseconds.
	demandHorizon dhclock.Millis = 250
	// requestTimeout is after how long an unanswered ask is repeated.
	requestTimeout dhclock.Millis = 150
	// demandDecayEighths is the share of the old estimate that a quiet window keeps,
	// in eighths.
	demandDecayEighths = 6
)

// demandEstimator estimates the requests of one window.
type demandEstimator struct {
	windowStart dhclock.Millis
	count       int64
	estimate    int64 // requests a window, in sixteenths
}

func (d *demandEstimator) add(now dhclock.Millis) {
	d.closeWindows(now)
	d.count++
}

// closeWindows closes the windows that are over. The estimate rises at once and falls
// slowly.
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

// maxClosedWindows bounds the work after a long pause.
const maxClosedWindows = 64

// expectedDemand returns the tokens that demandAhead will need at the present rate.
func (d *demandEstimator) expectedDemand(now dhclock.Millis) dhmessage.Tokens {
	d.closeWindows(now)
	rate := max(d.estimate, d.count*16)
	return dhmessage.Tokens(rate) * dhmessage.Token / 16 * dhmessage.Tokens(demandHorizon/demandWindow)
}

// TokensToRequest returns how many tokens to ask the owner for now, given how many
// requests wait for a token; 0 if none are needed or an ask is under way.
func (h *Holder) TokensToRequest(now dhclock.Millis, waiting int) dhmessage.Tokens {
	target := h.demand.expectedDemand(now) + dhmessage.Tokens(waiting)*dhmessage.Token
	held := h.Held(now)
	if held >= target/2 && waiting == 0 || target <= held {
		return 0
	}
	want := target - held
	if now.Since(h.requestedAt) < requestTimeout && h.requestedAt > 0 && want < 2*h.requested {
		return 0
	}
	h.requestedAt, h.requested = now, want
	return want
}

// ResponseReceived notes that the owner has answered the last ask.
func (h *Holder) ResponseReceived() { h.requested = 0; h.requestedAt = 0 }

// TokenDemand returns the wish to send to an owner of a term. Positions are reported
// only to the owner whose stream they belong to.
func (h *Holder) TokenDemand(organisation string, want dhmessage.Tokens) dhmessage.Ask {
	return dhmessage.NewAsk(organisation, want, h.position, h.dropped)
}

// OwnerTerm returns the term of the owner whose stream is reported.
func (h *Holder) OwnerTerm() uint64 { return h.ownerTerm }

// Position returns the position up to which the stream is used.
func (h *Holder) Position() dhmessage.Tokens { return h.position }

// shortfallWindow is for how long an owner's word that it has too little counts.
const shortfallWindow dhclock.Millis = 1000

// RecordShortfall notes whether the owner had less than was asked for.
func (h *Holder) RecordShortfall(now dhclock.Millis, short bool) {
	if short {
		h.lastShortfall, h.hadShortfall = now, true
	}
}

// Exhausted tells whether the organisation uses its whole rate, as the owner
// last said.
func (h *Holder) Exhausted(now dhclock.Millis) bool {
	return h.hadShortfall && now.Since(h.lastShortfall) <= shortfallWindow
}
