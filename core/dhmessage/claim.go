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

// Claimant identifies a request at one instance that makes a claim. A resend of
// the request is another claimant.
type Claimant struct {
	instance  string
	startID   uint64 `journal:"stream"`
	requestID uint64 `journal:"request"`
}

// NewClaimant returns a claimant: the instance, the random number of the
// process's start, and the request's number since that start.
func NewClaimant(instance string, startID, requestID uint64) Claimant {
	return Claimant{instance: instance, startID: startID, requestID: requestID}
}

// Instance returns the name of the instance.
func (c Claimant) Instance() string { return c.instance }

// StartID returns the random number of the instance's start.
func (c Claimant) StartID() uint64 { return c.startID }

// RequestID returns the number of the request since the start.
func (c Claimant) RequestID() uint64 { return c.requestID }

// Response is the complete HTTP response of an upstream.
type Response struct {
	status int
	header []HeaderField
	body   []byte
}

// HeaderField is one header field of a response.
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

// NewResponse returns a response.
func NewResponse(status int, header []HeaderField, body []byte) *Response {
	return &Response{status: status, header: header, body: body}
}

// Status returns the status code.
func (r *Response) Status() int { return r.status }

// Header returns the header fields.
func (r *Response) Header() []HeaderField { return r.header }

// Body returns the body. The caller must not change it.
func (r *Response) Body() []byte { return r.body }

// Size returns the size of the body and of the names and values of the header fields, in bytes;
// 0 for no response.
func (r *Response) Size() int {
	if r == nil {
		return 0
	}
	size := len(r.body)
	for _, f := range r.header {
		size += len(f.name) + len(f.value)
	}
	return size
}

// ClaimOptions are the fields of a Claim.
type ClaimOptions struct {
	// Key is the identity of the claim.
	Key ClaimKey
	// Claimant is the request that makes the claim.
	Claimant Claimant
	// Digest is the hash of the request's content.
	Digest dhcatalog.Hash
	// Timeout is how long the claimant may take, in milliseconds. The claim
	// counts as unclear if no outcome has been committed by then.
	Timeout dhclock.Millis `journal:"Deadline"`
	// Retention is how long the claim and its outcome are kept, in
	// milliseconds.
	Retention dhclock.Millis
}

// Claim is the command that reserves an idempotency key for one claimant.
type Claim struct{ options ClaimOptions }

// NewClaim returns the command.
func NewClaim(o ClaimOptions) Claim { return Claim{options: o} }

// Key returns the identity of the claim.
func (c Claim) Key() ClaimKey { return c.options.Key }

// Claimant returns the request that makes the claim.
func (c Claim) Claimant() Claimant { return c.options.Claimant }

// Digest returns the hash of the request's content.
func (c Claim) Digest() dhcatalog.Hash { return c.options.Digest }

// Timeout returns how long the claimant may take, in milliseconds.
func (c Claim) Timeout() dhclock.Millis { return c.options.Timeout }

// Retention returns how long the claim and its outcome are kept, in
// milliseconds.
func (c Claim) Retention() dhclock.Millis { return c.options.Retention }

func (Claim) command() {}

// Outcome is the command that records how a claimed request ended.
type Outcome struct {
	key      ClaimKey
	claimant Claimant
	state    ClaimState
	response *Response `journal:"answer"`
}

// NewOutcome returns the command. The response is nil unless the state is
// ClaimDone.
func NewOutcome(k ClaimKey, c Claimant, s ClaimState, r *Response) Outcome {
	return Outcome{key: k, claimant: c, state: s, response: r}
}

// Key returns the identity of the claim.
func (o Outcome) Key() ClaimKey { return o.key }

// Claimant returns the request that made the claim.
func (o Outcome) Claimant() Claimant { return o.claimant }

// State returns ClaimDone, ClaimRan, ClaimReleased or ClaimUnclear.
func (o Outcome) State() ClaimState { return o.state }

// Response returns the upstream's response for ClaimDone, else nil.
func (o Outcome) Response() *Response { return o.response }

func (Outcome) command() {}

// Resolve is the command for an operator's decision on a claim whose outcome is
// unclear.
type Resolve struct {
	key ClaimKey
	ran bool
}

// NewResolve returns the command. Ran reports whether the upstream ran the
// request.
func NewResolve(k ClaimKey, ran bool) Resolve { return Resolve{key: k, ran: ran} }

// Key returns the identity of the claim.
func (r Resolve) Key() ClaimKey { return r.key }

// Ran reports whether the upstream ran the request.
func (r Resolve) Ran() bool { return r.ran }

func (Resolve) command() {}

// ClaimState is the state of a claimed request.
type ClaimState int

// The states of a claim.
const (
	// ClaimNone means that no claim is kept for the key.
	ClaimNone ClaimState = iota
	// ClaimGranted means that the claimant holds the claim and may run the
	// request.
	ClaimGranted
	// ClaimOpen means that another claimant may be running the request.
	ClaimOpen
	// ClaimDone means that the request ran and its response is recorded.
	ClaimDone
	// ClaimUnclear means that the request may have run.
	ClaimUnclear
	// ClaimReleased means that the request certainly did not run.
	ClaimReleased
	// ClaimMismatch means that the key was used for a request with another
	// content.
	ClaimMismatch
	// ClaimRan means that the request ran and its response is not recorded: it
	// exceeded a size limit, or an operator decided that the request ran.
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
