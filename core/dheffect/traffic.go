package dheffect

import (
	"dogwoodhitch/core/dhburn"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhlookup"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhsteer"
)

// ForwardToUpstreamOptions are the fields of a Forward.
type ForwardToUpstreamOptions struct {
	// RequestID is the request's number.
	RequestID uint64
	// Service is the service that the upstream belongs to.
	Service string
	// Upstream is the upstream's name.
	Upstream string
	// Address is the upstream's IP address and port.
	Address string
	// Organisation is the organisation that the request runs for, or "".
	Organisation string
	// Timeout is how long the attempt may take.
	Timeout dhclock.Millis
	// Claimed is whether the whole answer must be reported.
	Claimed bool
	// NewConnection is whether the attempt needs a connection of its own, because it can't be repeated.
	NewConnection bool
	// EchoesAttemptID is whether the upstream repeats the attempt's number in its answer.
	EchoesAttemptID bool
	// Registered is whether the upstream is registered with the whole fleet; it
	// is named to whoever answers at the address.
	Registered bool
}

// ForwardToUpstream sends a request to an upstream.
type ForwardToUpstream struct {
	options ForwardToUpstreamOptions
}

// NewForwardToUpstream returns a Forward.
func NewForwardToUpstream(o ForwardToUpstreamOptions) *ForwardToUpstream {
	return &ForwardToUpstream{options: o}
}

// RequestID returns the request's number.
func (e *ForwardToUpstream) RequestID() uint64 { return e.options.RequestID }

// Service returns the service that the upstream belongs to.
func (e *ForwardToUpstream) Service() string { return e.options.Service }

// Upstream returns the upstream's name.
func (e *ForwardToUpstream) Upstream() string { return e.options.Upstream }

// Address returns the upstream's IP address and port.
func (e *ForwardToUpstream) Address() string { return e.options.Address }

// Organisation returns the organisation that the request runs for, or "".
func (e *ForwardToUpstream) Organisation() string { return e.options.Organisation }

// Timeout returns how long the attempt may take.
func (e *ForwardToUpstream) Timeout() dhclock.Millis { return e.options.Timeout }

// Claimed returns whether the whole answer must be reported.
func (e *ForwardToUpstream) Claimed() bool { return e.options.Claimed }

// NewConnection returns whether the attempt needs a connection of its own, because it can't be repeated.
func (e *ForwardToUpstream) NewConnection() bool { return e.options.NewConnection }

// EchoesAttemptID returns whether the upstream repeats the attempt's number in its answer.
func (e *ForwardToUpstream) EchoesAttemptID() bool { return e.options.EchoesAttemptID }

func (*ForwardToUpstream) effect() {}

// ForwardToPeerOptions are the fields of a Pass.
type ForwardToPeerOptions struct {
	// RequestID is the request's number.
	RequestID uint64
	// Instance is the instance's name.
	Instance string
	// Address is the instance's IP address and port for the system's own processes.
	Address string
	// Organisation is the organisation that the request runs for, or "".
	Organisation string
	// Timeout is how long the attempt may take.
	Timeout dhclock.Millis
	// Claimed is whether the whole answer must be reported.
	Claimed bool
}

// Registered returns whether the upstream is registered with the whole fleet.
func (e *ForwardToUpstream) Registered() bool { return e.options.Registered }

// ForwardToPeer hands a request to another entry instance.
type ForwardToPeer struct {
	options ForwardToPeerOptions
}

// NewForwardToPeer returns a Pass.
func NewForwardToPeer(o ForwardToPeerOptions) *ForwardToPeer {
	return &ForwardToPeer{options: o}
}

// RequestID returns the request's number.
func (e *ForwardToPeer) RequestID() uint64 { return e.options.RequestID }

// Instance returns the instance's name.
func (e *ForwardToPeer) Instance() string { return e.options.Instance }

