// Package dhhistory keeps the newest accepted change sets of a process with their content: to
// bring processes up to date with the change sets that they lack, and to list, compare and revert
// changes.
package dhhistory

import (
	"slices"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhmessage"
)

// Bounds of a history. One change set may replace the whole configuration, so a bound on their
// number doesn't bound the memory.
const (
	// MaxChanges is the number of change sets that are kept.
	MaxChanges = 4096
	// MaxBytes bounds the approximate size of the change sets and their inverses, in bytes. At
	// the target size it holds the changes of some days: 1,700 a day of one or two objects.
	MaxBytes = 4 << 20
)

// A history drops several change sets at once, because it is copied then.
const (
	// extraChanges is the number of change sets beyond MaxChanges from which on it drops some.
	extraChanges = MaxChanges / 4
	// trimmedBytes is the size to which it is trimmed from MaxBytes, in bytes.
	trimmedBytes = MaxBytes * 3 / 4
)

// History holds the newest accepted change sets in the order of their versions, without gaps. It
// is a value: With returns a new one. The zero value is empty.
type History struct {
	changes []dhmessage.AcceptedChange
	bytes   int
}

// New returns a history of the newest of some change sets, given oldest first.
func New(list []dhmessage.AcceptedChange) History {
	return History{changes: list}.trimmed(MaxBytes)
}

// With returns the history followed by a change set. Without capacity for the change set alone the
// result is empty.
func (h History) With(a dhmessage.AcceptedChange) History {
	h.changes = append(h.changes, a)
	h.bytes += a.ApproximateBytes()
	if len(h.changes) > MaxChanges+extraChanges || h.bytes > MaxBytes {
		return h.trimmed(trimmedBytes)
	}
	return h
}

// trimmed returns a copy of the newest change sets: at most MaxChanges, which together have at most
// maxBytes. A copy, unlike a slice, doesn't keep the content of the others in memory.
func (h History) trimmed(maxBytes int) History {
	first, bytes := len(h.changes), 0
	for i, a := range slices.Backward(h.changes) {
		size := a.ApproximateBytes()
		if len(h.changes)-i > MaxChanges || bytes+size > maxBytes {
			break
		}
		first, bytes = i, bytes+size
	}
	return History{changes: slices.Clone(h.changes[first:]), bytes: bytes}
}

// Changes returns the change sets, oldest first. The caller must not change the slice.
func (h History) Changes() []dhmessage.AcceptedChange { return h.changes }

// ApproximateBytes returns the approximate size of the change sets and their inverses, in bytes.
func (h History) ApproximateBytes() int { return h.bytes }

// Since returns the change sets that lead from a version to the current one. It returns false if
// the history starts after that version or the version is newer than the current one.
func (h History) Since(current, version uint64) ([]dhcatalog.ChangeSet, bool) {
	if version >= current {
		return nil, version == current
	}
	missing := current - version
	if missing > uint64(len(h.changes)) {
		return nil, false
	}
	list := make([]dhcatalog.ChangeSet, 0, missing)
	for _, a := range h.changes[uint64(len(h.changes))-missing:] {
		list = append(list, a.ChangeSet())
	}
	return list, true
}
