package dheffect

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhsteer"
)

// CallerGone is the refusal kind of a request whose caller disconnected.
const CallerGone RefusalKind = "callerGone"

// Attempt is one attempt to forward a request to an upstream or to another
// instance.
type Attempt struct {
	target    string         `journal:"to"`
	sentAfter dhclock.Millis `journal:"sent"`
	end       dhevent.AttemptEnd
	latency   dhclock.Millis
	configAge dhclock.Millis `journal:"configAge,omitZero"`
	limit     *dhsteer.RateLimit
	status    int  `journal:"status,omitZero"`
	carried   *int `journal:"carried,omitZero"`
}

// NewAttempt returns an attempt at a target, sent the given time after the
// request was received. The age is that of the configuration's last confirmation if it was
// old, else 0. The limit is the one that the target had reported, or nil.
func NewAttempt(target string, sentAfter, configAge dhclock.Millis, limit *dhsteer.RateLimit) Attempt {
	return Attempt{target: target, sentAfter: sentAfter, configAge: configAge, limit: limit}
}

// WithEnd returns the attempt with what is known of its end.
func (a Attempt) WithEnd(e *dhevent.AttemptEnded) Attempt {
	a.end, a.latency, a.carried = e.End(), e.Latency(), e.Carried()
	if e.End() != dhevent.EndAnswered {
		a.status = e.Status()
	}
	return a
}

// Target returns the upstream or instance that the request was sent to.
func (a Attempt) Target() string { return a.target }

// SentAfter returns the time from the request's receipt to the attempt, in
// milliseconds.
func (a Attempt) SentAfter() dhclock.Millis { return a.sentAfter }

// ConfigAge returns the time since the last confirmation of the configuration when the
// attempt was decided, in milliseconds; 0 if it was recent.
func (a Attempt) ConfigAge() dhclock.Millis { return a.configAge }

// End returns how the attempt ended.
func (a Attempt) End() dhevent.AttemptEnd { return a.end }

// Latency returns how long the attempt took, in milliseconds.
func (a Attempt) Latency() dhclock.Millis { return a.latency }

// Status returns the status code of a response of the target that the caller didn't get, or 0.
func (a Attempt) Status() int { return a.status }

// Carried returns how many requests the attempt's connection had carried before; nil if the
// attempt got none.
func (a Attempt) Carried() *int { return a.carried }

// Limit returns the request rate that the target, an upstream, had reported as its
// limit, or nil.
func (a Attempt) Limit() *dhsteer.RateLimit { return a.limit }

// RecordRequestOptions are the fields of a RecordRequest.
type RecordRequestOptions struct {
	// CallerRequestID is the request ID that the caller sent, or one generated
	// here.
	CallerRequestID string `journal:"Label"`
	// Route is the route's name, or "".
	Route string
	// Service is the service that was selected, or "".
	Service string
	// Organisation is the organisation, or "".
	Organisation string
	// ObjectHash is the hash of the object that the request was about, or 0 if
	// unknown.
	ObjectHash uint64 `journal:"Object"`
	// Fingerprint identifies the request by its organisation and content; nil if the
	// content is unknown.
	Fingerprint *dhmessage.Fingerprint
	// RefusalKind is the reason of a refusal, or "" if the caller got a
	// response.
	RefusalKind RefusalKind `journal:"Kind"`
	// MayHaveRun reports whether the request was refused and may have run.
	MayHaveRun bool
	// Status is the response's status code, or 0.
	Status int
	// Latency is the time from the request's receipt to its end, in
	// milliseconds.
	Latency dhclock.Millis
	// Timeout is the time from the request's receipt to its deadline, in
	// milliseconds.
	Timeout dhclock.Millis `journal:"Deadline"`
	// WithinRate reports whether the organisation was within its rate when the
	// request ended.
	WithinRate bool
	// ObjectiveMissed reports whether the request took longer than the route's
	// latency objective.
	ObjectiveMissed bool `journal:"Late"`
	// ConfigVersion is the version of the configuration in use when the request
	// ended.
	ConfigVersion uint64 `journal:"Version"`
	// ConfigAge is the time since that version was last confirmed as current, in
	// milliseconds.
	ConfigAge dhclock.Millis `journal:"Age"`
	// TokenWait is how long a request that was refused for lack of a token waited for one, in
	// milliseconds.
	TokenWait dhclock.Millis `journal:"TokenWait,omitZero"`
	// OwnerSilence is the time since the owner of that limit last responded to this instance,
	// in milliseconds; nil for another end, or without a response.
	OwnerSilence *dhclock.Millis `journal:"OwnerSilence,omitZero"`
	// Attempts are the attempts in order. The caller must not change the slice.
	Attempts []Attempt
}

