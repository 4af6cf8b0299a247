package dhevent

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhsteer"
	"dogwoodhitch/core/dhview"
)

// TrafficTicked lets time pass for traffic state.
type TrafficTicked struct {
	stamp
}

// NewTrafficTicked returns a TrafficTicked.
func NewTrafficTicked(at dhclock.Millis) *TrafficTicked {
	return &TrafficTicked{stamp: stamp{at: at}}
}

// ViewPublishedOptions are the fields of a ViewPublished.
type ViewPublishedOptions struct {
	// View is the view.
	View *dhview.View
}

// ViewPublished gives traffic state a new view.
type ViewPublished struct {
	stamp
	options ViewPublishedOptions
}

// NewViewPublished returns a ViewPublished.
func NewViewPublished(at dhclock.Millis, o ViewPublishedOptions) *ViewPublished {
	return &ViewPublished{stamp: stamp{at: at}, options: o}
}

// View returns the view.
func (e *ViewPublished) View() *dhview.View { return e.options.View }

// GrantsReceivedOptions are the fields of a GrantsArrived.
type GrantsReceivedOptions struct {
	// OwnerTerm is the owner's term.
	OwnerTerm uint64
	// RequestSentAt is this instance's clock when it asked.
	RequestSentAt dhclock.Millis
	// TTL is how long after Sent the tokens may be spent.
	TTL dhclock.Millis
	// Grants is the grants.
	Grants []dhmessage.TokenGrant
}

// GrantsReceived brings tokens from the owner of the limits.
type GrantsReceived struct {
	stamp
	options GrantsReceivedOptions
}

// NewGrantsReceived returns a GrantsArrived.
func NewGrantsReceived(at dhclock.Millis, o GrantsReceivedOptions) *GrantsReceived {
	return &GrantsReceived{stamp: stamp{at: at}, options: o}
}

// OwnerTerm returns the owner's term.
func (e *GrantsReceived) OwnerTerm() uint64 { return e.options.OwnerTerm }

// RequestSentAt returns this instance's clock when it asked.
func (e *GrantsReceived) RequestSentAt() dhclock.Millis { return e.options.RequestSentAt }

// TTL returns how long after Sent the tokens may be spent.
func (e *GrantsReceived) TTL() dhclock.Millis { return e.options.TTL }

// Grants returns the grants.
func (e *GrantsReceived) Grants() []dhmessage.TokenGrant { return e.options.Grants }

// ReservationReceivedOptions are the fields of an IntakeArrived.
type ReservationReceivedOptions struct {
	// Instance is the instance that answers.
	Instance string
	// Response is the answer.
	Response *dhmessage.ReservationResponse
}

// ReservationReceived brings an answer on how many requests another instance takes over.
type ReservationReceived struct {
	stamp
	options ReservationReceivedOptions
}

// NewReservationReceived returns an IntakeArrived.
func NewReservationReceived(at dhclock.Millis, o ReservationReceivedOptions) *ReservationReceived {
	return &ReservationReceived{stamp: stamp{at: at}, options: o}
}

// Instance returns the instance that answers.
func (e *ReservationReceived) Instance() string { return e.options.Instance }

// Response returns the answer.
func (e *ReservationReceived) Response() *dhmessage.ReservationResponse { return e.options.Response }

// ReservationRequestedOptions are the fields of an IntakeAsked.
type ReservationRequestedOptions struct {
	// Instance is the instance that asks.
	Instance string
	// Request is the wish.
	Request *dhmessage.ReservationRequest
}

// ReservationRequested is another instance's wish to pass requests on to this one.
type ReservationRequested struct {
	stamp
	options ReservationRequestedOptions
}

// NewReservationRequested returns an IntakeAsked.
func NewReservationRequested(at dhclock.Millis, o ReservationRequestedOptions) *ReservationRequested {
	return &ReservationRequested{stamp: stamp{at: at}, options: o}
}

// Instance returns the instance that asks.
func (e *ReservationRequested) Instance() string { return e.options.Instance }

// Request returns the wish.
func (e *ReservationRequested) Request() *dhmessage.ReservationRequest { return e.options.Request }

// ClaimResultReceivedOptions are the fields of a ClaimAnswered.
type ClaimResultReceivedOptions struct {
	// RequestID is the request's number.
	RequestID uint64
	// Result is what the claim led to.
	Result dhmessage.Result
}

// ClaimResultReceived says what became of a request's claim.
type ClaimResultReceived struct {
	stamp
	options ClaimResultReceivedOptions
}

// NewClaimResultReceived returns a ClaimAnswered.
func NewClaimResultReceived(at dhclock.Millis, o ClaimResultReceivedOptions) *ClaimResultReceived {
	return &ClaimResultReceived{stamp: stamp{at: at}, options: o}
}

// RequestID returns the request's number.
func (e *ClaimResultReceived) RequestID() uint64 { return e.options.RequestID }

// Result returns what the claim led to.
func (e *ClaimResultReceived) Result() dhmessage.Result { return e.options.Result }

