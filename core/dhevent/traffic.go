package dhevent

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhsteer"
	"dogwoodhitch/core/dhview"
)

// TrafficTicked advances the time of the traffic state.
type TrafficTicked struct {
	stamp
}

// NewTrafficTicked returns a TrafficTicked.
func NewTrafficTicked(at dhclock.Millis) *TrafficTicked {
	return &TrafficTicked{stamp: stamp{at: at}}
}

// ViewPublishedOptions are the fields of a ViewPublished.
type ViewPublishedOptions struct {
	// View is the new view.
	View *dhview.View
}

// ViewPublished brings a new view to the traffic state.
type ViewPublished struct {
	stamp
	options ViewPublishedOptions
}

// NewViewPublished returns a ViewPublished.
func NewViewPublished(at dhclock.Millis, o ViewPublishedOptions) *ViewPublished {
	return &ViewPublished{stamp: stamp{at: at}, options: o}
}

// View returns the new view.
func (e *ViewPublished) View() *dhview.View { return e.options.View }

// GrantsReceivedOptions are the fields of a GrantsReceived.
type GrantsReceivedOptions struct {
	// OwnerTerm is the owner's term. Token positions count from 0 in each term.
	OwnerTerm uint64 `journal:"Owner"`
	// RequestSentAt is this instance's clock reading when it sent the request.
	RequestSentAt dhclock.Millis `journal:"Sent"`
	// TTL is how long after RequestSentAt the tokens may be spent, in
	// milliseconds.
	TTL dhclock.Millis `journal:"Life"`
	// Grants are the tokens granted, one grant for each organisation.
	Grants []dhmessage.TokenGrant `journal:"Gives"`
}

// GrantsReceived brings tokens from the owner of the limits.
type GrantsReceived struct {
	stamp
	options GrantsReceivedOptions
}

// NewGrantsReceived returns a GrantsReceived.
func NewGrantsReceived(at dhclock.Millis, o GrantsReceivedOptions) *GrantsReceived {
	return &GrantsReceived{stamp: stamp{at: at}, options: o}
}

// OwnerTerm returns the owner's term.
func (e *GrantsReceived) OwnerTerm() uint64 { return e.options.OwnerTerm }

// RequestSentAt returns this instance's clock reading when it sent the request.
func (e *GrantsReceived) RequestSentAt() dhclock.Millis { return e.options.RequestSentAt }

// TTL returns how long after RequestSentAt the tokens may be spent, in
// milliseconds.
func (e *GrantsReceived) TTL() dhclock.Millis { return e.options.TTL }

// Grants returns the tokens granted, one grant for each organisation.
func (e *GrantsReceived) Grants() []dhmessage.TokenGrant { return e.options.Grants }

// ReservationReceivedOptions are the fields of a ReservationReceived.
type ReservationReceivedOptions struct {
	// Instance is the name of the instance that responds.
	Instance string
	// Response is the response.
	Response *dhmessage.ReservationResponse `journal:"Give"`
}

// ReservationReceived brings another instance's response to a request for
// slots.
type ReservationReceived struct {
	stamp
	options ReservationReceivedOptions
}

// NewReservationReceived returns a ReservationReceived.
func NewReservationReceived(at dhclock.Millis, o ReservationReceivedOptions) *ReservationReceived {
	return &ReservationReceived{stamp: stamp{at: at}, options: o}
}

// Instance returns the name of the instance that responds.
func (e *ReservationReceived) Instance() string { return e.options.Instance }

// Response returns the response.
func (e *ReservationReceived) Response() *dhmessage.ReservationResponse { return e.options.Response }

// ReservationRequestedOptions are the fields of a ReservationRequested.
type ReservationRequestedOptions struct {
	// Instance is the name of the instance that requests the slots.
	Instance string
	// Request is the request for slots.
	Request *dhmessage.ReservationRequest `journal:"Ask"`
}

