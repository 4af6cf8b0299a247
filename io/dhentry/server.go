// Package dhentry is the HTTP server for callers and for requests that peers
// forward. It translates requests into events and carries out the effects of the
// reducer, which makes all decisions.
package dhentry

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/sirupsen/logrus"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhlogs"
	"dogwoodhitch/io/dhnet"
	"dogwoodhitch/io/dhpeer"
	"dogwoodhitch/io/dhtime"
	"dogwoodhitch/io/dhtrafficstate"
)

// peerPathPrefix is the path prefix of requests that peers forward.
const peerPathPrefix = "/pass"

// Options configure a Server.
type Options struct {
	Instance     string
	TrafficState *dhtrafficstate.Owner
	Clock        dhtime.Clock
	PeerSecret   string
	// DecisionLog logs failed attempts, at a limited rate.
	DecisionLog *dhlogs.Limiter
	// MaxBodyBytes bounds the body of one request.
	MaxBodyBytes int64
	// MaxHeldBytes bounds the request bodies of all open requests together.
	MaxHeldBytes int64
	// ResponseBufferBytes is the size up to which a response body is buffered and
	// forwarded only when complete (setting holdBytes). Larger bodies are streamed.
	ResponseBufferBytes int
	// MaxConnections bounds the connections to one upstream.
	MaxConnections int
	// PeerTLS configures connections to peers; nil for plain TCP.
	PeerTLS *tls.Config
	// Dialect is the HTTP convention for callers and upstreams; nil for the
	// standard one.
	Dialect *Dialect
}

// Server serves callers and peers.
type Server struct {
	options   Options
	clients   clients
	closing   atomic.Bool  // each connection closes after its next response
	heldBytes atomic.Int64 // reserved for request bodies
	// unanswered is the number of requests whose answer isn't written yet.
	unanswered atomic.Int64
	// retired is the number of connections with a response that wasn't accepted, foreign the
	// number of those with a response that belonged to no request.
	retired, foreign atomic.Int64
	aborted          context.Context // done once Abort was called
	abort            context.CancelFunc
}

// New returns a Server.
func New(o Options) *Server {
	if o.Dialect == nil {
		o.Dialect = StandardDialect()
	}
	s := &Server{options: o, clients: newClients(o.MaxConnections, o.PeerTLS, closeTimeout)}
	s.aborted, s.abort = context.WithCancel(context.Background())
	return s
}

// Close aborts the open requests and closes the idle connections to upstreams and peers.
func (s *Server) Close() {
	s.abort()
	s.clients.close()
}

// CloseConnections makes each connection close after its next response, so that
// no caller sends a request on an idle connection while the process stops.
func (s *Server) CloseConnections() { s.closing.Store(true) }

// UnansweredRequests returns the number of requests whose answer isn't written yet.
func (s *Server) UnansweredRequests() int64 { return s.unanswered.Load() }

// RetiredConnections returns how many connections to upstreams and peers carry no request any more
// because of a response that wasn't accepted, most of them refusals.
func (s *Server) RetiredConnections() int64 { return s.retired.Load() }

// ForeignResponses returns how many responses of upstreams and peers belonged to no request.
func (s *Server) ForeignResponses() int64 { return s.foreign.Load() }

// setClose marks a response as the last one on its connection after CloseConnections.
func (s *Server) setClose(h http.Header) {
	if s.closing.Load() {
		h.Set("Connection", "close")
	}
}

// Abort ends the attempts of all open requests, and the reading of bodies. Their callers
// get a refusal.
func (s *Server) Abort() { s.abort() }

// CallerHandler returns the handler for callers. Only reserved paths go through
// http.ServeMux, because it redirects requests whose path isn't in canonical form.
func (s *Server) CallerHandler() http.Handler {
	reserved := http.NewServeMux()
	reserved.HandleFunc("GET "+dhcatalog.ReservedPrefix+"v1/lookup", s.lookUp)
	reserved.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		s.writeRefusal(w, randomID(), dheffect.NewRefusal(dheffect.RefuseNoRoute, false, 0))
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.EscapedPath(), dhcatalog.ReservedPrefix) {
			s.setClose(w.Header())
			reserved.ServeHTTP(w, r)
			return
		}
		s.serve(w, r, nil)
	})
}

