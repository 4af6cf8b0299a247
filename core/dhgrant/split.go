package dhgrant

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhmessage"
)

// DefaultFloorPercent is the part of a limit that is split into fixed floors, one an
// instance, so that an instance without an owner serves at least that. A limit
// may say otherwise.
const DefaultFloorPercent = 10

// Share is a part of a limit.
type Share struct {
	rate  dhmessage.Tokens
	burst dhmessage.Tokens
}

// Rate returns tokens a second.
func (s Share) Rate() dhmessage.Tokens { return s.rate }

// Burst returns the cap in tokens.
func (s Share) Burst() dhmessage.Tokens { return s.burst }

// Split divides a limit into the owner's share and the floor of each of so
// many instances. A limit whose floors couldn't hold one token has none.
func Split(l dhcatalog.Limit, instances int) (owner, floor Share) {
	whole := Share{
		rate:  dhmessage.Tokens(l.Rate()) * dhmessage.Token,
		burst: dhmessage.Tokens(l.Burst()) * dhmessage.Token,
	}
	if instances == 0 {
		return whole, Share{}
	}
	parts := dhmessage.Tokens(100 * instances)
	percent := dhmessage.Tokens(DefaultFloorPercent)
	if l.FloorPercent() > 0 {
		percent = dhmessage.Tokens(l.FloorPercent())
	}
	floor = Share{rate: whole.rate / parts * percent, burst: whole.burst / parts * percent}
	if floor.burst < dhmessage.Token {
		return whole, Share{}
	}
	n := dhmessage.Tokens(instances)
	return Share{rate: whole.rate - floor.rate*n, burst: whole.burst - floor.burst*n}, floor
}
