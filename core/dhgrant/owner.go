// Package dhgrant shares a capped quantity among holders that may lose touch
// with its owner.
//
// The owner's bucket and all tokens that are granted and not known to be used
// never exceed the cap together, and tokens are made at the rate alone. So the
// tokens spent in any window are at most cap + rate x window, whatever
// messages are lost, late or repeated. Tokens granted to one holder form a
// stream with rising positions: the holder spends or drops them in order, and
// reports the position that it has reached. An owner that hears nothing counts
// a grant as spent when its life is over.
//
// Amounts are in millionths of a token, so that shares need no fractions.
package dhgrant

import (
	"strconv"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// Life is how long granted tokens may be spent, counted from the holder's
// question, in milliseconds.
const Life dhclock.Millis = 600

// OwnerLife is how long an owner counts a grant as outstanding, counted from
// its answer, in milliseconds. The difference to Life lets a report of dropped
// tokens arrive before the owner gives them up.
const OwnerLife = Life + 300

// holding is the owner's record of one holder's stream.
type holding struct {
	stream   uint64
	granted  dhmessage.Tokens // position of the last token granted
	used     dhmessage.Tokens // position that is reported or expired
	reported dhmessage.Tokens // position of the last report
	dropped  dhmessage.Tokens // dropped tokens of the last report
	lots     []ownerLot
	retired  bool
}

type ownerLot struct {
	through dhmessage.Tokens
	expiry  dhclock.Millis
}

// Owner hands out one capped quantity. It is pure state.
type Owner struct {
	rate        dhmessage.Tokens // tokens a second
	limit       dhmessage.Tokens // cap of bucket and outstanding tokens together
	level       dhmessage.Tokens
	outstanding dhmessage.Tokens
	filled      dhclock.Millis
	next        Share // holds from the clock reading from
	from        dhclock.Millis
	holdings    map[string]*holding
}

// NewOwner returns an owner whose bucket is empty at a clock reading.
func NewOwner(now dhclock.Millis, s Share) *Owner {
	return &Owner{rate: s.rate, limit: s.limit, next: s, filled: now, holdings: map[string]*holding{}}
}

// Set changes rate and limit. What is lower holds at once and destroys tokens
// above the limit; what is higher holds from a later clock reading, at which
// no instance can still use the floors of the configuration before.
func (w *Owner) Set(now dhclock.Millis, s Share, from dhclock.Millis) {
	w.refill(now)
	w.next, w.from = s, from
	w.rate, w.limit = min(w.rate, s.rate), min(w.limit, s.limit)
	w.level = max(0, min(w.level, w.limit-w.outstanding))
}

// Level returns the tokens in the bucket.
func (w *Owner) Level() dhmessage.Tokens { return w.level }

// Outstanding returns the tokens granted and not known to be used.
func (w *Owner) Outstanding() dhmessage.Tokens { return w.outstanding }

// refill makes the tokens of the time that has passed: at the old share until
// the next one holds, at that one since.
func (w *Owner) refill(now dhclock.Millis) {
	if now >= w.from {
		w.fillUntil(w.from)
		w.rate, w.limit = w.next.rate, w.next.limit
	}
	w.fillUntil(now)
}

func (w *Owner) fillUntil(at dhclock.Millis) {
	span := at.Since(w.filled)
	if span == 0 {
		return
	}
	w.filled = at
	room := max(0, w.limit-w.outstanding-w.level)
	w.level += min(makeTokens(w.rate, span), room)
}

// makeTokens returns what a rate makes in a span.
func makeTokens(rate dhmessage.Tokens, span dhclock.Millis) dhmessage.Tokens {
	return rate / dhmessage.Tokens(dhclock.Second) * dhmessage.Tokens(min(span, maxSpan))
}

// maxSpan bounds the span of one refill, so that amounts can't overflow.
const maxSpan = 600 * dhclock.Second

// Report takes a holder's position and how much of it was dropped unspent.
// Reports may come late or repeated. Dropped tokens return to the bucket
// unless some of the reported stretch had expired before.
func (w *Owner) Report(now dhclock.Millis, holder string, stream uint64, used, dropped dhmessage.Tokens) {
	w.refill(now)
	h := w.holdingOf(holder, stream)
	w.expire(now, h)
	used = min(used, h.granted)
	if used <= h.reported {
		return
	}
	if used > h.used {
		if h.used == h.reported {
			w.level += min(max(0, dropped-h.dropped), used-h.used)
		}
		w.outstanding -= used - h.used
		h.used = used
	}
	h.reported = used
	h.dropped = max(h.dropped, dropped)
	for len(h.lots) > 0 && h.lots[0].through <= h.used {
		h.lots = h.lots[1:]
	}
}

// holdingOf returns the record of a holder's stream. A new stream number means
// that the holder restarted: what it held stays outstanding until it expires.
func (w *Owner) holdingOf(holder string, stream uint64) *holding {
	h, found := w.holdings[holder]
	if found && h.stream == stream {
		return h
	}
	if found && len(h.lots) > 0 {
		h.retired = true
		w.holdings[holder+"#"+strconv.FormatUint(h.stream, 10)] = h
	}
	h = &holding{stream: stream}
	w.holdings[holder] = h
	return h
}

// expire counts the tokens of lots whose life is over as spent.
func (w *Owner) expire(now dhclock.Millis, h *holding) {
	for len(h.lots) > 0 && h.lots[0].expiry <= now {
		if through := h.lots[0].through; through > h.used {
			w.outstanding -= through - h.used
			h.used = through
		}
		h.lots = h.lots[1:]
	}
}

// Give grants a holder up to want whole tokens. It returns the amount and the
// position of the last token granted.
func (w *Owner) Give(now dhclock.Millis, holder string, stream uint64, want dhmessage.Tokens) (amount, through dhmessage.Tokens) {
	w.refill(now)
	h := w.holdingOf(holder, stream)
	w.expire(now, h)
	amount = max(0, min(want, w.level))
	amount -= amount % dhmessage.Token
	if amount == 0 {
		return 0, h.granted
	}
	w.level -= amount
	w.outstanding += amount
	h.granted += amount
	h.lots = append(h.lots, ownerLot{through: h.granted, expiry: now + OwnerLife})
	return amount, h.granted
}

// Sweep expires grants of holders that are silent, and forgets the streams of
// holders that restarted.
func (w *Owner) Sweep(now dhclock.Millis) {
	w.refill(now)
	for name, h := range w.holdings {
		w.expire(now, h)
		if h.retired && len(h.lots) == 0 {
			delete(w.holdings, name)
		}
	}
}
