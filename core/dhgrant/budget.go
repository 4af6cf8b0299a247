package dhgrant

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// Budget is a token bucket for a quantity whose use is known only afterwards,
// such as bytes. Use is admitted while the level is positive and charged once its
// amount is known, so the level may become negative.
type Budget struct{ bucket bucket }

// NewBudget returns an empty budget.
func NewBudget(now dhclock.Millis) *Budget { return &Budget{bucket{lastRefill: now}} }

// Set changes the rate, in units per second, and with it the burst to one second's
// amount. A lower rate applies at once, a higher one from the clock reading from.
func (b *Budget) Set(now dhclock.Millis, perSecond int64, from dhclock.Millis) {
	rate := dhmessage.Tokens(perSecond) * dhmessage.Token
	b.bucket.setShare(now, Share{rate: rate, burst: rate}, from)
}

// HasRemaining reports whether the level is positive.
func (b *Budget) HasRemaining(now dhclock.Millis) bool {
	b.bucket.refill(now)
	return b.bucket.level > 0
}

// Charge subtracts the units used.
func (b *Budget) Charge(now dhclock.Millis, units int) {
	b.bucket.refill(now)
	b.bucket.level -= dhmessage.Tokens(units) * dhmessage.Token
}
