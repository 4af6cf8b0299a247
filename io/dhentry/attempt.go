package dhentry

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/io/dhnet"
)

// Sizes and times of attempts.
const (
	// dialTimeout bounds the time to connect to an upstream: a first packet that
	// is lost is sent again only after a second, which is too late for most.
	dialTimeout = 500 * time.Millisecond
	// tcpUserTimeout is for how long sent bytes may stay unacknowledged before
	// a connection counts as dead: a few round trips between far regions, and one
	// resend.
	tcpUserTimeout = 1 * time.Second
	// idleConnTimeout is how long an unused connection is kept. Upstreams keep
	// theirs for longer, so that a kept connection is seldom found closed.
	idleConnTimeout = 4 * time.Second
	// maxResponseHeaderBytes bounds the header of an answer, in bytes.
	maxResponseHeaderBytes = 64 << 10
	// maxDecisionAge is after how long a decision isn't carried out any more:
	// the process was frozen, and what was true then may not be now.
	maxDecisionAge dhclock.Millis = 1000
)

// clients carry attempts. Neither sends anything twice.
type clients struct {
	pooled        *http.Client // keeps connections
	newConnection *http.Client // uses a new connection for each attempt
}

func newClients(maxConnections int, passed *tls.Config) clients {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: dhnet.TCPUserTimeout(tcpUserTimeout)}
	kept := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxConnsPerHost:        maxConnections,
		MaxIdleConnsPerHost:    maxConnections,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
		TLSClientConfig:        passed,
	}
	fresh := kept.Clone()
	fresh.DisableKeepAlives = true
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return clients{
		pooled:        &http.Client{Transport: kept, CheckRedirect: noRedirect},
		newConnection: &http.Client{Transport: fresh, CheckRedirect: noRedirect},
	}
}

func (c clients) close() {
	c.pooled.CloseIdleConnections()
	c.newConnection.CloseIdleConnections()
}

// nonReplayableBody is a request body that can't be rewound. The standard library
// resends a request by itself only if it has no body or one that it can get
// again; with this one it never does, whatever the header says.
type nonReplayableBody struct{ *bytes.Reader }

// Close implements io.Closer.
func (nonReplayableBody) Close() error { return nil }

// target is where an attempt goes.
type target struct {
	address       string
	pathPrefix    string // prefix of the path, for requests that are passed on
	timeout       dhclock.Millis
	newConnection bool
	mustEcho      bool
	toPeer        bool
	useTLS        bool // over TLS
	extraHeader   http.Header
}

// attempt is one exchange with an upstream or another instance.
type attempt struct {
	end        dhevent.AttemptEnd
	response   *http.Response
	cancel     context.CancelFunc
	context    context.Context
	bodyPrefix []byte // the start of the body
	complete   bool   // hold is the whole body
	err        error
}

// attemptCounter numbers the attempts of this process.
var attemptCounter atomic.Uint64

