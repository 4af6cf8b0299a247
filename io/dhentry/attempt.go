package dhentry

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/io/dhnet"
	"dogwoodhitch/io/dhtime"
)

// Size limits and timeouts of attempts.
const (
	// dialTimeout bounds the time to connect to an upstream. TCP retransmits a
	// lost SYN only after one second, which is too late for most requests.
	dialTimeout = 500 * time.Millisecond
	// shortConnectTime is the time in which a connection may still be on its way to a
	// distant region. A shorter attempt shows nothing about the upstream.
	shortConnectTime dhclock.Millis = 250
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before the
	// connection fails. It covers a few round trips between distant regions and
	// one retransmission.
	tcpUserTimeout = 1 * time.Second
	// idleConnTimeout is how long an idle connection stays in the pool. Upstreams
	// keep idle connections for longer, so that a pooled connection is rarely
	// found closed by its upstream.
	idleConnTimeout = 4 * time.Second
	// closeTimeout is how long an upstream has to close a retired connection. It is the
	// shortest time for which an upstream that refused gets no request.
	closeTimeout = 50 * time.Millisecond
	// maxResponseHeaderBytes bounds the header of a response.
	maxResponseHeaderBytes = 64 << 10
	// maxDecisionAge is the age beyond which a decision is no longer carried out.
	// A decision gets that old when the process was frozen, and the state that it
	// was based on may have changed since.
	maxDecisionAge dhclock.Millis = 1000
)

// clients are the HTTP clients that send attempts. Neither resends a request
// whose body is a nonReplayableBody.
type clients struct {
	pooled        *http.Client // reuses idle connections
	newConnection *http.Client // opens a new connection for each attempt
	dialer        *net.Dialer
}

func newClients(maxConnections int, peerTLS *tls.Config, closeTimeout time.Duration) clients {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: dhnet.TCPUserTimeout(tcpUserTimeout)}
	pooled := &http.Transport{
		DialContext:            dialRequestConn(dialer, closeTimeout),
		MaxConnsPerHost:        maxConnections,
		MaxIdleConnsPerHost:    maxConnections,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
		TLSClientConfig:        peerTLS,
	}
	unpooled := pooled.Clone()
	unpooled.DisableKeepAlives = true
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return clients{
		pooled:        &http.Client{Transport: pooled, CheckRedirect: noRedirect},
		newConnection: &http.Client{Transport: unpooled, CheckRedirect: noRedirect},
		dialer:        dialer,
	}
}

func (c clients) close() {
	c.pooled.CloseIdleConnections()
	c.newConnection.CloseIdleConnections()
}

// Probe opens a connection to an upstream, closes it, and reports the result to the
// reducer.
func (s *Server) Probe(ctx context.Context, e *dheffect.ProbeUpstream) {
	startedAt := s.options.Clock.Now()
	connection, err := s.clients.dialer.DialContext(ctx, "tcp", e.Address())
	if err == nil {
		connection.Close()
	}
	s.options.TrafficState.Handle(func(at dhclock.Millis) dhevent.Event {
		return dhevent.NewUpstreamProbed(at, dhevent.UpstreamProbedOptions{
			Service: e.Service(), Upstream: e.Upstream(), Connected: err == nil, Latency: at.Since(startedAt),
		})
	})
}

// nonReplayableBody is a request body that net/http can't rewind. The transport
// of net/http retries a request by itself only if the request has no body or has
// a GetBody function. With this body it never does, not even for a request with
// an Idempotency-Key header.
type nonReplayableBody struct{ *bytes.Reader }

// Close implements io.Closer.
func (nonReplayableBody) Close() error { return nil }

// target is the destination of an attempt and how to send it.
type target struct {
	address       string
	pathPrefix    string // added to the path of requests to peers
	timeout       dhclock.Millis
	newConnection bool
	mustEcho      bool // refuse responses that don't repeat the attempt ID or request ID
	toPeer        bool
	needsProof    bool // see dheffect.ForwardToUpstreamOptions
	useTLS        bool
	// sendBefore is the clock reading from which on nothing may be sent; 0 for none.
	sendBefore dhclock.Millis
	// outlivesCaller is set if the attempt goes on after its caller has left.
	outlivesCaller bool
	extraHeader    http.Header
}

