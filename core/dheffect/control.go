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
	// Message is the message to send.
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

// Message returns the message to send.
func (e *Send) Message() dhmessage.Message { return e.options.Message }

func (*Send) effect() {}

// RecordAddresses records where processes listen that this one got to know from another.
type RecordAddresses struct {
	members []dhmessage.Member
}

// NewRecordAddresses returns a RecordAddresses for the addresses of members.
func NewRecordAddresses(members []dhmessage.Member) *RecordAddresses {
	return &RecordAddresses{members: members}
}

// Members returns the members whose addresses to record.
func (e *RecordAddresses) Members() []dhmessage.Member { return e.members }

func (*RecordAddresses) effect() {}

// PersistOptions are the fields of a Persist.
type PersistOptions struct {
	// Term is the current term.
	Term uint64
	// VotedFor is the peer that got this voter's vote in the term, or "".
	VotedFor string `journal:"Vote"`
	// Entries are the entries to append. An entry whose index exists replaces
	// the stored entry and all that follow.
	Entries []dhmessage.Entry
}

// Persist writes to the log and syncs it. A process carries out every Persist
// of a batch before the batch's other effects.
type Persist struct {
	options PersistOptions
}

// NewPersist returns a Persist.
func NewPersist(o PersistOptions) *Persist {
	return &Persist{options: o}
}

// Term returns the current term.
func (e *Persist) Term() uint64 { return e.options.Term }

// VotedFor returns the peer that got this voter's vote in the term, or "".
func (e *Persist) VotedFor() string { return e.options.VotedFor }

// Entries returns the entries to append.
func (e *Persist) Entries() []dhmessage.Entry { return e.options.Entries }

func (*Persist) effect() {}

// SaveSnapshotOptions are the fields of a SaveSnapshot.
type SaveSnapshotOptions struct {
	// Snapshot is the state to store.
	Snapshot dhmessage.Snapshot
	// Installed reports whether the snapshot replaces the entire log and must
	// be synced before later effects.
	Installed bool
	// Term is the current term.
	Term uint64
	// VotedFor is the peer that got this voter's vote in the term, or "".
	VotedFor string `journal:"Vote"`
	// RemainingEntries are the log entries after the snapshot.
	RemainingEntries []dhmessage.Entry `journal:"Rest"`
}

// SaveSnapshot stores a snapshot and then removes the log entries that it
// covers.
type SaveSnapshot struct {
	options SaveSnapshotOptions
}

// NewSaveSnapshot returns a SaveSnapshot.
func NewSaveSnapshot(o SaveSnapshotOptions) *SaveSnapshot {
	return &SaveSnapshot{options: o}
}

// Snapshot returns the state to store.
func (e *SaveSnapshot) Snapshot() dhmessage.Snapshot { return e.options.Snapshot }

// Installed reports whether the snapshot replaces the entire log and must be
// synced before later effects.
func (e *SaveSnapshot) Installed() bool { return e.options.Installed }

// Term returns the current term.
func (e *SaveSnapshot) Term() uint64 { return e.options.Term }

// VotedFor returns the peer that got this voter's vote in the term, or "".
func (e *SaveSnapshot) VotedFor() string { return e.options.VotedFor }

// RemainingEntries returns the log entries after the snapshot.
func (e *SaveSnapshot) RemainingEntries() []dhmessage.Entry { return e.options.RemainingEntries }

func (*SaveSnapshot) effect() {}

// SaveSuspectsOptions are the fields of a SaveSuspects.
type SaveSuspectsOptions struct {
	// Suspects replace the stored ones.
	Suspects []dhmessage.Suspect
}

// SaveSuspects stores suspects in the data folder. No other effect depends on it.
type SaveSuspects struct {
	options SaveSuspectsOptions
}

// NewSaveSuspects returns a SaveSuspects.
func NewSaveSuspects(o SaveSuspectsOptions) *SaveSuspects {
	return &SaveSuspects{options: o}
}

// Suspects returns the suspects that replace the stored ones.
func (e *SaveSuspects) Suspects() []dhmessage.Suspect { return e.options.Suspects }

func (*SaveSuspects) effect() {}

// PublishOptions are the fields of a Publish.
type PublishOptions struct {
	// View is the new view.
	View *dhview.View
}

// Publish publishes a new view to the goroutines that serve traffic.
type Publish struct {
	options PublishOptions
}

// NewPublish returns a Publish.
func NewPublish(o PublishOptions) *Publish {
	return &Publish{options: o}
}

// View returns the new view.
func (e *Publish) View() *dhview.View { return e.options.View }

func (*Publish) effect() {}

// ReplyOptions are the fields of a Reply.
type ReplyOptions struct {
	// CorrelationID is the number of the request.
	CorrelationID uint64 `journal:"Ticket"`
	// Result is the result of the request.
	Result dhmessage.Result
}

// Reply answers the request of an operator or a local component.
type Reply struct {
	options ReplyOptions
}

// NewReply returns a Reply.
func NewReply(o ReplyOptions) *Reply {
	return &Reply{options: o}
}

// CorrelationID returns the number of the request.
func (e *Reply) CorrelationID() uint64 { return e.options.CorrelationID }

