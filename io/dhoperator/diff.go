package dhoperator

import (
	"encoding/json"
	"net/http"
	"strconv"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhfault"
	"dogwoodhitch/io/dhwire"
)

// Diff is what leads between two versions, as change sets without id.
type Diff struct {
	From    uint64          `json:"from"`
	To      uint64          `json:"to"`
	Forward json.RawMessage `json:"forward"`
	Back    json.RawMessage `json:"back"`
}

// diff tells what changed since a version, and the change set that leads back
// to it: sent as a new change, it rolls back.
func (a *API) diff(r *http.Request) (any, error) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		return nil, dhfault.New(dhfault.KindMalformed, "since is missing", "give the version to compare with")
	}
	history, err := a.options.Control.History(r.Context())
	if err != nil {
		return nil, err
	}
	catalog := a.options.View().Catalog()
	current := catalog.Version()
	if since >= current || current-since > uint64(len(history)) {
		return nil, dhfault.New(dhfault.KindNotFound, "version "+strconv.FormatUint(since, 10)+" isn't among those remembered",
			"read 'history' for them; the current version is "+strconv.FormatUint(current, 10))
	}
	return diffOf(since, catalog, history[uint64(len(history))-(current-since):])
}

func diffOf(since uint64, c *dhcatalog.Catalog, list []dhmessage.AcceptedChange) (Diff, error) {
	var sets, undos []dhcatalog.ChangeSet
	for i := range list {
		sets = append(sets, list[len(list)-1-i].ChangeSet())
		undos = append(undos, list[i].Undo())
	}
	d := Diff{From: since, To: c.Version()}
	var err error
	// The newest change of each object counts forward, the oldest undo back.
	if d.Forward, err = marshalProto(dhwire.ChangeSetToWire(dhcatalog.Merge(dhcatalog.ChangeSetOptions{Base: since}, sets))); err != nil {
		return d, err
	}
	d.Back, err = marshalProto(dhwire.ChangeSetToWire(c.Rollback(dhcatalog.ChangeSetOptions{Base: c.Version()}, undos)))
	return d, err
}
