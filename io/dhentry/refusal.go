package dhentry

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"

	"dogwoodhitch/core/dhbacklog"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/io/dhnet"
)

// Header fields that entry instances add to responses and requests.
const (
	// HeaderRequestID carries the request ID.
	HeaderRequestID = "X-Request-Id"
	// HeaderRefusal carries the kind of a refusal.
	HeaderRefusal = "Dogwoodhitch-Refusal"
	// HeaderRun reports whether a refused request ran: not-run or may-have-run.
	// Upstreams may send not-run with status 503.
	HeaderRun = "Dogwoodhitch-Run"
	// HeaderTimeout carries the caller's timeout, in milliseconds.
	HeaderTimeout = "Dogwoodhitch-Timeout-Ms"
	// HeaderAttempt carries the attempt ID to the upstream, which may echo it in
	// its response.
	HeaderAttempt = "Dogwoodhitch-Attempt"
	// HeaderOrganisation carries the organisation to upstreams, and to the peer
	// that a request is forwarded to.
	HeaderOrganisation = "Dogwoodhitch-Organisation"
	// HeaderMinDeclaration carries, to the peer that a request is forwarded to, the
	// number of the declaration that the peer must have at least.
	HeaderMinDeclaration = "Dogwoodhitch-Min-Declaration"
	// HeaderLeaving is 1 in the responses of an upstream that is about to stop.
	HeaderLeaving = "Dogwoodhitch-Leaving"
	// HeaderLeavingUpstream carries, to the instance that forwarded a request to this one,
	// the name and address of an upstream that is about to stop.
	HeaderLeavingUpstream = "Dogwoodhitch-Leaving-Upstream"
	// HeaderObject names the object that a request is about, for routes with
	// affinity.
	HeaderObject = "Dogwoodhitch-Object"
	// HeaderIdempotencyKey carries the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed marks the recorded response to an earlier request with the
	// same idempotency key.
	HeaderReplayed = "Dogwoodhitch-Replayed"
)

// removeOwnFields removes from the response of an upstream the fields with which instances tell
// callers and each other what became of a request.
func removeOwnFields(h http.Header) {
	for _, name := range []string{HeaderRun, HeaderRefusal, HeaderReplayed, HeaderLeavingUpstream} {
		h.Del(name)
	}
}

// The values of HeaderRun.
const (
	NotRun     = "not-run"
	MayHaveRun = "may-have-run"
)

// refusalDetails is the status code and the remedy that callers get for a kind of
// refusal.
type refusalDetails struct {
	status int
	remedy string
}

