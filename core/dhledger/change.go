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
// it together with its inverse.
func (l *Ledger) accept(next *dhcatalog.Catalog, s dhcatalog.ChangeSet) {
	undo := l.catalog.Undo(s)
	l.catalog = next
	l.records.accept(dhmessage.NewAcceptedChange(next.Version(), l.logTime, s, undo))
}

// Preview returns the result that committing a change set now would have.
func (l *Ledger) Preview(s dhcatalog.ChangeSet) dhmessage.Result {
	_, result := l.evaluate(s)
	return result
}

// evaluate returns the result of a change set and the catalog that it leads to.
// The catalog is nil if the change set is refused or was accepted before.
func (l *Ledger) evaluate(s dhcatalog.ChangeSet) (*dhcatalog.Catalog, dhmessage.Result) {
	if first, found := l.records.receiptsByID[s.ID()]; found {
		if first.Digest() != s.Digest() {
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
