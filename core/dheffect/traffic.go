package dheffect

import (
	"dogwoodhitch/core/dhburn"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhlookup"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhsteer"
)

// ForwardOptions are the fields of a Forward.
type ForwardOptions struct {
	// Request is the request's number.
	Request uint64
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
	// Fresh is whether the attempt needs a connection of its own, because it can't be repeated.
	Fresh bool
	// Echoes is whether the upstream repeats the attempt's number in its answer.
	Echoes bool
	// Registered is whether the upstream is registered with the whole fleet; it
	// is named to whoever answers at the address.
	Registered bool
}

// Forward sends a request to an upstream.
type Forward struct {
	options ForwardOptions
}

// NewForward returns a Forward.
func NewForward(o ForwardOptions) *Forward {
	return &Forward{options: o}
}

// Request returns the request's number.
func (e *Forward) Request() uint64 { return e.options.Request }

// Service returns the service that the upstream belongs to.
func (e *Forward) Service() string { return e.options.Service }

// Upstream returns the upstream's name.
func (e *Forward) Upstream() string { return e.options.Upstream }

// Address returns the upstream's IP address and port.
func (e *Forward) Address() string { return e.options.Address }

// Organisation returns the organisation that the request runs for, or "".
func (e *Forward) Organisation() string { return e.options.Organisation }

// Timeout returns how long the attempt may take.
func (e *Forward) Timeout() dhclock.Millis { return e.options.Timeout }

// Claimed returns whether the whole answer must be reported.
func (e *Forward) Claimed() bool { return e.options.Claimed }

// Fresh returns whether the attempt needs a connection of its own, because it can't be repeated.
func (e *Forward) Fresh() bool { return e.options.Fresh }

// Echoes returns whether the upstream repeats the attempt's number in its answer.
func (e *Forward) Echoes() bool { return e.options.Echoes }

func (*Forward) effect() {}

// PassOptions are the fields of a Pass.
type PassOptions struct {
	// Request is the request's number.
	Request uint64
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
func (e *Forward) Registered() bool { return e.options.Registered }

// Pass hands a request to another entry instance.
type Pass struct {
	options PassOptions
}

// NewPass returns a Pass.
func NewPass(o PassOptions) *Pass {
	return &Pass{options: o}
}

// Request returns the request's number.
func (e *Pass) Request() uint64 { return e.options.Request }

// Instance returns the instance's name.
func (e *Pass) Instance() string { return e.options.Instance }

// Address returns the instance's IP address and port for the system's own processes.
func (e *Pass) Address() string { return e.options.Address }

// Organisation returns the organisation that the request runs for, or "".
func (e *Pass) Organisation() string { return e.options.Organisation }

// Timeout returns how long the attempt may take.
func (e *Pass) Timeout() dhclock.Millis { return e.options.Timeout }

// Claimed returns whether the whole answer must be reported.
func (e *Pass) Claimed() bool { return e.options.Claimed }

func (*Pass) effect() {}

// RefuseOptions are the fields of a Refuse.
type RefuseOptions struct {
	// Request is the request's number.
	Request uint64
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

// Request returns the request's number.
func (e *Refuse) Request() uint64 { return e.options.Request }

// Refusal returns the reason.
func (e *Refuse) Refusal() Refusal { return e.options.Refusal }

func (*Refuse) effect() {}

// ReplayOptions are the fields of a Replay.
type ReplayOptions struct {
	// Request is the request's number.
	Request uint64
	// Answer is the answer.
	Answer *dhmessage.Answer
}

// Replay gives the recorded answer of an earlier attempt.
type Replay struct {
	options ReplayOptions
}

// NewReplay returns a Replay.
func NewReplay(o ReplayOptions) *Replay {
	return &Replay{options: o}
}

// Request returns the request's number.
func (e *Replay) Request() uint64 { return e.options.Request }

// Answer returns the answer.
func (e *Replay) Answer() *dhmessage.Answer { return e.options.Answer }

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

// PoolsReplyOptions are the fields of a PoolsReply.
type PoolsReplyOptions struct {
	// Pools is the services with their upstreams.
	Pools []dhsteer.PoolStatus
}

// PoolsReply answers a PoolsAsked.
type PoolsReply struct {
	options PoolsReplyOptions
}

// NewPoolsReply returns a PoolsReply.
func NewPoolsReply(o PoolsReplyOptions) *PoolsReply {
	return &PoolsReply{options: o}
}

// Pools returns the services with their upstreams.
func (e *PoolsReply) Pools() []dhsteer.PoolStatus { return e.options.Pools }

func (*PoolsReply) effect() {}

// BurnReplyOptions are the fields of a BurnReply.
type BurnReplyOptions struct {
	// Rows is the burn a route and organisation, the worst first.
	Rows []dhburn.Row
}

// BurnReply answers a BurnAsked.
type BurnReply struct {
	options BurnReplyOptions
}

// NewBurnReply returns a BurnReply.
func NewBurnReply(o BurnReplyOptions) *BurnReply {
	return &BurnReply{options: o}
}

// Rows returns the burn a route and organisation, the worst first.
func (e *BurnReply) Rows() []dhburn.Row { return e.options.Rows }

func (*BurnReply) effect() {}
