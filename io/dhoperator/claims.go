package dhoperator

import (
	"net/http"

	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dherrors"
)

func (a *API) claim(r *http.Request) (any, error) {
	k := dhmessage.NewClaimKey(r.URL.Query().Get("organisation"), r.URL.Query().Get("key"))
	record, found, err := a.options.Control.Claim(r.Context(), k)
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, dherrors.New(dherrors.KindNotFound, "this process stores no such claim", "query the leader; claims are deleted after retentionMs")
	}
	return claimOf(record), nil
}

// resolveClaim records an operator's decision on a claim whose outcome is
// unclear.
func (a *API) resolveClaim(r *http.Request) (any, error) {
	var body struct {
		Organisation string `json:"organisation"`
		Key          string `json:"key"`
		Ran          *bool  `json:"ran"`
	}
	if err := decodeBody(r.Body, &body); err != nil {
		return nil, err
	}
	if body.Ran == nil {
		return nil, dherrors.New(dherrors.KindMalformed, "field ran is missing", "set it to true if the upstream ran the request, else to false")
	}
	result, err := a.propose(r.Context(), dhmessage.NewResolve(dhmessage.NewClaimKey(body.Organisation, body.Key), *body.Ran))
	if err != nil {
		return nil, err
	}
	return struct {
		State string `json:"state"`
	}{result.ClaimState().String()}, nil
}