// isTooLate reports whether nothing may be sent any more.
func (t target) isTooLate(now dhclock.Millis) bool { return t.sendBefore > 0 && now >= t.sendBefore }

// attempt is one try to run a request on an upstream or through a peer, with its
// response.
type attempt struct {
	end        dhevent.AttemptEnd
	response   *http.Response
	cancel     context.CancelFunc
	context    context.Context
	stopAbort  func() bool // detaches the attempt from Server.Abort
	bodyPrefix []byte      // first bytes of the response body, see readBodyPrefix
	complete   bool        // bodyPrefix is the complete body
	err        error       // why the attempt failed; nil if end is EndAnswered
	connected  *bool       // whether a new connection succeeded; nil if none was tried to its end
	resent     bool        // the transport sent the request again after a kept connection had failed
	missed     bool        // the request was sent, and the head of its response not read
	accepted   bool        // the response is to this request and from its upstream, though it may be truncated
	// gotConnection is whether the transport had a connection that may carry the request.
	gotConnection bool
	// connection is the one that the attempt has acquired, or nil.
	connection atomic.Pointer[requestConn]
	abandoned  error // why nothing was written to the last connection; nil otherwise
	// startedAt is when the attempt asked the transport for its last connection.
	startedAt dhclock.Millis
	// hasWaited is set if the attempt has waited for the end of a retired connection.
	hasWaited bool
	// carried is how many requests the last connection that the attempt acquired had carried
	// before, which is used; both are nil if there was none.
	carried *int
	used    *requestConn
}

// attemptCounter is the number of the latest attempt of this process.
var attemptCounter atomic.Uint64

// sendAttempt sends a request and reads the response up to bufferBytes of its
// body. The attempt ends with EndNotSent only if no connection was obtained, so
// that no byte of the request can have been written.
func (s *Server) sendAttempt(ctx context.Context, in *inbound, t target, bufferBytes int) *attempt {
	a := &attempt{}
	a.context, a.cancel = context.WithTimeout(ctx, time.Duration(t.timeout)*time.Millisecond)
	a.stopAbort = context.AfterFunc(s.aborted, a.cancel)
	defer a.releaseConnection()
	attemptID := s.options.Instance + "-" + strconv.FormatUint(attemptCounter.Add(1), 36)
	if err := s.roundTrip(ctx, a, in, t, attemptID); err != nil {
		switch {
		case errors.Is(a.abandoned, errCallerLeft):
			return a.fail(dhevent.EndAbandoned, err)
		case errors.Is(a.abandoned, errLate):
			return a.fail(dhevent.EndUntried, errLate)
		}
		if !a.gotConnection {
			return a.failUnsent(ctx, err, s.options.Clock.Now().Since(a.startedAt))
		}
		a.missed = true
		return a.fail(classifyFailure(ctx, a), err)
	}
	field, value := s.options.Dialect.expectedEcho(in, attemptID)
	err := s.checkResponse(a.response, t, field, value)
	if a.followsOthers() && hasSecondStatusLine(a.response) {
		err = errTwoHeads
	}
	if err != nil {
		return s.reject(a, t, field, err, bufferBytes)
	}
	a.accepted = true
	if !t.toPeer {
		removeOwnFields(a.response.Header)
	}
	if err := a.readBodyPrefix(bufferBytes); err != nil {
		return a.fail(classifyFailure(ctx, a), err)
	}
	if !a.response.ProtoAtLeast(1, 1) {
		// What is left of a cut copy of it couldn't be told from the next response: net/http
		// drops fields of HTTP/1.0 unseen.
		a.connection.Load().abandon(errRetired)
		if a.complete {
			a.connection.Load().retire()
		}
	}
	a.end = dhevent.EndAnswered
	return a
}