// PeerHandler returns the handler for requests that peers forward. It passes all other
// requests to next. Like the handler for callers it doesn't use http.ServeMux.
func (s *Server) PeerHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.RequestURI, peerPathPrefix+"/") {
			next.ServeHTTP(w, r)
			return
		}
		if !dhpeer.SecretMatches(r.Header, s.options.PeerSecret) {
			http.Error(w, "the shared secret is missing or wrong", http.StatusUnauthorized)
			return
		}
		r.Header.Del("Dogwoodhitch-Secret")
		o, err := extractForwardedOptions(r.Header)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.RequestURI = strings.TrimPrefix(r.RequestURI, peerPathPrefix)
		r.URL.Path = strings.TrimPrefix(r.URL.Path, peerPathPrefix)
		r.URL.RawPath = strings.TrimPrefix(r.URL.RawPath, peerPathPrefix)
		s.serve(w, r, o)
	})
}

// bodyReservation returns how many bytes to reserve for a request's body: its
// declared length, or MaxBodyBytes if that is unknown or too large.
func (s *Server) bodyReservation(r *http.Request) int64 {
	if r.ContentLength < 0 || r.ContentLength > s.options.MaxBodyBytes {
		return s.options.MaxBodyBytes
	}
	return r.ContentLength
}

// reserveBody reserves memory for a request's body. It reports whether the bodies
// stay within MaxHeldBytes; a request without a body always does.
func (s *Server) reserveBody(r *http.Request) bool {
	size := s.bodyReservation(r)
	if s.heldBytes.Add(size) <= s.options.MaxHeldBytes || size == 0 {
		return true
	}
	s.heldBytes.Add(-size)
	return false
}

// forwardedOptions are what a peer that forwards a request says about it.
type forwardedOptions struct {
	organisation   string  // whose key the peer has checked
	minDeclaration *uint64 // number of the declaration that the peer has; nil if it sent none
}

// extractForwardedOptions removes the fields that a peer has added from a header and
// returns their values.
func extractForwardedOptions(h http.Header) (*forwardedOptions, error) {
	o := &forwardedOptions{organisation: h.Get(HeaderOrganisation)}
	if text := h.Get(HeaderMinDeclaration); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%s must be the number of a declaration: %w", HeaderMinDeclaration, err)
		}
		o.minDeclaration = &n
	}
	h.Del(HeaderOrganisation)
	h.Del(HeaderMinDeclaration)
	return o, nil
}

// serve handles one request until it has ended. The options are set only for requests
// from peers.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, forwarded *forwardedOptions) {
	if !s.reserveBody(r) {
		s.writeRefusal(w, s.requestID(r), dheffect.NewRefusal(dheffect.RefuseNoCapacity, false, dhclock.Second))
		return
	}
	defer s.heldBytes.Add(-s.bodyReservation(r))
	in, refusalKind := s.readRequest(w, r)
	if refusalKind != "" {
		s.writeRefusal(w, in.id, dheffect.NewRefusal(refusalKind, false, 0))
		return
	}
	in.header.Del(s.options.Dialect.options.OrganisationHeader)
	o := dhevent.RequestReceivedOptions{
		CallerRequestID: in.id, Host: in.hostName(), Path: in.targetPath(), ObjectHash: in.objectHash, Random: rand.Uint64(),
		APIKeyHash: in.apiKeyHash, Timeout: in.timeout, IdempotencyKey: in.idempotencyKey, Digest: in.digest, BodyBytes: len(in.body),
		CallerLeft: dhnet.HasCallerLeft(r.Context()),
	}
	if !o.CallerLeft {
		o.ContentHash = new(in.contentHash())
	}
	if forwarded != nil {
		o.FromPeer, o.Organisation, o.MinDeclaration = true, forwarded.organisation, forwarded.minDeclaration
	}
	waiter := s.options.TrafficState.StartRequest(func(at dhclock.Millis, requestID uint64) dhevent.Event {
		o.RequestID = requestID
		return dhevent.NewRequestReceived(at, o)
	})
	defer s.options.TrafficState.RemoveWaiter(waiter)
	s.unanswered.Add(1)
	defer s.unanswered.Add(-1)
	x := &exchange{server: s, in: in, waiter: waiter, writer: w, fromPeer: forwarded != nil}
	if o.CallerLeft {
		x.cancel(r.Context())
		return
	}
	x.run(r.Context())
}