var refusalDetailsByKind = map[dheffect.RefusalKind]refusalDetails{
	dheffect.RefuseNoRoute:               {http.StatusNotFound, "check the path against the routes"},
	dheffect.RefuseKeyMissing:            {http.StatusUnauthorized, "send the organisation's key as 'Authorization: Bearer KEY'"},
	dheffect.RefuseKeyUnknown:            {http.StatusUnauthorized, "the key is unknown or revoked; ask the operator for another"},
	dheffect.RefuseConfigurationStale:    {http.StatusServiceUnavailable, "this instance's configuration may be out of date; use another instance of the look-up, or retry"},
	dheffect.RefuseOverLimit:             {http.StatusTooManyRequests, "the organisation's rate limit is exceeded; slow down and retry"},
	dheffect.RefuseLimitUnconfirmed:      {http.StatusServiceUnavailable, "the organisation's rate limit couldn't be checked in time; retry later"},
	dheffect.RefuseNoCapacity:            {http.StatusServiceUnavailable, "no upstream had a free slot in time; retry later"},
	dheffect.RefuseQuarantined:           {http.StatusServiceUnavailable, "upstreams that ran this request have crashed; have it examined before it is sent again"},
	dheffect.RefuseNoUpstream:            {http.StatusServiceUnavailable, "no upstream of the service is known; retry later"},
	dheffect.RefuseTimeout:               {http.StatusGatewayTimeout, "the request timed out; raise its timeout or retry later"},
	dheffect.RefuseUpstreamBroken:        {http.StatusBadGateway, "the upstream sent no complete response; retry if the request is idempotent"},
	dheffect.RefuseUpstreamUnreachable:   {http.StatusServiceUnavailable, "no upstream could be reached; retry later"},
	dheffect.RefuseIdempotencyKeyMissing: {http.StatusBadRequest, "send an Idempotency-Key that is new for each purchase"},
	dheffect.RefuseIdempotencyKeyReused:  {http.StatusUnprocessableEntity, "the Idempotency-Key was used with other content before; use a new one"},
	dheffect.RefuseAlreadyRunning:        {http.StatusConflict, "an earlier attempt is still running; resend with the same Idempotency-Key for its answer"},
	dheffect.RefuseOutcomeUnknown:        {http.StatusConflict, "an earlier attempt may have run; ask the operator to resolve the claim"},
	dheffect.RefuseAlreadyRan:            {http.StatusConflict, "the request ran before; its answer isn't kept"},
	dheffect.RefuseClaimUnavailable:      {http.StatusServiceUnavailable, "the claim couldn't be stored by a majority; resend with the same Idempotency-Key"},
	dheffect.RefuseInstanceLeaving:       {http.StatusServiceUnavailable, "this instance is about to stop; look up another"},
	dheffect.RefuseMalformed:             {http.StatusBadRequest, "correct the request"},
	dheffect.RefuseTooLarge:              {http.StatusRequestEntityTooLarge, "send a smaller request"},
}

// EachRefusal calls f with every kind of refusal, its status code and its remedy.
// The documentation's tests use it.
func EachRefusal(f func(kind dheffect.RefusalKind, status int, remedy string)) {
	for kind, details := range refusalDetailsByKind {
		f(kind, details.status, details.remedy)
	}
}

// writeRefusal writes a refusal as header fields and a JSON body.
func (s *Server) writeRefusal(w http.ResponseWriter, requestID string, refusal dheffect.Refusal) {
	details := refusalDetailsByKind[refusal.Kind()]
	run := NotRun
	if refusal.MayHaveRun() {
		run = MayHaveRun
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRefusal, string(refusal.Kind()))
	h.Set(HeaderRun, run)
	h.Set(s.options.Dialect.options.RequestIDHeader, requestID)
	s.setClose(h)
	if refusal.RetryAfter() > 0 {
		h.Set("Retry-After", s.options.Dialect.options.FormatRetryAfter(refusal.RetryAfter()))
	}
	body, _ := json.Marshal(struct {
		Kind         string `json:"kind"`
		Run          string `json:"run"`
		RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
		Remedy       string `json:"remedy"`
		RequestID    string `json:"requestId"`
	}{string(refusal.Kind()), run, refusal.RetryAfter().Milliseconds(), details.remedy, requestID})
	w.WriteHeader(details.status)
	_, _ = w.Write(append(body, '\n'))
}

// RefuseUnread answers the request that waits on a connection of a caller, for which this
// process has no time, without decoding it. It doesn't block, and leaves the connection open.
func (s *Server) RefuseUnread(c net.Conn) {
	if !dhnet.Discard(c) {
		return
	}
	w := bufferedResponse{header: http.Header{}}
	s.writeRefusal(&w, randomID(), dheffect.NewRefusal(dheffect.RefuseNoCapacity, false, dhbacklog.RetryAfter(rand.Uint64())))
	response := http.Response{
		StatusCode: w.status, ProtoMajor: 1, ProtoMinor: 1, Header: w.header, Close: true,
		Body: io.NopCloser(&w.body), ContentLength: int64(w.body.Len()),
	}
	// The caller may have left meanwhile.
	_ = response.Write(c)
}

// bufferedResponse is a http.ResponseWriter that keeps the response.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *bufferedResponse) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *bufferedResponse) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *bufferedResponse) Write(b []byte) (int, error) { return w.body.Write(b) }