// ReservationRequested is another instance's request to reserve slots for
// requests that it forwards.
type ReservationRequested struct {
	stamp
	options ReservationRequestedOptions
}

// NewReservationRequested returns a ReservationRequested.
func NewReservationRequested(at dhclock.Millis, o ReservationRequestedOptions) *ReservationRequested {
	return &ReservationRequested{stamp: stamp{at: at}, options: o}
}

// Instance returns the name of the instance that requests the slots.
func (e *ReservationRequested) Instance() string { return e.options.Instance }

// Request returns the request for slots.
func (e *ReservationRequested) Request() *dhmessage.ReservationRequest { return e.options.Request }

// ClaimResultReceivedOptions are the fields of a ClaimResultReceived.
type ClaimResultReceivedOptions struct {
	// RequestID is the number of the request at this instance.
	RequestID uint64 `journal:"Request"`
	// Result is the result of the claim.
	Result dhmessage.Result
}

// ClaimResultReceived brings the result of a request's claim.
type ClaimResultReceived struct {
	stamp
	options ClaimResultReceivedOptions
}

// NewClaimResultReceived returns a ClaimResultReceived.
func NewClaimResultReceived(at dhclock.Millis, o ClaimResultReceivedOptions) *ClaimResultReceived {
	return &ClaimResultReceived{stamp: stamp{at: at}, options: o}
}

// RequestID returns the number of the request at this instance.
func (e *ClaimResultReceived) RequestID() uint64 { return e.options.RequestID }

// Result returns the result of the claim.
func (e *ClaimResultReceived) Result() dhmessage.Result { return e.options.Result }

// RequestReceivedOptions are the fields of a RequestReceived.
type RequestReceivedOptions struct {
	// RequestID is the number of the request at this instance.
	RequestID uint64 `journal:"Request"`
	// CallerRequestID is the request ID that the caller sent, or one generated
	// here.
	CallerRequestID string `journal:"Label"`
	// Host is the host name that the caller requests, in lower case, or "".
	Host string
	// Path is the path of the request's URL.
	Path string
	// ObjectHash is the hash of the object that the request is about, or 0 if
	// unknown.
	ObjectHash uint64 `journal:"Object"`
	// Random is a random number for the reducer's decisions.
	Random uint64
	// APIKeyHash is the hash of the caller's API key, or zero if it sent none.
	APIKeyHash dhcatalog.Hash `journal:"KeyHash"`
	// FromPeer reports whether another instance has admitted the request and
	// forwards it.
	FromPeer bool `journal:"Passed"`
	// Organisation is the organisation of a forwarded request.
	Organisation string
	// Timeout is how long the caller waits from now, in milliseconds; 0 if it
	// set no limit.
	Timeout dhclock.Millis `journal:"Patience"`
	// IdempotencyKey is the caller's idempotency key, or "".
	IdempotencyKey string
	// Digest is the hash of the request's content, set if there is an
	// idempotency key.
	Digest dhcatalog.Hash
	// BodyBytes is the size of the request's body, in bytes.
	BodyBytes int `journal:"Size"`
	// MinDeclaration is the number of the declaration that the instance which
	// forwards the request has; nil if it sent none.
	MinDeclaration *uint64
	// ContentHash is the hash of the request's method, host, target and body; nil if
	// unknown.
	ContentHash *dhcatalog.Hash
	// CallerLeft reports whether the caller had closed its connection when the request was
	// read.
	CallerLeft bool `journal:"CallerLeft,omitZero"`
}

// RequestReceived is a caller's request, or one that another instance forwards.
type RequestReceived struct {
	stamp
	options RequestReceivedOptions
}

// NewRequestReceived returns a RequestReceived.
func NewRequestReceived(at dhclock.Millis, o RequestReceivedOptions) *RequestReceived {
	return &RequestReceived{stamp: stamp{at: at}, options: o}
}

// RequestID returns the number of the request at this instance.
func (e *RequestReceived) RequestID() uint64 { return e.options.RequestID }

