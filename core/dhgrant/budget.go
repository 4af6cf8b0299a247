package dhgrant

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// Budget is a fixed share of a capped quantity whose use is known only
// afterwards, such as bytes: it is open while something is left, and what was
// used is charged when it is known, if need be as a debt.
type Budget struct{ bucket bucket }

// NewBudget returns a budget with nothing in it.
func NewBudget(now dhclock.Millis) *Budget { return &Budget{bucket{lastRefill: now}} }

// Set changes the share, in units a second; a second's worth may be saved up.
// What is higher holds from a later clock reading.
func (b *Budget) Set(now dhclock.Millis, perSecond int64, from dhclock.Millis) {
	share := dhmessage.Tokens(perSecond) * dhmessage.Token
	b.bucket.setShare(now, Share{rate: share, burst: share}, from)
}

// HasRemaining tells whether something is left.
func (b *Budget) HasRemaining(now dhclock.Millis) bool {
	b.bucket.refill(now)
	return b.bucket.level > 0
}

// Charge takes what was used.
func (b *Budget) Charge(now dhclock.Millis, units int) {
	b.bucket.refill(now)
	b.bucket.level -= dhmessage.Tokens(units) * dhmessage.Token
}
