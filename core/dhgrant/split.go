package dhgrant

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhmessage"
)

// DefaultFloorPercent is the part of a limit that is divided into fixed floors,
// one per instance, so that an instance that can't reach the owner still admits
// requests at its floor's rate. A limit may set another percentage.
const DefaultFloorPercent = 10

// Share is a part of a limit: a rate and a burst.
type Share struct {
	rate  dhmessage.Tokens
	burst dhmessage.Tokens
}

// NewShare returns a share of a rate per second and a burst.
func NewShare(rate, burst dhmessage.Tokens) Share { return Share{rate: rate, burst: burst} }

// Rate returns the tokens per second.
func (s Share) Rate() dhmessage.Tokens { return s.rate }

// Burst returns the capacity of the bucket.
func (s Share) Burst() dhmessage.Tokens { return s.burst }

// Split divides a limit into the owner's share and the floor of each instance.
// If floors are too small to hold one token, the owner has the entire limit and
// the floors are empty.
func Split(limit dhcatalog.Limit, instances int) (owner, floor Share) {
	total := Share{
		rate:  dhmessage.Tokens(limit.Rate()) * dhmessage.Token,
		burst: dhmessage.Tokens(limit.Burst()) * dhmessage.Token,
	}
	if instances == 0 {
		return total, Share{}
	}
	parts := dhmessage.Tokens(100 * instances)
	percent := dhmessage.Tokens(DefaultFloorPercent)
	if limit.FloorPercent() > 0 {
		percent = dhmessage.Tokens(limit.FloorPercent())
	}
	floor = Share{rate: total.rate / parts * percent, burst: total.burst / parts * percent}
	if floor.burst < dhmessage.Token {
		return total, Share{}
	}
	n := dhmessage.Tokens(instances)
	return Share{rate: total.rate - floor.rate*n, burst: total.burst - floor.burst*n}, floor
}
