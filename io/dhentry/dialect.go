package dhentry

import (
	"net/http"
	"strconv"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhsteer"
)

// DialectOptions are the fields of a Dialect.
type DialectOptions struct {
	// Request, Timeout, Organisation and Object name the header fields that carry
	// the request's identifier, how long the caller will wait in milliseconds,
	// the organisation to upstreams, and the object that the request is about.
	RequestIDHeader    string
	TimeoutHeader      string
	OrganisationHeader string
	ObjectHeader       string
	// KeyHeader names the one header field that carries the caller's key; "" for the
	// places where keys usually stand.
	KeyHeader string
	// AttemptHeader names the field in which upstreams repeat the attempt's number; ""
	// if they repeat the request's identifier in its own field.
	AttemptHeader string
	// UpstreamHeader names the field that tells a registered upstream which one is
	// meant; "" for none.
	UpstreamHeader string
	// AddForwardedFor adds the caller's address to what upstreams get.
	AddForwardedFor bool
	// Verbatim keeps identifiers and targets of requests as they came.
	Verbatim bool
	// AllowCloseDelimited takes answers without a length that end with their connection.
	AllowCloseDelimited bool
	// NotRun tells whether an answer says that the upstream did not run the
	// request.
	NotRun func(status int, h http.Header) bool
	// Misplaced tells whether an answer says that another upstream was meant.
	Misplaced func(status int, h http.Header) bool
	// DecodeLoad reads what an upstream says of its load in an answer, or nil; the
	// function may be nil.
	DecodeLoad func(h http.Header) *dhsteer.LoadReport
	// FormatRetryAfter writes when a caller should come back.
	FormatRetryAfter func(span dhclock.Millis) string
}

// Dialect is how callers and upstreams are spoken to over HTTP: the names of
// header fields and the signs by which an upstream refuses work.
type Dialect struct{ options DialectOptions }

// NewDialect returns a dialect.
func NewDialect(o DialectOptions) *Dialect { return &Dialect{options: o} }

// StandardDialect returns the dialect of docs/OPERATING.md.
func StandardDialect() *Dialect {
	return NewDialect(DialectOptions{
		RequestIDHeader: HeaderRequestID, TimeoutHeader: HeaderTimeout, OrganisationHeader: HeaderOrganisation, ObjectHeader: HeaderObject,
		AttemptHeader: HeaderAttempt, AddForwardedFor: true,
		NotRun: func(status int, h http.Header) bool {
			return h.Get(HeaderRun) == NotRun && status == http.StatusServiceUnavailable
		},
		Misplaced:        func(int, http.Header) bool { return false },
		FormatRetryAfter: ceilSeconds,
	})
}

// ceilSeconds rounds a span up to seconds.
func ceilSeconds(span dhclock.Millis) string {
	return strconv.FormatInt(int64((span+dhclock.Second-1)/dhclock.Second), 10)
}

// expectedEcho returns the header field that proves whose answer it is, and the
// value that it must have.
func (d *Dialect) expectedEcho(in *inbound, number string) (field, value string) {
	if d.options.AttemptHeader == "" {
		return d.options.RequestIDHeader, in.id
	}
	return d.options.AttemptHeader, number
}

// reportedLoad returns what an answer says of the upstream's load, or nil.
func (d *Dialect) reportedLoad(r *http.Response) *dhsteer.LoadReport {
	if d.options.DecodeLoad == nil || r == nil {
		return nil
	}
	return d.options.DecodeLoad(r.Header)
}
