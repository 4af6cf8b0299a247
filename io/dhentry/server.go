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

// passPath starts the paths of requests that other instances pass on.
const passPath = "/pass"

// Options are what a server needs.
type Options struct {
	Instance string
	Shard    *dhshard.Shard
	Clock    dhtime.Clock
	Secret   string
	Log      *logrus.Entry
	// Decisions writes lines on single requests, as far as their bound allows.
	Decisions *dhlogs.Limiter
	// MaxBody bounds the body of a request, in bytes.
	MaxBody int64
	// MaxHeld bounds the bodies of all requests together, in bytes.
	MaxHeld int64
	// Hold is up to which size an answer is given on only when it is whole, in
	// bytes.
	Hold int
	// MaxConnections bounds the connections to one upstream.
	MaxConnections int
	// TLS is how to connect to other instances; nil for plain connections.
	TLS *tls.Config
	// Dialect is how callers and upstreams are spoken to; nil for the standard
	// one.
	Dialect *Dialect
}

// Server serves callers.
type Server struct {
	options Options
	clients clients
	closing atomic.Bool  // connections end with their next answer
	leaving atomic.Bool  // new requests are refused
	held    atomic.Int64 // bytes of request bodies
}

// New returns a server.
func New(o Options) *Server {
	if o.Dialect == nil {
		o.Dialect = StandardDialect()
	}
	return &Server{options: o, clients: newClients(o.MaxConnections, o.TLS)}
}

// Close closes the connections that are kept.
func (s *Server) Close() { s.clients.close() }

// CloseConnections ends each connection with its next answer, so that none is
// kept that a caller might use while the process stops.
func (s *Server) CloseConnections() { s.closing.Store(true) }

// Leave makes new requests end with a refusal that says that they did not run.
func (s *Server) Leave() { s.leaving.Store(true) }

// Callers returns the handler for callers. Requests don't pass the standard
// library's multiplexer, which redirects paths that it would write otherwise.
func (s *Server) Callers() http.Handler {
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

// Passed returns the path and the handler for requests of other instances.
func (s *Server) Passed() (string, http.Handler) {
	return passPath + "/", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !dhpeer.SecretMatches(r.Header, s.options.Secret) {
			http.Error(w, "the shared secret is missing or wrong", http.StatusUnauthorized)
			return
		}
		r.Header.Del("Dogwoodhitch-Secret")
		organisation := r.Header.Get(HeaderOrganisation)
		r.URL.Path = strings.TrimPrefix(r.URL.Path, passPath)
		r.URL.RawPath = strings.TrimPrefix(r.URL.RawPath, passPath)
		s.serve(w, r, organisation, true)
	})
}

// bodySize returns how many bytes a request's body may take.
func (s *Server) bodySize(r *http.Request) int64 {
	if r.ContentLength < 0 || r.ContentLength > s.options.MaxBody {
		return s.options.MaxBody
	}
	return r.ContentLength
}

// hold reserves memory for a request's body, and tells whether there is room.
func (s *Server) hold(r *http.Request) bool {
	size := s.bodySize(r)
	if s.held.Add(size) <= s.options.MaxHeld || size == 0 {
		return true
	}
	s.held.Add(-size)
	return false
}

