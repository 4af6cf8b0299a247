package dhgrant

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// Holder spends one organisation's tokens at one instance: those of its own
// floor, for which it doesn't depend on the owner, and those granted by the
// owner. It starts without tokens, so that restarts cause no burst.
type Holder struct {
	floor            bucket
	ownerTerm        uint64 // term of the owner that position and dropped are reported to
	position         dhmessage.Tokens
	dropped          dhmessage.Tokens
	receivedPosition dhmessage.Tokens // position of the last granted token received
	batches          []tokenBatch
	demand           demandEstimator
	requestedAt      dhclock.Millis // time of the last request for tokens, 0 after its response
	requested        dhmessage.Tokens
	respondedAt      *dhclock.Millis // of the owner's last response; nil for none
	lastShortfall    dhclock.Millis  // when the owner last reported a shortfall
	hadShortfall     bool
}

// tokenBatch is the rest of a grant. Batches of owners of earlier terms are spent
// first and not reported. A lost batch stands for positions whose grant was not
// received.
type tokenBatch struct {
	ownerTerm   uint64
	remaining   dhmessage.Tokens
	endPosition dhmessage.Tokens
	expiry      dhclock.Millis
	lost        bool
}

// NewHolder returns a holder without tokens and without a floor.
func NewHolder(now dhclock.Millis) *Holder {
	return &Holder{floor: bucket{lastRefill: now}, demand: demandEstimator{windowStart: now}}
}

// SetFloor changes the floor: the share whose tokens this instance may spend
// without the owner. A lower rate or burst applies at once. A higher one applies
// from the clock reading from, at which no instance can still use the previous
// shares.
func (h *Holder) SetFloor(now dhclock.Millis, share Share, from dhclock.Millis) {
	h.floor.setShare(now, share, from)
}

// Spend spends one token and reports whether there was one. It checks the expiry
// of granted tokens against the clock reading of the request at hand, so a
// process that was suspended drops expired tokens. Granted tokens are spent first
// because they expire, except while the floor is full and accrues no more.
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

// CountRequest adds a request to the demand estimate, whether or not there is a
// token for it.
func (h *Holder) CountRequest(now dhclock.Millis) { h.demand.add(now) }

// spendFrom spends tokens of the first batch and removes the batch once less than
// one token is left.
func (h *Holder) spendFrom(batch *tokenBatch, amount dhmessage.Tokens) {
	batch.remaining -= amount
	if batch.ownerTerm == h.ownerTerm {
		h.position = batch.endPosition - batch.remaining
	}
	if batch.remaining < dhmessage.Token {
		h.batches = h.batches[1:]
	}
}

// expire drops the batches at the front that have expired or were lost.
func (h *Holder) expire(now dhclock.Millis) {
	for len(h.batches) > 0 && h.batches[0].unusable(now) {
		batch := h.batches[0]
		if batch.ownerTerm == h.ownerTerm {
			h.position = batch.endPosition
			h.dropped += batch.remaining
		}
		h.batches = h.batches[1:]
	}
}

// unusable reports whether the tokens of a batch can't be spent any more.
func (b tokenBatch) unusable(now dhclock.Millis) bool { return b.lost || b.expiry <= now }

// AddGrant adds granted tokens. The TTL counts from requestSentAt, this
// instance's clock reading when it sent the request, so the tokens expire here
// before they expire at the owner. Grants of an earlier term, repeated grants and
// grants that arrive after a later one are ignored.
func (h *Holder) AddGrant(ownerTerm uint64, grant dhmessage.TokenGrant, requestSentAt, ttl dhclock.Millis) {
	if ownerTerm < h.ownerTerm {
		return
	}
	if ownerTerm > h.ownerTerm {
		h.ownerTerm, h.position, h.dropped, h.receivedPosition = ownerTerm, 0, 0, 0
	}
	start := grant.EndPosition() - grant.Amount()
	if grant.Amount() <= 0 || start < h.receivedPosition {
		return
	}
	if start > h.receivedPosition {
		// The grant of the positions before this one was lost, or arrives later. It
		// is ignored then, so its tokens are never spent.
		h.batches = append(h.batches, tokenBatch{ownerTerm: ownerTerm, remaining: start - h.receivedPosition, endPosition: start, lost: true})
	}
	h.receivedPosition = grant.EndPosition()
	h.batches = append(h.batches, tokenBatch{ownerTerm: ownerTerm, remaining: grant.Amount(), endPosition: grant.EndPosition(), expiry: requestSentAt + ttl})
}

// Held returns the granted tokens that have not expired.
func (h *Holder) Held(now dhclock.Millis) dhmessage.Tokens {
	h.expire(now)
	sum := dhmessage.Tokens(0)
	for _, batch := range h.batches {
		if !batch.unusable(now) {
			sum += batch.remaining
		}
	}
	return sum
}

// bucket is a token bucket whose rate and burst may rise at a later time.
type bucket struct {
	rate       dhmessage.Tokens
	burst      dhmessage.Tokens
	level      dhmessage.Tokens
	lastRefill dhclock.Millis
	// nextRate and nextBurst apply from the clock reading nextFrom.
	nextRate  dhmessage.Tokens
	nextBurst dhmessage.Tokens
	nextFrom  dhclock.Millis
}

// setShare changes rate and burst: what is lower applies at once, what is higher
// from the clock reading from.
func (b *bucket) setShare(now dhclock.Millis, share Share, from dhclock.Millis) {
	b.refill(now)
	b.nextRate, b.nextBurst, b.nextFrom = share.rate, share.burst, from
	b.rate, b.burst = min(b.rate, share.rate), min(b.burst, share.burst)
	b.level = min(b.level, b.burst)
	b.refill(now)
}

// refill adds the tokens accrued since the last refill: at the current share
// until nextFrom, at the next share from then on.
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

// available returns the whole tokens in the bucket.
func (b *bucket) available(now dhclock.Millis) dhmessage.Tokens {
	b.refill(now)
	return b.level - b.level%dhmessage.Token
}

func (b *bucket) isFull(now dhclock.Millis) bool {
	b.refill(now)
	return b.level >= b.burst && b.level >= dhmessage.Token
}
