package dhmessage

// ResultOptions are the fields of a Result.
type ResultOptions struct {
	// Version is the configuration's version after the command.
	Version uint64
	// ClaimState is the state of a claim after a Claim, Outcome or Resolve.
	ClaimState ClaimState `journal:"Claim"`
	// Response is the recorded response for ClaimDone, else nil.
	Response *Response `journal:"Answer"`
	// Err is the reason why the command was refused, or nil.
	Err error
	// OutcomeUnknown reports whether the outcome is unknown: a command may have
	// been committed or may still be, or a read was not confirmed in time.
	OutcomeUnknown bool `journal:"Unsure"`
	// Referral names the process to which to send the command instead, or is "".
	Referral string `journal:"Referral,omitZero"`
}

// Result is the result of a command.
type Result struct{ options ResultOptions }

// NewResult returns a result.
func NewResult(o ResultOptions) Result { return Result{options: o} }

// Version returns the configuration's version after the command.
func (r Result) Version() uint64 { return r.options.Version }

// ClaimState returns the state of a claim after a Claim, Outcome or Resolve.
func (r Result) ClaimState() ClaimState { return r.options.ClaimState }

// Response returns the recorded response for ClaimDone, else nil.
func (r Result) Response() *Response { return r.options.Response }

// Err returns the reason why the command was refused, or nil.
func (r Result) Err() error { return r.options.Err }

// OutcomeUnknown reports whether the outcome is unknown: a command may have
// been committed or may still be, or a read was not confirmed in time.
func (r Result) OutcomeUnknown() bool { return r.options.OutcomeUnknown }

// Referral returns the name of the control process to which to send the command instead, because
// the one that answers is cut off from the majority; "" if there is none. With one the outcome is
// unknown.
func (r Result) Referral() string { return r.options.Referral }

// RefusedError is a refusal with a machine-readable kind and a remedy.
type RefusedError struct {
	kind   string
	text   string
	remedy string
}

// NewRefusedError returns a refusal.
func NewRefusedError(kind, text, remedy string) RefusedError {
	return RefusedError{kind: kind, text: text, remedy: remedy}
}

// Kind returns the machine-readable kind.
func (e RefusedError) Kind() string { return e.kind }

// Text returns what is wrong.
func (e RefusedError) Text() string { return e.text }

// Remedy returns what to do about it.
func (e RefusedError) Remedy() string { return e.remedy }

// Error implements error.
func (e RefusedError) Error() string { return e.text + "; " + e.remedy }
