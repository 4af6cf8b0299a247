package dhmessage

// ProposeOptions are the fields of a Propose.
type ProposeOptions struct {
	// Ticket is the sender's number for the answer.
	Ticket uint64
	// Command is the command to commit.
	Command Command
}

// Propose asks the leader to commit a command.
type Propose struct {
	options ProposeOptions
}

// NewPropose returns a Propose.
func NewPropose(o ProposeOptions) *Propose {
	return &Propose{options: o}
}

// Ticket returns the sender's number for the answer.
func (m *Propose) Ticket() uint64 { return m.options.Ticket }

// Command returns the command to commit.
func (m *Propose) Command() Command { return m.options.Command }

func (*Propose) message() {}

// ProposedOptions are the fields of a Proposed.
type ProposedOptions struct {
	// Ticket is the number of the Propose.
	Ticket uint64
	// Result is what the command led to.
	Result Result
}

// Proposed answers a Propose once the command is committed and applied.
type Proposed struct {
	options ProposedOptions
}

// NewProposed returns a Proposed.
func NewProposed(o ProposedOptions) *Proposed {
	return &Proposed{options: o}
}

// Ticket returns the number of the Propose.
func (m *Proposed) Ticket() uint64 { return m.options.Ticket }

// Result returns what the command led to.
func (m *Proposed) Result() Result { return m.options.Result }

func (*Proposed) message() {}

// RedirectOptions are the fields of a Redirect.
type RedirectOptions struct {
	// Ticket is the number of the Propose, or 0 for a GrantAsk.
	Ticket uint64
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

// Ticket returns the number of the Propose, or 0 for a GrantAsk.
func (m *Redirect) Ticket() uint64 { return m.options.Ticket }

// Leader returns the voter that leads, or "" if unknown.
func (m *Redirect) Leader() string { return m.options.Leader }

func (*Redirect) message() {}
