package dhevent

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// TickedOptions are the fields of a Ticked.
type TickedOptions struct {
	// Random is fresh randomness.
	Random uint64
}

// Ticked lets time pass for control state.
type Ticked struct {
	stamp
	options TickedOptions
}

// NewTicked returns a Ticked.
func NewTicked(at dhclock.Millis, o TickedOptions) *Ticked {
	return &Ticked{stamp: stamp{at: at}, options: o}
}

// Random returns fresh randomness.
func (e *Ticked) Random() uint64 { return e.options.Random }

// BatchEnded ends a batch of events, so that what they led to can be sent together.
type BatchEnded struct {
	stamp
}

// NewBatchEnded returns a Settled.
func NewBatchEnded(at dhclock.Millis) *BatchEnded {
	return &BatchEnded{stamp: stamp{at: at}}
}

// MessageReceivedOptions are the fields of a MessageReceived.
type MessageReceivedOptions struct {
	// From is the sender.
	From dhmessage.Peer
	// Message is the message.
	Message dhmessage.Message
}

// MessageReceived is a message from another process.
type MessageReceived struct {
	stamp
	options MessageReceivedOptions
}

// NewMessageReceived returns a MessageReceived.
func NewMessageReceived(at dhclock.Millis, o MessageReceivedOptions) *MessageReceived {
	return &MessageReceived{stamp: stamp{at: at}, options: o}
}

// From returns the sender.
func (e *MessageReceived) From() dhmessage.Peer { return e.options.From }

// Message returns the message.
func (e *MessageReceived) Message() dhmessage.Message { return e.options.Message }

// LogSyncedOptions are the fields of a LogSynced.
type LogSyncedOptions struct {
	// Index is the index of the last entry synced.
	Index uint64
	// Term is the term in which it was written.
	Term uint64
}

// LogSynced says that the data folder holds the log up to an index.
type LogSynced struct {
	stamp
	options LogSyncedOptions
}

// NewLogSynced returns a LogSynced.
func NewLogSynced(at dhclock.Millis, o LogSyncedOptions) *LogSynced {
	return &LogSynced{stamp: stamp{at: at}, options: o}
}

// Index returns the index of the last entry synced.
func (e *LogSynced) Index() uint64 { return e.options.Index }

// Term returns the term in which it was written.
func (e *LogSynced) Term() uint64 { return e.options.Term }

// ProposalRequestedOptions are the fields of a ProposalWanted.
type ProposalRequestedOptions struct {
	// CorrelationID is the number for the reply.
	CorrelationID uint64
	// Command is the command.
	Command dhmessage.Command
	// Timeout is how long to try.
	Timeout dhclock.Millis
}

// ProposalRequested asks for a command to be committed.
type ProposalRequested struct {
	stamp
	options ProposalRequestedOptions
}

// NewProposalRequested returns a ProposalWanted.
func NewProposalRequested(at dhclock.Millis, o ProposalRequestedOptions) *ProposalRequested {
	return &ProposalRequested{stamp: stamp{at: at}, options: o}
}

// CorrelationID returns the number for the reply.
func (e *ProposalRequested) CorrelationID() uint64 { return e.options.CorrelationID }

// Command returns the command.
func (e *ProposalRequested) Command() dhmessage.Command { return e.options.Command }

// Timeout returns how long to try.
func (e *ProposalRequested) Timeout() dhclock.Millis { return e.options.Timeout }

// ReadRequestedOptions are the fields of a CurrentWanted.
type ReadRequestedOptions struct {
	// CorrelationID is the number for the reply.
	CorrelationID uint64
	// Timeout is how long to try.
	Timeout dhclock.Millis
}

// ReadRequested asks to be told when the configuration here is certainly as new as at this event.
type ReadRequested struct {
	stamp
	options ReadRequestedOptions
}

// NewReadRequested returns a CurrentWanted.
func NewReadRequested(at dhclock.Millis, o ReadRequestedOptions) *ReadRequested {
	return &ReadRequested{stamp: stamp{at: at}, options: o}
}

// CorrelationID returns the number for the reply.
func (e *ReadRequested) CorrelationID() uint64 { return e.options.CorrelationID }

// Timeout returns how long to try.
func (e *ReadRequested) Timeout() dhclock.Millis { return e.options.Timeout }

// StatusRequestedOptions are the fields of a StatusWanted.
type StatusRequestedOptions struct {
	// CorrelationID is the number for the reply.
	CorrelationID uint64
}

// StatusRequested asks what this process knows of the system.
type StatusRequested struct {
	stamp
	options StatusRequestedOptions
}

// NewStatusRequested returns a StatusWanted.
func NewStatusRequested(at dhclock.Millis, o StatusRequestedOptions) *StatusRequested {
	return &StatusRequested{stamp: stamp{at: at}, options: o}
}

// CorrelationID returns the number for the reply.
func (e *StatusRequested) CorrelationID() uint64 { return e.options.CorrelationID }

// HistoryRequestedOptions are the fields of a HistoryWanted.
type HistoryRequestedOptions struct {
	// CorrelationID is the number for the reply.
	CorrelationID uint64
}

