// Package dhgrant is a distributed token bucket: an owner grants batches of
// tokens with a TTL to holders, which may lose their connection to it.
//
// The owner's bucket and the outstanding tokens, which are granted and not known
// to be spent or dropped, never exceed the burst together, and tokens accrue only
// at the rate. So the tokens spent in any window are at most burst + rate x
// window, whatever messages are lost, late or repeated. The tokens granted to one
// holder are numbered by rising positions: the holder spends or drops them in
// order and reports the position that it has reached. Without a report, the owner
// counts a grant as spent when OwnerTTL has passed.
//
// Amounts are in millionths of a token, so that shares need no fractions.
package dhgrant

import (
	"strconv"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// TTL is how long granted tokens may be spent, counted from the holder's request,
// in milliseconds.
const TTL dhclock.Millis = 600

// OwnerTTL is how long an owner counts a grant as outstanding, counted from its
// response, in milliseconds. It is longer than TTL so that a report of dropped
// tokens can arrive before the owner counts them as spent.
const OwnerTTL = TTL + 300

// holderRecord is what an owner has granted to one start of a holder.
type holderRecord struct {
	startID          uint64
	grantedPosition  dhmessage.Tokens // position of the last token granted
	position         dhmessage.Tokens // highest position reported or expired
	reportedPosition dhmessage.Tokens // position of the last report
	reportedDropped  dhmessage.Tokens // dropped tokens of the last report
	batches          []grantedBatch
	retired          bool // the holder has restarted since
}

// grantedBatch is a grant that has neither expired nor been reported in full.
type grantedBatch struct {
	endPosition dhmessage.Tokens
	expiry      dhclock.Millis
}

// Owner grants the tokens of one limit. It does no input or output.
type Owner struct {
	rate        dhmessage.Tokens // per second
	burst       dhmessage.Tokens // cap on level and outstanding together
	level       dhmessage.Tokens
	outstanding dhmessage.Tokens
	lastRefill  dhclock.Millis
	nextShare   Share // applies from the clock reading nextFrom
	nextFrom    dhclock.Millis
	holders     map[string]*holderRecord
}

// NewOwner returns an owner with an empty bucket at the clock reading now.
func NewOwner(now dhclock.Millis, share Share) *Owner {
	return &Owner{rate: share.rate, burst: share.burst, nextShare: share, lastRefill: now, holders: map[string]*holderRecord{}}
}

// SetShare changes rate and burst. A lower rate or burst applies at once: tokens
// that together with the outstanding ones exceed the burst are discarded. A higher
// one applies from the clock reading from, at which no instance can still use the
// floors of the previous configuration.
func (o *Owner) SetShare(now dhclock.Millis, share Share, from dhclock.Millis) {
	o.refill(now)
	o.nextShare, o.nextFrom = share, from
	o.rate, o.burst = min(o.rate, share.rate), min(o.burst, share.burst)
	o.level = max(0, min(o.level, o.burst-o.outstanding))
}

// Level returns the tokens in the bucket.
func (o *Owner) Level() dhmessage.Tokens { return o.level }

// Outstanding returns the tokens granted and not known to be spent or dropped.
func (o *Owner) Outstanding() dhmessage.Tokens { return o.outstanding }

// refill adds the tokens accrued since the last refill: at the current share
// until nextFrom, at the next share from then on.
func (o *Owner) refill(now dhclock.Millis) {
	if now >= o.nextFrom {
		o.refillUntil(o.nextFrom)
		o.rate, o.burst = o.nextShare.rate, o.nextShare.burst
	}
	o.refillUntil(now)
}

func (o *Owner) refillUntil(at dhclock.Millis) {
	elapsed := at.Since(o.lastRefill)
	if elapsed == 0 {
		return
	}
	o.lastRefill = at
	headroom := max(0, o.burst-o.outstanding-o.level)
	o.level += min(accruedTokens(o.rate, elapsed), headroom)
}

// accruedTokens returns the tokens that accrue at a rate in a period, at most in
// maxRefillInterval.
func accruedTokens(rate dhmessage.Tokens, elapsed dhclock.Millis) dhmessage.Tokens {
	return rate / dhmessage.Tokens(dhclock.Second) * dhmessage.Tokens(min(elapsed, maxRefillInterval))
}

// maxRefillInterval bounds the period of one refill, so that amounts can't
// overflow.
const maxRefillInterval = 600 * dhclock.Second

// Report records a holder's position and how many of the tokens up to it were
// dropped unspent. Reports may arrive late or repeatedly. Dropped tokens return to
// the bucket unless some tokens since the last report have expired at the owner.
func (o *Owner) Report(now dhclock.Millis, holder string, startID uint64, position, dropped dhmessage.Tokens) {
	o.refill(now)
	h := o.recordOf(holder, startID)
	o.expire(now, h)
	position = min(position, h.grantedPosition)
	if position <= h.reportedPosition {
		return
	}
	if position > h.position {
		if h.position == h.reportedPosition {
			o.level += min(max(0, dropped-h.reportedDropped), position-h.position)
		}
		o.outstanding -= position - h.position
		h.position = position
	}
	h.reportedPosition = position
	h.reportedDropped = max(h.reportedDropped, dropped)
	for len(h.batches) > 0 && h.batches[0].endPosition <= h.position {
		h.batches = h.batches[1:]
	}
}

// recordOf returns the record of a start of a holder. A new start ID means that
// the holder has restarted: the tokens granted before stay outstanding until they
// expire.
func (o *Owner) recordOf(holder string, startID uint64) *holderRecord {
	h, found := o.holders[holder]
	if found && h.startID == startID {
		return h
	}
	if found && len(h.batches) > 0 {
		h.retired = true
		o.holders[holder+"#"+strconv.FormatUint(h.startID, 10)] = h
	}
	h = &holderRecord{startID: startID}
	o.holders[holder] = h
	return h
}

// expire counts the tokens of expired batches as spent.
func (o *Owner) expire(now dhclock.Millis, h *holderRecord) {
	for len(h.batches) > 0 && h.batches[0].expiry <= now {
		if end := h.batches[0].endPosition; end > h.position {
			o.outstanding -= end - h.position
			h.position = end
		}
		h.batches = h.batches[1:]
	}
}

// Grant grants a holder as many whole tokens as the bucket holds, at most the
// amount requested. It returns the amount and the position of the last token
// granted to the holder.
func (o *Owner) Grant(now dhclock.Millis, holder string, startID uint64, requested dhmessage.Tokens) (amount, endPosition dhmessage.Tokens) {
	o.refill(now)
	h := o.recordOf(holder, startID)
	o.expire(now, h)
	amount = max(0, min(requested, o.level))
	amount -= amount % dhmessage.Token
	if amount == 0 {
		return 0, h.grantedPosition
	}
	o.level -= amount
	o.outstanding += amount
	h.grantedPosition += amount
	h.batches = append(h.batches, grantedBatch{endPosition: h.grantedPosition, expiry: now + OwnerTTL})
	return amount, h.grantedPosition
}

// Sweep expires the grants of unresponsive holders and removes the records of
// earlier starts once nothing of them is outstanding.
func (o *Owner) Sweep(now dhclock.Millis) {
	o.refill(now)
	for name, h := range o.holders {
		o.expire(now, h)
		if h.retired && len(h.batches) == 0 {
			delete(o.holders, name)
		}
	}
}