// Address returns the instance's IP address and port for the system's own processes.
func (e *ForwardToPeer) Address() string { return e.options.Address }

// Organisation returns the organisation that the request runs for, or "".
func (e *ForwardToPeer) Organisation() string { return e.options.Organisation }

// Timeout returns how long the attempt may take.
func (e *ForwardToPeer) Timeout() dhclock.Millis { return e.options.Timeout }

// Claimed returns whether the whole answer must be reported.
func (e *ForwardToPeer) Claimed() bool { return e.options.Claimed }

func (*ForwardToPeer) effect() {}

// RefuseOptions are the fields of a Refuse.
type RefuseOptions struct {
	// RequestID is the request's number.
	RequestID uint64
	// Refusal is the reason.
	Refusal Refusal
}

// Refuse refuses a request.
type Refuse struct {
	options RefuseOptions
}

// NewRefuse returns a Refuse.
func NewRefuse(o RefuseOptions) *Refuse {
	return &Refuse{options: o}
}

// RequestID returns the request's number.
func (e *Refuse) RequestID() uint64 { return e.options.RequestID }

// Refusal returns the reason.
func (e *Refuse) Refusal() Refusal { return e.options.Refusal }

func (*Refuse) effect() {}

// ReplayOptions are the fields of a Replay.
type ReplayOptions struct {
	// RequestID is the request's number.
	RequestID uint64
	// Response is the answer.
	Response *dhmessage.Response
}

// Replay gives the recorded answer of an earlier attempt.
type Replay struct {
	options ReplayOptions
}

// NewReplay returns a Replay.
func NewReplay(o ReplayOptions) *Replay {
	return &Replay{options: o}
}

// RequestID returns the request's number.
func (e *Replay) RequestID() uint64 { return e.options.RequestID }

// Response returns the answer.
func (e *Replay) Response() *dhmessage.Response { return e.options.Response }

func (*Replay) effect() {}

// LookUpReplyOptions are the fields of a LookUpReply.
type LookUpReplyOptions struct {
	// Answer is the instances to use.
	Answer dhlookup.Answer
}

// LookUpReply answers a LookUpAsked.
type LookUpReply struct {
	options LookUpReplyOptions
}

// NewLookUpReply returns a LookUpReply.
func NewLookUpReply(o LookUpReplyOptions) *LookUpReply {
	return &LookUpReply{options: o}
}

// Answer returns the instances to use.
func (e *LookUpReply) Answer() dhlookup.Answer { return e.options.Answer }

func (*LookUpReply) effect() {}

// PoolStatusReplyOptions are the fields of a PoolsReply.
type PoolStatusReplyOptions struct {
	// Pools is the services with their upstreams.
	Pools []dhsteer.PoolStatus
}

// PoolStatusReply answers a PoolsAsked.
type PoolStatusReply struct {
	options PoolStatusReplyOptions
}

// NewPoolStatusReply returns a PoolsReply.
func NewPoolStatusReply(o PoolStatusReplyOptions) *PoolStatusReply {
	return &PoolStatusReply{options: o}
}

// Pools returns the services with their upstreams.
func (e *PoolStatusReply) Pools() []dhsteer.PoolStatus { return e.options.Pools }

func (*PoolStatusReply) effect() {}

// BurnReportReplyOptions are the fields of a BurnReply.
type BurnReportReplyOptions struct {
	// Rows is the burn a route and organisation, the worst first.
	Rows []dhburn.Row
}

// BurnReportReply answers a BurnAsked.
type BurnReportReply struct {
	options BurnReportReplyOptions
}

// NewBurnReportReply returns a BurnReply.
func NewBurnReportReply(o BurnReportReplyOptions) *BurnReportReply {
	return &BurnReportReply{options: o}
}

// Rows returns the burn a route and organisation, the worst first.
func (e *BurnReportReply) Rows() []dhburn.Row { return e.options.Rows }

func (*BurnReportReply) effect() {}
