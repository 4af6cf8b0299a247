package dhmessage

// VoteAskOptions are the fields of a VoteAsk.
type VoteAskOptions struct {
	// Term is the term in which the sender would lead.
	Term uint64
	// LastIndex is the index of the sender's last entry.
	LastIndex uint64
	// LastTerm is the term of the sender's last entry.
	LastTerm uint64
	// Pre is whether the ask commits nobody to anything.
	Pre bool
}

// VoteAsk asks for a vote, or with Pre set whether a vote would be given.
type VoteAsk struct {
	options VoteAskOptions
}

// NewVoteAsk returns a VoteAsk.
func NewVoteAsk(o VoteAskOptions) *VoteAsk {
	return &VoteAsk{options: o}
}

// Term returns the term in which the sender would lead.
func (m *VoteAsk) Term() uint64 { return m.options.Term }

// LastIndex returns the index of the sender's last entry.
func (m *VoteAsk) LastIndex() uint64 { return m.options.LastIndex }

// LastTerm returns the term of the sender's last entry.
func (m *VoteAsk) LastTerm() uint64 { return m.options.LastTerm }

// Pre returns whether the ask commits nobody to anything.
func (m *VoteAsk) Pre() bool { return m.options.Pre }

func (*VoteAsk) message() {}

// VoteAnswerOptions are the fields of a VoteAnswer.
type VoteAnswerOptions struct {
	// Term is the term that the answer is for, or the answerer's own when it is newer.
	Term uint64
	// Granted is whether the vote is given.
	Granted bool
	// Pre is whether this answers a pre-vote.
	Pre bool
}

// VoteAnswer answers a VoteAsk.
type VoteAnswer struct {
	options VoteAnswerOptions
}

// NewVoteAnswer returns a VoteAnswer.
func NewVoteAnswer(o VoteAnswerOptions) *VoteAnswer {
	return &VoteAnswer{options: o}
}

// Term returns the term that the answer is for, or the answerer's own when it is newer.
func (m *VoteAnswer) Term() uint64 { return m.options.Term }

// Granted returns whether the vote is given.
func (m *VoteAnswer) Granted() bool { return m.options.Granted }

// Pre returns whether this answers a pre-vote.
func (m *VoteAnswer) Pre() bool { return m.options.Pre }

func (*VoteAnswer) message() {}
