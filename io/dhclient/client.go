// Package dhclient is a client of the operators' API.
package dhclient

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"dogwoodhitch/io/dherrors"
	"dogwoodhitch/io/dhoperator"
	"dogwoodhitch/io/dhproto"

	"google.golang.org/protobuf/encoding/protojson"
)

// callTimeout limits one HTTP request.
const callTimeout = 30 * time.Second

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 256 << 20

// Options configure a client.
type Options struct {
	// Servers are the addresses at which processes listen for operators, tried in
	// this order.
	Servers []string
	// Secret is the operators' secret.
	Secret string
	// TLS configures the connections; nil for plain HTTP.
	TLS *tls.Config
}

// Client calls the operators' API of one or several processes.
type Client struct {
	options Options
	http    *http.Client
}

// New returns a client.
func New(o Options) *Client {
	return &Client{options: o, http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{TLSClientConfig: o.TLS}}}
}

// forServer returns a client of a single server with the same secret.
func (c *Client) forServer(server string) *Client {
	return &Client{options: Options{Servers: []string{server}, Secret: c.options.Secret, TLS: c.options.TLS}, http: c.http}
}

// call sends a request to the servers in order until one responds, and decodes
// that response into a value. An error response counts as a response.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, into any) error {
	var last error
	for _, server := range c.options.Servers {
		response, err := c.send(ctx, server, method, path, query, body)
		if err != nil {
			last = err
			continue
		}
		return decodeResponse(response, into)
	}
	return dherrors.New(dherrors.KindUnreachable, "no process responds at "+strings.Join(c.options.Servers, ", ")+": "+last.Error(),
		"check --server")
}

func (c *Client) send(ctx context.Context, server, method, path string, query url.Values, body []byte) (*http.Response, error) {
	target := "http://" + server + path
	if c.options.TLS != nil {
		target = "https://" + server + path
	}
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.options.Secret)
	return c.http.Do(r)
}

func decodeResponse(r *http.Response, into any) error {
	defer r.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxResponseBytes+1))
	if len(raw) > maxResponseBytes {
		return dherrors.New(dherrors.KindUnreachable, fmt.Sprintf("the response is longer than %d bytes", maxResponseBytes), "check that --server is an operators' address")
	}
	if err != nil {
		return dherrors.New(dherrors.KindOutcomeUnknown, "the response was cut off: "+err.Error(), "resend the request with the same id")
	}
	if r.StatusCode != http.StatusOK {
		var refusal struct {
			Kind    dherrors.Kind `json:"kind"`
			Message string        `json:"message"`
		}
		if json.Unmarshal(raw, &refusal) != nil || refusal.Message == "" {
			return dherrors.New(dherrors.KindUnreachable, "the server responded with "+r.Status, "check that --server is an operators' address")
		}
		return dherrors.Wrap(refusal.Kind, serverError(refusal.Message))
	}
	return json.Unmarshal(raw, into)
}

// serverError is the message of an error response; it names the remedy.
type serverError string

// Error implements error.
func (e serverError) Error() string { return string(e) }

// SubmitJSON submits a change set in JSON. With dryRun the server only validates
// it; with wait it responds once the change is in force on every instance.
func (c *Client) SubmitJSON(ctx context.Context, raw []byte, dryRun, wait bool) (dhoperator.Changed, error) {
	var out dhoperator.Changed
	query := url.Values{}
	if dryRun {
		query.Set("dryRun", "true")
	}
	if wait {
		query.Set("wait", "true")
	}
	err := c.call(ctx, http.MethodPost, "/v1/changes", query, raw, &out)
	return out, err
}

// SubmitChangeSet encodes and submits a change set.
func (c *Client) SubmitChangeSet(ctx context.Context, m *dhproto.ChangeSet, wait bool) (dhoperator.Changed, error) {
	raw, err := protojson.Marshal(m)
	if err != nil {
		return dhoperator.Changed{}, err
	}
	return c.SubmitJSON(ctx, raw, false, wait)
}

// ObjectList holds objects in JSON, and the version that they reflect.
type ObjectList struct {
	Version uint64            `json:"version"`
	Objects []json.RawMessage `json:"objects"`
}

