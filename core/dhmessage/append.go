package dhmessage

// AppendRequestOptions are the fields of an Append.
type AppendRequestOptions struct {
	// Term is the leader's term.
	Term uint64
	// PreviousIndex is the index of the entry before the first one carried.
	PreviousIndex uint64
	// PreviousTerm is the term of the entry before the first one carried.
	PreviousTerm uint64
	// Entries is the entries to store, possibly none.
	Entries []Entry
	// CommitIndex is the leader's commit index.
	CommitIndex uint64
	// Round is the leader's heartbeat round, echoed in the answer.
	Round uint64
}

// AppendRequest carries log entries and the leader's heartbeat.
type AppendRequest struct {
	options AppendRequestOptions
}

// NewAppendRequest returns an Append.
func NewAppendRequest(o AppendRequestOptions) *AppendRequest {
	return &AppendRequest{options: o}
}

// Term returns the leader's term.
func (m *AppendRequest) Term() uint64 { return m.options.Term }

// PreviousIndex returns the index of the entry before the first one carried.
func (m *AppendRequest) PreviousIndex() uint64 { return m.options.PreviousIndex }

// PreviousTerm returns the term of the entry before the first one carried.
func (m *AppendRequest) PreviousTerm() uint64 { return m.options.PreviousTerm }

// Entries returns the entries to store, possibly none.
func (m *AppendRequest) Entries() []Entry { return m.options.Entries }

// CommitIndex returns the leader's commit index.
func (m *AppendRequest) CommitIndex() uint64 { return m.options.CommitIndex }

// Round returns the leader's heartbeat round, echoed in the answer.
func (m *AppendRequest) Round() uint64 { return m.options.Round }

func (*AppendRequest) message() {}

// AppendResponseOptions are the fields of an AppendAnswer.
type AppendResponseOptions struct {
	// Term is the answerer's term.
	Term uint64
	// Accepted is whether the previous entry matched.
	Accepted bool
	// MatchIndex is the last index known to match, or a hint where to retry.
	MatchIndex uint64
	// Round is the round of the Append that is answered.
	Round uint64
}

// AppendResponse answers an Append or an Install once its entries are synced.
type AppendResponse struct {
	options AppendResponseOptions
}

// NewAppendResponse returns an AppendAnswer.
func NewAppendResponse(o AppendResponseOptions) *AppendResponse {
	return &AppendResponse{options: o}
}

// Term returns the answerer's term.
func (m *AppendResponse) Term() uint64 { return m.options.Term }

// Accepted returns whether the previous entry matched.
func (m *AppendResponse) Accepted() bool { return m.options.Accepted }

// MatchIndex returns the last index known to match, or a hint where to retry.
func (m *AppendResponse) MatchIndex() uint64 { return m.options.MatchIndex }

// Round returns the round of the Append that is answered.
func (m *AppendResponse) Round() uint64 { return m.options.Round }

func (*AppendResponse) message() {}

// InstallSnapshotOptions are the fields of an Install.
type InstallSnapshotOptions struct {
	// Term is the leader's term.
	Term uint64
	// Snapshot is the state that replaces the receiver's log.
	Snapshot Snapshot
	// Round is the leader's heartbeat round, echoed in the answer.
	Round uint64
}

// InstallSnapshot carries a whole snapshot to a voter that lags too far behind.
type InstallSnapshot struct {
	options InstallSnapshotOptions
}

// NewInstallSnapshot returns an Install.
func NewInstallSnapshot(o InstallSnapshotOptions) *InstallSnapshot {
	return &InstallSnapshot{options: o}
}

// Term returns the leader's term.
func (m *InstallSnapshot) Term() uint64 { return m.options.Term }

// Snapshot returns the state that replaces the receiver's log.
func (m *InstallSnapshot) Snapshot() Snapshot { return m.options.Snapshot }

// Round returns the leader's heartbeat round, echoed in the answer.
func (m *InstallSnapshot) Round() uint64 { return m.options.Round }

func (*InstallSnapshot) message() {}
