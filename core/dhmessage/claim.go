package dhmessage

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
)

// ClaimKey identifies a request that must run at most once.
type ClaimKey struct {
	organisation string
	key          string
}

// NewClaimKey returns the identity of a claim.
func NewClaimKey(organisation, key string) ClaimKey {
	return ClaimKey{organisation: organisation, key: key}
}

// Organisation returns the organisation that sent the request.
func (k ClaimKey) Organisation() string { return k.organisation }

// Key returns the caller's idempotency key.
func (k ClaimKey) Key() string { return k.key }

// Claimant identifies one attempt at one instance.
type Claimant struct {
	instance  string
	startID   uint64
	requestID uint64
}

// NewClaimant returns an attempt: the instance, the random number of its
// start, and the request's number since.
func NewClaimant(instance string, stream, request uint64) Claimant {
	return Claimant{instance: instance, startID: stream, requestID: request}
}

// Instance returns the name of the instance.
func (c Claimant) Instance() string { return c.instance }

// StartID returns the random number of the instance's start.
func (c Claimant) StartID() uint64 { return c.startID }

// RequestID returns the request's number.
func (c Claimant) RequestID() uint64 { return c.requestID }

// Response is an upstream's whole answer.
type Response struct {
	status int
	header []HeaderField
	body   []byte
}

// HeaderField is one header field of an answer.
type HeaderField struct {
	name  string
	value string
}

// NewHeaderField returns a header field.
func NewHeaderField(name, value string) HeaderField { return HeaderField{name: name, value: value} }

// Name returns the field's name.
func (f HeaderField) Name() string { return f.name }

// Value returns the field's value.
func (f HeaderField) Value() string { return f.value }

// NewResponse returns an answer.
func NewResponse(status int, header []HeaderField, body []byte) *Response {
	return &Response{status: status, header: header, body: body}
}

// Status returns the status code.
func (a *Response) Status() int { return a.status }

// Header returns the header fields.
func (a *Response) Header() []HeaderField { return a.header }

// Body returns the body. The caller must not change it.
func (a *Response) Body() []byte { return a.body }

// ClaimOptions are the fields of a Claim.
type ClaimOptions struct {
	Key      ClaimKey
	Claimant Claimant
	Digest   dhcatalog.KeyHash
	// Timeout is how long the claimant may take, in milliseconds.
	Timeout dhclock.Millis
	// Retention is how long claim and outcome are kept, in milliseconds.
	Retention dhclock.Millis
}

// Claim reserves a request for one attempt.
type Claim struct{ options ClaimOptions }

// NewClaim returns the command.
func NewClaim(o ClaimOptions) Claim { return Claim{options: o} }

// Key returns the identity of the claim.
func (c Claim) Key() ClaimKey { return c.options.Key }

// Claimant returns the attempt that wants to run the request.
func (c Claim) Claimant() Claimant { return c.options.Claimant }

// Digest returns the hash of the request's content.
func (c Claim) Digest() dhcatalog.KeyHash { return c.options.Digest }

// Timeout returns how long the claimant may take, in milliseconds.
func (c Claim) Timeout() dhclock.Millis { return c.options.Timeout }

// Retention returns how long claim and outcome are kept, in milliseconds.
func (c Claim) Retention() dhclock.Millis { return c.options.Retention }

func (Claim) command() {}

// Outcome records how a claimed request ended.
type Outcome struct {
	key      ClaimKey
	claimant Claimant
	state    ClaimState
	response *Response
}

// NewOutcome returns the command. The answer is nil unless the state is
// ClaimDone.
func NewOutcome(k ClaimKey, c Claimant, s ClaimState, a *Response) Outcome {
	return Outcome{key: k, claimant: c, state: s, response: a}
}

// Key returns the identity of the claim.
func (o Outcome) Key() ClaimKey { return o.key }

// Claimant returns the attempt that ended.
func (o Outcome) Claimant() Claimant { return o.claimant }

// State returns ClaimDone, ClaimReleased or ClaimUnclear.
func (o Outcome) State() ClaimState { return o.state }

// Response returns the upstream's answer for ClaimDone, else nil.
func (o Outcome) Response() *Response { return o.response }

func (Outcome) command() {}

// Resolve is an operator's decision on a claim whose outcome is unclear.
type Resolve struct {
	key ClaimKey
	ran bool
}

// NewResolve returns the command: whether the request did run.
func NewResolve(k ClaimKey, ran bool) Resolve { return Resolve{key: k, ran: ran} }

// Key returns the identity of the claim.
func (r Resolve) Key() ClaimKey { return r.key }

// Ran tells whether the request did run at the upstream.
func (r Resolve) Ran() bool { return r.ran }

func (Resolve) command() {}

// ClaimState is what is known of a claimed request.
type ClaimState int

// The states of a claim.
const (
	// ClaimNone means that nothing is known of the key.
	ClaimNone ClaimState = iota
	// ClaimGranted means that the attempt that asks may run the request.
	ClaimGranted
	// ClaimOpen means that another attempt is running it.
	ClaimOpen
	// ClaimDone means that it ran and the answer is known.
	ClaimDone
	// ClaimUnclear means that it may have run.
	ClaimUnclear
	// ClaimReleased means that it certainly did not run.
	ClaimReleased
	// ClaimMismatch means that the key was used with another content.
	ClaimMismatch
	// ClaimRan means that an operator found that it ran; its answer is lost.
	ClaimRan
)

// String returns the state's name.
func (s ClaimState) String() string {
	names := [...]string{"none", "granted", "open", "done", "unclear", "released", "mismatch", "ran"}
	if s < 0 || int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}
