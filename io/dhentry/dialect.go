package dhentry

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhsteer"
)

// DialectOptions are the fields of a Dialect.
type DialectOptions struct {
	// RequestIDHeader names the header field with the request ID. The following
	// three name the fields with the caller's timeout in milliseconds, the
	// organisation (sent to upstreams), and the object for affinity.
	RequestIDHeader    string
	TimeoutHeader      string
	OrganisationHeader string
	ObjectHeader       string
	// KeyHeader names the only header field that may carry the caller's API key.
	// If it is "", the key is read from the Authorization header, the X-Api-Key
	// header or the apiKey query parameter.
	KeyHeader string
	// AttemptHeader names the field in which upstreams echo the attempt ID; "" if
	// they echo the request ID in RequestIDHeader instead.
	AttemptHeader string
	// UpstreamHeader names the field with the name of the registered upstream that
	// a request is addressed to; "" for none.
	UpstreamHeader string
	// AddForwardedFor adds the caller's address to requests in X-Forwarded-For.
	AddForwardedFor bool
	// Verbatim forwards request IDs and request targets as received. Otherwise an
	// invalid ID is replaced by a random one, and the target is encoded again.
	Verbatim bool
	// AllowCloseDelimited accepts responses without a length, whose body ends
	// when the upstream closes the connection.
	AllowCloseDelimited bool
	// NotRun reports whether a response means that the upstream did not run the
	// request.
	NotRun func(status int, h http.Header) bool
	// Misplaced reports whether a response comes from another upstream than the
	// one that the request was addressed to.
	Misplaced func(status int, h http.Header) bool
	// Promises reports whether callers take the status of a response for the promise that the
	// request has not run and never will. The function may be nil.
	Promises func(status int) bool
	// DecodeLoad returns the load that an upstream reports in a response, or nil.
	// The function may be nil.
	DecodeLoad func(h http.Header) *dhsteer.LoadReport
	// DecodeLimit returns the request rate that an upstream reports in a response as
	// its limit, or nil. The function may be nil.
	DecodeLimit func(h http.Header) *dhsteer.RateLimit
	// LeavingHeader names the field that is 1 in the responses of an upstream that is
	// about to stop.
	LeavingHeader string
	// FormatRetryAfter returns the value of the Retry-After header field.
	FormatRetryAfter func(delay dhclock.Millis) string
}

// Dialect is the HTTP convention between entry instances, callers and upstreams:
// the names of header fields and the form of an upstream's refusals.
type Dialect struct{ options DialectOptions }

// NewDialect returns a dialect.
func NewDialect(o DialectOptions) *Dialect { return &Dialect{options: o} }

// StandardDialect returns the dialect that docs/OPERATING.md documents.
func StandardDialect() *Dialect {
	return NewDialect(DialectOptions{
		RequestIDHeader: HeaderRequestID, TimeoutHeader: HeaderTimeout, OrganisationHeader: HeaderOrganisation, ObjectHeader: HeaderObject,
		AttemptHeader: HeaderAttempt, LeavingHeader: HeaderLeaving, AddForwardedFor: true,
		NotRun: func(status int, h http.Header) bool {
			return h.Get(HeaderRun) == NotRun && status == http.StatusServiceUnavailable
		},
		Misplaced:        func(int, http.Header) bool { return false },
		FormatRetryAfter: ceilSeconds,
	})
}

// ceilSeconds formats a duration in seconds, rounded up.
func ceilSeconds(delay dhclock.Millis) string {
	return strconv.FormatInt(int64((delay+dhclock.Second-1)/dhclock.Second), 10)
}

// StatusesPromise reports whether callers take some status codes for the promise that the request
// has not run.
func (d *Dialect) StatusesPromise() bool { return d != nil && d.options.Promises != nil }

// expectedEcho returns the response header field that identifies the attempt, and
// the value that it must have.
func (d *Dialect) expectedEcho(in *inbound, attemptID string) (field, value string) {
	if d.options.AttemptHeader == "" {
		return d.options.RequestIDHeader, in.id
	}
	return d.options.AttemptHeader, attemptID
}

// reportedLoad returns the load that the upstream reports in a response, or nil
// if it reports none or there is no response.
func (d *Dialect) reportedLoad(r *http.Response) *dhsteer.LoadReport {
	if d.options.DecodeLoad == nil || r == nil {
		return nil
	}
	return d.options.DecodeLoad(r.Header)
}

// reportedLimit returns the limit that the upstream reports in a response, or nil
// if it reports none or there is no response.
func (d *Dialect) reportedLimit(r *http.Response) *dhsteer.RateLimit {
	if d.options.DecodeLimit == nil || r == nil {
		return nil
	}
	return d.options.DecodeLimit(r.Header)
}

// isLeaving reports whether a response says that the upstream is about to stop.
func (d *Dialect) isLeaving(r *http.Response) bool {
	return strings.TrimSpace(r.Header.Get(d.options.LeavingHeader)) == "1"
}

// maxRetryAfter bounds the time for which an upstream can ask for no requests, in seconds.
const maxRetryAfter = 3600

// reportedRetryAfter returns how long an upstream that responded with status 503 wants no
// request from this instance. It returns nil if there is no response, or no number of
// seconds in its Retry-After field; a date is ignored because clocks differ.
func reportedRetryAfter(r *http.Response) *dhclock.Millis {
	if r == nil || r.StatusCode != http.StatusServiceUnavailable {
		return nil
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(r.Header.Get("Retry-After")), 64)
	if err != nil || !(seconds > 0) {
		return nil
	}
	return new(dhclock.Millis(math.Ceil(min(seconds, maxRetryAfter) * float64(dhclock.Second))))
}