// exchange is one request in progress and the writer for its response.
type exchange struct {
	server   *Server
	in       *inbound
	waiter   *dhtrafficstate.Waiter
	writer   http.ResponseWriter
	fromPeer bool
}

// run carries out the reducer's decisions until the request has ended.
func (x *exchange) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			x.cancel(ctx)
			return
		case d := <-x.waiter.Decisions():
			if x.execute(ctx, d) {
				return
			}
		}
	}
}

// abandon closes the connection of a caller that net/http takes for gone. Otherwise net/http
// would write an empty response with status 200, which the caller may still receive.
func (x *exchange) abandon() { panic(http.ErrAbortHandler) }

// cancel ends a request whose caller closed its connection. If a decision to forward the
// request is still queued, nothing is sent. Any other decision is carried out: a caller that has
// only ended its output gets it.
func (x *exchange) cancel(ctx context.Context) {
	x.server.options.TrafficState.Handle(func(at dhclock.Millis) dhevent.Event {
		return dhevent.NewRequestCancelled(at, dhevent.RequestCancelledOptions{RequestID: x.waiter.RequestID()})
	})
	for {
		select {
		case d := <-x.waiter.Decisions():
			switch d.Effect().(type) {
			case *dheffect.ForwardToUpstream, *dheffect.ForwardToPeer:
				x.postAttemptEnded(dhevent.AttemptEndedOptions{End: dhevent.EndAbandoned}, d.At())
			default:
				x.execute(ctx, d)
				return
			}
		default:
			x.abandon()
		}
	}
}

// execute carries out a decision and reports whether the request has ended.
func (x *exchange) execute(ctx context.Context, d dhtrafficstate.Decision) bool {
	switch e := d.Effect().(type) {
	case *dheffect.Refuse:
		x.server.writeRefusal(x.writer, x.in.id, e.Refusal())
		return true
	case *dheffect.Replay:
		x.replay(e.Response())
		return true
	case *dheffect.ForwardToUpstream:
		extraHeader := http.Header{}
		dialect := x.server.options.Dialect.options
		if e.Organisation() != "" {
			extraHeader.Set(dialect.OrganisationHeader, e.Organisation())
		}
		if e.Registered() && dialect.UpstreamHeader != "" {
			extraHeader.Set(dialect.UpstreamHeader, e.Upstream())
		}
		return x.runAttempt(ctx, d, target{
			address: e.Address(), timeout: e.Timeout(), newConnection: e.NewConnection(), mustEcho: e.EchoesAttemptID() || e.Registered(), extraHeader: extraHeader,
			sendBefore: e.SendBefore(), needsProof: e.NeedsProof(),
		}, e.Claimed())
	case *dheffect.ForwardToPeer:
		extraHeader := http.Header{}
		dhpeer.SetSecret(extraHeader, x.server.options.PeerSecret)
		extraHeader.Set(HeaderOrganisation, e.Organisation())
		extraHeader[HeaderMinDeclaration] = nil // a caller's field must not reach the peer
		if e.MinDeclaration() != nil {
			extraHeader.Set(HeaderMinDeclaration, strconv.FormatUint(*e.MinDeclaration(), 10))
		}
		return x.runAttempt(ctx, d, target{
			address: e.Address(), pathPrefix: peerPathPrefix, timeout: e.Timeout(), newConnection: e.Claimed() || x.in.isReplayableByKey(), toPeer: true,
			useTLS: x.server.options.PeerTLS != nil, extraHeader: extraHeader, needsProof: e.NeedsProof(),
		}, e.Claimed())
	default:
		return true
	}
}