// UpstreamAnnouncedOptions are the fields of an UpstreamAnnounced.
type UpstreamAnnouncedOptions struct {
	// Announcement is the announcement.
	Announcement dhsteer.Announce
}

// UpstreamAnnounced is an upstream's word about itself.
type UpstreamAnnounced struct {
	stamp
	options UpstreamAnnouncedOptions
}

// NewUpstreamAnnounced returns an UpstreamAnnounced.
func NewUpstreamAnnounced(at dhclock.Millis, o UpstreamAnnouncedOptions) *UpstreamAnnounced {
	return &UpstreamAnnounced{stamp: stamp{at: at}, options: o}
}

// Announcement returns the announcement.
func (e *UpstreamAnnounced) Announcement() dhsteer.Announce { return e.options.Announcement }

// UpstreamLeftOptions are the fields of an UpstreamLeft.
type UpstreamLeftOptions struct {
	// Service is the service of the upstream.
	Service string
	// Name is the upstream's name.
	Name string
}

// UpstreamLeft says that an upstream wants no new work.
type UpstreamLeft struct {
	stamp
	options UpstreamLeftOptions
}

// NewUpstreamLeft returns an UpstreamLeft.
func NewUpstreamLeft(at dhclock.Millis, o UpstreamLeftOptions) *UpstreamLeft {
	return &UpstreamLeft{stamp: stamp{at: at}, options: o}
}

// Service returns the service of the upstream.
func (e *UpstreamLeft) Service() string { return e.options.Service }

// Name returns the upstream's name.
func (e *UpstreamLeft) Name() string { return e.options.Name }

// RequestReceivedOptions are the fields of a RequestArrived.
type RequestReceivedOptions struct {
	// RequestID is the request's number at this instance.
	RequestID uint64
	// CallerRequestID is the request's identifier as the caller knows it.
	CallerRequestID string
	// Host is the host name that the caller asks for, in lower case, or "".
	Host string
	// Path is the path.
	Path string
	// ObjectHash is the hash of the object that the request is about; 0 if unknown.
	ObjectHash uint64
	// Random is fresh randomness.
	Random uint64
	// APIKeyHash is the hash of the caller's key; zero if none came.
	APIKeyHash dhcatalog.KeyHash
	// FromPeer is whether another instance admitted the request and passes it on.
	FromPeer bool
	// Organisation is the organisation of a request that is passed on.
	Organisation string
	// Timeout is the caller's own deadline, from now; 0 if none came.
	Timeout dhclock.Millis
	// IdempotencyKey is the caller's idempotency key, or "".
	IdempotencyKey string
	// Digest is the hash of the request's content, set when there is an idempotency key.
	Digest dhcatalog.KeyHash
	// BodyBytes is the bytes of the request's body.
	BodyBytes int
}

// RequestReceived is a caller's request, or one that another instance passes on.
type RequestReceived struct {
	stamp
	options RequestReceivedOptions
}

// NewRequestReceived returns a RequestArrived.
func NewRequestReceived(at dhclock.Millis, o RequestReceivedOptions) *RequestReceived {
	return &RequestReceived{stamp: stamp{at: at}, options: o}
}

// RequestID returns the request's number at this instance.
func (e *RequestReceived) RequestID() uint64 { return e.options.RequestID }

// CallerRequestID returns the request's identifier as the caller knows it.
func (e *RequestReceived) CallerRequestID() string { return e.options.CallerRequestID }

// Host returns the host name that the caller asks for, or "".
func (e *RequestReceived) Host() string { return e.options.Host }

// ObjectHash returns the hash of the object that the request is about, or 0.
func (e *RequestReceived) ObjectHash() uint64 { return e.options.ObjectHash }

// Random returns fresh randomness.
func (e *RequestReceived) Random() uint64 { return e.options.Random }

// Path returns the path.
func (e *RequestReceived) Path() string { return e.options.Path }

// APIKeyHash returns the hash of the caller's key; zero if none came.
func (e *RequestReceived) APIKeyHash() dhcatalog.KeyHash { return e.options.APIKeyHash }

// FromPeer returns whether another instance admitted the request and passes it on.
func (e *RequestReceived) FromPeer() bool { return e.options.FromPeer }

// Organisation returns the organisation of a request that is passed on.
func (e *RequestReceived) Organisation() string { return e.options.Organisation }

// Timeout returns the caller's own deadline, from now; 0 if none came.
func (e *RequestReceived) Timeout() dhclock.Millis { return e.options.Timeout }

// IdempotencyKey returns the caller's idempotency key, or "".
func (e *RequestReceived) IdempotencyKey() string { return e.options.IdempotencyKey }

// Digest returns the hash of the request's content, set when there is an idempotency key.
func (e *RequestReceived) Digest() dhcatalog.KeyHash { return e.options.Digest }

// BodyBytes returns the bytes of the request's body.
func (e *RequestReceived) BodyBytes() int { return e.options.BodyBytes }

