package dheffect

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhevent"
)

// CallerGone is the kind of an Account whose caller went away.
const CallerGone RefusalKind = "callerGone"

// Attempt is one time that a request was sent out.
type Attempt struct {
	to      string
	sent    dhclock.Millis
	end     dhevent.AttemptEnd
	latency dhclock.Millis
}

// NewAttempt returns an attempt at an upstream or an instance, sent so long
// after the request came.
func NewAttempt(to string, sent dhclock.Millis) Attempt { return Attempt{to: to, sent: sent} }

// Ended returns the attempt with its end.
func (a Attempt) Ended(end dhevent.AttemptEnd, latency dhclock.Millis) Attempt {
	a.end, a.latency = end, latency
	return a
}

// To returns the upstream or instance that it was sent to.
func (a Attempt) To() string { return a.to }

// Sent returns how long after its arrival the request was sent.
func (a Attempt) Sent() dhclock.Millis { return a.sent }

// End returns how the attempt ended.
func (a Attempt) End() dhevent.AttemptEnd { return a.end }

// Latency returns how long the attempt took.
func (a Attempt) Latency() dhclock.Millis { return a.latency }

// AccountOptions are the fields of an Account.
type AccountOptions struct {
	// Label is the request's identifier as the caller knows it.
	Label string
	// Route is the route's name, or "".
	Route string
	// Service is the service that was chosen, or "".
	Service string
	// Organisation is the organisation, or "".
	Organisation string
	// Object is the hash of the object that the request was about; 0 if unknown.
	Object uint64
	// Kind is the reason of a refusal, or "" for an answer.
	Kind RefusalKind
	// MayHaveRun is whether a refused request may have run.
	MayHaveRun bool
	// Status is the answer's status code, or 0.
	Status int
	// Latency is the time since the request arrived.
	Latency dhclock.Millis
	// Deadline is how long after its arrival the request had time.
	Deadline dhclock.Millis
	// WithinRate is whether the organisation was within its rate when the request came.
	WithinRate bool
	// Late is whether the answer came after the route's objective.
	Late bool
	// Version is the version of the configuration that decided last.
	Version uint64
	// Age is how long ago that version was certainly current.
	Age dhclock.Millis
	// Attempts is where the request was sent, in order.
	Attempts []Attempt
}

// Account tells of a request that ended, with what decided it.
type Account struct {
	options AccountOptions
}

// NewAccount returns an Account.
func NewAccount(o AccountOptions) *Account {
	return &Account{options: o}
}

// Label returns the request's identifier as the caller knows it.
func (e *Account) Label() string { return e.options.Label }

// Route returns the route's name, or "".
func (e *Account) Route() string { return e.options.Route }

// Service returns the service that was chosen, or "".
func (e *Account) Service() string { return e.options.Service }

// Organisation returns the organisation, or "".
func (e *Account) Organisation() string { return e.options.Organisation }

// Object returns the hash of the object that the request was about, or 0.
func (e *Account) Object() uint64 { return e.options.Object }

// Kind returns the reason of a refusal, or "" for an answer.
func (e *Account) Kind() RefusalKind { return e.options.Kind }

// MayHaveRun returns whether a refused request may have run.
func (e *Account) MayHaveRun() bool { return e.options.MayHaveRun }

// Status returns the answer's status code, or 0.
func (e *Account) Status() int { return e.options.Status }

// Latency returns the time since the request arrived.
func (e *Account) Latency() dhclock.Millis { return e.options.Latency }

// Deadline returns how long after its arrival the request had time.
func (e *Account) Deadline() dhclock.Millis { return e.options.Deadline }

// WithinRate returns whether the organisation was within its rate when the request came.
func (e *Account) WithinRate() bool { return e.options.WithinRate }

// Late returns whether the answer came after the route's objective.
func (e *Account) Late() bool { return e.options.Late }

// Version returns the version of the configuration that decided last.
func (e *Account) Version() uint64 { return e.options.Version }

// Age returns how long ago that version was certainly current.
func (e *Account) Age() dhclock.Millis { return e.options.Age }

// Attempts returns where the request was sent, in order. The caller must not
// change the slice.
func (e *Account) Attempts() []Attempt { return e.options.Attempts }

func (*Account) effect() {}