// runAttempt makes one attempt and reports whether the request has ended with it.
func (x *exchange) runAttempt(ctx context.Context, d dhtrafficstate.Decision, t target, claimed bool) bool {
	s := x.server
	if now := s.options.Clock.Now(); now.Since(d.At()) > maxDecisionAge || t.isTooLate(now) {
		x.postAttemptEnded(dhevent.AttemptEndedOptions{End: dhevent.EndUntried}, d.At())
		return false
	}
	switch {
	case claimed:
		// A claimed request runs to completion even if the caller disconnects,
		// so that a retry by the caller gets the recorded response.
		ctx = context.WithoutCancel(ctx)
		t.outlivesCaller = true
	case dhnet.HasCallerLeft(ctx):
		x.postAttemptEnded(dhevent.AttemptEndedOptions{End: dhevent.EndAbandoned}, d.At())
		x.abandon()
	}
	a := s.sendAttempt(ctx, x.in, t, s.options.ResponseBufferBytes)
	x.reportLeaving(a, d, t)
	if a.end != dhevent.EndAnswered {
		s.options.DecisionLog.Write("attempt "+a.end.String(), func() (logrus.Fields, string) {
			return logrus.Fields{
				"request": x.in.id, "upstream": t.address, "end": a.end.String(), "reason": a.err.Error(),
				"status": a.status(), "connection": a.used.localAddress(), "carried": a.carried,
				"timeoutMs": t.timeout.Milliseconds(), "ms": s.options.Clock.Now().Since(d.At()).Milliseconds(),
			}, "attempt failed"
		})
		o := dhevent.AttemptEndedOptions{
			End: a.end, Status: a.status(), Carried: a.carried,
			Connected: a.connected, ResponseMissed: new(a.missed), Resent: a.resent,
		}
		if a.accepted || a.end == dhevent.EndRefused || a.end == dhevent.EndUnattributed {
			o.ReportedLoad, o.ReportedLimit = s.options.Dialect.reportedLoad(a.response), s.options.Dialect.reportedLimit(a.response)
			o.RetryAfter = reportedRetryAfter(a.response)
		}
		x.postAttemptEnded(o, d.At())
		if a.end == dhevent.EndCallerGone || a.end == dhevent.EndAbandoned {
			x.abandon()
		}
		return false
	}
	defer a.close()
	x.writeResponse(a, d, claimed)
	return true
}

// reportLeaving reports to the reducer that the upstream which refused an attempt or
// responded to it is about to stop.
func (x *exchange) reportLeaving(a *attempt, d dhtrafficstate.Decision, t target) {
	if !a.accepted && a.end != dhevent.EndRefused || !x.server.options.Dialect.isLeaving(a.response) {
		return
	}
	o := dhevent.UpstreamLeavingOptions{RequestID: x.waiter.RequestID()}
	if t.toPeer {
		o.Upstream, o.Address, _ = strings.Cut(a.response.Header.Get(HeaderLeavingUpstream), " ")
	}
	a.response.Header.Del(HeaderLeavingUpstream)
	if e, ok := d.Effect().(*dheffect.ForwardToUpstream); ok && x.fromPeer {
		a.response.Header.Set(HeaderLeavingUpstream, e.Upstream()+" "+e.Address())
	}
	x.server.options.TrafficState.Handle(func(at dhclock.Millis) dhevent.Event { return dhevent.NewUpstreamLeaving(at, o) })
}

