package dhgrant

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// Holder spends one organisation's tokens at one instance: those of its own
// floor, which no owner is needed for, and those granted by the owner. It
// starts with nothing, so that restarts make no burst.
type Holder struct {
	floor     bucket
	owner     uint64 // term of the owner whose stream is reported
	used      dhmessage.Tokens
	dropped   dhmessage.Tokens
	end       dhmessage.Tokens // position of the last token received
	lots      []lot
	demand    demand
	asked     dhclock.Millis // when tokens were last asked for
	askedFor  dhmessage.Tokens
	short     dhclock.Millis // when the owner last had too little
	everShort bool
}

// lot is a grant that isn't used up. The lots of earlier owners are spent
// first and not reported.
type lot struct {
	owner  uint64
	left   dhmessage.Tokens
	end    dhmessage.Tokens
	expiry dhclock.Millis
	lost   bool
}

// NewHolder returns a holder with nothing to spend.
func NewHolder(now dhclock.Millis) *Holder {
	return &Holder{floor: bucket{filled: now}, demand: demand{since: now}}
}

// SetFloor changes the share that this instance makes by itself. A larger
// share holds from the clock reading at which no other instance can still use
// the old shares.
func (h *Holder) SetFloor(now dhclock.Millis, s Share, from dhclock.Millis) {
	h.floor.set(now, s, from)
}

// Spend takes one token if there is one. It compares the life of the tokens
// with the clock reading of this very request, so a process that was frozen
// drops what has expired. Granted tokens go first, because they expire, unless
// the floor is full and would make no more.
func (h *Holder) Spend(now dhclock.Millis) bool {
	h.expire(now)
	if len(h.lots) > 0 && !h.floor.full(now) {
		h.take(&h.lots[0], dhmessage.Token)
		return true
	}
	if h.floor.take(now) {
		return true
	}
	if len(h.lots) == 0 {
		return false
	}
	h.take(&h.lots[0], dhmessage.Token)
	return true
}

// Count notes that a request came, whether or not there is a token for it.
func (h *Holder) Count(now dhclock.Millis) { h.demand.add(now) }

// take uses tokens of the first lot.
func (h *Holder) take(l *lot, amount dhmessage.Tokens) {
	l.left -= amount
	if l.owner == h.owner {
		h.used = l.end - l.left
	}
	if l.left < dhmessage.Token {
		h.lots = h.lots[1:]
	}
}

// expire drops the lots at the front whose life is over or that were lost.
func (h *Holder) expire(now dhclock.Millis) {
	for len(h.lots) > 0 && h.lots[0].dead(now) {
		l := h.lots[0]
		if l.owner == h.owner {
			h.used = l.end
			h.dropped += l.left
		}
		h.lots = h.lots[1:]
	}
}

func (l lot) dead(now dhclock.Millis) bool { return l.lost || l.expiry <= now }

// Grant receives tokens. Sent is this instance's clock when it asked, so the
// life of the tokens ends here before it ends at the owner.
func (h *Holder) Grant(owner uint64, g dhmessage.Give, sent, life dhclock.Millis) {
	if owner < h.owner {
		return
	}
	if owner > h.owner {
		h.owner, h.used, h.dropped, h.end = owner, 0, 0, 0
	}
	start := g.Through() - g.Amount()
	if g.Amount() <= 0 || start < h.end {
		return
	}
	if start > h.end {
		// The message with these tokens was overtaken; if it still comes it is
		// ignored, so they can never be spent.
		h.lots = append(h.lots, lot{owner: owner, left: start - h.end, end: start, lost: true})
	}
	h.end = g.Through()
	h.lots = append(h.lots, lot{owner: owner, left: g.Amount(), end: g.Through(), expiry: sent + life})
}

// Held returns the granted tokens that may still be spent.
func (h *Holder) Held(now dhclock.Millis) dhmessage.Tokens {
	h.expire(now)
	sum := dhmessage.Tokens(0)
	for _, l := range h.lots {
		if !l.dead(now) {
			sum += l.left
		}
	}
	return sum
}

// bucket makes the tokens of a floor.
type bucket struct {
	rate   dhmessage.Tokens
	limit  dhmessage.Tokens
	level  dhmessage.Tokens
	filled dhclock.Millis
	// nextRate and nextLimit hold from the clock reading next.
	nextRate  dhmessage.Tokens
	nextLimit dhmessage.Tokens
	next      dhclock.Millis
}

func (b *bucket) set(now dhclock.Millis, s Share, from dhclock.Millis) {
	b.refill(now)
	b.nextRate, b.nextLimit, b.next = s.rate, s.limit, from
	b.rate, b.limit = min(b.rate, s.rate), min(b.limit, s.limit)
	b.level = min(b.level, b.limit)
	b.refill(now)
}

// refill makes the tokens of the time that has passed: at the old share until
// the next one holds, at that one since.
func (b *bucket) refill(now dhclock.Millis) {
	if now >= b.next && (b.rate != b.nextRate || b.limit != b.nextLimit) {
		b.fillUntil(b.next)
		b.rate, b.limit = b.nextRate, b.nextLimit
	}
	b.fillUntil(now)
}

func (b *bucket) fillUntil(at dhclock.Millis) {
	b.level = min(b.limit, b.level+makeTokens(b.rate, at.Since(b.filled)))
	b.filled = max(b.filled, at)
}

func (b *bucket) take(now dhclock.Millis) bool {
	b.refill(now)
	if b.level < dhmessage.Token {
		return false
	}
	b.level -= dhmessage.Token
	return true
}

func (b *bucket) full(now dhclock.Millis) bool {
	b.refill(now)
	return b.level >= b.limit && b.level >= dhmessage.Token
}
