package dhgrant

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// Constants of the asking policy.
const (
	// demandWindow is the span over which demand is counted, in milliseconds.
	demandWindow dhclock.Millis = 100
	// demandAhead is for how long a holder wants tokens ahead, in milliseconds.
	demandAhead dhclock.Millis = 250
	// askTimeout is after how long an unanswered ask is repeated.
	askTimeout dhclock.Millis = 150
	// demandDecay is the share of the old estimate that a quiet window keeps,
	// in eighths.
	demandDecay = 6
)

// demand estimates the requests of one window.
type demand struct {
	since   dhclock.Millis
	count   int64
	average int64 // requests a window, in sixteenths
}

func (d *demand) add(now dhclock.Millis) {
	d.roll(now)
	d.count++
}

// roll closes the windows that are over. The estimate rises at once and falls
// slowly.
func (d *demand) roll(now dhclock.Millis) {
	for windows := 0; now.Since(d.since) >= demandWindow; windows++ {
		if windows > maxWindows {
			d.since, d.average = now, 0
			return
		}
		d.average = max(d.count*16, d.average*demandDecay/8)
		d.count = 0
		d.since += demandWindow
	}
}

// maxWindows bounds the work after a long pause.
const maxWindows = 64

// ahead returns the tokens that demandAhead will need at the present rate.
func (d *demand) ahead(now dhclock.Millis) dhmessage.Tokens {
	d.roll(now)
	rate := max(d.average, d.count*16)
	return dhmessage.Tokens(rate) * dhmessage.Token / 16 * dhmessage.Tokens(demandAhead/demandWindow)
}

// Want returns how many tokens to ask the owner for now, given how many
// requests wait for a token; 0 if none are needed or an ask is under way.
func (h *Holder) Want(now dhclock.Millis, waiting int) dhmessage.Tokens {
	target := h.demand.ahead(now) + dhmessage.Tokens(waiting)*dhmessage.Token
	held := h.Held(now)
	if held >= target/2 && waiting == 0 || target <= held {
		return 0
	}
	want := target - held
	if now.Since(h.asked) < askTimeout && h.asked > 0 && want < 2*h.askedFor {
		return 0
	}
	h.asked, h.askedFor = now, want
	return want
}

// Answered notes that the owner has answered the last ask.
func (h *Holder) Answered() { h.askedFor = 0; h.asked = 0 }

// Ask returns the wish to send to an owner of a term. Positions are reported
// only to the owner whose stream they belong to.
func (h *Holder) Ask(organisation string, want dhmessage.Tokens) dhmessage.Ask {
	return dhmessage.NewAsk(organisation, want, h.used, h.dropped)
}

// Owner returns the term of the owner whose stream is reported.
func (h *Holder) Owner() uint64 { return h.owner }

// Used returns the position up to which the stream is used.
func (h *Holder) Used() dhmessage.Tokens { return h.used }

// shortMemory is for how long an owner's word that it has too little counts.
const shortMemory dhclock.Millis = 1000

// Shortage notes whether the owner had less than was asked for.
func (h *Holder) Shortage(now dhclock.Millis, short bool) {
	if short {
		h.short, h.everShort = now, true
	}
}

// Exhausted tells whether the organisation uses its whole rate, as the owner
// last said.
func (h *Holder) Exhausted(now dhclock.Millis) bool {
	return h.everShort && now.Since(h.short) <= shortMemory
}
