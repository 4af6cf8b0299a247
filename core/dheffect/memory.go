package dheffect

// MemoryStatusOptions are the fields of a MemoryStatus, approximate sizes in bytes.
type MemoryStatusOptions struct {
	// Configuration is the size of the configuration in force.
	Configuration int
	// History is the size of the accepted change sets that are kept.
	History int
	// Responses is the size of the recorded responses of claims, set only at a voter.
	Responses int
	// Log is the size of the log entries after the snapshot, set only at a voter.
	Log int
}

// MemoryStatus tells by kind how much the control state of a process holds.
type MemoryStatus struct {
	options MemoryStatusOptions
}

// NewMemoryStatus returns a MemoryStatus.
func NewMemoryStatus(o MemoryStatusOptions) MemoryStatus { return MemoryStatus{options: o} }

// Configuration returns the approximate size of the configuration in force, in bytes.
func (s MemoryStatus) Configuration() int { return s.options.Configuration }

// History returns the approximate size of the accepted change sets that are kept, in bytes.
func (s MemoryStatus) History() int { return s.options.History }

// Responses returns the size of the recorded responses of claims, in bytes, set only at a voter.
func (s MemoryStatus) Responses() int { return s.options.Responses }

// Log returns the approximate size of the log entries after the snapshot, in bytes, set only at
// a voter.
func (s MemoryStatus) Log() int { return s.options.Log }

// MemoryReplyOptions are the fields of a MemoryReply.
type MemoryReplyOptions struct {
	// CorrelationID is the number of the request.
	CorrelationID uint64
	// Memory is what the control state holds.
	Memory MemoryStatus
}

// MemoryReply answers a MemoryRequested.
type MemoryReply struct {
	options MemoryReplyOptions
}

// NewMemoryReply returns a MemoryReply.
func NewMemoryReply(o MemoryReplyOptions) *MemoryReply { return &MemoryReply{options: o} }

// CorrelationID returns the number of the request.
func (e *MemoryReply) CorrelationID() uint64 { return e.options.CorrelationID }

// Memory returns what the control state holds.
func (e *MemoryReply) Memory() MemoryStatus { return e.options.Memory }

func (*MemoryReply) effect() {}
