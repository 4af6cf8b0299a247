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
	// silentConnection is for how long sent bytes may stay unacknowledged before
	// a connection counts as dead: a few round trips between far regions, and one
	// resend.
	silentConnection = 1 * time.Second
	// idleConnections is how long an unused connection is kept. Upstreams keep
	// theirs for longer, so that a kept connection is seldom found closed.
	idleConnections = 4 * time.Second
	// maxAnswerHeader bounds the header of an answer, in bytes.
	maxAnswerHeader = 64 << 10
	// staleDecision is after how long a decision isn't carried out any more:
	// the process was frozen, and what was true then may not be now.
	staleDecision dhclock.Millis = 1000
)

// clients carry attempts. Neither sends anything twice.
type clients struct {
	kept  *http.Client // keeps connections
	fresh *http.Client // uses a new connection for each attempt
}

func newClients(maxConnections int, passed *tls.Config) clients {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: dhnet.TCPUserTimeout(silentConnection)}
	kept := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxConnsPerHost:        maxConnections,
		MaxIdleConnsPerHost:    maxConnections,
		IdleConnTimeout:        idleConnections,
		MaxResponseHeaderBytes: maxAnswerHeader,
		DisableCompression:     true,
		TLSClientConfig:        passed,
	}
	fresh := kept.Clone()
	fresh.DisableKeepAlives = true
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return clients{
		kept:  &http.Client{Transport: kept, CheckRedirect: noRedirect},
		fresh: &http.Client{Transport: fresh, CheckRedirect: noRedirect},
	}
}

