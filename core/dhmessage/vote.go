package dhmessage

// VoteRequestOptions are the fields of a VoteAsk.
type VoteRequestOptions struct {
	// Term is the term in which the sender would lead.
	Term uint64
	// LastIndex is the index of the sender's last entry.
	LastIndex uint64
	// LastTerm is the term of the sender's last entry.
	LastTerm uint64
	// PreVote is whether the ask commits nobody to anything.
	PreVote bool
}

// VoteRequest asks for a vote, or with Pre set whether a vote would be given.
type VoteRequest struct {
	options VoteRequestOptions
}

// NewVoteRequest returns a VoteAsk.
func NewVoteRequest(o VoteRequestOptions) *VoteRequest {
	return &VoteRequest{options: o}
}

// Term returns the term in which the sender would lead.
func (m *VoteRequest) Term() uint64 { return m.options.Term }

// LastIndex returns the index of the sender's last entry.
func (m *VoteRequest) LastIndex() uint64 { return m.options.LastIndex }

// LastTerm returns the term of the sender's last entry.
func (m *VoteRequest) LastTerm() uint64 { return m.options.LastTerm }

// PreVote returns whether the ask commits nobody to anything.
func (m *VoteRequest) PreVote() bool { return m.options.PreVote }

func (*VoteRequest) message() {}

// VoteResponseOptions are the fields of a VoteAnswer.
type VoteResponseOptions struct {
	// Term is the term that the answer is for, or the answerer's own when it is newer.
	Term uint64
	// Granted is whether the vote is given.
	Granted bool
	// PreVote is whether this answers a pre-vote.
	PreVote bool
}

// VoteResponse answers a VoteAsk.
type VoteResponse struct {
	options VoteResponseOptions
}

// NewVoteResponse returns a VoteAnswer.
func NewVoteResponse(o VoteResponseOptions) *VoteResponse {
	return &VoteResponse{options: o}
}

// Term returns the term that the answer is for, or the answerer's own when it is newer.
func (m *VoteResponse) Term() uint64 { return m.options.Term }

// Granted returns whether the vote is given.
func (m *VoteResponse) Granted() bool { return m.options.Granted }

// PreVote returns whether this answers a pre-vote.
func (m *VoteResponse) PreVote() bool { return m.options.PreVote }

func (*VoteResponse) message() {}
