package dhledger

import (
	"strconv"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhmessage"
)

// Author and ID prefixes of change sets that the ledger creates itself, from
// declarations and edits. The index of the log entry completes the ID.
const (
	declareAuthor   = "declaration"
	declareIDPrefix = "declare-"
	editIDPrefix    = "edit-"
)

// applyDeclare applies a complete configuration if its number is higher than
// that of the current declaration. A lower or equal number changes nothing and
// returns the same result as an accepted one, because it may be a resend.
func (l *Ledger) applyDeclare(d dhmessage.Declare) dhmessage.Result {
	next, set, result := l.evaluateDeclare(d)
	if next != nil {
		l.accept(next, set)
	}
	return result
}

// PreviewDeclare returns the result that committing a declaration now would
// have, and whether it would change the configuration.
func (l *Ledger) PreviewDeclare(d dhmessage.Declare) (result dhmessage.Result, changes bool) {
	next, _, result := l.evaluateDeclare(d)
	return result, next != nil
}

// evaluateDeclare returns the catalog that a declaration leads to, the change
// set that leads there, and the result. The catalog is nil if the declaration
// is invalid, empty, or its number isn't higher than the current one. An
// invalid declaration is refused whatever its number is.
func (l *Ledger) evaluateDeclare(d dhmessage.Declare) (*dhcatalog.Catalog, dhcatalog.ChangeSet, dhmessage.Result) {
	set := l.catalog.Replace(dhcatalog.ChangeSetOptions{
		ID: declareIDPrefix + strconv.FormatUint(l.index, 10), Base: l.catalog.Version(), Author: declareAuthor,
	}, append(d.Objects()[:len(d.Objects()):len(d.Objects())], d.Declaration()))
	next, err := l.catalog.Apply(set)
	old, found := l.catalog.Declaration()
	superseded := found && old.Number() >= d.Declaration().Number()
	switch {
	case err != nil && !set.Empty():
		return nil, set, refused(err)
	case superseded || err != nil:
		return nil, set, dhmessage.NewResult(dhmessage.ResultOptions{Version: l.catalog.Version()})
	default:
		return next, set, dhmessage.NewResult(dhmessage.ResultOptions{Version: next.Version()})
	}
}

// applyEdit puts and deletes single objects in the current version, whichever
// it is. The puts of an edit are applied in their order. Records of upstreams
// that the stored ones supersede are left out.
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