// CallerRequestID returns the request ID that the caller sent, or one generated
// here.
func (e *RequestReceived) CallerRequestID() string { return e.options.CallerRequestID }

// ContentHash returns the hash of the request's method, host, target and body; nil if
// unknown.
func (e *RequestReceived) ContentHash() *dhcatalog.Hash { return e.options.ContentHash }

// Host returns the host name that the caller requests, in lower case, or "".
func (e *RequestReceived) Host() string { return e.options.Host }

// ObjectHash returns the hash of the object that the request is about, or 0 if
// unknown.
func (e *RequestReceived) ObjectHash() uint64 { return e.options.ObjectHash }

// Random returns a random number for the reducer's decisions.
func (e *RequestReceived) Random() uint64 { return e.options.Random }

// Path returns the path of the request's URL.
func (e *RequestReceived) Path() string { return e.options.Path }

// APIKeyHash returns the hash of the caller's API key, or zero if it sent none.
func (e *RequestReceived) APIKeyHash() dhcatalog.Hash { return e.options.APIKeyHash }

// FromPeer reports whether another instance has admitted the request and
// forwards it.
func (e *RequestReceived) FromPeer() bool { return e.options.FromPeer }

// Organisation returns the organisation of a forwarded request.
func (e *RequestReceived) Organisation() string { return e.options.Organisation }

// Timeout returns how long the caller waits from now, in milliseconds; 0 if it
// set no limit.
func (e *RequestReceived) Timeout() dhclock.Millis { return e.options.Timeout }

// IdempotencyKey returns the caller's idempotency key, or "".
func (e *RequestReceived) IdempotencyKey() string { return e.options.IdempotencyKey }

// Digest returns the hash of the request's content, set if there is an
// idempotency key.
func (e *RequestReceived) Digest() dhcatalog.Hash { return e.options.Digest }

// BodyBytes returns the size of the request's body, in bytes.
func (e *RequestReceived) BodyBytes() int { return e.options.BodyBytes }

// CallerLeft reports whether the caller had closed its connection when the request was
// read.
func (e *RequestReceived) CallerLeft() bool { return e.options.CallerLeft }

// MinDeclaration returns the number of the declaration that the instance which
// forwards the request has; nil if it sent none.
func (e *RequestReceived) MinDeclaration() *uint64 { return e.options.MinDeclaration }

// AttemptEndedOptions are the fields of an AttemptEnded.
type AttemptEndedOptions struct {
	// RequestID is the number of the request at this instance.
	RequestID uint64 `journal:"Request"`
	// End is how the attempt ended.
	End AttemptEnd
	// Latency is how long the attempt took, in milliseconds.
	Latency dhclock.Millis
	// Status is the response's status code, or 0. An attempt that ended otherwise than with
	// EndAnswered may have one too.
	Status int
	// BodyBytes is the size of the response's body, in bytes.
	BodyBytes int `journal:"Size"`
	// ResponseStarted reports whether a part of the response may have been
	// written to the caller.
	ResponseStarted bool `journal:"Delivered"`
	// Response is the complete response to a claimed request, or nil.
	Response *dhmessage.Response `journal:"Answer"`
	// ReportedLoad is the load that the upstream reported, or nil.
	ReportedLoad *dhsteer.LoadReport `journal:"Load"`
	// ReportedLimit is the request rate that the upstream reported as its limit, or
	// nil.
	ReportedLimit *dhsteer.RateLimit `journal:"Limit"`
	// RetryAfter is how long the upstream wants no request from this instance, in
	// milliseconds; nil if it didn't say so.
	RetryAfter *dhclock.Millis
	// Connected is whether the upstream accepted the attempt's new connection; nil if
	// the attempt used a pooled one, or ended before that was known.
	Connected *bool
	// ResponseMissed is whether the request was sent and the attempt ended before the head
	// of its response was read; nil if unknown.
	ResponseMissed *bool
	// Resent is whether the request was sent again on another connection after the first
	// one had failed. The end tells of the last sending only.
	Resent bool `journal:"Resent,omitZero"`
	// Carried is how many requests the attempt's connection had carried before; nil if the
	// attempt got none.
	Carried *int `journal:"Carried,omitZero"`
}