// Objects returns the objects of a kind and name; an empty kind or name matches
// all. With current it is a linearizable read.
func (c *Client) Objects(ctx context.Context, kind, name string, current bool) (ObjectList, error) {
	var out ObjectList
	query := url.Values{"kind": {kind}, "name": {name}}
	if current {
		query.Set("current", "true")
	}
	err := c.call(ctx, http.MethodGet, "/v1/objects", query, nil, &out)
	return out, err
}

// History returns the most recent accepted change sets.
func (c *Client) History(ctx context.Context) ([]dhoperator.Accepted, error) {
	var out struct {
		Changes []dhoperator.Accepted `json:"changes"`
	}
	err := c.call(ctx, http.MethodGet, "/v1/changes", nil, nil, &out)
	return out.Changes, err
}

// Diff returns the changes from a version to the current one, and the change set
// that reverts them.
func (c *Client) Diff(ctx context.Context, since uint64) (dhoperator.Diff, error) {
	var out dhoperator.Diff
	err := c.call(ctx, http.MethodGet, "/v1/changes/diff", url.Values{"since": {strconv.FormatUint(since, 10)}}, nil, &out)
	return out, err
}

// Status returns the status that the leader reports if one of the servers leads,
// else that of the first server that responds. It fails if none responds.
func (c *Client) Status(ctx context.Context) (dhoperator.Status, error) {
	var chosen dhoperator.Status
	var last error
	found := false
	for _, server := range c.options.Servers {
		var s dhoperator.Status
		single := c.forServer(server)
		if err := single.call(ctx, http.MethodGet, "/v1/status", nil, nil, &s); err != nil {
			last = err
			continue
		}
		if !found || s.IsLeader {
			chosen, found = s, true
		}
	}
	if !found {
		return chosen, last
	}
	return chosen, nil
}

// Pools returns the upstreams of an entry instance, by service.
func (c *Client) Pools(ctx context.Context) ([]dhoperator.Pool, error) {
	var out struct {
		Pools []dhoperator.Pool `json:"pools"`
	}
	err := c.call(ctx, http.MethodGet, "/v1/pools", nil, nil, &out)
	return out.Pools, err
}

// Burn returns the burn of the objectives, merged over all servers and sorted by
// descending burn. It fails if a server doesn't respond.
func (c *Client) Burn(ctx context.Context) ([]dhoperator.Burn, error) {
	var all []dhoperator.Burn
	for _, server := range c.options.Servers {
		var out struct {
			Rows []dhoperator.Burn `json:"rows"`
		}
		single := c.forServer(server)
		if err := single.call(ctx, http.MethodGet, "/v1/burn", nil, nil, &out); err != nil {
			return nil, err
		}
		all = append(all, out.Rows...)
	}
	return dhoperator.MergeBurn(all), nil
}

// Claim returns a claim, or an error of KindNotFound if the server has no such
// claim.
func (c *Client) Claim(ctx context.Context, organisation, key string) (dhoperator.Claim, error) {
	var out dhoperator.Claim
	err := c.call(ctx, http.MethodGet, "/v1/claims", url.Values{"organisation": {organisation}, "key": {key}}, nil, &out)
	return out, err
}

// ResolveClaim records whether a request with an unclear outcome ran, and
// returns the new state of its claim.
func (c *Client) ResolveClaim(ctx context.Context, organisation, key string, ran bool) (string, error) {
	var out struct {
		State string `json:"state"`
	}
	body, err := json.Marshal(struct {
		Organisation string `json:"organisation"`
		Key          string `json:"key"`
		Ran          bool   `json:"ran"`
	}{organisation, key, ran})
	if err != nil {
		return "", err
	}
	err = c.call(ctx, http.MethodPost, "/v1/claims/settle", nil, body, &out)
	return out.State, err
}

// EditVoter adds, removes or replaces a member of the consensus group.
func (c *Client) EditVoter(ctx context.Context, action, name, address, folder string) error {
	var out struct {
		Done bool `json:"done"`
	}
	body, err := json.Marshal(struct {
		Action  string `json:"action"`
		Name    string `json:"name"`
		Address string `json:"address"`
		Folder  string `json:"folder"`
	}{action, name, address, folder})
	if err != nil {
		return err
	}
	return c.call(ctx, http.MethodPost, "/v1/voters", nil, body, &out)
}
