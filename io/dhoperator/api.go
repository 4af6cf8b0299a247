// Package dhoperator serves the operators' API: HTTP and JSON under /v1/,
// with the operators' own credential. Every answer that rests on the
// configuration names the version that it reflects.
package dhoperator

import (
	"context"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhview"
	"dogwoodhitch/io/dhask"
	"dogwoodhitch/io/dhfault"
	"dogwoodhitch/io/dhproto"
	"dogwoodhitch/io/dhshard"
	"dogwoodhitch/io/dhwire"
)

// Bounds of the API.
const (
	// maxBody bounds a change set, in bytes.
	maxBody = 256 << 20
	// patience is how long a wish may take, in milliseconds.
	patience dhclock.Millis = 10_000
	// forcePatience is how long to wait for a version to be in force.
	forcePatience = 15 * time.Second
	// forcePoll is how often that is looked at.
	forcePoll = 20 * time.Millisecond
	// minSecret is the least length of a caller's key.
	minSecret = 16
)

// Options are what the API needs.
type Options struct {
	Asker *dhask.Asker
	// View returns the configuration in force here.
	View func() *dhview.View
	// Shard is the traffic state of an entry instance; nil on a voter.
	Shard   *dhshard.Shard
	Secret  string
	Metrics http.Handler
	// Ready tells why the process isn't ready, or nil.
	Ready func() error
	Log   *logrus.Entry
}

// API serves operators.
type API struct{ options Options }

// New returns the API.
func New(o Options) *API { return &API{options: o} }

// Handler returns the handler to serve.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { answer(w, struct{}{}) })
	mux.HandleFunc("GET /readyz", a.ready)
	mux.Handle("GET /metrics", a.options.Metrics)
	for pattern, f := range a.routes() {
		mux.HandleFunc(pattern, a.guard(f))
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		refuse(w, dhfault.New(dhfault.KindNotFound, "nothing stands at "+r.URL.Path, "see docs/OPERATING.md for the paths"))
	})
	return mux
}

// routes returns what needs the operators' credential. docs/openapi.json
// describes it.
func (a *API) routes() map[string]func(r *http.Request) (any, error) {
	return map[string]func(r *http.Request) (any, error){
		"POST /v1/changes":       a.change,
		"GET /v1/changes":        a.history,
		"GET /v1/changes/diff":   a.diff,
		"GET /v1/objects":        a.objects,
		"GET /v1/status":         a.status,
		"GET /v1/pools":          a.pools,
		"GET /v1/burn":           a.burn,
		"GET /v1/claims":         a.claim,
		"POST /v1/claims/settle": a.settle,
		"POST /v1/voters":        a.voters,
	}
}

// guard checks the credential, and writes what a function returns.
func (a *API) guard(f func(r *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte("Bearer "+a.options.Secret)) != 1 {
			refuse(w, dhfault.New(dhfault.KindDenied, "the operators' credential is missing or wrong",
				"send it as 'Authorization: Bearer SECRET'"))
			return
		}
		body, err := f(r)
		if err != nil {
			a.options.Log.WithError(err).WithField("path", r.URL.Path).Info("refused an operator's request")
			refuse(w, err)
			return
		}
		answer(w, body)
	}
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func refuse(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(dhfault.Status(err))
	_ = json.NewEncoder(w).Encode(struct {
		Kind    dhfault.Kind `json:"kind"`
		Message string       `json:"message"`
	}{dhfault.KindOf(err), err.Error()})
}

func (a *API) ready(w http.ResponseWriter, _ *http.Request) {
	if err := a.options.Ready(); err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		answer(w, struct {
			Reason string `json:"reason"`
		}{err.Error()})
		return
	}
	answer(w, struct{}{})
}

