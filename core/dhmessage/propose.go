package dhmessage

// ProposeRequestOptions are the fields of a Propose.
type ProposeRequestOptions struct {
	// CorrelationID is the sender's number for the answer.
	CorrelationID uint64
	// Command is the command to commit.
	Command Command
}

// ProposeRequest asks the leader to commit a command.
type ProposeRequest struct {
	options ProposeRequestOptions
}

// NewProposeRequest returns a Propose.
func NewProposeRequest(o ProposeRequestOptions) *ProposeRequest {
	return &ProposeRequest{options: o}
}

// CorrelationID returns the sender's number for the answer.
func (m *ProposeRequest) CorrelationID() uint64 { return m.options.CorrelationID }

// Command returns the command to commit.
func (m *ProposeRequest) Command() Command { return m.options.Command }

func (*ProposeRequest) message() {}

// ProposeResponseOptions are the fields of a Proposed.
type ProposeResponseOptions struct {
	// CorrelationID is the number of the Propose.
	CorrelationID uint64
	// Result is what the command led to.
	Result Result
}

// ProposeResponse answers a Propose once the command is committed and applied.
type ProposeResponse struct {
	options ProposeResponseOptions
}

// NewProposeResponse returns a Proposed.
func NewProposeResponse(o ProposeResponseOptions) *ProposeResponse {
	return &ProposeResponse{options: o}
}

// CorrelationID returns the number of the Propose.
func (m *ProposeResponse) CorrelationID() uint64 { return m.options.CorrelationID }

// Result returns what the command led to.
func (m *ProposeResponse) Result() Result { return m.options.Result }

func (*ProposeResponse) message() {}

// RedirectOptions are the fields of a Redirect.
type RedirectOptions struct {
	// CorrelationID is the number of the Propose, or 0 for a GrantAsk.
	CorrelationID uint64
	// Leader is the voter that leads, or "" if unknown.
	Leader string
}

// Redirect says that a Propose or a GrantAsk went to a voter that doesn't lead.
type Redirect struct {
	options RedirectOptions
}

// NewRedirect returns a Redirect.
func NewRedirect(o RedirectOptions) *Redirect {
	return &Redirect{options: o}
}

// CorrelationID returns the number of the Propose, or 0 for a GrantAsk.
func (m *Redirect) CorrelationID() uint64 { return m.options.CorrelationID }

// Leader returns the voter that leads, or "" if unknown.
func (m *Redirect) Leader() string { return m.options.Leader }

func (*Redirect) message() {}
