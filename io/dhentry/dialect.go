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
	Request      string
	Timeout      string
	Organisation string
	Object       string
	// Key names the one header field that carries the caller's key; "" for the
	// places where keys usually stand.
	Key string
	// Attempt names the field in which upstreams repeat the attempt's number; ""
	// if they repeat the request's identifier in its own field.
	Attempt string
	// Upstream names the field that tells a registered upstream which one is
	// meant; "" for none.
	Upstream string
	// Forwarded adds the caller's address to what upstreams get.
	Forwarded bool
	// Verbatim keeps identifiers and targets of requests as they came.
	Verbatim bool
	// OpenEnded takes answers without a length that end with their connection.
	OpenEnded bool
	// NotRun tells whether an answer says that the upstream did not run the
	// request.
	NotRun func(status int, h http.Header) bool
	// Misplaced tells whether an answer says that another upstream was meant.
	Misplaced func(status int, h http.Header) bool
	// Load reads what an upstream says of its load in an answer, or nil; the
	// function may be nil.
	Load func(h http.Header) *dhsteer.LoadReport
	// RetryAfter writes when a caller should come back.
	RetryAfter func(span dhclock.Millis) string
}

// Dialect is how callers and upstreams are spoken to over HTTP: the names of
// header fields and the signs by which an upstream refuses work.
type Dialect struct{ options DialectOptions }

// NewDialect returns a dialect.
func NewDialect(o DialectOptions) *Dialect { return &Dialect{options: o} }

// StandardDialect returns the dialect of docs/OPERATING.md.
func StandardDialect() *Dialect {
	return NewDialect(DialectOptions{
		Request: HeaderRequest, Timeout: HeaderTimeout, Organisation: HeaderOrganisation, Object: HeaderObject,
		Attempt: HeaderAttempt, Forwarded: true,
		NotRun: func(status int, h http.Header) bool {
			return h.Get(HeaderRun) == RunNot && status == http.StatusServiceUnavailable
		},
		Misplaced:  func(int, http.Header) bool { return false },
		RetryAfter: wholeSeconds,
	})
}

// wholeSeconds rounds a span up to seconds.
func wholeSeconds(span dhclock.Millis) string {
	return strconv.FormatInt(int64((span+dhclock.Second-1)/dhclock.Second), 10)
}

// expected returns the header field that proves whose answer it is, and the
// value that it must have.
func (d *Dialect) expected(in *inbound, number string) (field, value string) {
	if d.options.Attempt == "" {
		return d.options.Request, in.id
	}
	return d.options.Attempt, number
}

// load returns what an answer says of the upstream's load, or nil.
func (d *Dialect) load(r *http.Response) *dhsteer.LoadReport {
	if d.options.Load == nil || r == nil {
		return nil
	}
	return d.options.Load(r.Header)
}