// writeResponse forwards a response to the caller and reports the end of the
// attempt to the reducer.
func (x *exchange) writeResponse(a *attempt, d dhtrafficstate.Decision, claimed bool) {
	o := dhevent.AttemptEndedOptions{
		End: dhevent.EndAnswered, Status: a.response.StatusCode, ResponseStarted: true, BodyBytes: len(a.bodyPrefix),
		ReportedLoad: x.server.options.Dialect.reportedLoad(a.response), ReportedLimit: x.server.options.Dialect.reportedLimit(a.response),
		RetryAfter: reportedRetryAfter(a.response), Connected: a.connected, Carried: a.carried,
	}
	if a.complete {
		if claimed {
			o.Response = responseToRecord(a)
		}
		x.postAttemptEnded(o, d.At())
		x.writeHeader(a)
		_, _ = x.writer.Write(a.bodyPrefix)
		return
	}
	x.writeHeader(a)
	size, err := x.streamBody(a)
	o.BodyBytes += int(size)
	if err != nil {
		o.End = dhevent.EndBroken
		if errors.Is(a.context.Err(), context.DeadlineExceeded) {
			o.End = dhevent.EndTimedOut
		}
		x.postAttemptEnded(o, d.At())
		// A part of the body was written already. Only an aborted connection
		// shows the caller that the body is truncated.
		panic(http.ErrAbortHandler)
	}
	x.postAttemptEnded(o, d.At())
}

func (x *exchange) writeHeader(a *attempt) {
	h := x.writer.Header()
	removeHopByHopHeaders(a.response.Header)
	for name, values := range a.response.Header {
		h[name] = values
	}
	h.Set(x.server.options.Dialect.options.RequestIDHeader, x.in.id)
	if x.fromPeer {
		// The peer that forwarded the request expects its own attempt ID.
		h.Set(HeaderAttempt, x.in.header.Get(HeaderAttempt))
	} else {
		h.Del(HeaderAttempt)
	}
	if a.complete && a.response.Request.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(a.bodyPrefix)))
	}
	x.server.setClose(h)
	x.writer.WriteHeader(a.response.StatusCode)
}

// streamBody forwards the body of a response that is too large to be buffered. It
// returns the number of bytes beyond the buffered prefix. The attempt's deadline also
// applies to writing, so that a caller that stops reading can't hold the request.
func (x *exchange) streamBody(a *attempt) (int64, error) {
	deadline, _ := a.context.Deadline()
	controller := http.NewResponseController(x.writer)
	if err := controller.SetWriteDeadline(deadline); err != nil {
		return 0, err
	}
	size, err := x.copyBody(a)
	return size, errors.Join(err, controller.SetWriteDeadline(time.Time{}))
}

// copyBody writes the buffered prefix of a response's body and the rest.
func (x *exchange) copyBody(a *attempt) (int64, error) {
	if _, err := x.writer.Write(a.bodyPrefix); err != nil {
		return 0, err
	}
	return io.Copy(x.writer, a.response.Body)
}

// postAttemptEnded reports the end of an attempt to the reducer.
func (x *exchange) postAttemptEnded(o dhevent.AttemptEndedOptions, decidedAt dhclock.Millis) {
	o.RequestID = x.waiter.RequestID()
	x.server.options.TrafficState.Handle(func(at dhclock.Millis) dhevent.Event {
		o.Latency = at.Since(decidedAt)
		return dhevent.NewAttemptEnded(at, o)
	})
}

// responseToRecord returns a complete response in the form that a claim records. It returns
// nil if a header field isn't UTF-8, which messages between processes can't hold.
func responseToRecord(a *attempt) *dhmessage.Response {
	var fields []dhmessage.HeaderField
	removeHopByHopHeaders(a.response.Header)
	for name, values := range a.response.Header {
		if name == HeaderAttempt || name == "Date" {
			continue
		}
		for _, v := range values {
			if !utf8.ValidString(name) || !utf8.ValidString(v) {
				return nil
			}
			fields = append(fields, dhmessage.NewHeaderField(name, v))
		}
	}
	return dhmessage.NewResponse(a.response.StatusCode, fields, a.bodyPrefix)
}

// replay writes the recorded response to an earlier request with the same
// idempotency key.
func (x *exchange) replay(response *dhmessage.Response) {
	h := x.writer.Header()
	for _, f := range response.Header() {
		h.Add(f.Name(), f.Value())
	}
	h.Set(x.server.options.Dialect.options.RequestIDHeader, x.in.id)
	h.Set(HeaderReplayed, "true")
	h.Set("Content-Length", strconv.Itoa(len(response.Body())))
	x.server.setClose(h)
	x.writer.WriteHeader(response.Status())
	_, _ = x.writer.Write(response.Body())
}
