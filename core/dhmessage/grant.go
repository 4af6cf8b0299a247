package dhmessage

import "dogwoodhitch/core/dhclock"

// Tokens is an amount of a capped quantity in millionths of a token.
type Tokens int64

// Token is one whole token: one request.
const Token Tokens = 1_000_000

// Ask is a holder's wish for tokens of one organisation.
type Ask struct {
	organisation string
	want         Tokens
	used         Tokens
	dropped      Tokens
}

// NewAsk returns a wish. Used counts every token of this stream that is spent
// or dropped, dropped those among them that were never spent.
func NewAsk(organisation string, want, used, dropped Tokens) Ask {
	return Ask{organisation: organisation, want: want, used: used, dropped: dropped}
}

// Organisation returns the organisation whose limit is meant.
func (a Ask) Organisation() string { return a.organisation }

// Want returns how many tokens the holder would like.
func (a Ask) Want() Tokens { return a.want }

// Used returns how many tokens of the stream are spent or dropped.
func (a Ask) Used() Tokens { return a.used }

// Dropped returns how many tokens of the stream were dropped unspent.
func (a Ask) Dropped() Tokens { return a.dropped }

// Give is an owner's grant of tokens of one organisation.
type Give struct {
	organisation string
	amount       Tokens
	through      Tokens
	short        bool
}

// NewGive returns a grant whose last token has the position through. Short
// says that the owner had less than was asked for.
func NewGive(organisation string, amount, through Tokens, short bool) Give {
	return Give{organisation: organisation, amount: amount, through: through, short: short}
}

// Short tells whether the owner had less than was asked for: the organisation
// uses its whole rate.
func (g Give) Short() bool { return g.short }

// Organisation returns the organisation whose limit is meant.
func (g Give) Organisation() string { return g.organisation }

// Amount returns the tokens granted.
func (g Give) Amount() Tokens { return g.amount }

// Through returns the position of the last token in the holder's stream.
func (g Give) Through() Tokens { return g.through }

// GrantAskOptions are the fields of a GrantAsk.
type GrantAskOptions struct {
	// Stream is the holder's random stream number, new at each start.
	Stream uint64
	// Owner is the owner's term that the reported positions belong to.
	Owner uint64
	// Sent is the holder's clock when it asked, echoed in the answer.
	Sent dhclock.Millis
	// Asks is the wishes, one an organisation.
	Asks []Ask
}

// GrantAsk asks the owner of the limits for tokens.
type GrantAsk struct {
	options GrantAskOptions
}

// NewGrantAsk returns a GrantAsk.
func NewGrantAsk(o GrantAskOptions) *GrantAsk {
	return &GrantAsk{options: o}
}

// Stream returns the holder's random stream number, new at each start.
func (m *GrantAsk) Stream() uint64 { return m.options.Stream }

// Owner returns the owner's term that the reported positions belong to.
func (m *GrantAsk) Owner() uint64 { return m.options.Owner }

// Sent returns the holder's clock when it asked, echoed in the answer.
func (m *GrantAsk) Sent() dhclock.Millis { return m.options.Sent }

// Asks returns the wishes, one an organisation.
func (m *GrantAsk) Asks() []Ask { return m.options.Asks }

func (*GrantAsk) message() {}

// GrantGiveOptions are the fields of a GrantGive.
type GrantGiveOptions struct {
	// Stream is the holder's stream number.
	Stream uint64
	// Owner is the owner's term; positions count from 0 in each term.
	Owner uint64
	// Sent is the clock reading of the GrantAsk.
	Sent dhclock.Millis
	// Life is how long after Sent the tokens may be spent.
	Life dhclock.Millis
	// Gives is the grants, one an organisation.
	Gives []Give
}

// GrantGive answers a GrantAsk.
type GrantGive struct {
	options GrantGiveOptions
}

// NewGrantGive returns a GrantGive.
func NewGrantGive(o GrantGiveOptions) *GrantGive {
	return &GrantGive{options: o}
}

// Stream returns the holder's stream number.
func (m *GrantGive) Stream() uint64 { return m.options.Stream }

// Owner returns the owner's term; positions count from 0 in each term.
func (m *GrantGive) Owner() uint64 { return m.options.Owner }

// Sent returns the clock reading of the GrantAsk.
func (m *GrantGive) Sent() dhclock.Millis { return m.options.Sent }

// Life returns how long after Sent the tokens may be spent.
func (m *GrantGive) Life() dhclock.Millis { return m.options.Life }

// Gives returns the grants, one an organisation.
func (m *GrantGive) Gives() []Give { return m.options.Gives }

func (*GrantGive) message() {}
