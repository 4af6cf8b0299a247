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

// GrantsArrivedOptions are the fields of a GrantsArrived.
type GrantsArrivedOptions struct {
	// Owner is the owner's term.
	Owner uint64
	// Sent is this instance's clock when it asked.
	Sent dhclock.Millis
	// Life is how long after Sent the tokens may be spent.
	Life dhclock.Millis
	// Gives is the grants.
	Gives []dhmessage.Give
}

// GrantsArrived brings tokens from the owner of the limits.
type GrantsArrived struct {
	stamp
	options GrantsArrivedOptions
}

// NewGrantsArrived returns a GrantsArrived.
func NewGrantsArrived(at dhclock.Millis, o GrantsArrivedOptions) *GrantsArrived {
	return &GrantsArrived{stamp: stamp{at: at}, options: o}
}

// Owner returns the owner's term.
func (e *GrantsArrived) Owner() uint64 { return e.options.Owner }

// Sent returns this instance's clock when it asked.
func (e *GrantsArrived) Sent() dhclock.Millis { return e.options.Sent }

// Life returns how long after Sent the tokens may be spent.
func (e *GrantsArrived) Life() dhclock.Millis { return e.options.Life }

// Gives returns the grants.
func (e *GrantsArrived) Gives() []dhmessage.Give { return e.options.Gives }

// IntakeArrivedOptions are the fields of an IntakeArrived.
type IntakeArrivedOptions struct {
	// Instance is the instance that answers.
	Instance string
	// Give is the answer.
	Give *dhmessage.IntakeGive
}

// IntakeArrived brings an answer on how many requests another instance takes over.
type IntakeArrived struct {
	stamp
	options IntakeArrivedOptions
}

// NewIntakeArrived returns an IntakeArrived.
func NewIntakeArrived(at dhclock.Millis, o IntakeArrivedOptions) *IntakeArrived {
	return &IntakeArrived{stamp: stamp{at: at}, options: o}
}

// Instance returns the instance that answers.
func (e *IntakeArrived) Instance() string { return e.options.Instance }

// Give returns the answer.
func (e *IntakeArrived) Give() *dhmessage.IntakeGive { return e.options.Give }

// IntakeAskedOptions are the fields of an IntakeAsked.
type IntakeAskedOptions struct {
	// Instance is the instance that asks.
	Instance string
	// Ask is the wish.
	Ask *dhmessage.IntakeAsk
}

// IntakeAsked is another instance's wish to pass requests on to this one.
type IntakeAsked struct {
	stamp
	options IntakeAskedOptions
}

// NewIntakeAsked returns an IntakeAsked.
func NewIntakeAsked(at dhclock.Millis, o IntakeAskedOptions) *IntakeAsked {
	return &IntakeAsked{stamp: stamp{at: at}, options: o}
}

// Instance returns the instance that asks.
func (e *IntakeAsked) Instance() string { return e.options.Instance }

// Ask returns the wish.
func (e *IntakeAsked) Ask() *dhmessage.IntakeAsk { return e.options.Ask }

// ClaimAnsweredOptions are the fields of a ClaimAnswered.
type ClaimAnsweredOptions struct {
	// Request is the request's number.
	Request uint64
	// Result is what the claim led to.
	Result dhmessage.Result
}

// ClaimAnswered says what became of a request's claim.
type ClaimAnswered struct {
	stamp
	options ClaimAnsweredOptions
}

// NewClaimAnswered returns a ClaimAnswered.
func NewClaimAnswered(at dhclock.Millis, o ClaimAnsweredOptions) *ClaimAnswered {
	return &ClaimAnswered{stamp: stamp{at: at}, options: o}
}

// Request returns the request's number.
func (e *ClaimAnswered) Request() uint64 { return e.options.Request }

// Result returns what the claim led to.
func (e *ClaimAnswered) Result() dhmessage.Result { return e.options.Result }

