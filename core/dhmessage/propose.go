package dhmessage

import "dogwoodhitch/core/dhclock"

// Round identifies a heartbeat round of a leader. The zero value identifies none.
type Round struct {
	term   uint64
	number uint64
}

// NewRound returns the round with a number of the leader of a term.
func NewRound(term, number uint64) Round { return Round{term: term, number: number} }

// Term returns the leader's term.
func (r Round) Term() uint64 { return r.term }

// Number returns the number of the round in its term.
func (r Round) Number() uint64 { return r.number }

// Deadline is a time on the leader's clock, expressed as a duration since the start of one of
// its heartbeat rounds, so that no two clocks are compared.
type Deadline struct {
	round Round
	after dhclock.Millis
}

// NewDeadline returns the time that is a duration after the start of a round.
func NewDeadline(r Round, after dhclock.Millis) Deadline { return Deadline{round: r, after: after} }

// Round returns the round.
func (d Deadline) Round() Round { return d.round }

// After returns the duration since the start of the round, in milliseconds.
func (d Deadline) After() dhclock.Millis { return d.after }

// ProposeRequestOptions are the fields of a ProposeRequest.
type ProposeRequestOptions struct {
	// CorrelationID is the sender's number, which the response repeats.
	CorrelationID uint64 `journal:"Ticket"`
	// Command is the command to commit.
	Command Command
	// Deadline is the time after which the leader must not append the command to the
	// log; nil if the command may be applied at any time.
	Deadline *Deadline
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

// Deadline returns the time after which the leader must not append the command to the log;
// nil if the command may be applied at any time.
func (m *ProposeRequest) Deadline() *Deadline { return m.options.Deadline }

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
	// Round is the leader's current heartbeat round; nil if the sender doesn't lead.
	Round *Round
	// Members are the members of the consensus group with their addresses, for the sender of a
	// JoinRequest that isn't one of them.
	Members []Member `journal:"Members,omitZero"`
}

// Redirect is the response of a process that isn't the leader to a
// ProposeRequest, GrantRequest or JoinRequest. The leader itself responds with it to a
// ProposeRequest whose Deadline has passed or refers to a round that it doesn't know.
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

// Round returns the leader's current heartbeat round; nil if the sender doesn't lead.
func (m *Redirect) Round() *Round { return m.options.Round }

// Members returns the members of the consensus group; empty if the receiver is one of them or
// didn't request membership.
func (m *Redirect) Members() []Member { return m.options.Members }

func (*Redirect) message() {}
