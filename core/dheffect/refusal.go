package dheffect

import "dogwoodhitch/core/dhclock"

// RefusalKind is the machine-readable reason of a refusal.
type RefusalKind string

// The reasons for which a request is refused, as callers see them.
const (
	RefuseNoRoute               RefusalKind = "noRoute"
	RefuseKeyMissing            RefusalKind = "keyMissing"
	RefuseKeyUnknown            RefusalKind = "keyUnknown"
	RefuseConfigurationStale    RefusalKind = "configurationStale"
	RefuseOverLimit             RefusalKind = "overLimit"
	RefuseLimitUnconfirmed      RefusalKind = "limitUnconfirmed"
	RefuseNoCapacity            RefusalKind = "noCapacity"
	RefuseQuarantined           RefusalKind = "quarantined"
	RefuseNoUpstream            RefusalKind = "noUpstream"
	RefuseTimeout               RefusalKind = "timeout"
	RefuseUpstreamBroken        RefusalKind = "upstreamBroken"
	RefuseUpstreamUnreachable   RefusalKind = "upstreamUnreachable"
	RefuseIdempotencyKeyMissing RefusalKind = "idempotencyKeyMissing"
	RefuseIdempotencyKeyReused  RefusalKind = "idempotencyKeyReused"
	RefuseAlreadyRunning        RefusalKind = "alreadyRunning"
	RefuseOutcomeUnknown        RefusalKind = "outcomeUnknown"
	RefuseAlreadyRan            RefusalKind = "alreadyRan"
	RefuseClaimUnavailable      RefusalKind = "claimUnavailable"
	RefuseInstanceLeaving       RefusalKind = "instanceLeaving"
	RefuseMalformed             RefusalKind = "malformed"
	RefuseTooLarge              RefusalKind = "tooLarge"
)

// LacksToken reports whether a request is refused because it got no token of its organisation's
// limit.
func (k RefusalKind) LacksToken() bool { return k == RefuseOverLimit || k == RefuseLimitUnconfirmed }

// Refusal tells a caller why its request was refused.
type Refusal struct {
	kind       RefusalKind
	mayHaveRun bool
	retryAfter dhclock.Millis
}

// NewRefusal returns a refusal. Unless mayHaveRun is set, the request certainly
// did not run. A retryAfter of 0 means that a retry can succeed only after a
// change to the request or the system.
func NewRefusal(kind RefusalKind, mayHaveRun bool, retryAfter dhclock.Millis) Refusal {
	return Refusal{kind: kind, mayHaveRun: mayHaveRun, retryAfter: retryAfter}
}

// Kind returns the machine-readable reason.
func (r Refusal) Kind() RefusalKind { return r.kind }

// MayHaveRun reports whether the request may have run.
func (r Refusal) MayHaveRun() bool { return r.mayHaveRun }

// RetryAfter returns the time after which a retry may succeed, in milliseconds,
// or 0.
func (r Refusal) RetryAfter() dhclock.Millis { return r.retryAfter }