// Result returns the result of the request.
func (e *Reply) Result() dhmessage.Result { return e.options.Result }

func (*Reply) effect() {}

// PostToTrafficOptions are the fields of a PostToTraffic.
type PostToTrafficOptions struct {
	// Event is the event to post.
	Event dhevent.Event
}

// PostToTraffic posts an event to the traffic state.
type PostToTraffic struct {
	options PostToTrafficOptions
}

// NewPostToTraffic returns a PostToTraffic.
func NewPostToTraffic(o PostToTrafficOptions) *PostToTraffic {
	return &PostToTraffic{options: o}
}

// Event returns the event to post.
func (e *PostToTraffic) Event() dhevent.Event { return e.options.Event }

func (*PostToTraffic) effect() {}

// PostToControlOptions are the fields of a PostToControl.
type PostToControlOptions struct {
	// Event is the event to post.
	Event dhevent.Event
}

// PostToControl posts an event to the control state.
type PostToControl struct {
	options PostToControlOptions
}

// NewPostToControl returns a PostToControl.
func NewPostToControl(o PostToControlOptions) *PostToControl {
	return &PostToControl{options: o}
}

// Event returns the event to post.
func (e *PostToControl) Event() dhevent.Event { return e.options.Event }

func (*PostToControl) effect() {}

// LogOptions are the fields of a Log.
type LogOptions struct {
	// Layer is the layer that logs.
	Layer string
	// Text is the message.
	Text string
	// Peer is the process or upstream that the message is about, or "".
	Peer string
	// Number is a term, index, version or count that the message is about, or
	// 0.
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

// Layer returns the layer that logs.
func (e *Log) Layer() string { return e.options.Layer }

// Text returns the message.
func (e *Log) Text() string { return e.options.Text }

// Peer returns the process or upstream that the message is about, or "".
func (e *Log) Peer() string { return e.options.Peer }

// Number returns a term, index, version or count that the message is about, or
// 0.
func (e *Log) Number() uint64 { return e.options.Number }

func (*Log) effect() {}

// HistoryReplyOptions are the fields of a HistoryReply.
type HistoryReplyOptions struct {
	// CorrelationID is the number of the request.
	CorrelationID uint64 `journal:"Ticket"`
	// Changes are the newest accepted change sets, oldest first.
	Changes []dhmessage.AcceptedChange `journal:"Accepted"`
	// Older are the receipts of the change sets before Changes, oldest first, set only at a voter.
	Older []dhmessage.Receipt `journal:"Older,omitZero"`
}

// HistoryReply answers a HistoryRequested.
type HistoryReply struct {
	options HistoryReplyOptions
}

// NewHistoryReply returns a HistoryReply.
func NewHistoryReply(o HistoryReplyOptions) *HistoryReply {
	return &HistoryReply{options: o}
}

// CorrelationID returns the number of the request.
func (e *HistoryReply) CorrelationID() uint64 { return e.options.CorrelationID }

// Older returns the receipts of the change sets before Changes, oldest first, set only at a voter.
func (e *HistoryReply) Older() []dhmessage.Receipt { return e.options.Older }

// Changes returns the newest accepted change sets, oldest first.
func (e *HistoryReply) Changes() []dhmessage.AcceptedChange { return e.options.Changes }

func (*HistoryReply) effect() {}

// ClaimReplyOptions are the fields of a ClaimReply.
type ClaimReplyOptions struct {
	// CorrelationID is the number of the request.
	CorrelationID uint64 `journal:"Ticket"`
	// Found reports whether the claim is kept.
	Found bool
	// Record is the record of the claim.
	Record dhmessage.ClaimRecord
}

// ClaimReply answers a ClaimRequested.
type ClaimReply struct {
	options ClaimReplyOptions
}

// NewClaimReply returns a ClaimReply.
func NewClaimReply(o ClaimReplyOptions) *ClaimReply {
	return &ClaimReply{options: o}
}

// CorrelationID returns the number of the request.
func (e *ClaimReply) CorrelationID() uint64 { return e.options.CorrelationID }

// Found reports whether the claim is kept.
func (e *ClaimReply) Found() bool { return e.options.Found }

// Record returns the record of the claim.
func (e *ClaimReply) Record() dhmessage.ClaimRecord { return e.options.Record }

func (*ClaimReply) effect() {}

// StatusReplyOptions are the fields of a StatusReply.
type StatusReplyOptions struct {
	// CorrelationID is the number of the request.
	CorrelationID uint64 `journal:"Ticket"`
	// Status is this process's view of the system.
	Status Status
}

// StatusReply answers a StatusRequested.
type StatusReply struct {
	options StatusReplyOptions
}

// NewStatusReply returns a StatusReply.
func NewStatusReply(o StatusReplyOptions) *StatusReply {
	return &StatusReply{options: o}
}

// CorrelationID returns the number of the request.
func (e *StatusReply) CorrelationID() uint64 { return e.options.CorrelationID }

// Status returns this process's view of the system.
func (e *StatusReply) Status() Status { return e.options.Status }

func (*StatusReply) effect() {}
