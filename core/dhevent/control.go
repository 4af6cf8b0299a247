package dhevent

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// TickedOptions are the fields of a Ticked.
type TickedOptions struct {
	// Random is a random number for the reducer's decisions.
	Random uint64
}

// Ticked advances the time of the control state.
type Ticked struct {
	stamp
	options TickedOptions
}

// NewTicked returns a Ticked.
func NewTicked(at dhclock.Millis, o TickedOptions) *Ticked {
	return &Ticked{stamp: stamp{at: at}, options: o}
}

// Random returns a random number for the reducer's decisions.
func (e *Ticked) Random() uint64 { return e.options.Random }

// BatchEnded ends a batch of events. The reducer then sends together what the
// events of the batch led to.
type BatchEnded struct {
	stamp
}

// NewBatchEnded returns a BatchEnded.
func NewBatchEnded(at dhclock.Millis) *BatchEnded {
	return &BatchEnded{stamp: stamp{at: at}}
}

// MessageReceivedOptions are the fields of a MessageReceived.
type MessageReceivedOptions struct {
	// From is the sender.
	From dhmessage.Peer
	// Message is the message received.
	Message dhmessage.Message
}

// MessageReceived is a message from another process, or from this process to
// itself.
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

// Message returns the message received.
func (e *MessageReceived) Message() dhmessage.Message { return e.options.Message }

// LogSyncedOptions are the fields of a LogSynced.
type LogSyncedOptions struct {
	// Index is the index of the last entry synced.
	Index uint64
	// Term is the term of the last entry synced.
	Term uint64
}

// LogSynced reports that the data folder has synced the log up to an index.
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

// Term returns the term of the last entry synced.
func (e *LogSynced) Term() uint64 { return e.options.Term }

// ProposalRequestedOptions are the fields of a ProposalRequested.
type ProposalRequestedOptions struct {
	// CorrelationID is the number that the reply repeats. For a Claim it is the
	// request ID; with 0 there is no reply.
	CorrelationID uint64 `journal:"Ticket"`
	// Command is the command to commit.
	Command dhmessage.Command
	// Timeout is how long to try, in milliseconds.
	Timeout dhclock.Millis `journal:"Patience"`
	// Expires is set if the command must not be applied any more once the timeout has
	// passed.
	Expires bool `journal:"Expires,omitZero"`
	// IsReferable is set if the caller can send the command to another process at once.
	IsReferable bool `journal:"IsReferable,omitZero"`
}

// ProposalRequested requests that a command be committed.
type ProposalRequested struct {
	stamp
	options ProposalRequestedOptions
}

// NewProposalRequested returns a ProposalRequested.
func NewProposalRequested(at dhclock.Millis, o ProposalRequestedOptions) *ProposalRequested {
	return &ProposalRequested{stamp: stamp{at: at}, options: o}
}

// CorrelationID returns the number that the reply repeats.
func (e *ProposalRequested) CorrelationID() uint64 { return e.options.CorrelationID }

// Command returns the command to commit.
func (e *ProposalRequested) Command() dhmessage.Command { return e.options.Command }

// Timeout returns how long to try, in milliseconds.
func (e *ProposalRequested) Timeout() dhclock.Millis { return e.options.Timeout }

// Expires reports whether the command must not be applied any more once the timeout has
// passed.
func (e *ProposalRequested) Expires() bool { return e.options.Expires }

// IsReferable reports whether the caller can send the command to another process at once.
func (e *ProposalRequested) IsReferable() bool { return e.options.IsReferable }

// ReadRequestedOptions are the fields of a ReadRequested.
type ReadRequestedOptions struct {
	// CorrelationID is the number that the reply repeats.
	CorrelationID uint64 `journal:"Ticket"`
	// Timeout is how long to try, in milliseconds.
	Timeout dhclock.Millis `journal:"Patience"`
}

// ReadRequested asks for a reply once the configuration here is certainly as
// new as at this event: a linearizable read.
type ReadRequested struct {
	stamp
	options ReadRequestedOptions
}

