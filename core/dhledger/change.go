package dhledger

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhmessage"
)

// applyChange applies a change set at most once. A resend returns the version
// of the first time.
func (l *Ledger) applyChange(s dhcatalog.ChangeSet) dhmessage.Result {
	next, result := l.evaluate(s)
	if next != nil {
		l.accept(next, s)
	}
	return result
}

// accept makes next the current catalog and records the change set that led to
// it together with its inverse. The text of a declaration stays in the catalog alone: the
// history would hold as many texts as changes.
func (l *Ledger) accept(next *dhcatalog.Catalog, s dhcatalog.ChangeSet) {
	undo := l.catalog.Undo(s)
	l.catalog = next
	a := dhmessage.NewAcceptedChange(next.Version(), l.logTime, s, undo).WithoutText()
	l.recordLimitsChange(a)
	l.recordAccepted(a)
}

// recordLimitsChange updates limitsChangedAt after an accepted change set.
func (l *Ledger) recordLimitsChange(a dhmessage.AcceptedChange) {
	if a.ChangeSet().AffectsLimits() {
		l.limitsChangedAt = a.LogTime()
	}
}

// Preview returns the result that committing a change set now would have.
func (l *Ledger) Preview(s dhcatalog.ChangeSet) dhmessage.Result {
	_, result := l.evaluate(s)
	return result
}

// evaluate returns the result of a change set and the catalog that it leads to.
// The catalog is nil if the change set is refused or was accepted before.
func (l *Ledger) evaluate(s dhcatalog.ChangeSet) (*dhcatalog.Catalog, dhmessage.Result) {
	if first, found := l.changesByID[s.ID()]; found {
		if first.ChangeSet().Digest() != s.Digest() {
			return nil, refused(dhcatalog.NewReusedError(s.ID()))
		}
		return nil, dhmessage.NewResult(dhmessage.ResultOptions{Version: first.Version()})
	}
	next, err := l.catalog.Apply(s)
	if err != nil {
		return nil, refused(err)
	}
	return next, dhmessage.NewResult(dhmessage.ResultOptions{Version: next.Version()})
}

func refused(err error) dhmessage.Result {
	return dhmessage.NewResult(dhmessage.ResultOptions{Err: err})
}

// recordAccepted appends to the recent changes and drops the oldest one beyond
// MaxRecentChanges.
func (l *Ledger) recordAccepted(a dhmessage.AcceptedChange) {
	l.recentChanges = append(l.recentChanges, a)
	l.changesByID[a.ChangeSet().ID()] = a
	if len(l.recentChanges) <= MaxRecentChanges {
		return
	}
	oldest := l.recentChanges[0]
	l.recentChanges = l.recentChanges[1:]
	delete(l.changesByID, oldest.ChangeSet().ID())
}

// ChangeSetsSince returns the change sets that lead from a version to the
// current one, given the recent changes, oldest first. It returns false if these
// start after that version or the version is newer than the current one.
func ChangeSetsSince(recent []dhmessage.AcceptedChange, current, version uint64) ([]dhcatalog.ChangeSet, bool) {
	if version >= current {
		return nil, version == current
	}
	missing := current - version
	if missing > uint64(len(recent)) {
		return nil, false
	}
	list := make([]dhcatalog.ChangeSet, 0, missing)
	for _, a := range recent[uint64(len(recent))-missing:] {
		list = append(list, a.ChangeSet())
	}
	return list, true
}
