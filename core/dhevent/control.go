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

// Settled ends a batch of events, so that what they led to can be sent together.
type Settled struct {
	stamp
}

// NewSettled returns a Settled.
func NewSettled(at dhclock.Millis) *Settled {
	return &Settled{stamp: stamp{at: at}}
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

// ProposalWantedOptions are the fields of a ProposalWanted.
type ProposalWantedOptions struct {
	// Ticket is the number for the reply.
	Ticket uint64
	// Command is the command.
	Command dhmessage.Command
	// Patience is how long to try.
	Patience dhclock.Millis
}

// ProposalWanted asks for a command to be committed.
type ProposalWanted struct {
	stamp
	options ProposalWantedOptions
}

// NewProposalWanted returns a ProposalWanted.
func NewProposalWanted(at dhclock.Millis, o ProposalWantedOptions) *ProposalWanted {
	return &ProposalWanted{stamp: stamp{at: at}, options: o}
}

// Ticket returns the number for the reply.
func (e *ProposalWanted) Ticket() uint64 { return e.options.Ticket }

// Command returns the command.
func (e *ProposalWanted) Command() dhmessage.Command { return e.options.Command }

// Patience returns how long to try.
func (e *ProposalWanted) Patience() dhclock.Millis { return e.options.Patience }

// CurrentWantedOptions are the fields of a CurrentWanted.
type CurrentWantedOptions struct {
	// Ticket is the number for the reply.
	Ticket uint64
	// Patience is how long to try.
	Patience dhclock.Millis
}

// CurrentWanted asks to be told when the configuration here is certainly as new as at this event.
type CurrentWanted struct {
	stamp
	options CurrentWantedOptions
}

// NewCurrentWanted returns a CurrentWanted.
func NewCurrentWanted(at dhclock.Millis, o CurrentWantedOptions) *CurrentWanted {
	return &CurrentWanted{stamp: stamp{at: at}, options: o}
}

// Ticket returns the number for the reply.
func (e *CurrentWanted) Ticket() uint64 { return e.options.Ticket }

// Patience returns how long to try.
func (e *CurrentWanted) Patience() dhclock.Millis { return e.options.Patience }

// StatusWantedOptions are the fields of a StatusWanted.
type StatusWantedOptions struct {
	// Ticket is the number for the reply.
	Ticket uint64
}

// StatusWanted asks what this process knows of the system.
type StatusWanted struct {
	stamp
	options StatusWantedOptions
}

// NewStatusWanted returns a StatusWanted.
func NewStatusWanted(at dhclock.Millis, o StatusWantedOptions) *StatusWanted {
	return &StatusWanted{stamp: stamp{at: at}, options: o}
}

// Ticket returns the number for the reply.
func (e *StatusWanted) Ticket() uint64 { return e.options.Ticket }

// HistoryWantedOptions are the fields of a HistoryWanted.
type HistoryWantedOptions struct {
	// Ticket is the number for the reply.
	Ticket uint64
}

// HistoryWanted asks for the accepted change sets.
type HistoryWanted struct {
	stamp
	options HistoryWantedOptions
}

// NewHistoryWanted returns a HistoryWanted.
func NewHistoryWanted(at dhclock.Millis, o HistoryWantedOptions) *HistoryWanted {
	return &HistoryWanted{stamp: stamp{at: at}, options: o}
}

// Ticket returns the number for the reply.
func (e *HistoryWanted) Ticket() uint64 { return e.options.Ticket }

// ClaimWantedOptions are the fields of a ClaimWanted.
type ClaimWantedOptions struct {
	// Ticket is the number for the reply.
	Ticket uint64
	// Key is the claim.
	Key dhmessage.ClaimKey
}

// ClaimWanted asks what is known of a claim.
type ClaimWanted struct {
	stamp
	options ClaimWantedOptions
}

// NewClaimWanted returns a ClaimWanted.
func NewClaimWanted(at dhclock.Millis, o ClaimWantedOptions) *ClaimWanted {
	return &ClaimWanted{stamp: stamp{at: at}, options: o}
}

// Ticket returns the number for the reply.
func (e *ClaimWanted) Ticket() uint64 { return e.options.Ticket }

// Key returns the claim.
func (e *ClaimWanted) Key() dhmessage.ClaimKey { return e.options.Key }

// GrantsWantedOptions are the fields of a GrantsWanted.
type GrantsWantedOptions struct {
	// Stream is the random number of this instance's start.
	Stream uint64
	// Owner is the owner's term that the reported positions belong to.
	Owner uint64
	// Asks is the wishes.
	Asks []dhmessage.Ask
}

// GrantsWanted asks the owner of the limits for tokens.
type GrantsWanted struct {
	stamp
	options GrantsWantedOptions
}

// NewGrantsWanted returns a GrantsWanted.
func NewGrantsWanted(at dhclock.Millis, o GrantsWantedOptions) *GrantsWanted {
	return &GrantsWanted{stamp: stamp{at: at}, options: o}
}

// Stream returns the random number of this instance's start.
func (e *GrantsWanted) Stream() uint64 { return e.options.Stream }

// Owner returns the owner's term that the reported positions belong to.
func (e *GrantsWanted) Owner() uint64 { return e.options.Owner }

// Asks returns the wishes.
func (e *GrantsWanted) Asks() []dhmessage.Ask { return e.options.Asks }

// UpstreamCheckedOptions are the fields of an UpstreamChecked.
type UpstreamCheckedOptions struct {
	// Ticket is the number for the reply.
	Ticket uint64
	// Upstream is what the upstream says of itself.
	Upstream dhcatalog.Upstream
}

// UpstreamChecked is a word of an upstream that registers with the whole fleet.
type UpstreamChecked struct {
	stamp
	options UpstreamCheckedOptions
}

// NewUpstreamChecked returns an UpstreamChecked.
func NewUpstreamChecked(at dhclock.Millis, o UpstreamCheckedOptions) *UpstreamChecked {
	return &UpstreamChecked{stamp: stamp{at: at}, options: o}
}

// Ticket returns the number for the reply.
func (e *UpstreamChecked) Ticket() uint64 { return e.options.Ticket }

// Upstream returns what the upstream says of itself.
func (e *UpstreamChecked) Upstream() dhcatalog.Upstream { return e.options.Upstream }

// UpstreamCheckedOutOptions are the fields of an UpstreamCheckedOut.
type UpstreamCheckedOutOptions struct {
	// Ticket is the number for the reply.
	Ticket uint64
	// Name is the upstream's name.
	Name string
	// Lifetime is when the upstream started, by its own word; 0 if it didn't say.
	Lifetime int64
}

// UpstreamCheckedOut is the last word of a registered upstream.
type UpstreamCheckedOut struct {
	stamp
	options UpstreamCheckedOutOptions
}

// NewUpstreamCheckedOut returns an UpstreamCheckedOut.
func NewUpstreamCheckedOut(at dhclock.Millis, o UpstreamCheckedOutOptions) *UpstreamCheckedOut {
	return &UpstreamCheckedOut{stamp: stamp{at: at}, options: o}
}

// Ticket returns the number for the reply.
func (e *UpstreamCheckedOut) Ticket() uint64 { return e.options.Ticket }

// Name returns the upstream's name.
func (e *UpstreamCheckedOut) Name() string { return e.options.Name }

// Lifetime returns when the upstream started, or 0.
func (e *UpstreamCheckedOut) Lifetime() int64 { return e.options.Lifetime }

// LeaveStarted says that this instance is about to stop.
type LeaveStarted struct {
	stamp
}

// NewLeaveStarted returns a LeaveStarted.
func NewLeaveStarted(at dhclock.Millis) *LeaveStarted {
	return &LeaveStarted{stamp: stamp{at: at}}
}
