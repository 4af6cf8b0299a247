package dheffect

import (
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhview"
)

// SendOptions are the fields of a Send.
type SendOptions struct {
	// To is the name of the receiving process.
	To string
	// Message is the message.
	Message dhmessage.Message
}

// Send sends a message to another process. Delivery isn't certain.
type Send struct {
	options SendOptions
}

// NewSend returns a Send.
func NewSend(o SendOptions) *Send {
	return &Send{options: o}
}

// To returns the name of the receiving process.
func (e *Send) To() string { return e.options.To }

// Message returns the message.
func (e *Send) Message() dhmessage.Message { return e.options.Message }

func (*Send) effect() {}

// PersistOptions are the fields of a Persist.
type PersistOptions struct {
	// Term is the current term.
	Term uint64
	// VotedFor is the peer voted for in the term, or "".
	VotedFor string
	// Entries is the entries to append; an index that exists already replaces it and all that follow.
	Entries []dhmessage.Entry
}

// Persist writes to the log and syncs it. A process carries out every Persist of a batch before its other effects.
type Persist struct {
	options PersistOptions
}

// NewPersist returns a Persist.
func NewPersist(o PersistOptions) *Persist {
	return &Persist{options: o}
}

// Term returns the current term.
func (e *Persist) Term() uint64 { return e.options.Term }

// VotedFor returns the peer voted for in the term, or "".
func (e *Persist) VotedFor() string { return e.options.VotedFor }

// Entries returns the entries to append; an index that exists already replaces it and all that follow.
func (e *Persist) Entries() []dhmessage.Entry { return e.options.Entries }

func (*Persist) effect() {}

// SaveSnapshotOptions are the fields of a SaveSnapshot.
type SaveSnapshotOptions struct {
	// Snapshot is the state to store.
	Snapshot dhmessage.Snapshot
	// Installed is whether the snapshot replaces the whole log and must be synced before other effects.
	Installed bool
	// Term is the current term.
	Term uint64
	// VotedFor is the peer voted for in the term, or "".
	VotedFor string
	// RemainingEntries is the log entries after the snapshot.
	RemainingEntries []dhmessage.Entry
}

// SaveSnapshot stores a snapshot and then drops the log entries that it covers.
type SaveSnapshot struct {
	options SaveSnapshotOptions
}

// NewSaveSnapshot returns a SaveSnapshot.
func NewSaveSnapshot(o SaveSnapshotOptions) *SaveSnapshot {
	return &SaveSnapshot{options: o}
}

// Snapshot returns the state to store.
func (e *SaveSnapshot) Snapshot() dhmessage.Snapshot { return e.options.Snapshot }

// Installed returns whether the snapshot replaces the whole log and must be synced before other effects.
func (e *SaveSnapshot) Installed() bool { return e.options.Installed }

// Term returns the current term.
func (e *SaveSnapshot) Term() uint64 { return e.options.Term }

// VotedFor returns the peer voted for in the term, or "".
func (e *SaveSnapshot) VotedFor() string { return e.options.VotedFor }

// RemainingEntries returns the log entries after the snapshot.
func (e *SaveSnapshot) RemainingEntries() []dhmessage.Entry { return e.options.RemainingEntries }

func (*SaveSnapshot) effect() {}

// PublishOptions are the fields of a Publish.
type PublishOptions struct {
	// View is the view.
	View *dhview.View
}

// Publish gives a new view to the goroutines that serve traffic.
type Publish struct {
	options PublishOptions
}

// NewPublish returns a Publish.
func NewPublish(o PublishOptions) *Publish {
	return &Publish{options: o}
}

// View returns the view.
func (e *Publish) View() *dhview.View { return e.options.View }

func (*Publish) effect() {}

// ReplyOptions are the fields of a Reply.
type ReplyOptions struct {
	// CorrelationID is the number of the request.
	CorrelationID uint64
	// Result is what it led to.
	Result dhmessage.Result
}

// Reply answers an operator's or a local component's request.
type Reply struct {
	options ReplyOptions
}

// NewReply returns a Reply.
func NewReply(o ReplyOptions) *Reply {
	return &Reply{options: o}
}

// CorrelationID returns the number of the request.
func (e *Reply) CorrelationID() uint64 { return e.options.CorrelationID }

// Result returns what it led to.
func (e *Reply) Result() dhmessage.Result { return e.options.Result }

func (*Reply) effect() {}

// PostToTrafficOptions are the fields of a ToTraffic.
type PostToTrafficOptions struct {
	// Event is the event.
	Event dhevent.Event
}

