package dhoperator

import (
	"encoding/json"
	"net/http"
	"strconv"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dherrors"
	"dogwoodhitch/io/dhwire"
)

// Diff holds the changes between two versions as change sets without an ID.
// Forward changes version From to version To, and Back reverts that.
type Diff struct {
	From    uint64          `json:"from"`
	To      uint64          `json:"to"`
	Forward json.RawMessage `json:"forward"`
	Back    json.RawMessage `json:"back"`
}

// diff returns the changes since a version, and the change set that reverts
// them: submitted as a new change, it rolls back to that version.
func (a *API) diff(r *http.Request) (any, error) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		return nil, dherrors.New(dherrors.KindMalformed, "parameter since is missing or not a number", "set it to the version to compare with")
	}
	history, err := a.options.Control.History(r.Context())
	if err != nil {
		return nil, err
	}
	catalog, changes := a.options.View().Catalog(), history.Changes()
	current := catalog.Version()
	if since >= current || current-since > uint64(len(changes)+len(history.Older())) {
		return nil, dherrors.New(dherrors.KindNotFound, "version "+strconv.FormatUint(since, 10)+" isn't in the history",
			"see 'history' for the versions; the current version is "+strconv.FormatUint(current, 10))
	}
	kept := uint64(len(changes))
	if current-since > kept {
		return nil, dherrors.New(dherrors.KindNotFound, "what changed after version "+strconv.FormatUint(since, 10)+" is no longer kept",
			"compare with version "+strconv.FormatUint(current-kept, 10)+" or a later one, or apply the earlier objects from a copy of your own")
	}
	return diffOf(since, catalog, changes[kept-(current-since):])
}

func diffOf(since uint64, c *dhcatalog.Catalog, list []dhmessage.AcceptedChange) (Diff, error) {
	var sets, undos []dhcatalog.ChangeSet
	for i := range list {
		sets = append(sets, list[len(list)-1-i].ChangeSet())
		undos = append(undos, list[i].Undo())
	}
	d := Diff{From: since, To: c.Version()}
	var err error
	// For an object that changed several times, Forward has the newest change and
	// Back the oldest undo.
	if d.Forward, err = marshalProto(dhwire.ChangeSetToWire(dhcatalog.Merge(dhcatalog.ChangeSetOptions{Base: since}, sets))); err != nil {
		return d, err
	}
	d.Back, err = marshalProto(dhwire.ChangeSetToWire(c.Rollback(dhcatalog.ChangeSetOptions{Base: c.Version()}, undos)))
	return d, err
}
