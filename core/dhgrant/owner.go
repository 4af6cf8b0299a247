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

// TTL is how long granted tokens may be spent, counted from the holder's
// question, in milliseconds.
const TTL dhclock.Millis = 600

// OwnerTTL is how long an owner counts a grant as outstanding, counted from
// its answer, in milliseconds. The difference to Life lets a report of dropped
// tokens arrive before the owner gives them up.
const OwnerTTL = TTL + 300

// holderRecord is the owner's record of one holder's stream.
type holderRecord struct {
	startID          uint64
	grantedThrough   dhmessage.Tokens // position of the last token granted
	position         dhmessage.Tokens // position that is reported or expired
	reportedPosition dhmessage.Tokens // position of the last report
	reportedDropped  dhmessage.Tokens // dropped tokens of the last report
	batches          []grantedBatch
	retired          bool
}

type grantedBatch struct {
	through dhmessage.Tokens
	expiry  dhclock.Millis
}

// Owner hands out one capped quantity. It is pure state.
type Owner struct {
	rate        dhmessage.Tokens // tokens a second
	burst       dhmessage.Tokens // cap of bucket and outstanding tokens together
	level       dhmessage.Tokens
	outstanding dhmessage.Tokens
	lastRefill  dhclock.Millis
	nextShare   Share // holds from the clock reading from
	nextFrom    dhclock.Millis
	holders     map[string]*holderRecord
}

// NewOwner returns an owner whose bucket is empty at a clock reading.
func NewOwner(now dhclock.Millis, s Share) *Owner {
	return &Owner{rate: s.rate, burst: s.burst, nextShare: s, lastRefill: now, holders: map[string]*holderRecord{}}
}

// SetShare changes rate and limit. What is lower holds at once and destroys tokens
// above the limit; what is higher holds from a later clock reading, at which
// no instance can still use the floors of the configuration before.
func (w *Owner) SetShare(now dhclock.Millis, s Share, from dhclock.Millis) {
	w.refill(now)
	w.nextShare, w.nextFrom = s, from
	w.rate, w.burst = min(w.rate, s.rate), min(w.burst, s.burst)
	w.level = max(0, min(w.level, w.burst-w.outstanding))
}

// Level returns the tokens in the bucket.
func (w *Owner) Level() dhmessage.Tokens { return w.level }

// Outstanding returns the tokens granted and not known to be used.
func (w *Owner) Outstanding() dhmessage.Tokens { return w.outstanding }

// refill makes the tokens of the time that has passed: at the old share until
// the next one holds, at that one since.
func (w *Owner) refill(now dhclock.Millis) {
	if now >= w.nextFrom {
		w.refillUntil(w.nextFrom)
		w.rate, w.burst = w.nextShare.rate, w.nextShare.burst
	}
	w.refillUntil(now)
}

func (w *Owner) refillUntil(at dhclock.Millis) {
	span := at.Since(w.lastRefill)
	if span == 0 {
		return
	}
	w.lastRefill = at
	room := max(0, w.burst-w.outstanding-w.level)
	w.level += min(accruedTokens(w.rate, span), room)
}

// accruedTokens returns what a rate makes in a span.
func accruedTokens(rate dhmessage.Tokens, span dhclock.Millis) dhmessage.Tokens {
	return rate / dhmessage.Tokens(dhclock.Second) * dhmessage.Tokens(min(span, maxRefillInterval))
}

// maxRefillInterval bounds the span of one refill, so that amounts can't overflow.
const maxRefillInterval = 600 * dhclock.Second

// Report takes a holder's position and how much of it was dropped unspent.
// Reports may come late or repeated. Dropped tokens return to the bucket
// unless some of the reported stretch had expired before.
func (w *Owner) Report(now dhclock.Millis, holder string, stream uint64, used, dropped dhmessage.Tokens) {
	w.refill(now)
	h := w.recordOf(holder, stream)
	w.expire(now, h)
	used = min(used, h.grantedThrough)
	if used <= h.reportedPosition {
		return
	}
	if used > h.position {
		if h.position == h.reportedPosition {
			w.level += min(max(0, dropped-h.reportedDropped), used-h.position)
		}
		w.outstanding -= used - h.position
		h.position = used
	}
	h.reportedPosition = used
	h.reportedDropped = max(h.reportedDropped, dropped)
	for len(h.batches) > 0 && h.batches[0].through <= h.position {
		h.batches = h.batches[1:]
	}
}

// recordOf returns the record of a holder's stream. A new stream number means
// that the holder restarted: what it held stays outstanding until it expires.
func (w *Owner) recordOf(holder string, stream uint64) *holderRecord {
	h, found := w.holders[holder]
	if found && h.startID == stream {
		return h
	}
	if found && len(h.batches) > 0 {
		h.retired = true
		w.holders[holder+"#"+strconv.FormatUint(h.startID, 10)] = h
	}
	h = &holderRecord{startID: stream}
	w.holders[holder] = h
	return h
}

// expire counts the tokens of lots whose life is over as spent.
func (w *Owner) expire(now dhclock.Millis, h *holderRecord) {
	for len(h.batches) > 0 && h.batches[0].expiry <= now {
		if through := h.batches[0].through; through > h.position {
			w.outstanding -= through - h.position
			h.position = through
		}
		h.batches = h.batches[1:]
	}
}

// Grant grants a holder up to want whole tokens. It returns the amount and the
// position of the last token granted.
func (w *Owner) Grant(now dhclock.Millis, holder string, stream uint64, want dhmessage.Tokens) (amount, through dhmessage.Tokens) {
	w.refill(now)
	h := w.recordOf(holder, stream)
	w.expire(now, h)
	amount = max(0, min(want, w.level))
	amount -= amount % dhmessage.Token
	if amount == 0 {
		return 0, h.grantedThrough
	}
	w.level -= amount
	w.outstanding += amount
	h.grantedThrough += amount
	h.batches = append(h.batches, grantedBatch{through: h.grantedThrough, expiry: now + OwnerTTL})
	return amount, h.grantedThrough
}

// Sweep expires grants of holders that are silent, and forgets the streams of
// holders that restarted.
func (w *Owner) Sweep(now dhclock.Millis) {
	w.refill(now)
	for name, h := range w.holders {
		w.expire(now, h)
		if h.retired && len(h.batches) == 0 {
			delete(w.holders, name)
		}
	}
}