// reject ends an attempt whose response wasn't accepted for a reason. Its connection carries no
// request any more, since a copy of the response may follow, and be taken for the next one.
func (s *Server) reject(a *attempt, t target, echoField string, reason error, bufferBytes int) *attempt {
	s.retired.Add(1)
	isForeign := errors.Is(reason, errWrongAttempt) || errors.Is(reason, errTwoHeads)
	if isForeign {
		s.foreign.Add(1)
		// The true response may not have begun.
		a.connection.Load().reset()
	} else {
		a.connection.Load().retire()
		if n := a.response.ContentLength; n > 0 && n <= int64(bufferBytes) {
			// The transport would close the connection of an unread body at once.
			_ = a.readBodyPrefix(bufferBytes)
		}
	}
	end := attemptEndFor(reason)
	saysNotRun := end == dhevent.EndRefused || end == dhevent.EndMisplaced
	if isReused := a.connected == nil; saysNotRun && isReused && !t.toPeer && a.response.Header.Get(echoField) == "" {
		end = dhevent.EndUnattributed
	}
	a.missed = end == dhevent.EndUnattributed || isForeign
	a.accepted = end == dhevent.EndUnproven
	return a.fail(end, reason)
}

// roundTrip sends a request and reads the head of its response. While the connections that the
// transport has carry no request any more, it tries again with the next one.
func (s *Server) roundTrip(ctx context.Context, a *attempt, in *inbound, t target, attemptID string) error {
	tracedCtx := httptrace.WithClientTrace(a.context, &httptrace.ClientTrace{
		GetConn:              func(string) { a.abandoned = nil },
		GotConn:              func(i httptrace.GotConnInfo) { a.takeConnection(ctx, i, t, s.options.Clock) },
		GotFirstResponseByte: func() { a.connection.Load().setUnanswered(false) },
	})
	client := s.clients.pooled
	if t.newConnection {
		client = s.clients.newConnection
	}
	for {
		request, err := s.newOutboundRequest(tracedCtx, in, t, attemptID)
		if err != nil {
			// The address is unusable, as those that an earlier release accepted may be.
			return err
		}
		a.gotConnection, a.abandoned, a.startedAt = false, nil, s.options.Clock.Now()
		a.response, err = client.Do(request) //nolint:bodyclose // closed by attempt.close
		if err == nil && a.abandoned != nil {
			// The response was there before the request, of which nothing was written.
			a.response.Body.Close()
			a.response, err = nil, a.abandoned
		}
		if err == nil || a.context.Err() != nil || !errors.Is(a.abandoned, errRetired) && !a.abandonUnwritten() {
			return err
		}
	}
}

// takeConnection acquires the connection that the transport has for the attempt. If the
// request must not be sent on it, nothing is written to it.
func (a *attempt) takeConnection(ctx context.Context, i httptrace.GotConnInfo, t target, clock dhtime.Clock) {
	c := requestConnOf(i.Conn)
	a.resent = a.resent || a.gotConnection && a.connection.Load().isWritten()
	a.releaseConnection()
	if !i.Reused {
		a.connected = new(true)
	}
	if a.gotConnection = c.acquire(a.context, i.Reused); !a.gotConnection {
		a.abandoned = errRetired
		c.retire()
		c.awaitEnd(a.context)
		a.hasWaited = true
		return
	}
	a.connection.Store(c)
	a.carried, a.used = c.countRequest(), c
	switch {
	case (!i.WasIdle || a.hasWaited) && !t.outlivesCaller && dhnet.HasCallerLeft(ctx):
		a.abandoned = errCallerLeft
	case t.isTooLate(clock.Now()):
		a.abandoned = errLate
	default:
		a.abandoned = nil
		c.setUnanswered(true)
		return
	}
	c.abandon(a.abandoned)
	a.cancel()
}

