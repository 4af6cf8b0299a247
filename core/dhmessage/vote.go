package dhmessage

// VoteRequestOptions are the fields of a VoteRequest.
type VoteRequestOptions struct {
	// Term is the term in which the sender would lead.
	Term uint64
	// LastIndex is the index of the last entry in the sender's log.
	LastIndex uint64
	// LastTerm is the term of the last entry in the sender's log.
	LastTerm uint64
	// PreVote reports whether this is a pre-vote, which changes neither the
	// term nor the vote of the receiver.
	PreVote bool `journal:"Pre"`
}

// VoteRequest asks a voter for its vote, or in a pre-vote whether it would
// grant it.
type VoteRequest struct {
	options VoteRequestOptions
}

// NewVoteRequest returns a VoteRequest.
func NewVoteRequest(o VoteRequestOptions) *VoteRequest {
	return &VoteRequest{options: o}
}

// Term returns the term in which the sender would lead.
func (m *VoteRequest) Term() uint64 { return m.options.Term }

// LastIndex returns the index of the last entry in the sender's log.
func (m *VoteRequest) LastIndex() uint64 { return m.options.LastIndex }

// LastTerm returns the term of the last entry in the sender's log.
func (m *VoteRequest) LastTerm() uint64 { return m.options.LastTerm }

// PreVote reports whether this is a pre-vote, which changes neither the term
// nor the vote of the receiver.
func (m *VoteRequest) PreVote() bool { return m.options.PreVote }

func (*VoteRequest) message() {}

// VoteResponseOptions are the fields of a VoteResponse.
type VoteResponseOptions struct {
	// Term is the term of the request if it is a pre-vote that the sender would
	// grant, else the sender's own term.
	Term uint64
	// Granted reports whether the sender grants its vote, or would grant it in
	// a pre-vote.
	Granted bool
	// PreVote reports whether this answers a pre-vote.
	PreVote bool `journal:"Pre"`
}

// VoteResponse answers a VoteRequest.
type VoteResponse struct {
	options VoteResponseOptions
}

// NewVoteResponse returns a VoteResponse.
func NewVoteResponse(o VoteResponseOptions) *VoteResponse {
	return &VoteResponse{options: o}
}

// Term returns the term of the request if it is a pre-vote that the sender would
// grant, else the sender's own term.
func (m *VoteResponse) Term() uint64 { return m.options.Term }

// Granted reports whether the sender grants its vote, or would grant it in a
// pre-vote.
func (m *VoteResponse) Granted() bool { return m.options.Granted }

// PreVote reports whether this answers a pre-vote.
func (m *VoteResponse) PreVote() bool { return m.options.PreVote }

func (*VoteResponse) message() {}