// UpstreamAnnouncedOptions are the fields of an UpstreamAnnounced.
type UpstreamAnnouncedOptions struct {
	// Announce is the announcement.
	Announce dhsteer.Announce
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

// Announce returns the announcement.
func (e *UpstreamAnnounced) Announce() dhsteer.Announce { return e.options.Announce }

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

// RequestArrivedOptions are the fields of a RequestArrived.
type RequestArrivedOptions struct {
	// Request is the request's number at this instance.
	Request uint64
	// Label is the request's identifier as the caller knows it.
	Label string
	// Host is the host name that the caller asks for, in lower case, or "".
	Host string
	// Path is the path.
	Path string
	// Object is the hash of the object that the request is about; 0 if unknown.
	Object uint64
	// Random is fresh randomness.
	Random uint64
	// KeyHash is the hash of the caller's key; zero if none came.
	KeyHash dhcatalog.KeyHash
	// Passed is whether another instance admitted the request and passes it on.
	Passed bool
	// Organisation is the organisation of a request that is passed on.
	Organisation string
	// Patience is the caller's own deadline, from now; 0 if none came.
	Patience dhclock.Millis
	// IdempotencyKey is the caller's idempotency key, or "".
	IdempotencyKey string
	// Digest is the hash of the request's content, set when there is an idempotency key.
	Digest dhcatalog.KeyHash
	// Size is the bytes of the request's body.
	Size int
}

// RequestArrived is a caller's request, or one that another instance passes on.
type RequestArrived struct {
	stamp
	options RequestArrivedOptions
}

// NewRequestArrived returns a RequestArrived.
func NewRequestArrived(at dhclock.Millis, o RequestArrivedOptions) *RequestArrived {
	return &RequestArrived{stamp: stamp{at: at}, options: o}
}

// Request returns the request's number at this instance.
func (e *RequestArrived) Request() uint64 { return e.options.Request }

// Label returns the request's identifier as the caller knows it.
func (e *RequestArrived) Label() string { return e.options.Label }

// Host returns the host name that the caller asks for, or "".
func (e *RequestArrived) Host() string { return e.options.Host }

// Object returns the hash of the object that the request is about, or 0.
func (e *RequestArrived) Object() uint64 { return e.options.Object }

// Random returns fresh randomness.
func (e *RequestArrived) Random() uint64 { return e.options.Random }

// Path returns the path.
func (e *RequestArrived) Path() string { return e.options.Path }

// KeyHash returns the hash of the caller's key; zero if none came.
func (e *RequestArrived) KeyHash() dhcatalog.KeyHash { return e.options.KeyHash }

// Passed returns whether another instance admitted the request and passes it on.
func (e *RequestArrived) Passed() bool { return e.options.Passed }

// Organisation returns the organisation of a request that is passed on.
func (e *RequestArrived) Organisation() string { return e.options.Organisation }

// Patience returns the caller's own deadline, from now; 0 if none came.
func (e *RequestArrived) Patience() dhclock.Millis { return e.options.Patience }

// IdempotencyKey returns the caller's idempotency key, or "".
func (e *RequestArrived) IdempotencyKey() string { return e.options.IdempotencyKey }

// Digest returns the hash of the request's content, set when there is an idempotency key.
func (e *RequestArrived) Digest() dhcatalog.KeyHash { return e.options.Digest }

// Size returns the bytes of the request's body.
func (e *RequestArrived) Size() int { return e.options.Size }

// AttemptEndedOptions are the fields of an AttemptEnded.
type AttemptEndedOptions struct {
	// Request is the request's number.
	Request uint64
	// End is how it ended.
	End AttemptEnd
	// Latency is how long it took.
	Latency dhclock.Millis
	// Status is the answer's status code, or 0.
	Status int
	// Size is the bytes of the answer's body.
	Size int
	// Delivered is whether the caller has seen a part of the answer.
	Delivered bool
	// Answer is the whole answer, for a claimed request.
	Answer *dhmessage.Answer
	// Load is what the upstream said of its load; nil if it said nothing.
	Load *dhsteer.Load
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

// Request returns the request's number.
func (e *AttemptEnded) Request() uint64 { return e.options.Request }

// End returns how it ended.
func (e *AttemptEnded) End() AttemptEnd { return e.options.End }

// Latency returns how long it took.
func (e *AttemptEnded) Latency() dhclock.Millis { return e.options.Latency }

// Status returns the answer's status code, or 0.
func (e *AttemptEnded) Status() int { return e.options.Status }

// Size returns the bytes of the answer's body.
func (e *AttemptEnded) Size() int { return e.options.Size }

// Delivered returns whether the caller has seen a part of the answer.
func (e *AttemptEnded) Delivered() bool { return e.options.Delivered }

// Answer returns the whole answer, for a claimed request.
func (e *AttemptEnded) Answer() *dhmessage.Answer { return e.options.Answer }

// Load returns what the upstream said of its load, or nil.
func (e *AttemptEnded) Load() *dhsteer.Load { return e.options.Load }

// RequestAbandonedOptions are the fields of a RequestAbandoned.
type RequestAbandonedOptions struct {
	// Request is the request's number.
	Request uint64
}

// RequestAbandoned says that a caller went away while its request waited.
type RequestAbandoned struct {
	stamp
	options RequestAbandonedOptions
}

// NewRequestAbandoned returns a RequestAbandoned.
func NewRequestAbandoned(at dhclock.Millis, o RequestAbandonedOptions) *RequestAbandoned {
	return &RequestAbandoned{stamp: stamp{at: at}, options: o}
}

// Request returns the request's number.
func (e *RequestAbandoned) Request() uint64 { return e.options.Request }

// LookUpAskedOptions are the fields of a LookUpAsked.
type LookUpAskedOptions struct {
	// Address is the client's address, left-aligned in 64 bits.
	Address uint64
	// Six is whether it is an IPv6 address.
	Six bool
}

// LookUpAsked asks which entry instances a client should use.
type LookUpAsked struct {
	stamp
	options LookUpAskedOptions
}

// NewLookUpAsked returns a LookUpAsked.
func NewLookUpAsked(at dhclock.Millis, o LookUpAskedOptions) *LookUpAsked {
	return &LookUpAsked{stamp: stamp{at: at}, options: o}
}

// Address returns the client's address, left-aligned in 64 bits.
func (e *LookUpAsked) Address() uint64 { return e.options.Address }

// Six returns whether it is an IPv6 address.
func (e *LookUpAsked) Six() bool { return e.options.Six }

// PoolsAsked asks what this instance knows of its upstreams.
type PoolsAsked struct {
	stamp
}

// NewPoolsAsked returns a PoolsAsked.
func NewPoolsAsked(at dhclock.Millis) *PoolsAsked {
	return &PoolsAsked{stamp: stamp{at: at}}
}

// BurnAsked asks for the burn of the service-level objectives.
type BurnAsked struct {
	stamp
}

// NewBurnAsked returns a BurnAsked.
func NewBurnAsked(at dhclock.Millis) *BurnAsked {
	return &BurnAsked{stamp: stamp{at: at}}
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