// change takes a change set. With dryRun it is only checked, against the
// configuration in force here; with wait the answer comes once it is in force
// everywhere.
func (a *API) change(r *http.Request) (any, error) {
	set, err := readChangeSet(r.Body)
	if err != nil {
		return nil, err
	}
	if flag(r, "dryRun") {
		next, err := a.options.View().Catalog().Apply(set)
		if err != nil {
			return nil, err
		}
		return Changed{Version: next.Version(), DryRun: true}, nil
	}
	result, err := a.propose(r.Context(), dhmessage.NewChange(set))
	if err != nil {
		return nil, err
	}
	changed := Changed{Version: result.Version()}
	if flag(r, "wait") {
		changed.InForce = a.waitInForce(r.Context(), result.Version())
	}
	return changed, nil
}

func flag(r *http.Request, name string) bool { return r.URL.Query().Get(name) == "true" }

// readChangeSet decodes a change set and hashes the secrets in it.
func readChangeSet(body io.Reader) (dhcatalog.ChangeSet, error) {
	raw, err := io.ReadAll(io.LimitReader(body, maxBody))
	if err != nil {
		return dhcatalog.ChangeSet{}, dhfault.New(dhfault.KindMalformed, "the body can't be read: "+err.Error(), "send it again")
	}
	return ParseChangeSet(raw)
}

// ParseChangeSet decodes a change set from JSON and hashes the secrets in it.
func ParseChangeSet(raw []byte) (dhcatalog.ChangeSet, error) {
	m := &dhproto.ChangeSet{}
	if err := protojson.Unmarshal(raw, m); err != nil {
		return dhcatalog.ChangeSet{}, dhfault.New(dhfault.KindMalformed, err.Error(),
			"send a change set as docs/OPERATING.md shows; unknown fields are refused")
	}
	for _, o := range m.GetPuts() {
		k := o.GetKey()
		if k.GetSecret() == "" {
			continue
		}
		if len(k.GetSecret()) < minSecret {
			return dhcatalog.ChangeSet{}, dhfault.New(dhfault.KindInvalid,
				"key/"+k.GetName()+" has a secret of "+strconv.Itoa(len(k.GetSecret()))+" characters", "use at least 16 random ones")
		}
		hash := dhwire.HashSecret(k.GetSecret())
		k.Hash, k.Secret = hex.EncodeToString(hash[:]), ""
	}
	return dhwire.ChangeSetFromWire(m)
}

func (a *API) propose(ctx context.Context, c dhmessage.Command) (dhmessage.Result, error) {
	result, err := a.options.Asker.Propose(ctx, c, patience)
	switch {
	case err != nil:
		return result, dhfault.New(dhfault.KindUnsure, "the request ended before the answer came", "send it again under the same id")
	case result.Err() != nil:
		return result, result.Err()
	case result.Unsure():
		return result, dhfault.New(dhfault.KindUnsure, "no majority of voters answered in time; it may still be accepted",
			"send it again under the same id, or read status")
	default:
		return result, nil
	}
}

