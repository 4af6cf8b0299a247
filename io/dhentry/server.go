// Package dhentry serves callers and the requests that other instances pass
// on. It reads and writes HTTP; what becomes of a request is decided by the
// reducer.
package dhentry

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhlogs"
	"dogwoodhitch/io/dhpeer"
	"dogwoodhitch/io/dhshard"
	"dogwoodhitch/io/dhtime"
)

// peerPathPrefix starts the paths of requests that other instances pass on.
const peerPathPrefix = "/pass"

// Options are what a server needs.
type Options struct {
	Instance   string
	Shard      *dhshard.Shard
	Clock      dhtime.Clock
	PeerSecret string
	Log        *logrus.Entry
	// DecisionLog writes lines on single requests, as far as their bound allows.
	DecisionLog *dhlogs.Limiter
	// MaxBodyBytes bounds the body of a request, in bytes.
	MaxBodyBytes int64
	// MaxHeldBytes bounds the bodies of all requests together, in bytes.
	MaxHeldBytes int64
	// ResponseBufferBytes is up to which size an answer is given on only when it is whole, in
	// bytes.
	ResponseBufferBytes int
	// MaxConnections bounds the connections to one upstream.
	MaxConnections int
	// PeerTLS is how to connect to other instances; nil for plain connections.
	PeerTLS *tls.Config
	// Dialect is how callers and upstreams are spoken to; nil for the standard
	// one.
	Dialect *Dialect
}

// Server serves callers.
type Server struct {
	options   Options
	clients   clients
	closing   atomic.Bool  // connections end with their next answer
	leaving   atomic.Bool  // new requests are refused
	heldBytes atomic.Int64 // bytes of request bodies
}

// New returns a server.
func New(o Options) *Server {
	if o.Dialect == nil {
		o.Dialect = StandardDialect()
	}
	return &Server{options: o, clients: newClients(o.MaxConnections, o.PeerTLS)}
}

// Close closes the connections that are kept.
func (s *Server) Close() { s.clients.close() }

// CloseConnections ends each connection with its next answer, so that none is
// kept that a caller might use while the process stops.
func (s *Server) CloseConnections() { s.closing.Store(true) }

// Leave makes new requests end with a refusal that says that they did not run.
func (s *Server) Leave() { s.leaving.Store(true) }

// CallerHandler returns the handler for callers. Requests don't pass the standard
// library's multiplexer, which redirects paths that it would write otherwise.
func (s *Server) CallerHandler() http.Handler {
	reserved := http.NewServeMux()
	reserved.HandleFunc("GET "+dhcatalog.ReservedPrefix+"v1/lookup", s.lookUp)
	reserved.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		s.writeRefusal(w, randomID(), dheffect.NewRefusal(dheffect.RefuseNoRoute, false, 0))
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, dhcatalog.ReservedPrefix) {
			reserved.ServeHTTP(w, r)
			return
		}
		s.serve(w, r, "", false)
	})
}

// PeerHandler returns the path and the handler for requests of other instances.
func (s *Server) PeerHandler() (string, http.Handler) {
	return peerPathPrefix + "/", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !dhpeer.SecretMatches(r.Header, s.options.PeerSecret) {
			http.Error(w, "the shared secret is missing or wrong", http.StatusUnauthorized)
			return
		}
		r.Header.Del("Dogwoodhitch-Secret")
		organisation := r.Header.Get(HeaderOrganisation)
		r.URL.Path = strings.TrimPrefix(r.URL.Path, peerPathPrefix)
		r.URL.RawPath = strings.TrimPrefix(r.URL.RawPath, peerPathPrefix)
		s.serve(w, r, organisation, true)
	})
}

// bodyReservation returns how many bytes a request's body may take.
func (s *Server) bodyReservation(r *http.Request) int64 {
	if r.ContentLength < 0 || r.ContentLength > s.options.MaxBodyBytes {
		return s.options.MaxBodyBytes
	}
	return r.ContentLength
}

// reserveBody reserves memory for a request's body, and tells whether there is room.
func (s *Server) reserveBody(r *http.Request) bool {
	size := s.bodyReservation(r)
	if s.heldBytes.Add(size) <= s.options.MaxHeldBytes || size == 0 {
		return true
	}
	s.heldBytes.Add(-size)
	return false
}