// sendAttempt sends a request and reads the answer up to holdBytes of its body. The
// end is EndNotSent only if no connection was had, so that nothing can have
// been written.
func (s *Server) sendAttempt(ctx context.Context, in *inbound, t target, holdBytes int) *attempt {
	a := &attempt{}
	a.context, a.cancel = context.WithTimeout(ctx, time.Duration(t.timeout)*time.Millisecond)
	connected := false
	traced := httptrace.WithClientTrace(a.context, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	number := s.options.Instance + "-" + strconv.FormatUint(attemptCounter.Add(1), 36)
	request, err := s.newOutboundRequest(traced, in, t, number)
	if err != nil {
		return a.fail(dhevent.EndNotSent, err)
	}
	client := s.clients.pooled
	if t.newConnection {
		client = s.clients.newConnection
	}
	a.response, err = client.Do(request) //nolint:bodyclose // closed by attempt.close
	if err != nil {
		if !connected {
			return a.fail(s.classifyFailure(ctx, a, dhevent.EndNotSent), err)
		}
		return a.fail(s.classifyFailure(ctx, a, dhevent.EndBroken), err)
	}
	field, value := s.options.Dialect.expectedEcho(in, number)
	if err := s.checkResponse(a.response, t, field, value); err != nil {
		return a.fail(attemptEndFor(err), err)
	}
	if err := a.readBodyPrefix(holdBytes); err != nil {
		return a.fail(s.classifyFailure(ctx, a, dhevent.EndBroken), err)
	}
	a.end = dhevent.EndAnswered
	return a
}

// classifyFailure tells why an exchange failed: the caller went away, the time was over,
// or neither.
func (s *Server) classifyFailure(ctx context.Context, a *attempt, otherwise dhevent.AttemptEnd) dhevent.AttemptEnd {
	switch {
	case otherwise == dhevent.EndNotSent:
		return otherwise
	case ctx.Err() != nil:
		return dhevent.EndCallerGone
	case errors.Is(a.context.Err(), context.DeadlineExceeded):
		return dhevent.EndTimedOut
	default:
		return otherwise
	}
}

func (a *attempt) fail(end dhevent.AttemptEnd, err error) *attempt {
	a.end, a.err = end, err
	a.close()
	return a
}

// close ends the exchange. A connection whose answer wasn't read to its end is
// closed and not used again.
func (a *attempt) close() {
	if a.response != nil {
		a.response.Body.Close()
	}
	a.cancel()
}

// newOutboundRequest returns the request for an upstream or another instance.
func (s *Server) newOutboundRequest(ctx context.Context, in *inbound, t target, number string) (*http.Request, error) {
	dialect := s.options.Dialect.options
	scheme := "http"
	if t.useTLS {
		scheme = "https"
	}
	r, err := http.NewRequestWithContext(ctx, in.method, scheme+"://"+t.address, nil)
	if err != nil {
		return nil, err
	}
	r.URL.Path, r.URL.RawPath = t.pathPrefix+in.url.Path, in.url.RawPath
	if r.URL.RawPath != "" {
		r.URL.RawPath = t.pathPrefix + r.URL.RawPath
	}
	r.URL.RawQuery, r.URL.ForceQuery = in.url.RawQuery, in.url.ForceQuery
	if t.pathPrefix == "" {
		r.URL.Opaque = in.verbatimPath
	}
	r.Body, r.ContentLength = nonReplayableBody{bytes.NewReader(in.body)}, int64(len(in.body))
	if len(in.body) == 0 && !t.newConnection {
		// Nothing can be sent twice that would do harm.
		r.Body = http.NoBody
	}
	r.Header = in.header.Clone()
	removeHopByHopHeaders(r.Header)
	for name, values := range t.extraHeader {
		r.Header[name] = values
	}
	if r.Header.Get("User-Agent") == "" {
		r.Header.Set("User-Agent", "")
	}
	r.Host = in.host
	r.Header.Set(dialect.RequestIDHeader, in.id)
	if dialect.AttemptHeader != "" {
		r.Header.Set(dialect.AttemptHeader, number)
	}
	r.Header.Set(dialect.TimeoutHeader, strconv.FormatInt(t.timeout.Milliseconds(), 10))
	if host, _, err := net.SplitHostPort(in.remoteAddress); err == nil && dialect.AddForwardedFor && !t.toPeer {
		r.Header.Add("X-Forwarded-For", host)
	}
	return r, nil
}

// The reasons for which an answer isn't taken.
var (
	errWrongAttempt   = errors.New("the answer belongs to another attempt")
	errCloseDelimited = errors.New("the answer's end can't be told from a broken connection")
	errNotRun         = errors.New("the other side did not run it")
	errMisplaced      = errors.New("another upstream answers at the address")
	errMayHaveRun     = errors.New("the other instance could not tell whether it ran")
)

// checkResponse refuses answers that can't be trusted, and finds refusals of the
// other side.
func (s *Server) checkResponse(r *http.Response, t target, field, value string) error {
	dialect := s.options.Dialect.options
	echo := r.Header.Get(field)
	if echo != value && (echo != "" || t.mustEcho) {
		return fmt.Errorf("%w: it repeats %q", errWrongAttempt, echo)
	}
	unbounded := r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.ProtoMajor == 1 && r.Request.Method != http.MethodHead
	if unbounded && !dialect.AllowCloseDelimited {
		return errCloseDelimited
	}
	run := r.Header.Get(HeaderRun)
	switch {
	case t.toPeer && run == NotRun:
		return errNotRun
	case t.toPeer && run == MayHaveRun:
		return errMayHaveRun
	case t.toPeer:
		return nil
	case dialect.Misplaced(r.StatusCode, r.Header):
		return errMisplaced
	case dialect.NotRun(r.StatusCode, r.Header):
		return errNotRun
	default:
		return nil
	}
}

func attemptEndFor(err error) dhevent.AttemptEnd {
	switch {
	case errors.Is(err, errNotRun):
		return dhevent.EndRefused
	case errors.Is(err, errMisplaced):
		return dhevent.EndMisplaced
	default:
		return dhevent.EndBroken
	}
}

// readBodyPrefix reads the start of the body, so that a small answer is given on
// only when it is whole.
func (a *attempt) readBodyPrefix(most int) error {
	limited := io.LimitReader(a.response.Body, int64(most)+1)
	hold, err := io.ReadAll(limited)
	if err != nil {
		return err
	}
	a.bodyPrefix = hold
	a.complete = len(hold) <= most
	return nil
}
