package dhledger

import (
	"strconv"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhmessage"
)

// The authors of change sets that come from no operator's change set.
const (
	declareAuthor   = "declaration"
	declareIDPrefix = "declare-"
	editIDPrefix    = "edit-"
)

// applyDeclare puts a whole configuration in force if its number is higher than
// that of the last one. A number that was reached before changes nothing, and
// is answered like one that was accepted: it may be a resend.
func (l *Ledger) applyDeclare(d dhmessage.Declare) dhmessage.Result {
	next, set, result := l.evaluateDeclare(d)
	if next != nil {
		l.accept(next, set)
	}
	return result
}

// PreviewDeclare tells what a declaration would lead to now, without committing
// it.
func (l *Ledger) PreviewDeclare(d dhmessage.Declare) dhmessage.Result {
	_, _, result := l.evaluateDeclare(d)
	return result
}

func (l *Ledger) evaluateDeclare(d dhmessage.Declare) (*dhcatalog.Catalog, dhcatalog.ChangeSet, dhmessage.Result) {
	set := l.catalog.Replace(dhcatalog.ChangeSetOptions{
		ID: declareIDPrefix + strconv.FormatUint(l.index, 10), Base: l.catalog.Version(), Author: declareAuthor,
	}, append(d.Objects()[:len(d.Objects()):len(d.Objects())], d.Declaration()))
	next, err := l.catalog.Apply(set)
	old, found := l.catalog.Declaration()
	held := found && old.Number() >= d.Declaration().Number()
	switch {
	case err != nil && !set.Empty():
		return nil, set, refused(err)
	case held || err != nil:
		return nil, set, dhmessage.NewResult(dhmessage.ResultOptions{Version: l.catalog.Version()})
	default:
		return next, set, dhmessage.NewResult(dhmessage.ResultOptions{Version: next.Version()})
	}
}

// applyEdit puts and deletes single objects at whatever version there is. What
// stands later in an edit counts after what stands before it.
func (l *Ledger) applyEdit(e dhmessage.Edit) dhmessage.Result {
	d := editDraft{catalog: l.catalog, changed: map[dhcatalog.Ref]dhcatalog.Object{}}
	for _, x := range e.Puts() {
		if u, ok := x.(dhcatalog.Upstream); !ok || d.acceptUpstream(u) {
			d.put(x)
		}
	}
	set := dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
		ID: editIDPrefix + strconv.FormatUint(l.index, 10), Base: l.catalog.Version(), Author: e.Author(),
		Puts: d.puts(), Deletes: d.deletes(e.Deletes()),
	})
	if set.Empty() {
		return dhmessage.NewResult(dhmessage.ResultOptions{Version: l.catalog.Version()})
	}
	next, err := l.catalog.Apply(set)
	if err != nil {
		return refused(err)
	}
	l.accept(next, set)
	return dhmessage.NewResult(dhmessage.ResultOptions{Version: next.Version()})
}