// serve carries one request from its arrival to its end.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, organisation string, passed bool) {
	if s.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	if !s.reserveBody(r) {
		s.writeRefusal(w, s.requestID(r), dheffect.NewRefusal(dheffect.RefuseNoCapacity, false, dhclock.Second))
		return
	}
	defer s.heldBytes.Add(-s.bodyReservation(r))
	in, kind := s.readRequest(w, r)
	if kind != "" {
		s.writeRefusal(w, in.id, dheffect.NewRefusal(kind, false, 0))
		return
	}
	if s.leaving.Load() {
		s.writeRefusal(w, in.id, dheffect.NewRefusal(dheffect.RefuseInstanceLeaving, false, dhclock.Second))
		return
	}
	in.header.Del(s.options.Dialect.options.OrganisationHeader)
	waiter := s.options.Shard.StartRequest(func(at dhclock.Millis, request uint64) dhevent.Event {
		return dhevent.NewRequestReceived(at, dhevent.RequestReceivedOptions{
			RequestID: request, CallerRequestID: in.id, Host: in.hostName(), Path: in.url.Path, ObjectHash: in.objectHash, Random: rand.Uint64(), APIKeyHash: in.apiKeyHash, FromPeer: passed, Organisation: organisation,
			Timeout: in.timeout, IdempotencyKey: in.idempotencyKey, Digest: in.digest,
			BodyBytes: len(in.body),
		})
	})
	defer s.options.Shard.RemoveWaiter(waiter)
	x := &exchange{server: s, in: in, waiter: waiter, writer: w, fromPeer: passed}
	x.run(r.Context())
}

// exchange is one caller's request and what it gets.
type exchange struct {
	server   *Server
	in       *inbound
	waiter   *dhshard.Waiter
	writer   http.ResponseWriter
	fromPeer bool
}

// run carries out decisions until the request has ended.
func (x *exchange) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			x.cancel()
			return
		case d := <-x.waiter.Decisions():
			if x.execute(ctx, d) {
				return
			}
		}
	}
}

// cancel tells the reducer that the caller went away. A decision to send that
// came at the same time is taken back, since nothing was sent.
func (x *exchange) cancel() {
	x.server.options.Shard.Handle(func(at dhclock.Millis) dhevent.Event {
		return dhevent.NewRequestCancelled(at, dhevent.RequestCancelledOptions{RequestID: x.waiter.RequestID()})
	})
	for {
		select {
		case d := <-x.waiter.Decisions():
			switch d.Effect().(type) {
			case *dheffect.ForwardToUpstream, *dheffect.ForwardToPeer:
				x.postAttemptEnded(dhevent.AttemptEndedOptions{End: dhevent.EndNotSent}, d.At())
			}
		default:
			return
		}
	}
}

// execute does what was decided, and tells whether the request has ended.
func (x *exchange) execute(ctx context.Context, d dhshard.Decision) bool {
	switch e := d.Effect().(type) {
	case *dheffect.Refuse:
		x.server.writeRefusal(x.writer, x.in.id, e.Refusal())
		return true
	case *dheffect.Replay:
		x.replay(e.Response())
		return true
	case *dheffect.ForwardToUpstream:
		extra := http.Header{}
		dialect := x.server.options.Dialect.options
		if e.Organisation() != "" {
			extra.Set(dialect.OrganisationHeader, e.Organisation())
		}
		if e.Registered() && dialect.UpstreamHeader != "" {
			extra.Set(dialect.UpstreamHeader, e.Upstream())
		}
		return x.runAttempt(ctx, d, target{
			address: e.Address(), timeout: e.Timeout(), newConnection: e.NewConnection(), mustEcho: e.EchoesAttemptID() || e.Registered(), extraHeader: extra,
		}, e.Claimed())
	case *dheffect.ForwardToPeer:
		extra := http.Header{}
		dhpeer.SetSecret(extra, x.server.options.PeerSecret)
		extra.Set(HeaderOrganisation, e.Organisation())
		return x.runAttempt(ctx, d, target{
			address: e.Address(), pathPrefix: peerPathPrefix, timeout: e.Timeout(), newConnection: e.Claimed(), toPeer: true,
			useTLS: x.server.options.PeerTLS != nil, extraHeader: extra,
		}, e.Claimed())
	default:
		return true
	}
}

