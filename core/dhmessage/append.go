package dhmessage

// AppendRequestOptions are the fields of an AppendRequest.
type AppendRequestOptions struct {
	// Term is the leader's term.
	Term uint64
	// PreviousIndex is the index of the entry that precedes Entries.
	PreviousIndex uint64
	// PreviousTerm is the term of the entry that precedes Entries.
	PreviousTerm uint64
	// Entries are the entries to store; a heartbeat has none.
	Entries []Entry
	// CommitIndex is the leader's commit index.
	CommitIndex uint64 `journal:"Commit"`
	// Round is the number of the leader's heartbeat round. The response repeats
	// it, so that the leader can count its lease from the time at which it sent
	// the round.
	Round uint64
}

// AppendRequest replicates log entries and serves as the leader's heartbeat.
type AppendRequest struct {
	options AppendRequestOptions
}

// NewAppendRequest returns an AppendRequest.
func NewAppendRequest(o AppendRequestOptions) *AppendRequest {
	return &AppendRequest{options: o}
}

// Term returns the leader's term.
func (m *AppendRequest) Term() uint64 { return m.options.Term }

// PreviousIndex returns the index of the entry that precedes Entries.
func (m *AppendRequest) PreviousIndex() uint64 { return m.options.PreviousIndex }

// PreviousTerm returns the term of the entry that precedes Entries.
func (m *AppendRequest) PreviousTerm() uint64 { return m.options.PreviousTerm }

// Entries returns the entries to store; a heartbeat has none.
func (m *AppendRequest) Entries() []Entry { return m.options.Entries }

// CommitIndex returns the leader's commit index.
func (m *AppendRequest) CommitIndex() uint64 { return m.options.CommitIndex }

// Round returns the number of the leader's heartbeat round.
func (m *AppendRequest) Round() uint64 { return m.options.Round }

func (*AppendRequest) message() {}

// AppendResponseOptions are the fields of an AppendResponse.
type AppendResponseOptions struct {
	// Term is the sender's term.
	Term uint64
	// Accepted reports whether the sender's log contained the entry that
	// precedes the request's entries.
	Accepted bool
	// MatchIndex is the last index at which the sender's log matches the
	// leader's. If the request was rejected, it is a hint where to retry.
	MatchIndex uint64 `journal:"Match"`
	// Round is the heartbeat round of the request.
	Round uint64
}

// AppendResponse answers an AppendRequest or an InstallSnapshot after its
// entries have been synced to disk.
type AppendResponse struct {
	options AppendResponseOptions
}

// NewAppendResponse returns an AppendResponse.
func NewAppendResponse(o AppendResponseOptions) *AppendResponse {
	return &AppendResponse{options: o}
}

// Term returns the sender's term.
func (m *AppendResponse) Term() uint64 { return m.options.Term }

// Accepted reports whether the sender's log contained the entry that precedes
// the request's entries.
func (m *AppendResponse) Accepted() bool { return m.options.Accepted }

// MatchIndex returns the last index at which the sender's log matches the
// leader's.
func (m *AppendResponse) MatchIndex() uint64 { return m.options.MatchIndex }

// Round returns the heartbeat round of the request.
func (m *AppendResponse) Round() uint64 { return m.options.Round }

func (*AppendResponse) message() {}

// InstallSnapshotOptions are the fields of an InstallSnapshot.
type InstallSnapshotOptions struct {
	// Term is the leader's term.
	Term uint64
	// Snapshot is the state that replaces the receiver's log.
	Snapshot Snapshot
	// Round is the number of the leader's heartbeat round. The response repeats
	// it.
	Round uint64
}

// InstallSnapshot carries a complete snapshot to a member that lacks entries
// which the leader no longer has in its log.
type InstallSnapshot struct {
	options InstallSnapshotOptions
}

// NewInstallSnapshot returns an InstallSnapshot.
func NewInstallSnapshot(o InstallSnapshotOptions) *InstallSnapshot {
	return &InstallSnapshot{options: o}
}

// Term returns the leader's term.
func (m *InstallSnapshot) Term() uint64 { return m.options.Term }

// Snapshot returns the state that replaces the receiver's log.
func (m *InstallSnapshot) Snapshot() Snapshot { return m.options.Snapshot }

// Round returns the number of the leader's heartbeat round.
func (m *InstallSnapshot) Round() uint64 { return m.options.Round }

func (*InstallSnapshot) message() {}
