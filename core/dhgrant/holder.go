package dhgrant

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// Holder spends one organisation's tokens at one instance: those of its own
// floor, which no owner is needed for, and those granted by the owner. It
// starts with nothing, so that restarts make no burst.
type Holder struct {
	floor           bucket
	ownerTerm       uint64 // term of the owner whose stream is reported
	position        dhmessage.Tokens
	dropped         dhmessage.Tokens
	receivedThrough dhmessage.Tokens // position of the last token received
	batches         []tokenBatch
	demand          demandEstimator
	requestedAt     dhclock.Millis // when tokens were last asked for
	requested       dhmessage.Tokens
	lastShortfall   dhclock.Millis // when the owner last had too little
	hadShortfall    bool
}

// tokenBatch is a grant that isn't used up. The lots of earlier owners are spent
// first and not reported.
type tokenBatch struct {
	ownerTerm uint64
	remaining dhmessage.Tokens
	through   dhmessage.Tokens
	expiry    dhclock.Millis
	lost      bool
}

// NewHolder returns a holder with nothing to spend.
func NewHolder(now dhclock.Millis) *Holder {
	return &Holder{floor: bucket{lastRefill: now}, demand: demandEstimator{windowStart: now}}
}

// SetFloor changes the share that this instance makes by itself. A larger
// share holds from the clock reading at which no other instance can still use
// the old shares.
func (h *Holder) SetFloor(now dhclock.Millis, s Share, from dhclock.Millis) {
	h.floor.setShare(now, s, from)
}

// Spend takes one token if there is one. It compares the life of the tokens
// with the clock reading of this very request, so a process that was frozen
// drops what has expired. Granted tokens go first, because they expire, unless
// the floor is full and would make no more.
func (h *Holder) Spend(now dhclock.Millis) bool {
	h.expire(now)
	if len(h.batches) > 0 && !h.floor.isFull(now) {
		h.spendFrom(&h.batches[0], dhmessage.Token)
		return true
	}
	if h.floor.acquire(now) {
		return true
	}
	if len(h.batches) == 0 {
		return false
	}
	h.spendFrom(&h.batches[0], dhmessage.Token)
	return true
}

// CountRequest notes that a request came, whether or not there is a token for it.
func (h *Holder) CountRequest(now dhclock.Millis) { h.demand.add(now) }

// spendFrom uses tokens of the first lot.
func (h *Holder) spendFrom(l *tokenBatch, amount dhmessage.Tokens) {
	l.remaining -= amount
	if l.ownerTerm == h.ownerTerm {
		h.position = l.through - l.remaining
	}
	if l.remaining < dhmessage.Token {
		h.batches = h.batches[1:]
	}
}

// expire drops the lots at the front whose life is over or that were lost.
func (h *Holder) expire(now dhclock.Millis) {
	for len(h.batches) > 0 && h.batches[0].unusable(now) {
		l := h.batches[0]
		if l.ownerTerm == h.ownerTerm {
			h.position = l.through
			h.dropped += l.remaining
		}
		h.batches = h.batches[1:]
	}
}

func (l tokenBatch) unusable(now dhclock.Millis) bool { return l.lost || l.expiry <= now }

// AddGrant receives tokens. Sent is this instance's clock when it asked, so the
// life of the tokens ends here before it ends at the owner.
func (h *Holder) AddGrant(owner uint64, g dhmessage.Give, sent, life dhclock.Millis) {
	if owner < h.ownerTerm {
		return
	}
	if owner > h.ownerTerm {
		h.ownerTerm, h.position, h.dropped, h.receivedThrough = owner, 0, 0, 0
	}
	start := g.Through() - g.Amount()
	if g.Amount() <= 0 || start < h.receivedThrough {
		return
	}
	if start > h.receivedThrough {
		// The message with these tokens was overtaken; if it still comes it is
		// ignored, so they can never be spent.
		h.batches = append(h.batches, tokenBatch{ownerTerm: owner, remaining: start - h.receivedThrough, through: start, lost: true})
	}
	h.receivedThrough = g.Through()
	h.batches = append(h.batches, tokenBatch{ownerTerm: owner, remaining: g.Amount(), through: g.Through(), expiry: sent + life})
}

// Held returns the granted tokens that may still be spent.
func (h *Holder) Held(now dhclock.Millis) dhmessage.Tokens {
	h.expire(now)
	sum := dhmessage.Tokens(0)
	for _, l := range h.batches {
		if !l.unusable(now) {
			sum += l.remaining
		}
	}
	return sum
}

// bucket makes the tokens of a floor.
type bucket struct {
	rate       dhmessage.Tokens
	burst      dhmessage.Tokens
	level      dhmessage.Tokens
	lastRefill dhclock.Millis
	// nextRate and nextLimit hold from the clock reading next.
	nextRate  dhmessage.Tokens
	nextBurst dhmessage.Tokens
	nextFrom  dhclock.Millis
}

func (b *bucket) setShare(now dhclock.Millis, s Share, from dhclock.Millis) {
	b.refill(now)
	b.nextRate, b.nextBurst, b.nextFrom = s.rate, s.burst, from
	b.rate, b.burst = min(b.rate, s.rate), min(b.burst, s.burst)
	b.level = min(b.level, b.burst)
	b.refill(now)
}

// refill makes the tokens of the time that has passed: at the old share until
// the next one holds, at that one since.
func (b *bucket) refill(now dhclock.Millis) {
	if now >= b.nextFrom && (b.rate != b.nextRate || b.burst != b.nextBurst) {
		b.refillUntil(b.nextFrom)
		b.rate, b.burst = b.nextRate, b.nextBurst
	}
	b.refillUntil(now)
}

func (b *bucket) refillUntil(at dhclock.Millis) {
	b.level = min(b.burst, b.level+accruedTokens(b.rate, at.Since(b.lastRefill)))
	b.lastRefill = max(b.lastRefill, at)
}

func (b *bucket) acquire(now dhclock.Millis) bool {
	b.refill(now)
	if b.level < dhmessage.Token {
		return false
	}
	b.level -= dhmessage.Token
	return true
}

func (b *bucket) isFull(now dhclock.Millis) bool {
	b.refill(now)
	return b.level >= b.burst && b.level >= dhmessage.Token
}
