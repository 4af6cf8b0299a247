// Package dhoperator serves the operators' API: JSON over HTTP under /v1/,
// authenticated by the operators' secret. Every response that is derived
// from the configuration states the version that it reflects.
package dhoperator

import (
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhview"
	"dogwoodhitch/io/dhcontrolclient"
	"dogwoodhitch/io/dherrors"
	"dogwoodhitch/io/dhtrafficstate"
)

// Limits and time-outs of the API.
const (
	// maxBodyBytes limits the body of a request, such as a change set.
	maxBodyBytes = 256 << 20
	// operationTimeout limits a proposal or a linearizable read, in milliseconds.
	operationTimeout dhclock.Millis = 10_000
	// inForceTimeout limits the wait until a version is in force everywhere.
	inForceTimeout = 15 * time.Second
	// inForcePollInterval is the time between checks during that wait.
	inForcePollInterval = 20 * time.Millisecond
)

// Options configure the API.
type Options struct {
	// Control sends proposals and queries to the control state.
	Control *dhcontrolclient.Client
	// View returns the configuration in force on this process.
	View func() *dhview.View
	// TrafficState is the traffic state of an entry instance; nil on a voter.
	TrafficState *dhtrafficstate.Owner
	// Secret is the operators' secret, which each request must contain.
	Secret string
	// Metrics handles the metrics path.
	Metrics http.Handler
	// Ready returns an error that states why the process isn't ready, or nil.
	Ready func() error
	Log   *logrus.Entry
}

// API implements the operators' API.
type API struct{ options Options }

// New returns the API.
func New(o Options) *API { return &API{options: o} }

// Handler returns the HTTP handler of all paths. The health, readiness and
// metrics paths need no secret.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, struct{}{}) })
	mux.HandleFunc("GET /readyz", a.ready)
	mux.Handle("GET /metrics", a.options.Metrics)
	for pattern, handle := range a.routes() {
		mux.HandleFunc(pattern, a.requireSecret(handle))
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, dherrors.New(dherrors.KindNotFound, "no such path: "+r.URL.Path, "see docs/OPERATING.md for the paths"))
	})
	return mux
}

// routes returns the handlers of the paths that need the operators' secret.
// docs/openapi.json describes these paths.
func (a *API) routes() map[string]func(r *http.Request) (any, error) {
	return map[string]func(r *http.Request) (any, error){
		"POST /v1/changes":       a.submitChange,
		"GET /v1/changes":        a.history,
		"GET /v1/changes/diff":   a.diff,
		"GET /v1/objects":        a.objects,
		"GET /v1/status":         a.status,
		"GET /v1/pools":          a.pools,
		"GET /v1/burn":           a.burn,
		"GET /v1/claims":         a.claim,
		"POST /v1/claims/settle": a.resolveClaim,
		"POST /v1/voters":        a.editVoter,
	}
}

// requireSecret wraps a handler: it checks the operators' secret, and writes the
// handler's result or error as JSON.
func (a *API) requireSecret(handle func(r *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte("Bearer "+a.options.Secret)) != 1 {
			writeError(w, dherrors.New(dherrors.KindDenied, "the operators' secret is missing or wrong",
				"send it as 'Authorization: Bearer SECRET'"))
			return
		}
		body, err := handle(r)
		if err != nil {
			a.options.Log.WithError(err).WithField("path", r.URL.Path).Info("refused an operator's request")
			writeError(w, err)
			return
		}
		writeJSON(w, body)
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(dherrors.HTTPStatus(err))
	_ = json.NewEncoder(w).Encode(struct {
		Kind    dherrors.Kind `json:"kind"`
		Message string        `json:"message"`
	}{dherrors.KindOf(err), err.Error()})
}

func (a *API) ready(w http.ResponseWriter, _ *http.Request) {
	if err := a.options.Ready(); err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		writeJSON(w, struct {
			Reason string `json:"reason"`
		}{err.Error()})
		return
	}
	writeJSON(w, struct{}{})
}

func (a *API) status(r *http.Request) (any, error) {
	s, err := a.options.Control.Status(r.Context())
	if err != nil {
		return nil, err
	}
	return statusOf(s), nil
}

// queryTraffic sends an event to the traffic state and returns the first effect
// of the response. It returns an error on a control process, which has no
// traffic state.
func (a *API) queryTraffic(event func(at dhclock.Millis) dhevent.Event) (dheffect.Effect, error) {
	if a.options.TrafficState == nil {
		return nil, dherrors.New(dherrors.KindNotFound, "a control process serves no requests", "query an entry instance")
	}
	return a.options.TrafficState.Query(event)[0], nil
}

func (a *API) pools(*http.Request) (any, error) {
	e, err := a.queryTraffic(func(at dhclock.Millis) dhevent.Event { return dhevent.NewPoolStatusRequested(at) })
	if err != nil {
		return nil, err
	}
	return struct {
		Pools []Pool `json:"pools"`
	}{poolsOf(e.(*dheffect.PoolStatusReply).Pools())}, nil
}

func (a *API) burn(*http.Request) (any, error) {
	e, err := a.queryTraffic(func(at dhclock.Millis) dhevent.Event { return dhevent.NewBurnReportRequested(at) })
	if err != nil {
		return nil, err
	}
	return struct {
		Rows []Burn `json:"rows"`
	}{burnOf(e.(*dheffect.BurnReportReply).Rows())}, nil
}

func decodeBody(body io.Reader, into any) error {
	d := json.NewDecoder(io.LimitReader(body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return dherrors.New(dherrors.KindMalformed, err.Error(), "send a JSON object as docs/OPERATING.md shows")
	}
	return nil
}
