package dheffect

import (
	"dogwoodhitch/core/dhburn"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhlookup"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhsteer"
)

// ForwardToUpstreamOptions are the fields of a ForwardToUpstream.
type ForwardToUpstreamOptions struct {
	// RequestID is the number of the request at this instance.
	RequestID uint64 `journal:"Request"`
	// Service is the service that the upstream belongs to.
	Service string
	// Upstream is the upstream's name.
	Upstream string
	// Address is the upstream's IP address and port.
	Address string
	// Organisation is the organisation that the request runs for, or "".
	Organisation string
	// Timeout is how long the attempt may take, in milliseconds.
	Timeout dhclock.Millis
	// Claimed reports whether the complete response must be reported, because
	// the request has a claim.
	Claimed bool
	// NewConnection reports whether the attempt needs a new connection, because
	// the request must not be repeated.
	NewConnection bool `journal:"Fresh"`
	// EchoesAttemptID reports whether the upstream repeats the attempt ID in
	// its response.
	EchoesAttemptID bool `journal:"Echoes"`
	// Registered reports whether the upstream is registered with the entire
	// cluster. Its name is sent along, so that another upstream at the same
	// address can refuse the request.
	Registered bool
	// SendBefore is the clock reading from which on the request must not be sent any more,
	// because the upstream may have departed; 0 for none.
	SendBefore dhclock.Millis `journal:"SendBefore,omitZero"`
	// NeedsProof reports whether a response with a status that promises that the request has
	// not run must prove it. Otherwise its caller would send the request again, which may run
	// at most once.
	NeedsProof bool `journal:"NeedsProof,omitZero"`
}

// ForwardToUpstream forwards a request to an upstream.
type ForwardToUpstream struct {
	options ForwardToUpstreamOptions
}

// NewForwardToUpstream returns a ForwardToUpstream.
func NewForwardToUpstream(o ForwardToUpstreamOptions) *ForwardToUpstream {
	return &ForwardToUpstream{options: o}
}

// RequestID returns the number of the request at this instance.
func (e *ForwardToUpstream) RequestID() uint64 { return e.options.RequestID }

// Service returns the service that the upstream belongs to.
func (e *ForwardToUpstream) Service() string { return e.options.Service }

// Upstream returns the upstream's name.
func (e *ForwardToUpstream) Upstream() string { return e.options.Upstream }

// Address returns the upstream's IP address and port.
func (e *ForwardToUpstream) Address() string { return e.options.Address }

// Organisation returns the organisation that the request runs for, or "".
func (e *ForwardToUpstream) Organisation() string { return e.options.Organisation }

// Timeout returns how long the attempt may take, in milliseconds.
func (e *ForwardToUpstream) Timeout() dhclock.Millis { return e.options.Timeout }

// Claimed reports whether the complete response must be reported, because the
// request has a claim.
func (e *ForwardToUpstream) Claimed() bool { return e.options.Claimed }

// NewConnection reports whether the attempt needs a new connection, because the
// request must not be repeated.
func (e *ForwardToUpstream) NewConnection() bool { return e.options.NewConnection }

// EchoesAttemptID reports whether the upstream repeats the attempt ID in its
// response.
func (e *ForwardToUpstream) EchoesAttemptID() bool { return e.options.EchoesAttemptID }

// SendBefore returns the clock reading from which on the request must not be sent any more,
// because the upstream may have departed; 0 for none.
func (e *ForwardToUpstream) SendBefore() dhclock.Millis { return e.options.SendBefore }

// NeedsProof reports whether a response with a status that promises that the request has not
// run must prove it.
func (e *ForwardToUpstream) NeedsProof() bool { return e.options.NeedsProof }

func (*ForwardToUpstream) effect() {}

// ForwardToPeerOptions are the fields of a ForwardToPeer.
type ForwardToPeerOptions struct {
	// RequestID is the number of the request at this instance.
	RequestID uint64 `journal:"Request"`
	// Instance is the instance's name.
	Instance string
	// Address is the instance's IP address and port for the system's own
	// processes.
	Address string
	// Organisation is the organisation that the request runs for, or "".
	Organisation string
	// Timeout is how long the attempt may take, in milliseconds.
	Timeout dhclock.Millis
	// Claimed reports whether the complete response must be reported, because
	// the request has a claim.
	Claimed bool
	// MinDeclaration is the number of the declaration that the peer must have at
	// least; nil if it may have any.
	MinDeclaration *uint64
	// NeedsProof is as in ForwardToUpstreamOptions.
	NeedsProof bool `journal:"NeedsProof,omitZero"`
}

// Registered reports whether the upstream is registered with the entire
// cluster.
func (e *ForwardToUpstream) Registered() bool { return e.options.Registered }

// ForwardToPeer forwards a request to another entry instance.
type ForwardToPeer struct {
	options ForwardToPeerOptions
}

// NewForwardToPeer returns a ForwardToPeer.
func NewForwardToPeer(o ForwardToPeerOptions) *ForwardToPeer {
	return &ForwardToPeer{options: o}
}

// RequestID returns the number of the request at this instance.
func (e *ForwardToPeer) RequestID() uint64 { return e.options.RequestID }

// Instance returns the instance's name.
func (e *ForwardToPeer) Instance() string { return e.options.Instance }