// NewReadRequested returns a ReadRequested.
func NewReadRequested(at dhclock.Millis, o ReadRequestedOptions) *ReadRequested {
	return &ReadRequested{stamp: stamp{at: at}, options: o}
}

// CorrelationID returns the number that the reply repeats.
func (e *ReadRequested) CorrelationID() uint64 { return e.options.CorrelationID }

// Timeout returns how long to try, in milliseconds.
func (e *ReadRequested) Timeout() dhclock.Millis { return e.options.Timeout }

// StatusRequestedOptions are the fields of a StatusRequested.
type StatusRequestedOptions struct {
	// CorrelationID is the number that the reply repeats.
	CorrelationID uint64 `journal:"Ticket"`
}

// StatusRequested asks for this process's view of the system.
type StatusRequested struct {
	stamp
	options StatusRequestedOptions
}

// NewStatusRequested returns a StatusRequested.
func NewStatusRequested(at dhclock.Millis, o StatusRequestedOptions) *StatusRequested {
	return &StatusRequested{stamp: stamp{at: at}, options: o}
}

// CorrelationID returns the number that the reply repeats.
func (e *StatusRequested) CorrelationID() uint64 { return e.options.CorrelationID }

// ContentBytes returns the approximate size of what an event holds of the log, the configuration
// or changes, in bytes; 0 for one that holds nothing of these.
func ContentBytes(e Event) int {
	switch e := e.(type) {
	case *MessageReceived:
		return dhmessage.StateBytes(e.Message()) + dhmessage.ChangeBytes(e.Message())
	case *ProposalRequested:
		return dhmessage.CommandBytes(e.Command())
	default:
		return 0
	}
}

// MemoryRequestedOptions are the fields of a MemoryRequested.
type MemoryRequestedOptions struct {
	// CorrelationID is the number that the reply repeats.
	CorrelationID uint64
}

// MemoryRequested asks how much the control state holds.
type MemoryRequested struct {
	stamp
	options MemoryRequestedOptions
}

// NewMemoryRequested returns a MemoryRequested.
func NewMemoryRequested(at dhclock.Millis, o MemoryRequestedOptions) *MemoryRequested {
	return &MemoryRequested{stamp: stamp{at: at}, options: o}
}

// CorrelationID returns the number that the reply repeats.
func (e *MemoryRequested) CorrelationID() uint64 { return e.options.CorrelationID }

// ContactRequestedOptions are the fields of a ContactRequested.
type ContactRequestedOptions struct {
	// CorrelationID is the number that the reply repeats.
	CorrelationID uint64
}

// ContactRequested asks for this process's contact with the consensus group.
type ContactRequested struct {
	stamp
	options ContactRequestedOptions
}

// NewContactRequested returns a ContactRequested.
func NewContactRequested(at dhclock.Millis, o ContactRequestedOptions) *ContactRequested {
	return &ContactRequested{stamp: stamp{at: at}, options: o}
}

// CorrelationID returns the number that the reply repeats.
func (e *ContactRequested) CorrelationID() uint64 { return e.options.CorrelationID }

// HistoryRequestedOptions are the fields of a HistoryRequested.
type HistoryRequestedOptions struct {
	// CorrelationID is the number that the reply repeats.
	CorrelationID uint64 `journal:"Ticket"`
}

// HistoryRequested asks for the accepted change sets.
type HistoryRequested struct {
	stamp
	options HistoryRequestedOptions
}

// NewHistoryRequested returns a HistoryRequested.
func NewHistoryRequested(at dhclock.Millis, o HistoryRequestedOptions) *HistoryRequested {
	return &HistoryRequested{stamp: stamp{at: at}, options: o}
}

// CorrelationID returns the number that the reply repeats.
func (e *HistoryRequested) CorrelationID() uint64 { return e.options.CorrelationID }

// ClaimRequestedOptions are the fields of a ClaimRequested.
type ClaimRequestedOptions struct {
	// CorrelationID is the number that the reply repeats.
	CorrelationID uint64 `journal:"Ticket"`
	// Key is the identity of the claim.
	Key dhmessage.ClaimKey
}