// waitInForce waits until a version is in force everywhere.
func (a *API) waitInForce(ctx context.Context, version uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, forcePatience)
	defer cancel()
	ticker := time.NewTicker(forcePoll)
	defer ticker.Stop()
	for a.options.View().InForce() < version {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

func (a *API) history(r *http.Request) (any, error) {
	list, err := a.options.Asker.History(r.Context())
	if err != nil {
		return nil, err
	}
	return struct {
		Changes []Accepted `json:"changes"`
	}{acceptedOf(list)}, nil
}

// objects lists objects, all or of a kind and name. With current the answer
// certainly reflects every change accepted before the question.
func (a *API) objects(r *http.Request) (any, error) {
	if flag(r, "current") {
		result, err := a.options.Asker.Current(r.Context(), patience)
		if err != nil || result.Unsure() {
			return nil, dhfault.New(dhfault.KindUnsure, "this process can't vouch for its configuration", "ask another one, or leave current out")
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
			raw, err := encode(dhwire.ObjectToWire(o))
			if err != nil {
				return nil, err
			}
			out.Objects = append(out.Objects, raw)
		}
	}
	if name != "" && len(out.Objects) == 0 {
		return nil, dhfault.New(dhfault.KindNotFound, "there is no "+string(kind)+"/"+name, "list the objects with 'get'")
	}
	return out, nil
}

func encode(m proto.Message) (json.RawMessage, error) {
	raw, err := protojson.MarshalOptions{EmitUnpopulated: false}.Marshal(m)
	return raw, err
}

func (a *API) status(r *http.Request) (any, error) {
	s, err := a.options.Asker.Status(r.Context())
	if err != nil {
		return nil, err
	}
	return statusOf(s), nil
}

// onEntry returns the first effect with which traffic state answers a
// question.
func (a *API) onEntry(event func(at dhclock.Millis) dhevent.Event) (dheffect.Effect, error) {
	if a.options.Shard == nil {
		return nil, dhfault.New(dhfault.KindNotFound, "a control process serves no requests", "ask an entry instance")
	}
	return a.options.Shard.Ask(event)[0], nil
}

func (a *API) pools(*http.Request) (any, error) {
	e, err := a.onEntry(func(at dhclock.Millis) dhevent.Event { return dhevent.NewPoolsAsked(at) })
	if err != nil {
		return nil, err
	}
	return struct {
		Pools []Pool `json:"pools"`
	}{poolsOf(e.(*dheffect.PoolsReply).Pools())}, nil
}

func (a *API) burn(*http.Request) (any, error) {
	e, err := a.onEntry(func(at dhclock.Millis) dhevent.Event { return dhevent.NewBurnAsked(at) })
	if err != nil {
		return nil, err
	}
	return struct {
		Rows []Burn `json:"rows"`
	}{burnOf(e.(*dheffect.BurnReply).Rows())}, nil
}

func (a *API) claim(r *http.Request) (any, error) {
	k := dhmessage.NewClaimKey(r.URL.Query().Get("organisation"), r.URL.Query().Get("key"))
	record, found, err := a.options.Asker.Claim(r.Context(), k)
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, dhfault.New(dhfault.KindNotFound, "this process keeps no such claim", "ask the leading voter; claims are forgotten after retentionMs")
	}
	return claimOf(record), nil
}

// settle takes an operator's word on a claim whose outcome is unclear.
func (a *API) settle(r *http.Request) (any, error) {
	var body struct {
		Organisation string `json:"organisation"`
		Key          string `json:"key"`
		Ran          *bool  `json:"ran"`
	}
	if err := decode(r.Body, &body); err != nil {
		return nil, err
	}
	if body.Ran == nil {
		return nil, dhfault.New(dhfault.KindMalformed, "ran is missing", "say true if the upstream ran the request, else false")
	}
	result, err := a.propose(r.Context(), dhmessage.NewResolve(dhmessage.NewClaimKey(body.Organisation, body.Key), *body.Ran))
	if err != nil {
		return nil, err
	}
	return struct {
		State string `json:"state"`
	}{result.Claim().String()}, nil
}

// voters changes the members of the consensus group.
func (a *API) voters(r *http.Request) (any, error) {
	var body struct {
		Action  string `json:"action"`
		Name    string `json:"name"`
		Address string `json:"address"`
		Folder  string `json:"folder"`
	}
	if err := decode(r.Body, &body); err != nil {
		return nil, err
	}
	action, found := map[string]dhmessage.MemberAction{
		"add": dhmessage.MemberAdd, "remove": dhmessage.MemberRemove, "replace": dhmessage.MemberReplace,
	}[body.Action]
	if !found {
		return nil, dhfault.New(dhfault.KindMalformed, "action "+strconv.Quote(body.Action), "use add, remove or replace")
	}
	_, err := a.propose(r.Context(), dhmessage.NewMemberEdit(action, body.Name, body.Address, body.Folder))
	if err != nil {
		return nil, err
	}
	return struct {
		Done bool `json:"done"`
	}{true}, nil
}

func decode(body io.Reader, into any) error {
	d := json.NewDecoder(io.LimitReader(body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return dhfault.New(dhfault.KindMalformed, err.Error(), "send a JSON object as docs/OPERATING.md shows")
	}
	return nil
}