// HistoryRequested asks for the accepted change sets.
type HistoryRequested struct {
	stamp
	options HistoryRequestedOptions
}

// NewHistoryRequested returns a HistoryWanted.
func NewHistoryRequested(at dhclock.Millis, o HistoryRequestedOptions) *HistoryRequested {
	return &HistoryRequested{stamp: stamp{at: at}, options: o}
}

// CorrelationID returns the number for the reply.
func (e *HistoryRequested) CorrelationID() uint64 { return e.options.CorrelationID }

// ClaimRequestedOptions are the fields of a ClaimWanted.
type ClaimRequestedOptions struct {
	// CorrelationID is the number for the reply.
	CorrelationID uint64
	// Key is the claim.
	Key dhmessage.ClaimKey
}

// ClaimRequested asks what is known of a claim.
type ClaimRequested struct {
	stamp
	options ClaimRequestedOptions
}

// NewClaimRequested returns a ClaimWanted.
func NewClaimRequested(at dhclock.Millis, o ClaimRequestedOptions) *ClaimRequested {
	return &ClaimRequested{stamp: stamp{at: at}, options: o}
}

// CorrelationID returns the number for the reply.
func (e *ClaimRequested) CorrelationID() uint64 { return e.options.CorrelationID }

// Key returns the claim.
func (e *ClaimRequested) Key() dhmessage.ClaimKey { return e.options.Key }

// GrantsRequestedOptions are the fields of a GrantsWanted.
type GrantsRequestedOptions struct {
	// StartID is the random number of this instance's start.
	StartID uint64
	// OwnerTerm is the owner's term that the reported positions belong to.
	OwnerTerm uint64
	// Demands is the wishes.
	Demands []dhmessage.TokenDemand
}

// GrantsRequested asks the owner of the limits for tokens.
type GrantsRequested struct {
	stamp
	options GrantsRequestedOptions
}

// NewGrantsRequested returns a GrantsWanted.
func NewGrantsRequested(at dhclock.Millis, o GrantsRequestedOptions) *GrantsRequested {
	return &GrantsRequested{stamp: stamp{at: at}, options: o}
}

// StartID returns the random number of this instance's start.
func (e *GrantsRequested) StartID() uint64 { return e.options.StartID }

// OwnerTerm returns the owner's term that the reported positions belong to.
func (e *GrantsRequested) OwnerTerm() uint64 { return e.options.OwnerTerm }

// Demands returns the wishes.
func (e *GrantsRequested) Demands() []dhmessage.TokenDemand { return e.options.Demands }

// UpstreamHeartbeatReceivedOptions are the fields of an UpstreamChecked.
type UpstreamHeartbeatReceivedOptions struct {
	// CorrelationID is the number for the reply.
	CorrelationID uint64
	// Upstream is what the upstream says of itself.
	Upstream dhcatalog.Upstream
}

// UpstreamHeartbeatReceived is a word of an upstream that registers with the whole fleet.
type UpstreamHeartbeatReceived struct {
	stamp
	options UpstreamHeartbeatReceivedOptions
}

// NewUpstreamHeartbeatReceived returns an UpstreamChecked.
func NewUpstreamHeartbeatReceived(at dhclock.Millis, o UpstreamHeartbeatReceivedOptions) *UpstreamHeartbeatReceived {
	return &UpstreamHeartbeatReceived{stamp: stamp{at: at}, options: o}
}

// CorrelationID returns the number for the reply.
func (e *UpstreamHeartbeatReceived) CorrelationID() uint64 { return e.options.CorrelationID }

// Upstream returns what the upstream says of itself.
func (e *UpstreamHeartbeatReceived) Upstream() dhcatalog.Upstream { return e.options.Upstream }

// UpstreamDeregisteredOptions are the fields of an UpstreamCheckedOut.
type UpstreamDeregisteredOptions struct {
	// CorrelationID is the number for the reply.
	CorrelationID uint64
	// Name is the upstream's name.
	Name string
	// Incarnation is when the upstream started, by its own word; 0 if it didn't say.
	Incarnation int64
}

// UpstreamDeregistered is the last word of a registered upstream.
type UpstreamDeregistered struct {
	stamp
	options UpstreamDeregisteredOptions
}

// NewUpstreamDeregistered returns an UpstreamCheckedOut.
func NewUpstreamDeregistered(at dhclock.Millis, o UpstreamDeregisteredOptions) *UpstreamDeregistered {
	return &UpstreamDeregistered{stamp: stamp{at: at}, options: o}
}

// CorrelationID returns the number for the reply.
func (e *UpstreamDeregistered) CorrelationID() uint64 { return e.options.CorrelationID }

// Name returns the upstream's name.
func (e *UpstreamDeregistered) Name() string { return e.options.Name }

// Incarnation returns when the upstream started, or 0.
func (e *UpstreamDeregistered) Incarnation() int64 { return e.options.Incarnation }

// LeaveStarted says that this instance is about to stop.
type LeaveStarted struct {
	stamp
}

// NewLeaveStarted returns a LeaveStarted.
func NewLeaveStarted(at dhclock.Millis) *LeaveStarted {
	return &LeaveStarted{stamp: stamp{at: at}}
}