// ClaimRequested asks for the record of a claim.
type ClaimRequested struct {
	stamp
	options ClaimRequestedOptions
}

// NewClaimRequested returns a ClaimRequested.
func NewClaimRequested(at dhclock.Millis, o ClaimRequestedOptions) *ClaimRequested {
	return &ClaimRequested{stamp: stamp{at: at}, options: o}
}

// CorrelationID returns the number that the reply repeats.
func (e *ClaimRequested) CorrelationID() uint64 { return e.options.CorrelationID }

// Key returns the identity of the claim.
func (e *ClaimRequested) Key() dhmessage.ClaimKey { return e.options.Key }

// GrantsRequestedOptions are the fields of a GrantsRequested.
type GrantsRequestedOptions struct {
	// StartID is the random number of this instance's start.
	StartID uint64 `journal:"Stream"`
	// OwnerTerm is the owner's term that the reported consumption belongs to.
	OwnerTerm uint64 `journal:"Owner"`
	// Demands are the tokens requested, one demand for each organisation.
	Demands []dhmessage.TokenDemand `journal:"Asks"`
}

// GrantsRequested asks the owner of the limits for tokens.
type GrantsRequested struct {
	stamp
	options GrantsRequestedOptions
}

// NewGrantsRequested returns a GrantsRequested.
func NewGrantsRequested(at dhclock.Millis, o GrantsRequestedOptions) *GrantsRequested {
	return &GrantsRequested{stamp: stamp{at: at}, options: o}
}

// StartID returns the random number of this instance's start.
func (e *GrantsRequested) StartID() uint64 { return e.options.StartID }

// OwnerTerm returns the owner's term that the reported consumption belongs to.
func (e *GrantsRequested) OwnerTerm() uint64 { return e.options.OwnerTerm }

// Demands returns the tokens requested, one demand for each organisation.
func (e *GrantsRequested) Demands() []dhmessage.TokenDemand { return e.options.Demands }

// UpstreamHeartbeatReceivedOptions are the fields of an
// UpstreamHeartbeatReceived.
type UpstreamHeartbeatReceivedOptions struct {
	// CorrelationID is the number that the reply repeats.
	CorrelationID uint64 `journal:"Ticket"`
	// Upstream is the record that the upstream reports.
	Upstream dhcatalog.Upstream
	// IsReferable is set if the upstream can send the heartbeat to another process at once.
	IsReferable bool `journal:"IsReferable,omitZero"`
}

// UpstreamHeartbeatReceived is a heartbeat of an upstream that registers with
// the entire cluster.
type UpstreamHeartbeatReceived struct {
	stamp
	options UpstreamHeartbeatReceivedOptions
}

// NewUpstreamHeartbeatReceived returns an UpstreamHeartbeatReceived.
func NewUpstreamHeartbeatReceived(at dhclock.Millis, o UpstreamHeartbeatReceivedOptions) *UpstreamHeartbeatReceived {
	return &UpstreamHeartbeatReceived{stamp: stamp{at: at}, options: o}
}

// CorrelationID returns the number that the reply repeats.
func (e *UpstreamHeartbeatReceived) CorrelationID() uint64 { return e.options.CorrelationID }

// IsReferable reports whether the upstream can send the heartbeat to another process at once.
func (e *UpstreamHeartbeatReceived) IsReferable() bool { return e.options.IsReferable }

// Upstream returns the record that the upstream reports.
func (e *UpstreamHeartbeatReceived) Upstream() dhcatalog.Upstream { return e.options.Upstream }

// UpstreamDeregisteredOptions are the fields of an UpstreamDeregistered.
type UpstreamDeregisteredOptions struct {
	// CorrelationID is the number that the reply repeats.
	CorrelationID uint64 `journal:"Ticket"`
	// Name is the upstream's name.
	Name string
	// Incarnation is when the upstream's process started, as it reports; 0 if
	// it doesn't. A request from an earlier incarnation than the registered one
	// has no effect.
	Incarnation int64 `journal:"Lifetime"`
	// LatestIncarnation is the latest start time that the process can have if it doesn't report
	// its own: when the request arrived. It is 0 if upstreams report no start times.
	LatestIncarnation int64 `journal:"LatestIncarnation,omitZero"`
	// IsReferable is set if the upstream can send the request to another process at once.
	IsReferable bool `journal:"IsReferable,omitZero"`
}