// RecordRequest records a request that ended, with the data that determined its
// outcome.
type RecordRequest struct {
	options RecordRequestOptions
}

// NewRecordRequest returns a RecordRequest.
func NewRecordRequest(o RecordRequestOptions) *RecordRequest {
	return &RecordRequest{options: o}
}

// CallerRequestID returns the request ID that the caller sent, or one generated
// here.
func (e *RecordRequest) CallerRequestID() string { return e.options.CallerRequestID }

// Route returns the route's name, or "".
func (e *RecordRequest) Route() string { return e.options.Route }

// Service returns the service that was selected, or "".
func (e *RecordRequest) Service() string { return e.options.Service }

// Organisation returns the organisation, or "".
func (e *RecordRequest) Organisation() string { return e.options.Organisation }

// ObjectHash returns the hash of the object that the request was about, or 0 if
// unknown.
func (e *RecordRequest) ObjectHash() uint64 { return e.options.ObjectHash }

// Fingerprint identifies the request by its organisation and content; nil if the content
// is unknown.
func (e *RecordRequest) Fingerprint() *dhmessage.Fingerprint { return e.options.Fingerprint }

// RefusalKind returns the reason of a refusal, or "" if the caller got a
// response.
func (e *RecordRequest) RefusalKind() RefusalKind { return e.options.RefusalKind }

// MayHaveRun reports whether the request was refused and may have run.
func (e *RecordRequest) MayHaveRun() bool { return e.options.MayHaveRun }

// Status returns the response's status code, or 0.
func (e *RecordRequest) Status() int { return e.options.Status }

// Latency returns the time from the request's receipt to its end, in
// milliseconds.
func (e *RecordRequest) Latency() dhclock.Millis { return e.options.Latency }

// Timeout returns the time from the request's receipt to its deadline, in
// milliseconds.
func (e *RecordRequest) Timeout() dhclock.Millis { return e.options.Timeout }

// WithinRate reports whether the organisation was within its rate when the
// request ended.
func (e *RecordRequest) WithinRate() bool { return e.options.WithinRate }

// ObjectiveMissed reports whether the request took longer than the route's
// latency objective.
func (e *RecordRequest) ObjectiveMissed() bool { return e.options.ObjectiveMissed }

// ConfigVersion returns the version of the configuration in use when the
// request ended.
func (e *RecordRequest) ConfigVersion() uint64 { return e.options.ConfigVersion }

// ConfigAge returns the time since that version was last confirmed as current,
// in milliseconds.
func (e *RecordRequest) ConfigAge() dhclock.Millis { return e.options.ConfigAge }

// TokenWait returns how long a request that was refused for lack of a token waited for one, in
// milliseconds.
func (e *RecordRequest) TokenWait() dhclock.Millis { return e.options.TokenWait }

// OwnerSilence returns the time since the owner of that limit last responded to this
// instance, in milliseconds; nil for another end, or without a response.
func (e *RecordRequest) OwnerSilence() *dhclock.Millis { return e.options.OwnerSilence }

// Attempts returns the attempts in order. The caller must not change the slice.
func (e *RecordRequest) Attempts() []Attempt { return e.options.Attempts }

func (*RecordRequest) effect() {}
