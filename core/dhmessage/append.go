package dhmessage

// AppendOptions are the fields of an Append.
type AppendOptions struct {
	// Term is the leader's term.
	Term uint64
	// PreviousIndex is the index of the entry before the first one carried.
	PreviousIndex uint64
	// PreviousTerm is the term of the entry before the first one carried.
	PreviousTerm uint64
	// Entries is the entries to store, possibly none.
	Entries []Entry
	// Commit is the leader's commit index.
	Commit uint64
	// Round is the leader's heartbeat round, echoed in the answer.
	Round uint64
}

// Append carries log entries and the leader's heartbeat.
type Append struct {
	options AppendOptions
}

// NewAppend returns an Append.
func NewAppend(o AppendOptions) *Append {
	return &Append{options: o}
}

// Term returns the leader's term.
func (m *Append) Term() uint64 { return m.options.Term }

// PreviousIndex returns the index of the entry before the first one carried.
func (m *Append) PreviousIndex() uint64 { return m.options.PreviousIndex }

// PreviousTerm returns the term of the entry before the first one carried.
func (m *Append) PreviousTerm() uint64 { return m.options.PreviousTerm }

// Entries returns the entries to store, possibly none.
func (m *Append) Entries() []Entry { return m.options.Entries }

// Commit returns the leader's commit index.
func (m *Append) Commit() uint64 { return m.options.Commit }

// Round returns the leader's heartbeat round, echoed in the answer.
func (m *Append) Round() uint64 { return m.options.Round }

func (*Append) message() {}

// AppendAnswerOptions are the fields of an AppendAnswer.
type AppendAnswerOptions struct {
	// Term is the answerer's term.
	Term uint64
	// Accepted is whether the previous entry matched.
	Accepted bool
	// Match is the last index known to match, or a hint where to retry.
	Match uint64
	// Round is the round of the Append that is answered.
	Round uint64
}

// AppendAnswer answers an Append or an Install once its entries are synced.
type AppendAnswer struct {
	options AppendAnswerOptions
}

// NewAppendAnswer returns an AppendAnswer.
func NewAppendAnswer(o AppendAnswerOptions) *AppendAnswer {
	return &AppendAnswer{options: o}
}

// Term returns the answerer's term.
func (m *AppendAnswer) Term() uint64 { return m.options.Term }

// Accepted returns whether the previous entry matched.
func (m *AppendAnswer) Accepted() bool { return m.options.Accepted }

// Match returns the last index known to match, or a hint where to retry.
func (m *AppendAnswer) Match() uint64 { return m.options.Match }

// Round returns the round of the Append that is answered.
func (m *AppendAnswer) Round() uint64 { return m.options.Round }

func (*AppendAnswer) message() {}

// InstallOptions are the fields of an Install.
type InstallOptions struct {
	// Term is the leader's term.
	Term uint64
	// Snapshot is the state that replaces the receiver's log.
	Snapshot Snapshot
	// Round is the leader's heartbeat round, echoed in the answer.
	Round uint64
}

// Install carries a whole snapshot to a voter that lags too far behind.
type Install struct {
	options InstallOptions
}

// NewInstall returns an Install.
func NewInstall(o InstallOptions) *Install {
	return &Install{options: o}
}

// Term returns the leader's term.
func (m *Install) Term() uint64 { return m.options.Term }

// Snapshot returns the state that replaces the receiver's log.
func (m *Install) Snapshot() Snapshot { return m.options.Snapshot }

// Round returns the leader's heartbeat round, echoed in the answer.
func (m *Install) Round() uint64 { return m.options.Round }

func (*Install) message() {}
