package dhmessage

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
)

// SnapshotOptions are the fields of a Snapshot.
type SnapshotOptions struct {
	// Index is the index of the last entry that the state includes.
	Index uint64
	// Term is the term of that entry.
	Term uint64
	// LogTime is the log time of that entry, in milliseconds.
	LogTime dhclock.Millis `journal:"At"`
	// Members are the members of the consensus group.
	Members []Member `journal:"Voters"`
	// Catalog is the configuration; nil stands for the empty one.
	Catalog *dhcatalog.Catalog
	// RecentChanges are the newest accepted change sets with their content, oldest first.
	RecentChanges []AcceptedChange `journal:"Recent"`
	// Receipts are those of the accepted change sets before RecentChanges, oldest first.
	Receipts []Receipt `journal:"Receipts,omitZero"`
	// LimitsChangedAt is the log time of the last change of limits, or of the instances that
	// share them; 0 if none is recorded.
	LimitsChangedAt dhclock.Millis `journal:"LimitsChangedAt,omitZero"`
	// DrainStarts are the log times at which the drains were accepted, sorted by name.
	DrainStarts []DrainStart `journal:"DrainStarts,omitZero"`
	// Claims are all claims that are kept.
	Claims []ClaimRecord
}

// Snapshot is the replicated state after the entry at an index.
type Snapshot struct{ options SnapshotOptions }

// NewSnapshot returns a snapshot.
func NewSnapshot(o SnapshotOptions) Snapshot { return Snapshot{options: o} }

// Index returns the index of the last entry that the state includes.
func (s Snapshot) Index() uint64 { return s.options.Index }

// Term returns the term of that entry.
func (s Snapshot) Term() uint64 { return s.options.Term }

// LogTime returns the log time of that entry, in milliseconds.
func (s Snapshot) LogTime() dhclock.Millis { return s.options.LogTime }

// Members returns the members of the consensus group.
func (s Snapshot) Members() []Member { return s.options.Members }

// Catalog returns the configuration; nil stands for the empty one.
func (s Snapshot) Catalog() *dhcatalog.Catalog { return s.options.Catalog }

// RecentChanges returns the newest accepted change sets with their content, oldest first.
func (s Snapshot) RecentChanges() []AcceptedChange { return s.options.RecentChanges }

// Receipts returns those of the accepted change sets before RecentChanges, oldest first.
func (s Snapshot) Receipts() []Receipt { return s.options.Receipts }

// LimitsChangedAt returns the log time of the last change of limits, or of the instances that
// share them; 0 if none is recorded.
func (s Snapshot) LimitsChangedAt() dhclock.Millis { return s.options.LimitsChangedAt }

// DrainStarts returns the log times at which the drains were accepted, sorted by name.
func (s Snapshot) DrainStarts() []DrainStart { return s.options.DrainStarts }

// Claims returns all claims that are kept.
func (s Snapshot) Claims() []ClaimRecord { return s.options.Claims }

// AcceptedChange is a change set together with the version that it created.
type AcceptedChange struct {
	version   uint64
	logTime   dhclock.Millis      `journal:"at"`
	changeSet dhcatalog.ChangeSet `journal:"set"`
	undo      dhcatalog.ChangeSet
}

// NewAcceptedChange returns an accepted change set. Undo restores what the
// change set replaced.
func NewAcceptedChange(version uint64, logTime dhclock.Millis, s, undo dhcatalog.ChangeSet) AcceptedChange {
	return AcceptedChange{version: version, logTime: logTime, changeSet: s, undo: undo}
}

// WithoutText returns the change without the texts of declarations.
func (a AcceptedChange) WithoutText() AcceptedChange {
	a.changeSet, a.undo = a.changeSet.WithoutText(), a.undo.WithoutText()
	return a
}

// Undo returns the objects, deletions and blocks that restore the version
// before.
func (a AcceptedChange) Undo() dhcatalog.ChangeSet { return a.undo }

// Version returns the version that the change set created.
func (a AcceptedChange) Version() uint64 { return a.version }

// LogTime returns the log time of acceptance, in milliseconds.
func (a AcceptedChange) LogTime() dhclock.Millis { return a.logTime }