// AttemptEnded reports how an attempt at an upstream or another instance ended.
type AttemptEnded struct {
	stamp
	options AttemptEndedOptions
}

// NewAttemptEnded returns an AttemptEnded.
func NewAttemptEnded(at dhclock.Millis, o AttemptEndedOptions) *AttemptEnded {
	return &AttemptEnded{stamp: stamp{at: at}, options: o}
}

// Resent reports whether the request was sent again on another connection after the first one
// had failed. The end tells of the last sending only.
func (e *AttemptEnded) Resent() bool { return e.options.Resent }

// RequestID returns the number of the request at this instance.
func (e *AttemptEnded) RequestID() uint64 { return e.options.RequestID }

// End returns how the attempt ended.
func (e *AttemptEnded) End() AttemptEnd { return e.options.End }

// Latency returns how long the attempt took, in milliseconds.
func (e *AttemptEnded) Latency() dhclock.Millis { return e.options.Latency }

// Status returns the response's status code, or 0.
func (e *AttemptEnded) Status() int { return e.options.Status }

// BodyBytes returns the size of the response's body, in bytes.
func (e *AttemptEnded) BodyBytes() int { return e.options.BodyBytes }

// ResponseStarted reports whether a part of the response may have been written
// to the caller.
func (e *AttemptEnded) ResponseStarted() bool { return e.options.ResponseStarted }

// Response returns the complete response to a claimed request, or nil.
func (e *AttemptEnded) Response() *dhmessage.Response { return e.options.Response }

// ReportedLoad returns the load that the upstream reported, or nil.
func (e *AttemptEnded) ReportedLoad() *dhsteer.LoadReport { return e.options.ReportedLoad }

// ReportedLimit returns the request rate that the upstream reported as its limit,
// or nil.
func (e *AttemptEnded) ReportedLimit() *dhsteer.RateLimit { return e.options.ReportedLimit }

// RetryAfter returns how long the upstream wants no request from this instance, in
// milliseconds; nil if it didn't say so.
func (e *AttemptEnded) RetryAfter() *dhclock.Millis { return e.options.RetryAfter }

// Connected returns whether the upstream accepted the attempt's new connection; nil
// if the attempt used a pooled one, or ended before that was known.
func (e *AttemptEnded) Connected() *bool { return e.options.Connected }

// ResponseMissed reports whether the request was sent and the attempt ended before the
// head of its response was read.
func (e *AttemptEnded) ResponseMissed() bool {
	return e.options.ResponseMissed != nil && *e.options.ResponseMissed
}

// Carried returns how many requests the attempt's connection had carried before; nil if the
// attempt got none.
func (e *AttemptEnded) Carried() *int { return e.options.Carried }

// StopScheduledOptions are the fields of a StopScheduled.
type StopScheduledOptions struct {
	// RefuseFrom is when the instance begins to refuse all requests.
	RefuseFrom dhclock.Millis
	// StopAt is when open requests are aborted.
	StopAt dhclock.Millis
}

// StopScheduled reports that this instance is about to stop, and when it will.
type StopScheduled struct {
	stamp
	options StopScheduledOptions
}

// NewStopScheduled returns a StopScheduled.
func NewStopScheduled(at dhclock.Millis, o StopScheduledOptions) *StopScheduled {
	return &StopScheduled{stamp: stamp{at: at}, options: o}
}

// RefuseFrom returns when the instance begins to refuse all requests.
func (e *StopScheduled) RefuseFrom() dhclock.Millis { return e.options.RefuseFrom }

// StopAt returns when open requests are aborted.
func (e *StopScheduled) StopAt() dhclock.Millis { return e.options.StopAt }