// UpstreamDeregistered is the request of a registered upstream to be removed.
type UpstreamDeregistered struct {
	stamp
	options UpstreamDeregisteredOptions
}

// NewUpstreamDeregistered returns an UpstreamDeregistered.
func NewUpstreamDeregistered(at dhclock.Millis, o UpstreamDeregisteredOptions) *UpstreamDeregistered {
	return &UpstreamDeregistered{stamp: stamp{at: at}, options: o}
}

// CorrelationID returns the number that the reply repeats.
func (e *UpstreamDeregistered) CorrelationID() uint64 { return e.options.CorrelationID }

// Name returns the upstream's name.
func (e *UpstreamDeregistered) Name() string { return e.options.Name }

// Incarnation returns when the upstream's process started, as it reports; 0 if
// it doesn't.
func (e *UpstreamDeregistered) Incarnation() int64 { return e.options.Incarnation }

// LatestIncarnation returns the latest start time that the process can have if it doesn't report
// its own; 0 if upstreams report no start times.
func (e *UpstreamDeregistered) LatestIncarnation() int64 { return e.options.LatestIncarnation }

// IsReferable reports whether the upstream can send the request to another process at once.
func (e *UpstreamDeregistered) IsReferable() bool { return e.options.IsReferable }

// SeedsChanged reports that the settings name other seeds than before.
type SeedsChanged struct {
	stamp
	names []string
}

// NewSeedsChanged returns a SeedsChanged with the names of the seeds.
func NewSeedsChanged(at dhclock.Millis, names []string) *SeedsChanged {
	return &SeedsChanged{stamp: stamp{at: at}, names: names}
}

// Names returns the names of the seeds.
func (e *SeedsChanged) Names() []string { return e.names }

// LeaveStartedOptions are the fields of a LeaveStarted.
type LeaveStartedOptions struct {
	// CorrelationID is the number that the reply repeats; 0 if there is no reply.
	CorrelationID uint64
	// Timeout is how long the process waits until another one has its vote, in
	// milliseconds.
	Timeout dhclock.Millis
}

// LeaveStarted reports that this process is about to stop. The reply comes once it has no
// vote in the consensus group any more, or after the timeout.
type LeaveStarted struct {
	stamp
	options LeaveStartedOptions `journal:"options,omitZero"`
}

// NewLeaveStarted returns a LeaveStarted.
func NewLeaveStarted(at dhclock.Millis, o LeaveStartedOptions) *LeaveStarted {
	return &LeaveStarted{stamp: stamp{at: at}, options: o}
}

// CorrelationID returns the number that the reply repeats; 0 if there is no reply.
func (e *LeaveStarted) CorrelationID() uint64 { return e.options.CorrelationID }

// Timeout returns how long the process waits until another one has its vote, in milliseconds.
func (e *LeaveStarted) Timeout() dhclock.Millis { return e.options.Timeout }

// SuspectsReportedOptions are the fields of a SuspectsReported.
type SuspectsReportedOptions struct {
	// Report holds the suspects that have changed.
	Report *dhmessage.SuspectReport
}

// SuspectsReported reports requests that were in flight at upstreams that crashed, and
// those that ended without a crash since.
type SuspectsReported struct {
	stamp
	options SuspectsReportedOptions
}

// NewSuspectsReported returns a SuspectsReported.
func NewSuspectsReported(at dhclock.Millis, o SuspectsReportedOptions) *SuspectsReported {
	return &SuspectsReported{stamp: stamp{at: at}, options: o}
}

// Report returns the suspects that have changed.
func (e *SuspectsReported) Report() *dhmessage.SuspectReport { return e.options.Report }
