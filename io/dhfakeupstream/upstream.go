// Package dhfakeupstream provides a fake upstream for the quickstart and for
// tests. It announces itself to entry instances, and its handler can be replaced.
package dhfakeupstream

import (
	"bytes"
	"cmp"
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

// headerTimeout bounds the time until a request's header has arrived.
const headerTimeout = 5 * time.Second

// Options configure a FakeUpstream.
type Options struct {
	Name    string
	Service string
	// Address is the IP address and port to listen on; port 0 picks a free port.
	Address string
	// AnnouncedAddress is the address to announce, if it isn't Address.
	AnnouncedAddress string
	// EntryAddresses are the addresses of the entry instances to announce to.
	EntryAddresses []string
	// Secret is the secret that upstreams authenticate with.
	Secret string
	// Slots is the number of concurrent requests that the upstream announces.
	Slots int
	// TLS configures connections to entry instances; nil for plain TCP.
	TLS *tls.Config
	// ProcessingTime is how long the default handler takes for a request.
	ProcessingTime time.Duration
	// Handler replaces the default handler, which echoes the request.
	Handler http.HandlerFunc
}

// FakeUpstream is an upstream that counts the requests it runs.
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

// New returns a FakeUpstream that listens on its address.
func New(o Options) (*FakeUpstream, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", o.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for upstream %s on %s: %w; free the address", o.Name, o.Address, err)
	}
	u := &FakeUpstream{options: o, listener: l, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{TLSClientConfig: o.TLS}}}
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), ReadHeaderTimeout: headerTimeout}
	return u, nil
}

// Address returns the address that the upstream listens on.
func (u *FakeUpstream) Address() string { return u.listener.Addr().String() }

// Served returns the number of requests received so far.
func (u *FakeUpstream) Served() int64 { return u.served.Load() }

// MaxConcurrent returns the highest number of requests that ran at the same time.
func (u *FakeUpstream) MaxConcurrent() int64 { return u.maxConcurrent.Load() }

// Run serves requests and announces the upstream until the context ends. Then it
// withdraws the announcement and waits up to one second for open requests.
func (u *FakeUpstream) Run(ctx context.Context) {
	u.tasks.Go(func() { _ = u.server.Serve(u.listener) })
	ticker := time.NewTicker(dhtime.Duration(dhannounce.RenewInterval) / 2)
	defer ticker.Stop()
	for ctx.Err() == nil {
		u.announce(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	u.leave()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = u.server.Shutdown(shutdownCtx)
	u.tasks.Wait()
}

func (u *FakeUpstream) serve(w http.ResponseWriter, r *http.Request) {
	running := u.running.Add(1)
	defer u.running.Add(-1)
	// Raises maxConcurrent to running; repeats if another request changes it
	// between the load and the swap.
	for highest := u.maxConcurrent.Load(); running > highest && !u.maxConcurrent.CompareAndSwap(highest, running); highest = u.maxConcurrent.Load() {
	}
	u.served.Add(1)
	w.Header().Set(dhentry.HeaderAttempt, r.Header.Get(dhentry.HeaderAttempt))
	if u.options.Handler != nil {
		u.options.Handler(w, r)
		return
	}
	u.echo(w, r)
}

// echo is the default handler. It responds with the upstream's name and the request.
func (u *FakeUpstream) echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if u.options.ProcessingTime > 0 {
		timer := time.NewTimer(u.options.ProcessingTime)
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
	}{u.options.Name, r.Method, r.URL.RequestURI(), r.Header.Get(dhentry.HeaderOrganisation), string(body)})
}

func (u *FakeUpstream) announce(ctx context.Context) {
	for _, entryAddress := range u.options.EntryAddresses {
		u.post(ctx, entryAddress, "announce", struct {
			Name            string `json:"name"`
			Service         string `json:"service"`
			Address         string `json:"address"`
			Slots           int    `json:"slots"`
			Running         int64  `json:"running"`
			EchoesAttemptID bool   `json:"echoes"`
		}{u.options.Name, u.options.Service, cmp.Or(u.options.AnnouncedAddress, u.Address()), u.options.Slots, u.running.Load(), true})
	}
}

func (u *FakeUpstream) leave() {
	for _, entryAddress := range u.options.EntryAddresses {
		u.post(context.Background(), entryAddress, "leave", struct {
			Name    string `json:"name"`
			Service string `json:"service"`
		}{u.options.Name, u.options.Service})
	}
}

// post sends an announcement or its withdrawal. It ignores errors: the next
// renewal repeats a failed announcement, and an announcement that isn't withdrawn
// expires.
func (u *FakeUpstream) post(ctx context.Context, entryAddress, action string, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		return
	}
	scheme := "http://"
	if u.options.TLS != nil {
		scheme = "https://"
	}
	url := scheme + entryAddress + dhcatalog.ReservedPrefix + "v1/upstreams/" + action
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return
	}
	r.Header.Set("Authorization", "Bearer "+u.options.Secret)
	response, err := u.client.Do(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
}
