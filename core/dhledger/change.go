package dhledger

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhmessage"
)

// applyChange accepts a change set once. A resend gets the first answer.
func (l *Ledger) applyChange(s dhcatalog.ChangeSet) dhmessage.Result {
	if first, found := l.byID[s.ID()]; found {
		if first.Set().Digest() != s.Digest() {
			return refused(dhcatalog.NewReusedError(s.ID()))
		}
		return dhmessage.NewResult(dhmessage.ResultOptions{Version: first.Version()})
	}
	next, err := l.catalog.Apply(s)
	if err != nil {
		return refused(err)
	}
	undo := l.catalog.Undo(s)
	l.catalog = next
	l.remember(dhmessage.NewAccepted(next.Version(), l.at, s, undo))
	return dhmessage.NewResult(dhmessage.ResultOptions{Version: next.Version()})
}

func refused(err error) dhmessage.Result {
	return dhmessage.NewResult(dhmessage.ResultOptions{Err: err})
}

func (l *Ledger) remember(a dhmessage.Accepted) {
	l.recent = append(l.recent, a)
	l.byID[a.Set().ID()] = a
	if len(l.recent) <= MaxRecent {
		return
	}
	drop := l.recent[0]
	l.recent = l.recent[1:]
	delete(l.byID, drop.Set().ID())
}

// Preview tells what a change set would lead to now, without committing it.
func (l *Ledger) Preview(s dhcatalog.ChangeSet) dhmessage.Result {
	if first, found := l.byID[s.ID()]; found {
		if first.Set().Digest() != s.Digest() {
			return refused(dhcatalog.NewReusedError(s.ID()))
		}
		return dhmessage.NewResult(dhmessage.ResultOptions{Version: first.Version()})
	}
	next, err := l.catalog.Apply(s)
	if err != nil {
		return refused(err)
	}
	return dhmessage.NewResult(dhmessage.ResultOptions{Version: next.Version()})
}

// Since returns the change sets that follow a version, in order, or false if
// the memory doesn't reach back so far.
func (l *Ledger) Since(version uint64) ([]dhcatalog.ChangeSet, bool) {
	return SetsSince(l.recent, l.catalog.Version(), version)
}

// SetsSince returns the change sets of a history that lead from one version to
// the current one, or false if the history doesn't reach back so far.
func SetsSince(recent []dhmessage.Accepted, current, version uint64) ([]dhcatalog.ChangeSet, bool) {
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
