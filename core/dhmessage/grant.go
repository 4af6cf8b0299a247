package dhmessage

import (
	"slices"

	"dogwoodhitch/core/dhclock"
)

// Tokens is an amount of a limited quantity, in millionths of a token.
type Tokens int64

// Token is one full token, which admits one request.
const Token Tokens = 1_000_000

// TokenDemand is one organisation's part of a GrantRequest.
type TokenDemand struct {
	organisation string
	amount       Tokens `journal:"want"`
	consumed     Tokens `journal:"used"`
	dropped      Tokens
}

// NewTokenDemand returns a demand for an amount of tokens. Consumed counts all
// tokens spent or dropped since the process started, under the owner's present
// term; dropped counts those that were dropped unspent.
func NewTokenDemand(organisation string, amount, consumed, dropped Tokens) TokenDemand {
	return TokenDemand{organisation: organisation, amount: amount, consumed: consumed, dropped: dropped}
}

// Organisation returns the organisation whose limit applies.
func (d TokenDemand) Organisation() string { return d.organisation }

// Amount returns how many tokens the holder requests.
func (d TokenDemand) Amount() Tokens { return d.amount }

// Consumed returns how many tokens have been spent or dropped.
func (d TokenDemand) Consumed() Tokens { return d.consumed }

// Dropped returns how many tokens have been dropped unspent.
func (d TokenDemand) Dropped() Tokens { return d.dropped }

// TokenGrant is one organisation's part of a GrantResponse.
type TokenGrant struct {
	organisation string
	amount       Tokens
	endPosition  Tokens `journal:"through"`
	hasShortfall bool   `journal:"short"`
}

// NewTokenGrant returns a grant whose last token has the given end position. A
// shortfall means that the owner had fewer tokens than were requested.
func NewTokenGrant(organisation string, amount, endPosition Tokens, hasShortfall bool) TokenGrant {
	return TokenGrant{organisation: organisation, amount: amount, endPosition: endPosition, hasShortfall: hasShortfall}
}

// HasShortfall reports whether the owner had fewer tokens than were requested,
// which means that the organisation uses its full rate.
func (g TokenGrant) HasShortfall() bool { return g.hasShortfall }

// Organisation returns the organisation whose limit applies.
func (g TokenGrant) Organisation() string { return g.organisation }

// Amount returns how many tokens are granted.
func (g TokenGrant) Amount() Tokens { return g.amount }

// EndPosition returns the position of the last token among all tokens granted
// to the holder.
func (g TokenGrant) EndPosition() Tokens { return g.endPosition }

// GrantRequestOptions are the fields of a GrantRequest.
type GrantRequestOptions struct {
	// StartID is the random number that the holder chose at its start.
	StartID uint64 `journal:"Stream"`
	// OwnerTerm is the owner's term that the reported consumption belongs to.
	OwnerTerm uint64 `journal:"Owner"`
	// SentAt is the holder's clock reading at sending. The response repeats it.
	SentAt dhclock.Millis `journal:"Sent"`
	// Demands are the tokens requested, one demand for each organisation.
	Demands []TokenDemand `journal:"Asks"`
}

// GrantRequest asks the owner of the limits for tokens and reports how many
// have been consumed.
type GrantRequest struct {
	options GrantRequestOptions
}

// NewGrantRequest returns a GrantRequest.
func NewGrantRequest(o GrantRequestOptions) *GrantRequest {
	return &GrantRequest{options: o}
}

// StartID returns the random number that the holder chose at its start.
func (m *GrantRequest) StartID() uint64 { return m.options.StartID }

// OwnerTerm returns the owner's term that the reported consumption belongs to.
func (m *GrantRequest) OwnerTerm() uint64 { return m.options.OwnerTerm }

// SentAt returns the holder's clock reading at sending.
func (m *GrantRequest) SentAt() dhclock.Millis { return m.options.SentAt }

// Demands returns the tokens requested, one demand for each organisation.
func (m *GrantRequest) Demands() []TokenDemand { return m.options.Demands }

// RequestsTokens reports whether the owner responds: the message isn't only a report.
func (m *GrantRequest) RequestsTokens() bool {
	return slices.ContainsFunc(m.options.Demands, func(d TokenDemand) bool { return d.amount > 0 })
}

func (*GrantRequest) message() {}

// GrantResponseOptions are the fields of a GrantResponse.
type GrantResponseOptions struct {
	// StartID is the random number that the holder chose at its start.
	StartID uint64 `journal:"Stream"`
	// OwnerTerm is the owner's term. Token positions count from 0 in each term.
	OwnerTerm uint64 `journal:"Owner"`
	// RequestSentAt is the clock reading of the GrantRequest.
	RequestSentAt dhclock.Millis `journal:"Sent"`
	// TTL is how long after RequestSentAt the tokens may be spent, in
	// milliseconds.
	TTL dhclock.Millis `journal:"Life"`
	// Grants are the tokens granted, one grant for each organisation.
	Grants []TokenGrant `journal:"Gives"`
}

// GrantResponse answers a GrantRequest.
type GrantResponse struct {
	options GrantResponseOptions
}

// NewGrantResponse returns a GrantResponse.
func NewGrantResponse(o GrantResponseOptions) *GrantResponse {
	return &GrantResponse{options: o}
}

// StartID returns the random number that the holder chose at its start.
func (m *GrantResponse) StartID() uint64 { return m.options.StartID }

// OwnerTerm returns the owner's term.
func (m *GrantResponse) OwnerTerm() uint64 { return m.options.OwnerTerm }

// RequestSentAt returns the clock reading of the GrantRequest.
func (m *GrantResponse) RequestSentAt() dhclock.Millis { return m.options.RequestSentAt }

// TTL returns how long after RequestSentAt the tokens may be spent, in
// milliseconds.
func (m *GrantResponse) TTL() dhclock.Millis { return m.options.TTL }

// Grants returns the tokens granted, one grant for each organisation.
func (m *GrantResponse) Grants() []TokenGrant { return m.options.Grants }

func (*GrantResponse) message() {}
