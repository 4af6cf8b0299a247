package dhmessage

import "dogwoodhitch/core/dhclock"

// Tokens is an amount of a capped quantity in millionths of a token.
type Tokens int64

// Token is one whole token: one request.
const Token Tokens = 1_000_000

// TokenDemand is a holder's wish for tokens of one organisation.
type TokenDemand struct {
	organisation string
	amount       Tokens
	consumed     Tokens
	dropped      Tokens
}

// NewTokenDemand returns a wish. Used counts every token of this stream that is spent
// or dropped, dropped those among them that were never spent.
func NewTokenDemand(organisation string, want, used, dropped Tokens) TokenDemand {
	return TokenDemand{organisation: organisation, amount: want, consumed: used, dropped: dropped}
}

// Organisation returns the organisation whose limit is meant.
func (a TokenDemand) Organisation() string { return a.organisation }

// Amount returns how many tokens the holder would like.
func (a TokenDemand) Amount() Tokens { return a.amount }

// Consumed returns how many tokens of the stream are spent or dropped.
func (a TokenDemand) Consumed() Tokens { return a.consumed }

// Dropped returns how many tokens of the stream were dropped unspent.
func (a TokenDemand) Dropped() Tokens { return a.dropped }

// TokenGrant is an owner's grant of tokens of one organisation.
type TokenGrant struct {
	organisation string
	amount       Tokens
	endPosition  Tokens
	shortfall    bool
}

// NewTokenGrant returns a grant whose last token has the position through. Short
// says that the owner had less than was asked for.
func NewTokenGrant(organisation string, amount, through Tokens, short bool) TokenGrant {
	return TokenGrant{organisation: organisation, amount: amount, endPosition: through, shortfall: short}
}

// Shortfall tells whether the owner had less than was asked for: the organisation
// uses its whole rate.
func (g TokenGrant) Shortfall() bool { return g.shortfall }

// Organisation returns the organisation whose limit is meant.
func (g TokenGrant) Organisation() string { return g.organisation }

// Amount returns the tokens granted.
func (g TokenGrant) Amount() Tokens { return g.amount }

// EndPosition returns the position of the last token in the holder's stream.
func (g TokenGrant) EndPosition() Tokens { return g.endPosition }

// GrantRequestOptions are the fields of a GrantAsk.
type GrantRequestOptions struct {
	// StartID is the holder's random stream number, new at each start.
	StartID uint64
	// OwnerTerm is the owner's term that the reported positions belong to.
	OwnerTerm uint64
	// SentAt is the holder's clock when it asked, echoed in the answer.
	SentAt dhclock.Millis
	// Demands is the wishes, one an organisation.
	Demands []TokenDemand
}

// GrantRequest asks the owner of the limits for tokens.
type GrantRequest struct {
	options GrantRequestOptions
}

// NewGrantRequest returns a GrantAsk.
func NewGrantRequest(o GrantRequestOptions) *GrantRequest {
	return &GrantRequest{options: o}
}

// StartID returns the holder's random stream number, new at each start.
func (m *GrantRequest) StartID() uint64 { return m.options.StartID }

// OwnerTerm returns the owner's term that the reported positions belong to.
func (m *GrantRequest) OwnerTerm() uint64 { return m.options.OwnerTerm }

// SentAt returns the holder's clock when it asked, echoed in the answer.
func (m *GrantRequest) SentAt() dhclock.Millis { return m.options.SentAt }

// Demands returns the wishes, one an organisation.
func (m *GrantRequest) Demands() []TokenDemand { return m.options.Demands }

func (*GrantRequest) message() {}

// GrantResponseOptions are the fields of a GrantGive.
type GrantResponseOptions struct {
	// StartID is the holder's stream number.
	StartID uint64
	// OwnerTerm is the owner's term; positions count from 0 in each term.
	OwnerTerm uint64
	// RequestSentAt is the clock reading of the GrantAsk.
	RequestSentAt dhclock.Millis
	// TTL is how long after Sent the tokens may be spent.
	TTL dhclock.Millis
	// Grants is the grants, one an organisation.
	Grants []TokenGrant
}

// GrantResponse answers a GrantAsk.
type GrantResponse struct {
	options GrantResponseOptions
}

// NewGrantResponse returns a GrantGive.
func NewGrantResponse(o GrantResponseOptions) *GrantResponse {
	return &GrantResponse{options: o}
}

// StartID returns the holder's stream number.
func (m *GrantResponse) StartID() uint64 { return m.options.StartID }

// OwnerTerm returns the owner's term; positions count from 0 in each term.
func (m *GrantResponse) OwnerTerm() uint64 { return m.options.OwnerTerm }

// RequestSentAt returns the clock reading of the GrantAsk.
func (m *GrantResponse) RequestSentAt() dhclock.Millis { return m.options.RequestSentAt }

// TTL returns how long after Sent the tokens may be spent.
func (m *GrantResponse) TTL() dhclock.Millis { return m.options.TTL }

// Grants returns the grants, one an organisation.
func (m *GrantResponse) Grants() []TokenGrant { return m.options.Grants }

func (*GrantResponse) message() {}
