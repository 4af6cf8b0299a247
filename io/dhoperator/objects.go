package dhoperator

import (
	"encoding/json"
	"net/http"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/io/dherrors"
	"dogwoodhitch/io/dhwire"
)

// objects lists the objects, optionally of one kind and name only. With current
// it is a linearizable read: the response reflects every change that was
// accepted before the request.
func (a *API) objects(r *http.Request) (any, error) {
	if queryFlag(r, "current") {
		result, err := a.options.Control.ReadBarrier(r.Context(), operationTimeout)
		if err != nil || result.OutcomeUnknown() {
			return nil, dherrors.New(dherrors.KindOutcomeUnknown, "this process could not confirm that its configuration is current", "query another process, or omit current")
		}
	}
	c := a.options.View().Catalog()
	kind, name := dhcatalog.Kind(r.URL.Query().Get("kind")), r.URL.Query().Get("name")
	out := struct {
		Version uint64            `json:"version"`
		Objects []json.RawMessage `json:"objects"`
	}{Version: c.Version(), Objects: []json.RawMessage{}}
	for _, k := range dhcatalog.Kinds() {
		if kind != "" && kind != k {
			continue
		}
		for _, o := range c.List(k) {
			if name != "" && o.Ref().Name() != name {
				continue
			}
			raw, err := marshalProto(dhwire.ObjectToWire(o))
			if err != nil {
				return nil, err
			}
			out.Objects = append(out.Objects, raw)
		}
	}
	if name != "" && len(out.Objects) == 0 {
		return nil, dherrors.New(dherrors.KindNotFound, "there is no "+string(kind)+"/"+name, "list the objects with 'get'")
	}
	return out, nil
}

func marshalProto(m proto.Message) (json.RawMessage, error) {
	raw, err := protojson.MarshalOptions{EmitUnpopulated: false}.Marshal(m)
	return raw, err
}