// ChangeSet returns the change set.
func (a AcceptedChange) ChangeSet() dhcatalog.ChangeSet { return a.changeSet }

// Receipt returns what is kept of the change once its content is dropped.
func (a AcceptedChange) Receipt() Receipt {
	return NewReceipt(ReceiptOptions{
		Version: a.version, LogTime: a.logTime, ID: a.changeSet.ID(), Author: a.changeSet.Author(), Digest: a.changeSet.Digest(),
	})
}

// ReceiptOptions are the fields of a Receipt.
type ReceiptOptions struct {
	// Version is the version that the change set created.
	Version uint64
	// LogTime is the log time of acceptance, in milliseconds.
	LogTime dhclock.Millis
	// ID is the identifier that resends share.
	ID string
	// Author is the operator or component that made the change.
	Author string
	// Digest is the hash of the content.
	Digest dhcatalog.Hash
}

// Receipt tells of an accepted change set without its content. It identifies resends.
type Receipt struct{ options ReceiptOptions }

// NewReceipt returns a receipt.
func NewReceipt(o ReceiptOptions) Receipt { return Receipt{options: o} }

// Version returns the version that the change set created.
func (r Receipt) Version() uint64 { return r.options.Version }

// LogTime returns the log time of acceptance, in milliseconds.
func (r Receipt) LogTime() dhclock.Millis { return r.options.LogTime }

// ID returns the identifier that resends share.
func (r Receipt) ID() string { return r.options.ID }

// Author returns the operator or component that made the change.
func (r Receipt) Author() string { return r.options.Author }

// Digest returns the hash of the content.
func (r Receipt) Digest() dhcatalog.Hash { return r.options.Digest }

// DrainStart tells when a drain was accepted.
type DrainStart struct {
	name    string
	logTime dhclock.Millis
}

// NewDrainStart returns a drain with the log time at which it was accepted, in milliseconds.
func NewDrainStart(name string, logTime dhclock.Millis) DrainStart {
	return DrainStart{name: name, logTime: logTime}
}

// Name returns the name of the drain.
func (d DrainStart) Name() string { return d.name }

// LogTime returns the log time at which the drain was accepted, in milliseconds.
func (d DrainStart) LogTime() dhclock.Millis { return d.logTime }

// ClaimRecordOptions are the fields of a ClaimRecord.
type ClaimRecordOptions struct {
	// Key is the identity of the claim.
	Key ClaimKey
	// Claimant is the request that holds the claim.
	Claimant Claimant
	// Digest is the hash of the request's content.
	Digest dhcatalog.Hash
	// State is the state of the request.
	State ClaimState
	// Response is the recorded response for ClaimDone, else nil.
	Response *Response `journal:"Answer"`
	// Deadline is the log time after which an open claim is unclear.
	Deadline dhclock.Millis
	// Expiry is the log time after which the claim is deleted.
	Expiry dhclock.Millis
}

// ClaimRecord is a claim as the replicated state keeps it.
type ClaimRecord struct{ options ClaimRecordOptions }

// NewClaimRecord returns a claim record.
func NewClaimRecord(o ClaimRecordOptions) ClaimRecord { return ClaimRecord{options: o} }

// Key returns the identity of the claim.
func (c ClaimRecord) Key() ClaimKey { return c.options.Key }

// Claimant returns the request that holds the claim.
func (c ClaimRecord) Claimant() Claimant { return c.options.Claimant }

// Digest returns the hash of the request's content.
func (c ClaimRecord) Digest() dhcatalog.Hash { return c.options.Digest }

// State returns the state of the request.
func (c ClaimRecord) State() ClaimState { return c.options.State }

// Response returns the recorded response for ClaimDone, else nil.
func (c ClaimRecord) Response() *Response { return c.options.Response }

// Deadline returns the log time after which an open claim is unclear.
func (c ClaimRecord) Deadline() dhclock.Millis { return c.options.Deadline }

// Expiry returns the log time after which the claim is deleted.
func (c ClaimRecord) Expiry() dhclock.Millis { return c.options.Expiry }