// abandonUnwritten reports whether nothing was written to the connection that the attempt has
// acquired, nor will be, and that had carried a request before: it was closed in between.
func (a *attempt) abandonUnwritten() bool {
	return a.gotConnection && a.followsOthers() && a.connection.Load().abandonUnwritten()
}

// followsOthers reports whether the connection may have carried a request before.
func (a *attempt) followsOthers() bool { return a.carried == nil || *a.carried > 0 }

// releaseConnection lets other attempts acquire the connection of this one.
func (a *attempt) releaseConnection() { a.connection.Swap(nil).release() }

// failUnsent ends an attempt that got no connection. It is a failure of the other side only if
// that refused the connection, or left the attempt without one for long.
func (a *attempt) failUnsent(ctx context.Context, err error, latency dhclock.Millis) *attempt {
	hasEnded := a.context.Err() != nil
	switch {
	case ctx.Err() != nil:
		return a.fail(dhevent.EndAbandoned, err)
	case hasEnded && (latency < shortConnectTime || errors.Is(a.abandoned, errRetired)), isShortage(err):
		return a.fail(dhevent.EndUntried, err)
	}
	var dialErr *net.OpError
	if !hasEnded && errors.As(err, &dialErr) && dialErr.Op == "dial" {
		a.connected = new(false)
	}
	return a.fail(dhevent.EndNotSent, err)
}

// isShortage reports whether a connection failed because this machine has no descriptors, ports
// or memory left.
func isShortage(err error) bool {
	return slices.ContainsFunc([]error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM},
		func(shortage error) bool { return errors.Is(err, shortage) })
}

// classifyFailure returns the end of an attempt that failed after it was sent: EndCallerGone if
// the caller closed its connection, EndTimedOut if the attempt's timeout expired, else EndBroken.
func classifyFailure(ctx context.Context, a *attempt) dhevent.AttemptEnd {
	switch {
	case ctx.Err() != nil:
		return dhevent.EndCallerGone
	case errors.Is(a.context.Err(), context.DeadlineExceeded):
		return dhevent.EndTimedOut
	default:
		return dhevent.EndBroken
	}
}

func (a *attempt) fail(end dhevent.AttemptEnd, err error) *attempt {
	a.end, a.err = end, err
	a.close()
	return a
}

// status returns the status code of the response, or 0.
func (a *attempt) status() int {
	if a.response == nil {
		return 0
	}
	return a.response.StatusCode
}

// close releases the response and the attempt's context. The transport closes a
// connection whose response body wasn't read to its end instead of reusing it.
func (a *attempt) close() {
	if a.response != nil {
		a.response.Body.Close()
	}
	a.stopAbort()
	a.cancel()
}

// newOutboundRequest returns the request to send to an upstream or a peer.
func (s *Server) newOutboundRequest(ctx context.Context, in *inbound, t target, attemptID string) (*http.Request, error) {
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
	if in.verbatimPath != "" {
		r.URL.Opaque = t.pathPrefix + in.verbatimPath
	}
	r.Body, r.ContentLength = nonReplayableBody{bytes.NewReader(in.body)}, int64(len(in.body))
	if len(in.body) == 0 && !t.newConnection && (!t.toPeer || !lacksBody(in.method)) {
		// The transport may resend a request without a body if a pooled
		// connection fails. That is harmless only for requests that may be
		// repeated, so newConnection must be set for all others.
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
		r.Header.Set(dialect.AttemptHeader, attemptID)
	}
	r.Header.Set(dialect.TimeoutHeader, strconv.FormatInt(t.timeout.Milliseconds(), 10))
	if host, _, err := net.SplitHostPort(in.remoteAddress); err == nil && dialect.AddForwardedFor && !t.toPeer {
		r.Header.Add("X-Forwarded-For", host)
	}
	return r, nil
}

// lacksBody reports whether requests with a method usually have no body. The transport
// sends an empty body for them in the same way as none, but doesn't resend it.
func lacksBody(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions || method == http.MethodTrace
}
