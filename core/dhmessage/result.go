package dhmessage

// ResultOptions are the fields of a Result.
type ResultOptions struct {
	// Version is the configuration's version after a change.
	Version uint64
	// ClaimState is the state of a claim after a Claim, Outcome or Resolve.
	ClaimState ClaimState
	// Response is the recorded answer for ClaimDone.
	Response *Response
	// Err says why the command was refused.
	Err error
	// OutcomeUnknown means that the command may or may not be committed later.
	OutcomeUnknown bool
}

// Result is what a command led to.
type Result struct{ options ResultOptions }

// NewResult returns a result.
func NewResult(o ResultOptions) Result { return Result{options: o} }

// Version returns the configuration's version after the command.
func (r Result) Version() uint64 { return r.options.Version }

// ClaimState returns the state of the claim that the command was about.
func (r Result) ClaimState() ClaimState { return r.options.ClaimState }

// Response returns the recorded answer for ClaimDone, else nil.
func (r Result) Response() *Response { return r.options.Response }

// Err returns why the command was refused, or nil.
func (r Result) Err() error { return r.options.Err }

// OutcomeUnknown tells whether the command may still be committed.
func (r Result) OutcomeUnknown() bool { return r.options.OutcomeUnknown }

// RefusedError is a refusal whose kind and remedy came from another process.
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

// Text tells what is wrong.
func (e RefusedError) Text() string { return e.text }

// Remedy tells what to do.
func (e RefusedError) Remedy() string { return e.remedy }

// Error implements error.
func (e RefusedError) Error() string { return e.text + "; " + e.remedy }