// serve carries one request from its arrival to its end.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, organisation string, passed bool) {
	if s.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	if !s.hold(r) {
		s.writeRefusal(w, s.requestID(r), dheffect.NewRefusal(dheffect.RefuseNoCapacity, false, dhclock.Second))
		return
	}
	defer s.held.Add(-s.bodySize(r))
	in, kind := s.readRequest(w, r)
	if kind != "" {
		s.writeRefusal(w, in.id, dheffect.NewRefusal(kind, false, 0))
		return
	}
	if s.leaving.Load() {
		s.writeRefusal(w, in.id, dheffect.NewRefusal(dheffect.RefuseInstanceLeaving, false, dhclock.Second))
		return
	}
	in.header.Del(s.options.Dialect.options.Organisation)
	waiter := s.options.Shard.StartRequest(func(at dhclock.Millis, request uint64) dhevent.Event {
		return dhevent.NewRequestReceived(at, dhevent.RequestReceivedOptions{
			RequestID: request, CallerRequestID: in.id, Host: in.hostName(), Path: in.url.Path, ObjectHash: in.object, Random: rand.Uint64(), APIKeyHash: in.key, FromPeer: passed, Organisation: organisation,
			Timeout: in.patience, IdempotencyKey: in.idempotency, Digest: in.digest,
			BodyBytes: len(in.body),
		})
	})
	defer s.options.Shard.RemoveWaiter(waiter)
	x := &exchange{server: s, in: in, waiter: waiter, writer: w, passed: passed}
	x.run(r.Context())
}

// exchange is one caller's request and what it gets.
type exchange struct {
	server *Server
	in     *inbound
	waiter *dhshard.Waiter
	writer http.ResponseWriter
	passed bool
}

// run carries out decisions until the request has ended.
func (x *exchange) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			x.abandon()
			return
		case d := <-x.waiter.Decisions():
			if x.carryOut(ctx, d) {
				return
			}
		}
	}
}

// abandon tells the reducer that the caller went away. A decision to send that
// came at the same time is taken back, since nothing was sent.
func (x *exchange) abandon() {
	x.server.options.Shard.Handle(func(at dhclock.Millis) dhevent.Event {
		return dhevent.NewRequestCancelled(at, dhevent.RequestCancelledOptions{RequestID: x.waiter.RequestID()})
	})
	for {
		select {
		case d := <-x.waiter.Decisions():
			switch d.Effect().(type) {
			case *dheffect.ForwardToUpstream, *dheffect.ForwardToPeer:
				x.ended(dhevent.AttemptEndedOptions{End: dhevent.EndNotSent}, d.At())
			}
		default:
			return
		}
	}
}

// carryOut does what was decided, and tells whether the request has ended.
func (x *exchange) carryOut(ctx context.Context, d dhshard.Decision) bool {
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
			extra.Set(dialect.Organisation, e.Organisation())
		}
		if e.Registered() && dialect.Upstream != "" {
			extra.Set(dialect.Upstream, e.Upstream())
		}
		return x.attempt(ctx, d, target{
			address: e.Address(), timeout: e.Timeout(), fresh: e.NewConnection(), echoes: e.EchoesAttemptID() || e.Registered(), extra: extra,
		}, e.Claimed())
	case *dheffect.ForwardToPeer:
		extra := http.Header{}
		dhpeer.SetSecret(extra, x.server.options.Secret)
		extra.Set(HeaderOrganisation, e.Organisation())
		return x.attempt(ctx, d, target{
			address: e.Address(), path: passPath, timeout: e.Timeout(), fresh: e.Claimed(), passed: true,
			secure: x.server.options.TLS != nil, extra: extra,
		}, e.Claimed())
	default:
		return true
	}
}

// attempt makes one attempt and tells whether the request has ended with it.
func (x *exchange) attempt(ctx context.Context, d dhshard.Decision, t target, claimed bool) bool {
	s := x.server
	if s.options.Clock.Now().Since(d.At()) > staleDecision {
		x.ended(dhevent.AttemptEndedOptions{End: dhevent.EndNotSent}, d.At())
		return false
	}
	if claimed {
		// A claimed request runs to its end even if the caller goes away, so
		// that a resend finds its answer.
		ctx = context.WithoutCancel(ctx)
	}
	a := s.try(ctx, x.in, t, s.options.Hold)
	if a.end != dhevent.EndAnswered {
		s.options.Decisions.Write("attempt "+a.end.String(), func() (logrus.Fields, string) {
			return logrus.Fields{
				"request": x.in.id, "upstream": t.address, "end": a.end.String(), "reason": a.reason.Error(),
				"timeoutMs": t.timeout.Milliseconds(), "ms": s.options.Clock.Now().Since(d.At()).Milliseconds(),
			}, "attempt failed"
		})
		x.ended(dhevent.AttemptEndedOptions{End: a.end, ReportedLoad: s.options.Dialect.load(a.response)}, d.At())
		return a.end == dhevent.EndCallerGone
	}
	defer a.close()
	x.answer(a, d, claimed)
	return true
}