// Address returns the instance's IP address and port for the system's own
// processes.
func (e *ForwardToPeer) Address() string { return e.options.Address }

// Organisation returns the organisation that the request runs for, or "".
func (e *ForwardToPeer) Organisation() string { return e.options.Organisation }

// Timeout returns how long the attempt may take, in milliseconds.
func (e *ForwardToPeer) Timeout() dhclock.Millis { return e.options.Timeout }

// Claimed reports whether the complete response must be reported, because the
// request has a claim.
func (e *ForwardToPeer) Claimed() bool { return e.options.Claimed }

// MinDeclaration returns the number of the declaration that the peer must have at
// least; nil if it may have any.
func (e *ForwardToPeer) MinDeclaration() *uint64 { return e.options.MinDeclaration }

// NeedsProof reports whether a response with a status that promises that the request has not
// run must prove it.
func (e *ForwardToPeer) NeedsProof() bool { return e.options.NeedsProof }

func (*ForwardToPeer) effect() {}

// ProbeUpstreamOptions are the fields of a ProbeUpstream.
type ProbeUpstreamOptions struct {
	// Service is the service that the upstream belongs to.
	Service string
	// Upstream is the upstream's name.
	Upstream string
	// Address is the upstream's IP address and port.
	Address string
}

// ProbeUpstream opens a connection to a registered upstream, to find out whether this
// instance can reach it, and closes it again.
type ProbeUpstream struct {
	options ProbeUpstreamOptions
}

// NewProbeUpstream returns a ProbeUpstream.
func NewProbeUpstream(o ProbeUpstreamOptions) *ProbeUpstream { return &ProbeUpstream{options: o} }

// Service returns the service that the upstream belongs to.
func (e *ProbeUpstream) Service() string { return e.options.Service }

// Upstream returns the upstream's name.
func (e *ProbeUpstream) Upstream() string { return e.options.Upstream }

// Address returns the upstream's IP address and port.
func (e *ProbeUpstream) Address() string { return e.options.Address }

func (*ProbeUpstream) effect() {}

// RefuseOptions are the fields of a Refuse.
type RefuseOptions struct {
	// RequestID is the number of the request at this instance.
	RequestID uint64 `journal:"Request"`
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

// RequestID returns the number of the request at this instance.
func (e *Refuse) RequestID() uint64 { return e.options.RequestID }

// Refusal returns the reason.
func (e *Refuse) Refusal() Refusal { return e.options.Refusal }

func (*Refuse) effect() {}

// ReplayOptions are the fields of a Replay.
type ReplayOptions struct {
	// RequestID is the number of the request at this instance.
	RequestID uint64 `journal:"Request"`
	// Response is the recorded response.
	Response *dhmessage.Response `journal:"Answer"`
}

// Replay responds to the caller with the recorded response of an earlier request
// with the same idempotency key.
type Replay struct {
	options ReplayOptions
}

// NewReplay returns a Replay.
func NewReplay(o ReplayOptions) *Replay {
	return &Replay{options: o}
}

// RequestID returns the number of the request at this instance.
func (e *Replay) RequestID() uint64 { return e.options.RequestID }

// Response returns the recorded response.
func (e *Replay) Response() *dhmessage.Response { return e.options.Response }

func (*Replay) effect() {}

// LookUpReplyOptions are the fields of a LookUpReply.
type LookUpReplyOptions struct {
	// Answer is the answer, which names the instances to use.
	Answer dhlookup.Answer
}

// LookUpReply answers a LookUpRequested.
type LookUpReply struct {
	options LookUpReplyOptions
}

// NewLookUpReply returns a LookUpReply.
func NewLookUpReply(o LookUpReplyOptions) *LookUpReply {
	return &LookUpReply{options: o}
}

// Answer returns the answer, which names the instances to use.
func (e *LookUpReply) Answer() dhlookup.Answer { return e.options.Answer }

func (*LookUpReply) effect() {}

// PoolStatusReplyOptions are the fields of a PoolStatusReply.
type PoolStatusReplyOptions struct {
	// Pools are the services with their upstreams.
	Pools []dhsteer.PoolStatus
}

// PoolStatusReply answers a PoolStatusRequested.
type PoolStatusReply struct {
	options PoolStatusReplyOptions
}

// NewPoolStatusReply returns a PoolStatusReply.
func NewPoolStatusReply(o PoolStatusReplyOptions) *PoolStatusReply {
	return &PoolStatusReply{options: o}
}

// Pools returns the services with their upstreams.
func (e *PoolStatusReply) Pools() []dhsteer.PoolStatus { return e.options.Pools }

func (*PoolStatusReply) effect() {}

// BurnReportReplyOptions are the fields of a BurnReportReply.
type BurnReportReplyOptions struct {
	// Rows is the burn of each route and organisation, highest first.
	Rows []dhburn.Row
}

// BurnReportReply answers a BurnReportRequested.
type BurnReportReply struct {
	options BurnReportReplyOptions
}

// NewBurnReportReply returns a BurnReportReply.
func NewBurnReportReply(o BurnReportReplyOptions) *BurnReportReply {
	return &BurnReportReply{options: o}
}

// Rows returns the burn of each route and organisation, highest first.
func (e *BurnReportReply) Rows() []dhburn.Row { return e.options.Rows }

func (*BurnReportReply) effect() {}
