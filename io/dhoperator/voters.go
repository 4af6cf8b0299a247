package dhoperator

import (
	"net/http"
	"strconv"

	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dherrors"
)

// editVoter adds, removes or replaces a member of the consensus group.
func (a *API) editVoter(r *http.Request) (any, error) {
	var body struct {
		Action  string `json:"action"`
		Name    string `json:"name"`
		Address string `json:"address"`
		Folder  string `json:"folder"`
	}
	if err := decodeBody(r.Body, &body); err != nil {
		return nil, err
	}
	action, found := map[string]dhmessage.MemberAction{
		"add": dhmessage.MemberAdd, "remove": dhmessage.MemberRemove, "replace": dhmessage.MemberReplace,
	}[body.Action]
	if !found {
		return nil, dherrors.New(dherrors.KindMalformed, "unknown action "+strconv.Quote(body.Action), "use add, remove or replace")
	}
	_, err := a.propose(r.Context(), dhmessage.NewMemberEdit(action, body.Name, body.Address, body.Folder))
	if err != nil {
		return nil, err
	}
	return struct {
		Done bool `json:"done"`
	}{true}, nil
}