// RequestCancelledOptions are the fields of a RequestCancelled.
type RequestCancelledOptions struct {
	// RequestID is the number of the request at this instance.
	RequestID uint64 `journal:"Request"`
}

// RequestCancelled reports that a caller disconnected while its request waited.
type RequestCancelled struct {
	stamp
	options RequestCancelledOptions
}

// NewRequestCancelled returns a RequestCancelled.
func NewRequestCancelled(at dhclock.Millis, o RequestCancelledOptions) *RequestCancelled {
	return &RequestCancelled{stamp: stamp{at: at}, options: o}
}

// RequestID returns the number of the request at this instance.
func (e *RequestCancelled) RequestID() uint64 { return e.options.RequestID }

// LookUpRequestedOptions are the fields of a LookUpRequested.
type LookUpRequestedOptions struct {
	// Address is the client's address, left-aligned in 64 bits.
	Address uint64
	// IPv6 reports whether the address is an IPv6 address.
	IPv6 bool `journal:"Six"`
}

// LookUpRequested asks which entry instances a client should use.
type LookUpRequested struct {
	stamp
	options LookUpRequestedOptions
}

// NewLookUpRequested returns a LookUpRequested.
func NewLookUpRequested(at dhclock.Millis, o LookUpRequestedOptions) *LookUpRequested {
	return &LookUpRequested{stamp: stamp{at: at}, options: o}
}

// Address returns the client's address, left-aligned in 64 bits.
func (e *LookUpRequested) Address() uint64 { return e.options.Address }

// IPv6 reports whether the address is an IPv6 address.
func (e *LookUpRequested) IPv6() bool { return e.options.IPv6 }

// PoolStatusRequested asks for this instance's view of its upstreams.
type PoolStatusRequested struct {
	stamp
}

// NewPoolStatusRequested returns a PoolStatusRequested.
func NewPoolStatusRequested(at dhclock.Millis) *PoolStatusRequested {
	return &PoolStatusRequested{stamp: stamp{at: at}}
}

// BurnReportRequested asks for the burn of the service-level objectives.
type BurnReportRequested struct {
	stamp
}

// NewBurnReportRequested returns a BurnReportRequested.
func NewBurnReportRequested(at dhclock.Millis) *BurnReportRequested {
	return &BurnReportRequested{stamp: stamp{at: at}}
}

// AttemptEnd is how an attempt ended.
type AttemptEnd int

// String returns the name of the end.
func (e AttemptEnd) String() string {
	names := [...]string{"answered", "notSent", "refused", "broken", "timedOut", "misplaced", "callerGone", "unattributed", "abandoned", "untried", "unproven"}
	if e < 0 || int(e) >= len(names) {
		return "unknown"
	}
	return names[e]
}

// The ways in which an attempt can end.
const (
	// EndAnswered means that a complete response arrived.
	EndAnswered AttemptEnd = iota
	// EndNotSent means that nothing was sent, so the request certainly did not
	// run.
	EndNotSent
	// EndRefused means that the other side reported that it did not run the
	// request.
	EndRefused
	// EndBroken means that the request may have run and no complete response
	// arrived.
	EndBroken
	// EndTimedOut means that the request may have run and the attempt's timeout
	// expired.
	EndTimedOut
	// EndMisplaced means that another upstream responded at the address and did
	// not run the request.
	EndMisplaced
	// EndCallerGone means that the caller disconnected during the attempt.
	EndCallerGone
	// EndUnattributed means that a refusal arrived which may belong to an earlier request
	// on the connection, so the request may have run.
	EndUnattributed
	// EndAbandoned means that the caller disconnected before anything was sent, so the
	// request certainly did not run.
	EndAbandoned
	// EndUntried means that nothing was sent for a reason on this side, so that the request
	// certainly did not run and nothing is known of the other side.
	EndUntried
	// EndUnproven means that the upstream responded with a status that promises that the
	// request did not run, without the proof that the request needs. It may have run.
	EndUnproven
)