// PostToTraffic hands an event to traffic state.
type PostToTraffic struct {
	options PostToTrafficOptions
}

// NewPostToTraffic returns a ToTraffic.
func NewPostToTraffic(o PostToTrafficOptions) *PostToTraffic {
	return &PostToTraffic{options: o}
}

// Event returns the event.
func (e *PostToTraffic) Event() dhevent.Event { return e.options.Event }

func (*PostToTraffic) effect() {}

// PostToControlOptions are the fields of a ToControl.
type PostToControlOptions struct {
	// Event is the event.
	Event dhevent.Event
}

// PostToControl hands an event to control state.
type PostToControl struct {
	options PostToControlOptions
}

// NewPostToControl returns a ToControl.
func NewPostToControl(o PostToControlOptions) *PostToControl {
	return &PostToControl{options: o}
}

// Event returns the event.
func (e *PostToControl) Event() dhevent.Event { return e.options.Event }

func (*PostToControl) effect() {}

// LogOptions are the fields of a Log.
type LogOptions struct {
	// Layer is the layer that speaks.
	Layer string
	// Text is what happened.
	Text string
	// Peer is the process that it is about, or "".
	Peer string
	// Number is a term, index or version that it is about, or 0.
	Number uint64
}

// Log writes a line to the log of the process.
type Log struct {
	options LogOptions
}

// NewLog returns a Log.
func NewLog(o LogOptions) *Log {
	return &Log{options: o}
}

// Layer returns the layer that speaks.
func (e *Log) Layer() string { return e.options.Layer }

// Text returns what happened.
func (e *Log) Text() string { return e.options.Text }

// Peer returns the process that it is about, or "".
func (e *Log) Peer() string { return e.options.Peer }

// Number returns a term, index or version that it is about, or 0.
func (e *Log) Number() uint64 { return e.options.Number }

func (*Log) effect() {}

// HistoryReplyOptions are the fields of a HistoryReply.
type HistoryReplyOptions struct {
	// CorrelationID is the number of the request.
	CorrelationID uint64
	// Changes is the accepted change sets that are remembered, oldest first.
	Changes []dhmessage.AcceptedChange
}

// HistoryReply answers a HistoryWanted.
type HistoryReply struct {
	options HistoryReplyOptions
}

// NewHistoryReply returns a HistoryReply.
func NewHistoryReply(o HistoryReplyOptions) *HistoryReply {
	return &HistoryReply{options: o}
}

// CorrelationID returns the number of the request.
func (e *HistoryReply) CorrelationID() uint64 { return e.options.CorrelationID }

// Changes returns the accepted change sets that are remembered, oldest first.
func (e *HistoryReply) Changes() []dhmessage.AcceptedChange { return e.options.Changes }

func (*HistoryReply) effect() {}

// ClaimReplyOptions are the fields of a ClaimReply.
type ClaimReplyOptions struct {
	// CorrelationID is the number of the request.
	CorrelationID uint64
	// Found is whether the claim is kept.
	Found bool
	// Record is the claim.
	Record dhmessage.ClaimRecord
}

// ClaimReply answers a ClaimWanted.
type ClaimReply struct {
	options ClaimReplyOptions
}

// NewClaimReply returns a ClaimReply.
func NewClaimReply(o ClaimReplyOptions) *ClaimReply {
	return &ClaimReply{options: o}
}

// CorrelationID returns the number of the request.
func (e *ClaimReply) CorrelationID() uint64 { return e.options.CorrelationID }

// Found returns whether the claim is kept.
func (e *ClaimReply) Found() bool { return e.options.Found }

// Record returns the claim.
func (e *ClaimReply) Record() dhmessage.ClaimRecord { return e.options.Record }

func (*ClaimReply) effect() {}

// StatusReplyOptions are the fields of a StatusReply.
type StatusReplyOptions struct {
	// CorrelationID is the number of the request.
	CorrelationID uint64
	// Status is what this process knows.
	Status Status
}

// StatusReply answers a StatusWanted.
type StatusReply struct {
	options StatusReplyOptions
}

// NewStatusReply returns a StatusReply.
func NewStatusReply(o StatusReplyOptions) *StatusReply {
	return &StatusReply{options: o}
}

// CorrelationID returns the number of the request.
func (e *StatusReply) CorrelationID() uint64 { return e.options.CorrelationID }

// Status returns what this process knows.
func (e *StatusReply) Status() Status { return e.options.Status }

func (*StatusReply) effect() {}
