package dhmessage

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
)

// SnapshotOptions are the fields of a Snapshot.
type SnapshotOptions struct {
	Index   uint64
	Term    uint64
	At      dhclock.Millis
	Voters  []Voter
	Catalog *dhcatalog.Catalog
	// Recent are the newest change sets, oldest first.
	Recent []Accepted
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

// At returns the log time of that entry.
func (s Snapshot) At() dhclock.Millis { return s.options.At }

// Voters returns the members of the consensus group.
func (s Snapshot) Voters() []Voter { return s.options.Voters }

// Catalog returns the configuration; nil stands for the empty one.
func (s Snapshot) Catalog() *dhcatalog.Catalog { return s.options.Catalog }

// Recent returns the newest accepted change sets, oldest first.
func (s Snapshot) Recent() []Accepted { return s.options.Recent }

// Claims returns every claim.
func (s Snapshot) Claims() []ClaimRecord { return s.options.Claims }

// Accepted is a change set together with the version that it made.
type Accepted struct {
	version uint64
	at      dhclock.Millis
	set     dhcatalog.ChangeSet
	undo    dhcatalog.ChangeSet
}

// NewAccepted returns an accepted change set. The undo holds what it replaced.
func NewAccepted(version uint64, at dhclock.Millis, s, undo dhcatalog.ChangeSet) Accepted {
	return Accepted{version: version, at: at, set: s, undo: undo}
}

// Undo returns the objects, deletions and blocks that lead back to the version
// before.
func (a Accepted) Undo() dhcatalog.ChangeSet { return a.undo }

// Version returns the version that the change set made.
func (a Accepted) Version() uint64 { return a.version }

// At returns the log time of acceptance.
func (a Accepted) At() dhclock.Millis { return a.at }

// Set returns the change set.
func (a Accepted) Set() dhcatalog.ChangeSet { return a.set }

// ClaimRecordOptions are the fields of a ClaimRecord.
type ClaimRecordOptions struct {
	Key      ClaimKey
	Claimant Claimant
	Digest   dhcatalog.KeyHash
	State    ClaimState
	Answer   *Answer
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

// Answer returns the recorded answer for ClaimDone, else nil.
func (c ClaimRecord) Answer() *Answer { return c.options.Answer }

// Deadline returns the log time after which an open claim is unclear.
func (c ClaimRecord) Deadline() dhclock.Millis { return c.options.Deadline }

// Expiry returns the log time after which the claim is forgotten.
func (c ClaimRecord) Expiry() dhclock.Millis { return c.options.Expiry }