// AttemptEndedOptions are the fields of an AttemptEnded.
type AttemptEndedOptions struct {
	// RequestID is the request's number.
	RequestID uint64
	// End is how it ended.
	End AttemptEnd
	// Latency is how long it took.
	Latency dhclock.Millis
	// Status is the answer's status code, or 0.
	Status int
	// BodyBytes is the bytes of the answer's body.
	BodyBytes int
	// ResponseStarted is whether the caller has seen a part of the answer.
	ResponseStarted bool
	// Response is the whole answer, for a claimed request.
	Response *dhmessage.Response
	// ReportedLoad is what the upstream said of its load; nil if it said nothing.
	ReportedLoad *dhsteer.Load
}

// AttemptEnded says how an attempt at an upstream or another instance ended.
type AttemptEnded struct {
	stamp
	options AttemptEndedOptions
}

// NewAttemptEnded returns an AttemptEnded.
func NewAttemptEnded(at dhclock.Millis, o AttemptEndedOptions) *AttemptEnded {
	return &AttemptEnded{stamp: stamp{at: at}, options: o}
}

// RequestID returns the request's number.
func (e *AttemptEnded) RequestID() uint64 { return e.options.RequestID }

// End returns how it ended.
func (e *AttemptEnded) End() AttemptEnd { return e.options.End }

// Latency returns how long it took.
func (e *AttemptEnded) Latency() dhclock.Millis { return e.options.Latency }

// Status returns the answer's status code, or 0.
func (e *AttemptEnded) Status() int { return e.options.Status }

// BodyBytes returns the bytes of the answer's body.
func (e *AttemptEnded) BodyBytes() int { return e.options.BodyBytes }

// ResponseStarted returns whether the caller has seen a part of the answer.
func (e *AttemptEnded) ResponseStarted() bool { return e.options.ResponseStarted }

// Response returns the whole answer, for a claimed request.
func (e *AttemptEnded) Response() *dhmessage.Response { return e.options.Response }

// ReportedLoad returns what the upstream said of its load, or nil.
func (e *AttemptEnded) ReportedLoad() *dhsteer.Load { return e.options.ReportedLoad }

// RequestCancelledOptions are the fields of a RequestAbandoned.
type RequestCancelledOptions struct {
	// RequestID is the request's number.
	RequestID uint64
}

// RequestCancelled says that a caller went away while its request waited.
type RequestCancelled struct {
	stamp
	options RequestCancelledOptions
}

// NewRequestCancelled returns a RequestAbandoned.
func NewRequestCancelled(at dhclock.Millis, o RequestCancelledOptions) *RequestCancelled {
	return &RequestCancelled{stamp: stamp{at: at}, options: o}
}

// RequestID returns the request's number.
func (e *RequestCancelled) RequestID() uint64 { return e.options.RequestID }

// LookUpRequestedOptions are the fields of a LookUpAsked.
type LookUpRequestedOptions struct {
	// Address is the client's address, left-aligned in 64 bits.
	Address uint64
	// IPv6 is whether it is an IPv6 address.
	IPv6 bool
}

// LookUpRequested asks which entry instances a client should use.
type LookUpRequested struct {
	stamp
	options LookUpRequestedOptions
}

// NewLookUpRequested returns a LookUpAsked.
func NewLookUpRequested(at dhclock.Millis, o LookUpRequestedOptions) *LookUpRequested {
	return &LookUpRequested{stamp: stamp{at: at}, options: o}
}

// Address returns the client's address, left-aligned in 64 bits.
func (e *LookUpRequested) Address() uint64 { return e.options.Address }

// IPv6 returns whether it is an IPv6 address.
func (e *LookUpRequested) IPv6() bool { return e.options.IPv6 }

// PoolStatusRequested asks what this instance knows of its upstreams.
type PoolStatusRequested struct {
	stamp
}

// NewPoolStatusRequested returns a PoolsAsked.
func NewPoolStatusRequested(at dhclock.Millis) *PoolStatusRequested {
	return &PoolStatusRequested{stamp: stamp{at: at}}
}

// BurnReportRequested asks for the burn of the service-level objectives.
type BurnReportRequested struct {
	stamp
}

// NewBurnReportRequested returns a BurnAsked.
func NewBurnReportRequested(at dhclock.Millis) *BurnReportRequested {
	return &BurnReportRequested{stamp: stamp{at: at}}
}

// AttemptEnd is how an attempt ended.
type AttemptEnd int

// String returns the end's name.
func (e AttemptEnd) String() string {
	names := [...]string{"answered", "notSent", "refused", "broken", "timedOut", "misplaced", "callerGone"}
	if e < 0 || int(e) >= len(names) {
		return "unknown"
	}
	return names[e]
}

// The ends of an attempt.
const (
	// EndAnswered means that a whole answer came.
	EndAnswered AttemptEnd = iota
	// EndNotSent means that nothing was written: it certainly did not run.
	EndNotSent
	// EndRefused means that the other side said that it did not run it.
	EndRefused
	// EndBroken means that it may have run and no whole answer came.
	EndBroken
	// EndTimedOut means that it may have run and the time was over.
	EndTimedOut
	// EndMisplaced means that another upstream answered at the address, which did
	// not run it.
	EndMisplaced
	// EndCallerGone means that the caller went away while it ran.
	EndCallerGone
)
