package dhledger

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhmessage"
)

// applyChange accepts a change set once. A resend gets the first answer.
func (l *Ledger) applyChange(s dhcatalog.ChangeSet) dhmessage.Result {
	next, result := l.evaluate(s)
	if next != nil {
		l.accept(next, s)
	}
	return result
}

// accept puts a change set in force and remembers it with the way back.
func (l *Ledger) accept(next *dhcatalog.Catalog, s dhcatalog.ChangeSet) {
	undo := l.catalog.Undo(s)
	l.catalog = next
	a := dhmessage.NewAccepted(next.Version(), l.at, s, undo)
	l.recordLimitsChange(a)
	l.recordAccepted(a)
}

func (l *Ledger) recordLimitsChange(a dhmessage.Accepted) {
	if a.Set().AffectsLimits() {
		l.limitsChangedAt = a.At()
	}
}

// Preview tells what a change set would lead to now, without committing it.
func (l *Ledger) Preview(s dhcatalog.ChangeSet) dhmessage.Result {
	_, result := l.evaluate(s)
	return result
}

// evaluate returns what a change set leads to, and the configuration that it
// makes, unless it is refused or came before.
func (l *Ledger) evaluate(s dhcatalog.ChangeSet) (*dhcatalog.Catalog, dhmessage.Result) {
	if first, found := l.byID[s.ID()]; found {
		if first.Set().Digest() != s.Digest() {
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

func (l *Ledger) recordAccepted(a dhmessage.Accepted) {
	l.recent = append(l.recent, a)
	l.byID[a.Set().ID()] = a
	if len(l.recent) <= MaxRecent {
		return
	}
	drop := l.recent[0]
	l.recent = l.recent[1:]
	delete(l.byID, drop.Set().ID())
}

// ChangeSetsSince returns the change sets of a history that lead from one version to
// the current one, or false if the history doesn't reach back so far.
func ChangeSetsSince(recent []dhmessage.Accepted, current, version uint64) ([]dhcatalog.ChangeSet, bool) {
	if version >= current {
		return nil, version == current
	}
	missing := current - version
	if missing > uint64(len(recent)) {
		return nil, false
	}
	list := make([]dhcatalog.ChangeSet, 0, missing)
	for _, a := range recent[uint64(len(recent))-missing:] {
		list = append(list, a.Set())
	}
	return list, true
}
