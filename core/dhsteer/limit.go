package dhsteer

import "dogwoodhitch/core/dhmessage"

// RateLimit is a request rate that an upstream reports as its limit: what it
// accepts from all instances together.
type RateLimit struct {
	perSecond dhmessage.Tokens
}

// NewRateLimit returns a limit in tokens per second; a request is one token.
func NewRateLimit(perSecond dhmessage.Tokens) RateLimit { return RateLimit{perSecond: perSecond} }

// PerSecond returns the limit in tokens per second.
func (l RateLimit) PerSecond() dhmessage.Tokens { return l.perSecond }

// PerThousandSeconds returns the limit in requests per 1000 s, for log lines.
func (l RateLimit) PerThousandSeconds() uint64 { return uint64(l.perSecond / (dhmessage.Token / 1000)) }

// Limit returns the limit that the upstream last reported; nil if it has none.
func (m *Member) Limit() *RateLimit { return m.limit }

// recordLimit records the limit that a response reported. Only a response to a
// request that ran ends a limit: a refusal or a failure may lack the report.
func (m *Member) recordLimit(o AttemptOutcome, l *RateLimit) {
	if o == Misplaced || l == nil && o != Answered {
		return
	}
	m.limit = l
}