// answer gives an answer to the caller and tells the reducer how it went.
func (x *exchange) answer(a *attempt, d dhshard.Decision, claimed bool) {
	o := dhevent.AttemptEndedOptions{End: dhevent.EndAnswered, Status: a.response.StatusCode, ResponseStarted: true, BodyBytes: len(a.hold), ReportedLoad: x.server.options.Dialect.load(a.response)}
	if a.whole {
		if claimed {
			o.Response = keep(a)
		}
		x.ended(o, d.At())
		x.writeHead(a)
		_, _ = x.writer.Write(a.hold)
		return
	}
	x.writeHead(a)
	size, err := x.stream(a)
	o.BodyBytes += int(size)
	if err != nil {
		o.End = dhevent.EndBroken
		if errors.Is(a.context.Err(), context.DeadlineExceeded) {
			o.End = dhevent.EndTimedOut
		}
		x.ended(o, d.At())
		// The caller has seen a part: only a broken connection tells it that
		// the rest is missing.
		panic(http.ErrAbortHandler)
	}
	x.ended(o, d.At())
}

func (x *exchange) writeHead(a *attempt) {
	h := x.writer.Header()
	removeHopHeaders(a.response.Header)
	for name, values := range a.response.Header {
		h[name] = values
	}
	h.Set(x.server.options.Dialect.options.Request, x.in.id)
	if x.passed {
		// The instance that passed the request on checks its own attempt.
		h.Set(HeaderAttempt, x.in.header.Get(HeaderAttempt))
	} else {
		h.Del(HeaderAttempt)
	}
	if a.whole && a.response.Request.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(a.hold)))
	}
	x.writer.WriteHeader(a.response.StatusCode)
}

// stream gives on an answer that is too large to be held.
// It returns the bytes beyond those held.
func (x *exchange) stream(a *attempt) (int64, error) {
	if _, err := x.writer.Write(a.hold); err != nil {
		return 0, err
	}
	return io.Copy(x.writer, a.response.Body)
}

// ended tells the reducer how an attempt ended.
func (x *exchange) ended(o dhevent.AttemptEndedOptions, from dhclock.Millis) {
	o.RequestID = x.waiter.RequestID()
	x.server.options.Shard.Handle(func(at dhclock.Millis) dhevent.Event {
		o.Latency = at.Since(from)
		return dhevent.NewAttemptEnded(at, o)
	})
}

// keep returns an answer in the form in which it is recorded.
func keep(a *attempt) *dhmessage.Response {
	var fields []dhmessage.HeaderField
	removeHopHeaders(a.response.Header)
	for name, values := range a.response.Header {
		if name == HeaderAttempt || name == "Date" {
			continue
		}
		for _, v := range values {
			fields = append(fields, dhmessage.NewHeaderField(name, v))
		}
	}
	return dhmessage.NewResponse(a.response.StatusCode, fields, a.hold)
}

// replay gives the recorded answer of an earlier attempt.
func (x *exchange) replay(answer *dhmessage.Response) {
	h := x.writer.Header()
	for _, f := range answer.Header() {
		h.Add(f.Name(), f.Value())
	}
	h.Set(x.server.options.Dialect.options.Request, x.in.id)
	h.Set(HeaderReplayed, "true")
	h.Set("Content-Length", strconv.Itoa(len(answer.Body())))
	x.writer.WriteHeader(answer.Status())
	_, _ = x.writer.Write(answer.Body())
}
