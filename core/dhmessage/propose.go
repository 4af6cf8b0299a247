package dhmessage

// ProposeRequestOptions are the fields of a ProposeRequest.
type ProposeRequestOptions struct {
	// CorrelationID is the sender's number, which the response repeats.
	CorrelationID uint64 `journal:"Ticket"`
	// Command is the command to commit.
	Command Command
}

// ProposeRequest asks the leader to commit a command.
type ProposeRequest struct {
	options ProposeRequestOptions
}

// NewProposeRequest returns a ProposeRequest.
func NewProposeRequest(o ProposeRequestOptions) *ProposeRequest {
	return &ProposeRequest{options: o}
}

// CorrelationID returns the sender's number, which the response repeats.
func (m *ProposeRequest) CorrelationID() uint64 { return m.options.CorrelationID }

// Command returns the command to commit.
func (m *ProposeRequest) Command() Command { return m.options.Command }

func (*ProposeRequest) message() {}

// ProposeResponseOptions are the fields of a ProposeResponse.
type ProposeResponseOptions struct {
	// CorrelationID is the number of the ProposeRequest.
	CorrelationID uint64 `journal:"Ticket"`
	// Result is the result of the command.
	Result Result
}

// ProposeResponse answers a ProposeRequest once the command has been committed
// and applied, or has been refused.
type ProposeResponse struct {
	options ProposeResponseOptions
}

// NewProposeResponse returns a ProposeResponse.
func NewProposeResponse(o ProposeResponseOptions) *ProposeResponse {
	return &ProposeResponse{options: o}
}

// CorrelationID returns the number of the ProposeRequest.
func (m *ProposeResponse) CorrelationID() uint64 { return m.options.CorrelationID }

// Result returns the result of the command.
func (m *ProposeResponse) Result() Result { return m.options.Result }

func (*ProposeResponse) message() {}

// RedirectOptions are the fields of a Redirect.
type RedirectOptions struct {
	// CorrelationID is the number of the ProposeRequest, or 0 for other
	// requests.
	CorrelationID uint64 `journal:"Ticket"`
	// Leader is the name of the leader, or "" if unknown.
	Leader string
}

// Redirect is the response of a process that isn't the leader to a
// ProposeRequest, GrantRequest or JoinRequest.
type Redirect struct {
	options RedirectOptions
}

// NewRedirect returns a Redirect.
func NewRedirect(o RedirectOptions) *Redirect {
	return &Redirect{options: o}
}

// CorrelationID returns the number of the ProposeRequest, or 0 for other
// requests.
func (m *Redirect) CorrelationID() uint64 { return m.options.CorrelationID }

// Leader returns the name of the leader, or "" if unknown.
func (m *Redirect) Leader() string { return m.options.Leader }

func (*Redirect) message() {}
