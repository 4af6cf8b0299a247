package dhmessage

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
)

// SnapshotOptions are the fields of a Snapshot.
type SnapshotOptions struct {
	Index   uint64
	Term    uint64
	LogTime dhclock.Millis
	Voters  []Voter
	Catalog *dhcatalog.Catalog
	// RecentChanges are the newest change sets, oldest first.
	RecentChanges []AcceptedChange
	Claims        []ClaimRecord
}

// Snapshot is the replicated state after the entry at an index.
type Snapshot struct{ options SnapshotOptions }

// NewSnapshot returns a snapshot.
func NewSnapshot(o SnapshotOptions) Snapshot { return Snapshot{options: o} }

// Index returns the index of the last entry that the state includes.
func (s Snapshot) Index() uint64 { return s.options.Index }

// Term returns the term of that entry.
func (s Snapshot) Term() uint64 { return s.options.Term }

// LogTime returns the log time of that entry.
func (s Snapshot) LogTime() dhclock.Millis { return s.options.LogTime }

// Voters returns the members of the consensus group.
func (s Snapshot) Voters() []Voter { return s.options.Voters }

// Catalog returns the configuration; nil stands for the empty one.
func (s Snapshot) Catalog() *dhcatalog.Catalog { return s.options.Catalog }

// RecentChanges returns the newest accepted change sets, oldest first.
func (s Snapshot) RecentChanges() []AcceptedChange { return s.options.RecentChanges }

// Claims returns every claim.
func (s Snapshot) Claims() []ClaimRecord { return s.options.Claims }

// AcceptedChange is a change set together with the version that it made.
type AcceptedChange struct {
	version   uint64
	logTime   dhclock.Millis
	changeSet dhcatalog.ChangeSet
	undo      dhcatalog.ChangeSet
}

// NewAcceptedChange returns an accepted change set. The undo holds what it replaced.
func NewAcceptedChange(version uint64, at dhclock.Millis, s, undo dhcatalog.ChangeSet) AcceptedChange {
	return AcceptedChange{version: version, logTime: at, changeSet: s, undo: undo}
}

// Undo returns the objects, deletions and blocks that lead back to the version
// before.
func (a AcceptedChange) Undo() dhcatalog.ChangeSet { return a.undo }

// Version returns the version that the change set made.
func (a AcceptedChange) Version() uint64 { return a.version }

// LogTime returns the log time of acceptance.
func (a AcceptedChange) LogTime() dhclock.Millis { return a.logTime }

// ChangeSet returns the change set.
func (a AcceptedChange) ChangeSet() dhcatalog.ChangeSet { return a.changeSet }

// ClaimRecordOptions are the fields of a ClaimRecord.
type ClaimRecordOptions struct {
	Key      ClaimKey
	Claimant Claimant
	Digest   dhcatalog.KeyHash
	State    ClaimState
	Response *Response
	// Deadline is the log time after which an open claim is unclear.
	Deadline dhclock.Millis
	// Expiry is the log time after which the claim is forgotten.
	Expiry dhclock.Millis
}

// ClaimRecord is a claim as the replicated state keeps it.
type ClaimRecord struct{ options ClaimRecordOptions }

// NewClaimRecord returns a claim record.
func NewClaimRecord(o ClaimRecordOptions) ClaimRecord { return ClaimRecord{options: o} }

// Key returns the identity of the claim.
func (c ClaimRecord) Key() ClaimKey { return c.options.Key }

// Claimant returns the attempt that holds the claim.
func (c ClaimRecord) Claimant() Claimant { return c.options.Claimant }

// Digest returns the hash of the request's content.
func (c ClaimRecord) Digest() dhcatalog.KeyHash { return c.options.Digest }

// State returns what is known of the request.
func (c ClaimRecord) State() ClaimState { return c.options.State }

// Response returns the recorded answer for ClaimDone, else nil.
func (c ClaimRecord) Response() *Response { return c.options.Response }

// Deadline returns the log time after which an open claim is unclear.
func (c ClaimRecord) Deadline() dhclock.Millis { return c.options.Deadline }

// Expiry returns the log time after which the claim is forgotten.
func (c ClaimRecord) Expiry() dhclock.Millis { return c.options.Expiry }
