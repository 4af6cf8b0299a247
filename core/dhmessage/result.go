package dhmessage

// ResultOptions are the fields of a Result.
type ResultOptions struct {
	// Version is the configuration's version after a change.
	Version uint64
	// Claim is the state of a claim after a Claim, Outcome or Resolve.
	Claim ClaimState
	// Answer is the recorded answer for ClaimDone.
	Answer *Answer
	// Err says why the command was refused.
	Err error
	// Unsure means that the command may or may not be committed later.
	Unsure bool
}

// Result is what a command led to.
type Result struct{ options ResultOptions }

// NewResult returns a result.
func NewResult(o ResultOptions) Result { return Result{options: o} }

// Version returns the configuration's version after the command.
func (r Result) Version() uint64 { return r.options.Version }

// Claim returns the state of the claim that the command was about.
func (r Result) Claim() ClaimState { return r.options.Claim }

// Answer returns the recorded answer for ClaimDone, else nil.
func (r Result) Answer() *Answer { return r.options.Answer }

// Err returns why the command was refused, or nil.
func (r Result) Err() error { return r.options.Err }

// Unsure tells whether the command may still be committed.
func (r Result) Unsure() bool { return r.options.Unsure }

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
