// Package dhstandin is a small upstream that announces itself, for the
// quickstart and for tests. Its behaviour can be replaced.
package dhstandin

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/io/dhannounce"
	"dogwoodhitch/io/dhentry"
	"dogwoodhitch/io/dhtime"
)

// Options are what a stand-in needs.
type Options struct {
	Name    string
	Service string
	// Address is where to serve, an IP number and a port; port 0 takes a free
	// one.
	Address string
	// EntryAddresses are the addresses at which to announce.
	EntryAddresses []string
	Secret         string
	Slots          int
	// TLS is how to connect to the entries; nil for plain connections.
	TLS *tls.Config
	// ProcessingTime is how long a request takes.
	ProcessingTime time.Duration
	// Handler replaces the answer; nil echoes the request.
	Handler http.HandlerFunc
}

// FakeUpstream is a running upstream.
type FakeUpstream struct {
	options       Options
	listener      net.Listener
	server        *http.Server
	client        *http.Client
	running       atomic.Int64
	maxConcurrent atomic.Int64
	served        atomic.Int64
	tasks         sync.WaitGroup
}

// New opens the listener.
func New(o Options) (*FakeUpstream, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", o.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for upstream %s on %s: %w; free the address", o.Name, o.Address, err)
	}
	s := &FakeUpstream{options: o, listener: l, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{TLSClientConfig: o.TLS}}}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Second}
	return s, nil
}

// Address returns where the stand-in serves.
func (s *FakeUpstream) Address() string { return s.listener.Addr().String() }

// Served returns how many requests it ran.
func (s *FakeUpstream) Served() int64 { return s.served.Load() }

// MaxConcurrent returns the most requests that ran at once.
func (s *FakeUpstream) MaxConcurrent() int64 { return s.maxConcurrent.Load() }

// Run serves and announces until the context ends; then it leaves and finishes
// what runs.
func (s *FakeUpstream) Run(ctx context.Context) {
	s.tasks.Go(func() { _ = s.server.Serve(s.listener) })
	ticker := time.NewTicker(dhtime.Duration(dhannounce.RenewInterval) / 2)
	defer ticker.Stop()
	for ctx.Err() == nil {
		s.announce(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	s.leave()
	ending, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.server.Shutdown(ending)
	s.tasks.Wait()
}

func (s *FakeUpstream) serve(w http.ResponseWriter, r *http.Request) {
	now := s.running.Add(1)
	defer s.running.Add(-1)
	for most := s.maxConcurrent.Load(); now > most && !s.maxConcurrent.CompareAndSwap(most, now); most = s.maxConcurrent.Load() {
	}
	s.served.Add(1)
	w.Header().Set(dhentry.HeaderAttempt, r.Header.Get(dhentry.HeaderAttempt))
	if s.options.Handler != nil {
		s.options.Handler(w, r)
		return
	}
	s.echo(w, r)
}

// echo answers with what arrived.
func (s *FakeUpstream) echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.options.ProcessingTime > 0 {
		timer := time.NewTimer(s.options.ProcessingTime)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Upstream     string `json:"upstream"`
		Method       string `json:"method"`
		Path         string `json:"path"`
		Organisation string `json:"organisation,omitempty"`
		Body         string `json:"body,omitempty"`
	}{s.options.Name, r.Method, r.URL.RequestURI(), r.Header.Get(dhentry.HeaderOrganisation), string(body)})
}

func (s *FakeUpstream) announce(ctx context.Context) {
	for _, entry := range s.options.EntryAddresses {
		s.post(ctx, entry, "announce", struct {
			Name    string `json:"name"`
			Service string `json:"service"`
			Address string `json:"address"`
			Slots   int    `json:"slots"`
			Running int64  `json:"running"`
			Echoes  bool   `json:"echoes"`
		}{s.options.Name, s.options.Service, s.Address(), s.options.Slots, s.running.Load(), true})
	}
}

func (s *FakeUpstream) leave() {
	for _, entry := range s.options.EntryAddresses {
		s.post(context.Background(), entry, "leave", struct {
			Name    string `json:"name"`
			Service string `json:"service"`
		}{s.options.Name, s.options.Service})
	}
}

// post sends an announcement; one that fails is followed by the next renewal.
func (s *FakeUpstream) post(ctx context.Context, entry, what string, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		return
	}
	scheme := "http://"
	if s.options.TLS != nil {
		scheme = "https://"
	}
	url := scheme + entry + dhcatalog.ReservedPrefix + "v1/upstreams/" + what
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return
	}
	r.Header.Set("Authorization", "Bearer "+s.options.Secret)
	response, err := s.client.Do(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
}
