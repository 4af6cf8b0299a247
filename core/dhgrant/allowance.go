package dhgrant

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// Allowance is a token bucket whose tokens are spent one at a time. It has no owner:
// each instance has a fixed share of the rate.
type Allowance struct{ bucket bucket }

// NewAllowance returns an allowance that starts at the given level.
func NewAllowance(now dhclock.Millis, share Share, level dhmessage.Tokens) *Allowance {
	return &Allowance{bucket{
		rate: share.rate, burst: share.burst, nextRate: share.rate, nextBurst: share.burst,
		level: min(level, share.burst), lastRefill: now,
	}}
}

// SetShare changes rate and burst.
func (a *Allowance) SetShare(now dhclock.Millis, share Share) { a.bucket.setShare(now, share, now) }

// HasToken reports whether there is a token to spend.
func (a *Allowance) HasToken(now dhclock.Millis) bool {
	a.bucket.refill(now)
	return a.bucket.level >= dhmessage.Token
}

// IsFull reports whether the allowance accrues no more tokens until one is spent.
func (a *Allowance) IsFull(now dhclock.Millis) bool { return a.bucket.isFull(now) }

// Spend spends one token and reports whether there was one.
func (a *Allowance) Spend(now dhclock.Millis) bool { return a.bucket.acquire(now) }
