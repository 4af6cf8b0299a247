package dhentry

import (
	"encoding/json"
	"net/http"

	"dogwoodhitch/core/dheffect"
)

// Header fields that entry instances add to answers and requests.
const (
	// HeaderRequestID carries the request's identifier.
	HeaderRequestID = "X-Request-Id"
	// HeaderRefusal carries the kind of a refusal.
	HeaderRefusal = "Dogwoodhitch-Refusal"
	// HeaderRun says whether a refused request ran: not-run or may-have-run.
	// Upstreams may say not-run with status 503.
	HeaderRun = "Dogwoodhitch-Run"
	// HeaderTimeout carries how long the caller will wait, in milliseconds.
	HeaderTimeout = "Dogwoodhitch-Timeout-Ms"
	// HeaderAttempt carries the attempt's number to the upstream, which may
	// repeat it in its answer.
	HeaderAttempt = "Dogwoodhitch-Attempt"
	// HeaderOrganisation carries the organisation to upstreams, and of a
	// request that is passed on.
	HeaderOrganisation = "Dogwoodhitch-Organisation"
	// HeaderObject names the object that a request is about, for routes with
	// affinity.
	HeaderObject = "Dogwoodhitch-Object"
	// HeaderIdempotencyKey carries the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed marks a recorded answer.
	HeaderReplayed = "Dogwoodhitch-Replayed"
)

// The values of HeaderRun.
const (
	NotRun     = "not-run"
	MayHaveRun = "may-have-run"
)

// refusalDetails is how a kind of refusal is told to callers.
type refusalDetails struct {
	status int
	remedy string
}

var refusalDetailsByKind = map[dheffect.RefusalKind]refusalDetails{
	dheffect.RefuseNoRoute:               {http.StatusNotFound, "check the path against the routes"},
	dheffect.RefuseKeyMissing:            {http.StatusUnauthorized, "send the organisation's key as 'Authorization: Bearer KEY'"},
	dheffect.RefuseKeyUnknown:            {http.StatusUnauthorized, "the key is unknown or withdrawn; ask the operator for another"},
	dheffect.RefuseConfigurationStale:    {http.StatusServiceUnavailable, "this instance can't vouch for its configuration; use another instance of the look-up, or retry"},
	dheffect.RefuseOverLimit:             {http.StatusTooManyRequests, "the organisation's rate is used up; slow down and retry"},
	dheffect.RefuseNoCapacity:            {http.StatusServiceUnavailable, "no upstream had a free slot in time; retry later"},
	dheffect.RefuseNoUpstream:            {http.StatusServiceUnavailable, "no upstream of the service is known; retry later"},
	dheffect.RefuseTimeout:               {http.StatusGatewayTimeout, "the time was over; raise the deadline or retry later"},
	dheffect.RefuseUpstreamBroken:        {http.StatusBadGateway, "the upstream gave no whole answer; retry if the request is idempotent"},
	dheffect.RefuseUpstreamUnreachable:   {http.StatusServiceUnavailable, "no upstream could be reached; retry later"},
	dheffect.RefuseIdempotencyKeyMissing: {http.StatusBadRequest, "send an Idempotency-Key that is new for each purchase"},
	dheffect.RefuseIdempotencyKeyReused:  {http.StatusUnprocessableEntity, "the Idempotency-Key came with another content before; use a new one"},
	dheffect.RefuseAlreadyRunning:        {http.StatusConflict, "an earlier attempt is still running; resend with the same Idempotency-Key for its answer"},
	dheffect.RefuseOutcomeUnknown:        {http.StatusConflict, "an earlier attempt may have run; ask the operator to resolve the claim"},
	dheffect.RefuseAlreadyRan:            {http.StatusConflict, "the request ran before; its answer isn't kept"},
	dheffect.RefuseClaimUnavailable:      {http.StatusServiceUnavailable, "the claim couldn't be stored by a majority; resend with the same Idempotency-Key"},
	dheffect.RefuseInstanceLeaving:       {http.StatusServiceUnavailable, "this instance is about to stop; look up another"},
	dheffect.RefuseMalformed:             {http.StatusBadRequest, "correct the request"},
	dheffect.RefuseTooLarge:              {http.StatusRequestEntityTooLarge, "send a smaller request"},
}

// EachRefusal calls f with every kind of refusal, its status and remedy, for the
// documentation.
func EachRefusal(f func(kind dheffect.RefusalKind, status int, remedy string)) {
	for k, a := range refusalDetailsByKind {
		f(k, a.status, a.remedy)
	}
}

// writeRefusal tells a caller why its request was refused.
func (s *Server) writeRefusal(w http.ResponseWriter, request string, f dheffect.Refusal) {
	a := refusalDetailsByKind[f.Kind()]
	run := NotRun
	if f.MayHaveRun() {
		run = MayHaveRun
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRefusal, string(f.Kind()))
	h.Set(HeaderRun, run)
	h.Set(s.options.Dialect.options.RequestIDHeader, request)
	if f.RetryAfter() > 0 {
		h.Set("Retry-After", s.options.Dialect.options.FormatRetryAfter(f.RetryAfter()))
	}
	body, _ := json.Marshal(struct {
		Kind         string `json:"kind"`
		Run          string `json:"run"`
		RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
		Remedy       string `json:"remedy"`
		RequestID    string `json:"requestId"`
	}{string(f.Kind()), run, f.RetryAfter().Milliseconds(), a.remedy, request})
	w.WriteHeader(a.status)
	_, _ = w.Write(append(body, '\n'))
}