// runAttempt makes one attempt and tells whether the request has ended with it.
func (x *exchange) runAttempt(ctx context.Context, d dhshard.Decision, t target, claimed bool) bool {
	s := x.server
	if s.options.Clock.Now().Since(d.At()) > maxDecisionAge {
		x.postAttemptEnded(dhevent.AttemptEndedOptions{End: dhevent.EndNotSent}, d.At())
		return false
	}
	if claimed {
		// A claimed request runs to its end even if the caller goes away, so
		// that a resend finds its answer.
		ctx = context.WithoutCancel(ctx)
	}
	a := s.sendAttempt(ctx, x.in, t, s.options.ResponseBufferBytes)
	if a.end != dhevent.EndAnswered {
		s.options.DecisionLog.Write("attempt "+a.end.String(), func() (logrus.Fields, string) {
			return logrus.Fields{
				"request": x.in.id, "upstream": t.address, "end": a.end.String(), "reason": a.err.Error(),
				"timeoutMs": t.timeout.Milliseconds(), "ms": s.options.Clock.Now().Since(d.At()).Milliseconds(),
			}, "attempt failed"
		})
		x.postAttemptEnded(dhevent.AttemptEndedOptions{End: a.end, ReportedLoad: s.options.Dialect.reportedLoad(a.response)}, d.At())
		return a.end == dhevent.EndCallerGone
	}
	defer a.close()
	x.writeResponse(a, d, claimed)
	return true
}

// writeResponse gives an answer to the caller and tells the reducer how it went.
func (x *exchange) writeResponse(a *attempt, d dhshard.Decision, claimed bool) {
	o := dhevent.AttemptEndedOptions{End: dhevent.EndAnswered, Status: a.response.StatusCode, ResponseStarted: true, BodyBytes: len(a.bodyPrefix), ReportedLoad: x.server.options.Dialect.reportedLoad(a.response)}
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
		// The caller has seen a part: only a broken connection tells it that
		// the rest is missing.
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
		// The instance that passed the request on checks its own attempt.
		h.Set(HeaderAttempt, x.in.header.Get(HeaderAttempt))
	} else {
		h.Del(HeaderAttempt)
	}
	if a.complete && a.response.Request.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(a.bodyPrefix)))
	}
	x.writer.WriteHeader(a.response.StatusCode)
}

// streamBody gives on an answer that is too large to be held.
// It returns the bytes beyond those held.
func (x *exchange) streamBody(a *attempt) (int64, error) {
	if _, err := x.writer.Write(a.bodyPrefix); err != nil {
		return 0, err
	}
	return io.Copy(x.writer, a.response.Body)
}

// postAttemptEnded tells the reducer how an attempt ended.
func (x *exchange) postAttemptEnded(o dhevent.AttemptEndedOptions, from dhclock.Millis) {
	o.RequestID = x.waiter.RequestID()
	x.server.options.Shard.Handle(func(at dhclock.Millis) dhevent.Event {
		o.Latency = at.Since(from)
		return dhevent.NewAttemptEnded(at, o)
	})
}

// responseToRecord returns an answer in the form in which it is recorded.
func responseToRecord(a *attempt) *dhmessage.Response {
	var fields []dhmessage.HeaderField
	removeHopByHopHeaders(a.response.Header)
	for name, values := range a.response.Header {
		if name == HeaderAttempt || name == "Date" {
			continue
		}
		for _, v := range values {
			fields = append(fields, dhmessage.NewHeaderField(name, v))
		}
	}
	return dhmessage.NewResponse(a.response.StatusCode, fields, a.bodyPrefix)
}

// replay gives the recorded answer of an earlier attempt.
func (x *exchange) replay(answer *dhmessage.Response) {
	h := x.writer.Header()
	for _, f := range answer.Header() {
		h.Add(f.Name(), f.Value())
	}
	h.Set(x.server.options.Dialect.options.RequestIDHeader, x.in.id)
	h.Set(HeaderReplayed, "true")
	h.Set("Content-Length", strconv.Itoa(len(answer.Body())))
	x.writer.WriteHeader(answer.Status())
	_, _ = x.writer.Write(answer.Body())
}
