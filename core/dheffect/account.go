package dheffect

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhevent"
)

// CallerGone is the kind of an Account whose caller went away.
const CallerGone RefusalKind = "callerGone"

// Attempt is one time that a request was sent out.
type Attempt struct {
	target    string
	sentAfter dhclock.Millis
	end       dhevent.AttemptEnd
	latency   dhclock.Millis
}

// NewAttempt returns an attempt at an upstream or an instance, sent so long
// after the request came.
func NewAttempt(to string, sent dhclock.Millis) Attempt { return Attempt{target: to, sentAfter: sent} }

// WithEnd returns the attempt with its end.
func (a Attempt) WithEnd(end dhevent.AttemptEnd, latency dhclock.Millis) Attempt {
	a.end, a.latency = end, latency
	return a
}

// Target returns the upstream or instance that it was sent to.
func (a Attempt) Target() string { return a.target }

// SentAfter returns how long after its arrival the request was sent.
func (a Attempt) SentAfter() dhclock.Millis { return a.sentAfter }

// End returns how the attempt ended.
func (a Attempt) End() dhevent.AttemptEnd { return a.end }

// Latency returns how long the attempt took.
func (a Attempt) Latency() dhclock.Millis { return a.latency }

// RecordRequestOptions are the fields of an Account.
type RecordRequestOptions struct {
	// CallerRequestID is the request's identifier as the caller knows it.
	CallerRequestID string
	// Route is the route's name, or "".
	Route string
	// Service is the service that was chosen, or "".
	Service string
	// Organisation is the organisation, or "".
	Organisation string
	// ObjectHash is the hash of the object that the request was about; 0 if unknown.
	ObjectHash uint64
	// RefusalKind is the reason of a refusal, or "" for an answer.
	RefusalKind RefusalKind
	// MayHaveRun is whether a refused request may have run.
	MayHaveRun bool
	// Status is the answer's status code, or 0.
	Status int
	// Latency is the time since the request arrived.
	Latency dhclock.Millis
	// Timeout is how long after its arrival the request had time.
	Timeout dhclock.Millis
	// WithinRate is whether the organisation was within its rate when the request came.
	WithinRate bool
	// ObjectiveMissed is whether the answer came after the route's objective.
	ObjectiveMissed bool
	// ConfigVersion is the version of the configuration that decided last.
	ConfigVersion uint64
	// ConfigAge is how long ago that version was certainly current.
	ConfigAge dhclock.Millis
	// Attempts is where the request was sent, in order.
	Attempts []Attempt
}

// RecordRequest tells of a request that ended, with what decided it.
type RecordRequest struct {
	options RecordRequestOptions
}

// NewRecordRequest returns an Account.
func NewRecordRequest(o RecordRequestOptions) *RecordRequest {
	return &RecordRequest{options: o}
}

// CallerRequestID returns the request's identifier as the caller knows it.
func (e *RecordRequest) CallerRequestID() string { return e.options.CallerRequestID }

// Route returns the route's name, or "".
func (e *RecordRequest) Route() string { return e.options.Route }

// Service returns the service that was chosen, or "".
func (e *RecordRequest) Service() string { return e.options.Service }

// Organisation returns the organisation, or "".
func (e *RecordRequest) Organisation() string { return e.options.Organisation }

// ObjectHash returns the hash of the object that the request was about, or 0.
func (e *RecordRequest) ObjectHash() uint64 { return e.options.ObjectHash }

// RefusalKind returns the reason of a refusal, or "" for an answer.
func (e *RecordRequest) RefusalKind() RefusalKind { return e.options.RefusalKind }

// MayHaveRun returns whether a refused request may have run.
func (e *RecordRequest) MayHaveRun() bool { return e.options.MayHaveRun }

// Status returns the answer's status code, or 0.
func (e *RecordRequest) Status() int { return e.options.Status }

// Latency returns the time since the request arrived.
func (e *RecordRequest) Latency() dhclock.Millis { return e.options.Latency }

// Timeout returns how long after its arrival the request had time.
func (e *RecordRequest) Timeout() dhclock.Millis { return e.options.Timeout }

// WithinRate returns whether the organisation was within its rate when the request came.
func (e *RecordRequest) WithinRate() bool { return e.options.WithinRate }

// ObjectiveMissed returns whether the answer came after the route's objective.
func (e *RecordRequest) ObjectiveMissed() bool { return e.options.ObjectiveMissed }

// ConfigVersion returns the version of the configuration that decided last.
func (e *RecordRequest) ConfigVersion() uint64 { return e.options.ConfigVersion }

// ConfigAge returns how long ago that version was certainly current.
func (e *RecordRequest) ConfigAge() dhclock.Millis { return e.options.ConfigAge }

// Attempts returns where the request was sent, in order. The caller must not
// change the slice.
func (e *RecordRequest) Attempts() []Attempt { return e.options.Attempts }

func (*RecordRequest) effect() {}