func (c clients) close() {
	c.kept.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// onceBody is a request body that can't be rewound. The standard library
// resends a request by itself only if it has no body or one that it can get
// again; with this one it never does, whatever the header says.
type onceBody struct{ *bytes.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// target is where an attempt goes.
type target struct {
	address string
	path    string // prefix of the path, for requests that are passed on
	timeout dhclock.Millis
	fresh   bool
	echoes  bool
	passed  bool
	secure  bool // over TLS
	extra   http.Header
}

// attempt is one exchange with an upstream or another instance.
type attempt struct {
	end      dhevent.AttemptEnd
	response *http.Response
	cancel   context.CancelFunc
	context  context.Context
	hold     []byte // the start of the body
	whole    bool   // hold is the whole body
	reason   error
}

// attemptNumber numbers the attempts of this process.
var attemptNumber atomic.Uint64

// try sends a request and reads the answer up to holdBytes of its body. The
// end is EndNotSent only if no connection was had, so that nothing can have
// been written.
func (s *Server) try(ctx context.Context, in *inbound, t target, holdBytes int) *attempt {
	a := &attempt{}
	a.context, a.cancel = context.WithTimeout(ctx, time.Duration(t.timeout)*time.Millisecond)
	connected := false
	traced := httptrace.WithClientTrace(a.context, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	number := s.options.Instance + "-" + strconv.FormatUint(attemptNumber.Add(1), 36)
	request, err := s.outgoing(traced, in, t, number)
	if err != nil {
		return a.fail(dhevent.EndNotSent, err)
	}
	client := s.clients.kept
	if t.fresh {
		client = s.clients.fresh
	}
	a.response, err = client.Do(request) //nolint:bodyclose // closed by attempt.close
	if err != nil {
		if !connected {
			return a.fail(s.blame(ctx, a, dhevent.EndNotSent), err)
		}
		return a.fail(s.blame(ctx, a, dhevent.EndBroken), err)
	}
	field, value := s.options.Dialect.expected(in, number)
	if err := s.checkAnswer(a.response, t, field, value); err != nil {
		return a.fail(endOf(err), err)
	}
	if err := a.holdBody(holdBytes); err != nil {
		return a.fail(s.blame(ctx, a, dhevent.EndBroken), err)
	}
	a.end = dhevent.EndAnswered
	return a
}

// blame tells why an exchange failed: the caller went away, the time was over,
// or neither.
func (s *Server) blame(ctx context.Context, a *attempt, otherwise dhevent.AttemptEnd) dhevent.AttemptEnd {
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
	a.end, a.reason = end, err
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

// outgoing returns the request for an upstream or another instance.
func (s *Server) outgoing(ctx context.Context, in *inbound, t target, number string) (*http.Request, error) {
	dialect := s.options.Dialect.options
	scheme := "http"
	if t.secure {
		scheme = "https"
	}
	r, err := http.NewRequestWithContext(ctx, in.method, scheme+"://"+t.address, nil)
	if err != nil {
		return nil, err
	}
	r.URL.Path, r.URL.RawPath = t.path+in.url.Path, in.url.RawPath
	if r.URL.RawPath != "" {
		r.URL.RawPath = t.path + r.URL.RawPath
	}
	r.URL.RawQuery, r.URL.ForceQuery = in.url.RawQuery, in.url.ForceQuery
	if t.path == "" {
		r.URL.Opaque = in.target
	}
	r.Body, r.ContentLength = onceBody{bytes.NewReader(in.body)}, int64(len(in.body))
	if len(in.body) == 0 && !t.fresh {
		// Nothing can be sent twice that would do harm.
		r.Body = http.NoBody
	}
	r.Header = in.header.Clone()
	removeHopHeaders(r.Header)
	for name, values := range t.extra {
		r.Header[name] = values
	}
	if r.Header.Get("User-Agent") == "" {
		r.Header.Set("User-Agent", "")
	}
	r.Host = in.host
	r.Header.Set(dialect.Request, in.id)
	if dialect.Attempt != "" {
		r.Header.Set(dialect.Attempt, number)
	}
	r.Header.Set(dialect.Timeout, strconv.FormatInt(t.timeout.Milliseconds(), 10))
	if host, _, err := net.SplitHostPort(in.remote); err == nil && dialect.Forwarded && !t.passed {
		r.Header.Add("X-Forwarded-For", host)
	}
	return r, nil
}

// The reasons for which an answer isn't taken.
var (
	errCrossed   = errors.New("the answer belongs to another attempt")
	errUnbounded = errors.New("the answer's end can't be told from a broken connection")
	errNotRun    = errors.New("the other side did not run it")
	errMisplaced = errors.New("another upstream answers at the address")
	errMaybe     = errors.New("the other instance could not tell whether it ran")
)

// checkAnswer refuses answers that can't be trusted, and finds refusals of the
// other side.
func (s *Server) checkAnswer(r *http.Response, t target, field, value string) error {
	dialect := s.options.Dialect.options
	echo := r.Header.Get(field)
	if echo != value && (echo != "" || t.echoes) {
		return fmt.Errorf("%w: it repeats %q", errCrossed, echo)
	}
	unbounded := r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.ProtoMajor == 1 && r.Request.Method != http.MethodHead
	if unbounded && !dialect.OpenEnded {
		return errUnbounded
	}
	run := r.Header.Get(HeaderRun)
	switch {
	case t.passed && run == RunNot:
		return errNotRun
	case t.passed && run == RunMaybe:
		return errMaybe
	case t.passed:
		return nil
	case dialect.Misplaced(r.StatusCode, r.Header):
		return errMisplaced
	case dialect.NotRun(r.StatusCode, r.Header):
		return errNotRun
	default:
		return nil
	}
}

func endOf(err error) dhevent.AttemptEnd {
	switch {
	case errors.Is(err, errNotRun):
		return dhevent.EndRefused
	case errors.Is(err, errMisplaced):
		return dhevent.EndMisplaced
	default:
		return dhevent.EndBroken
	}
}

// holdBody reads the start of the body, so that a small answer is given on
// only when it is whole.
func (a *attempt) holdBody(most int) error {
	limited := io.LimitReader(a.response.Body, int64(most)+1)
	hold, err := io.ReadAll(limited)
	if err != nil {
		return err
	}
	a.hold = hold
	a.whole = len(hold) <= most
	return nil
}
