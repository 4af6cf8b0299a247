package dhentry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhreducer"
	"dogwoodhitch/core/dhsteer"
	"dogwoodhitch/core/dhtraffic"
	"dogwoodhitch/core/dhview"
	"dogwoodhitch/io/dhshard"
	"dogwoodhitch/io/dhtime"
	"dogwoodhitch/io/dhwire"
)

const testKey = "a-caller-key-of-the-tests"

// testEntry is an entry instance's server with claims that are granted at once.
type testEntry struct {
	*httptest.Server
	shard *dhshard.Shard
}

func testCatalog(t testing.TB) *dhcatalog.Catalog {
	t.Helper()
	c, err := dhcatalog.New().Apply(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
		ID: "test", Author: "test", Puts: []dhcatalog.Object{
			dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: "org"}),
			dhcatalog.NewKey(dhcatalog.KeyOptions{Name: "key", Organisation: "org", Hash: dhwire.HashSecret(testKey)}),
			dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "service"}),
			dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: "read", PathPrefix: "/read/", Service: "service", Idempotent: true, Timeout: 400, QueueWait: 100}),
			dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: "write", PathPrefix: "/write/", Service: "service", Timeout: 400, QueueWait: 100}),
			dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: "buy", PathPrefix: "/buy/", Service: "service", ClaimRequired: true, Timeout: 400, QueueWait: 100, Retention: 1000}),
		},
	}))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// startEntry starts a server in front of upstreams at the given addresses.
func startEntry(t testing.TB, addresses ...string) *testEntry {
	t.Helper()
	f := &testEntry{}
	clock := dhtime.System()
	f.shard = dhshard.New(dhreducer.NewTraffic(dhtraffic.Options{Instance: "i", Zone: "z", Now: clock.Now()}), dhshard.Seams{
		Clock: clock,
		Execute: func(e dheffect.Effect) {
			c, ok := e.(*dheffect.PostToControl)
			if !ok {
				return
			}
			w, ok := c.Event().(*dhevent.ProposalRequested)
			if !ok {
				return
			}
			if _, ok := w.Command().(dhmessage.Claim); !ok {
				return
			}
			f.shard.Handle(func(at dhclock.Millis) dhevent.Event {
				return dhevent.NewClaimResultReceived(at, dhevent.ClaimResultReceivedOptions{
					RequestID: w.CorrelationID(), Result: dhmessage.NewResult(dhmessage.ResultOptions{ClaimState: dhmessage.ClaimGranted}),
				})
			})
		},
	})
	view := dhview.New(dhview.Options{Catalog: testCatalog(t), EverConfirmed: true, ConfirmedAt: clock.Now() + 1_000_000})
	f.shard.Handle(func(at dhclock.Millis) dhevent.Event {
		return dhevent.NewViewPublished(at, dhevent.ViewPublishedOptions{View: view})
	})
	for i, a := range addresses {
		f.shard.Handle(func(at dhclock.Millis) dhevent.Event {
			return dhevent.NewUpstreamAnnounced(at+1_000_000, dhevent.UpstreamAnnouncedOptions{
				Announcement: dhsteer.NewAnnouncement(dhsteer.AnnouncementOptions{Name: fmt.Sprint("u", i), Service: "service", Address: a, Slots: 16}),
			})
		})
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := New(Options{
		Instance: "i", Shard: f.shard, Clock: clock, Log: logrus.NewEntry(log),
		MaxBodyBytes: 1 << 10, MaxHeldBytes: 1 << 12, ResponseBufferBytes: 1 << 10, MaxConnections: 16,
	})
	f.Server = httptest.NewUnstartedServer(s.CallerHandler())
	f.Config.Protocols = new(http.Protocols)
	f.Config.Protocols.SetHTTP1(true)
	f.Config.Protocols.SetUnencryptedHTTP2(true)
	f.Config.ErrorLog = nil
	f.Start()
	t.Cleanup(f.Close)
	return f
}

// rawUpstream accepts connections and counts the requests that were written to
// them.
type rawUpstream struct {
	net.Listener
	requests atomic.Int64
}

// startUpstream answers each request with raw bytes, and then closes the
// connection if a function says so.
func startUpstream(t testing.TB, answer func(r *http.Request, n int64) (raw string, closes bool)) *rawUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &rawUpstream{Listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c, answer)
		}
	}()
	return u
}

func (u *rawUpstream) serve(c net.Conn, answer func(r *http.Request, n int64) (string, bool)) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		raw, closes := answer(r, u.requests.Add(1))
		io.WriteString(c, raw)
		if closes {
			return
		}
	}
}

func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// callerResult is what a caller sees.
type callerResult struct {
	status int
	kind   string
	run    string
	body   string
	err    error
}

func (f *testEntry) send(method, path, body string, header ...string) callerResult {
	r, err := http.NewRequest(method, f.URL+path, strings.NewReader(body))
	if err != nil {
		return callerResult{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return callerResult{err: err}
	}
	defer a.Body.Close()
	raw, err := io.ReadAll(a.Body)
	return callerResult{a.StatusCode, a.Header.Get(HeaderRefusal), a.Header.Get(HeaderRun), string(raw), err}
}

// TestBrokenResponsesAreRefused lets upstreams misbehave in each way. The caller gets a
// clear refusal, and never a part that looks whole.
func TestBrokenResponsesAreRefused(t *testing.T) {
	stall := func(*http.Request, int64) (string, bool) {
		time.Sleep(600 * time.Millisecond)
		return okResponse("late"), true
	}
	cases := []struct {
		name     string
		answer   func(r *http.Request, n int64) (string, bool)
		kind     string
		requests int64 // written for a request that may not be repeated
	}{
		{"cut short", func(*http.Request, int64) (string, bool) {
			return "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf", true
		}, "upstreamBroken", 1},
		{"cut in a chunk", func(*http.Request, int64) (string, bool) {
			return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nhalf", true
		}, "upstreamBroken", 1},
		{"without an end that can be told", func(*http.Request, int64) (string, bool) {
			return "HTTP/1.1 200 OK\r\n\r\nhalf", true
		}, "upstreamBroken", 1},
		{"garbage", func(*http.Request, int64) (string, bool) { return "\x00\x01garbage\r\n\r\n", true }, "upstreamBroken", 1},
		{"nothing", func(*http.Request, int64) (string, bool) { return "", true }, "upstreamBroken", 1},
		{"of another attempt", func(*http.Request, int64) (string, bool) {
			return "HTTP/1.1 200 OK\r\nDogwoodhitch-Attempt: another\r\nContent-Length: 2\r\n\r\nno", false
		}, "upstreamBroken", 1},
		{"too much header", func(*http.Request, int64) (string, bool) {
			return "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 100<<10) + "\r\n\r\n", true
		}, "upstreamBroken", 1},
		{"stalled", stall, "timeout", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := startUpstream(t, c.answer)
			f := startEntry(t, u.Addr().String())
			g := f.send(http.MethodPost, "/write/1", "body", "Idempotency-Key", "k", "X-Idempotency-Key", "k")
			if g.kind != c.kind || g.run != MayHaveRun || strings.Contains(g.body, "half") {
				t.Errorf("got %+v", g)
			}
			if n := u.requests.Load(); n != c.requests {
				t.Errorf("the upstream got %d requests", n)
			}
			if open := f.shard.OpenRequests(); open != 0 {
				t.Errorf("%d requests never ended", open)
			}
		})
	}
}

// TestTransportSendsEachRequestOnce closes a kept connection after reading a request on it,
// which makes the standard library's client resend requests that carry an
// idempotency key or have no body. Here each is written once, whatever the
// protocol of the caller.
func TestTransportSendsEachRequestOnce(t *testing.T) {
	for _, caller := range []string{"HTTP/1.1", "HTTP/2"} {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			u := startUpstream(t, func(r *http.Request, _ int64) (string, bool) {
				if strings.Contains(r.URL.Path, "warm") {
					return okResponse("warm"), false
				}
				return "", true
			})
			f := startEntry(t, u.Addr().String())
			client := &http.Client{Transport: &http.Transport{Protocols: new(http.Protocols)}}
			client.Transport.(*http.Transport).Protocols.SetHTTP1(caller == "HTTP/1.1")
			client.Transport.(*http.Transport).Protocols.SetUnencryptedHTTP2(caller == "HTTP/2")
			for _, path := range []string{"/read/warm", "/write/1", "/buy/1"} {
				r, _ := http.NewRequest(method, f.URL+path, nil)
				r.Header.Set("Authorization", "Bearer "+testKey)
				r.Header.Set("Idempotency-Key", "k")
				r.Header.Set("X-Idempotency-Key", "k")
				a, err := client.Do(r)
				if err != nil {
					t.Fatal(err)
				}
				io.Copy(io.Discard, a.Body)
				a.Body.Close()
			}
			if n := u.requests.Load(); n != 3 {
				t.Errorf("%s %s: the upstream got %d requests, want 3", caller, method, n)
			}
		}
	}
}

// TestRetriesByIdempotency sends an idempotent request again after a broken answer, and one
// that isn't only where it certainly did not run.
func TestRetriesByIdempotency(t *testing.T) {
	broken := startUpstream(t, func(*http.Request, int64) (string, bool) { return "", true })
	good := startUpstream(t, func(*http.Request, int64) (string, bool) { return okResponse("good"), false })
	unwilling := startUpstream(t, func(*http.Request, int64) (string, bool) {
		return "HTTP/1.1 503 Service Unavailable\r\nDogwoodhitch-Run: not-run\r\nContent-Length: 0\r\n\r\n", false
	})
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone.Close()
	for name, bad := range map[string]string{"broken": broken.Addr().String(), "gone": gone.Addr().String(), "unwilling": unwilling.Addr().String()} {
		f := startEntry(t, bad, good.Addr().String())
		for range 30 { // fill the retry budget
			f.send(http.MethodGet, "/read/1", "")
		}
		served := 0
		for range 10 {
			if f.send(http.MethodGet, "/read/1", "").body == "good" {
				served++
			}
		}
		if served != 10 {
			t.Errorf("%s: %d of 10 idempotent requests were served", name, served)
		}
		for range 10 {
			g := f.send(http.MethodPost, "/write/1", "x")
			if name == "broken" && g.kind != "" && g.run != MayHaveRun {
				t.Errorf("broken: got %+v", g)
			}
			if name != "broken" && g.body != "good" {
				t.Errorf("%s: a request that did not run was not sent again: %+v", name, g)
			}
		}
	}
}

// TestTruncatedLargeResponse breaks the caller's connection when a large answer breaks
// off, and gives a whole one on.
func TestTruncatedLargeResponse(t *testing.T) {
	large := strings.Repeat("x", 10<<10)
	u := startUpstream(t, func(r *http.Request, _ int64) (string, bool) {
		if strings.HasSuffix(r.URL.Path, "whole") {
			return okResponse(large), false
		}
		return strings.TrimSuffix(okResponse(large), "xxxx"), true
	})
	f := startEntry(t, u.Addr().String())
	if g := f.send(http.MethodGet, "/read/whole", ""); g.body != large {
		t.Errorf("got %d bytes, %v", len(g.body), g.err)
	}
	if g := f.send(http.MethodGet, "/read/half", ""); g.err == nil && g.status == http.StatusOK {
		t.Errorf("a broken answer of %d bytes looks whole", len(g.body))
	}
}

// TestInvalidRequestsAreRefused refuses what is out of bounds before an upstream sees it.
func TestInvalidRequestsAreRefused(t *testing.T) {
	u := startUpstream(t, func(*http.Request, int64) (string, bool) { return okResponse("ok"), false })
	f := startEntry(t, u.Addr().String())
	cases := []struct {
		path, body, kind string
		header           []string
	}{
		{"/write/1", strings.Repeat("x", 2<<10), "tooLarge", nil},
		{"/write/1", "", "malformed", []string{HeaderTimeout, "soon"}},
		{"/buy/1", "", "malformed", []string{HeaderIdempotencyKey, strings.Repeat("k", 200)}},
		{"/buy/1", "", "idempotencyKeyMissing", nil},
		{"/none/1", "", "noRoute", nil},
		{"/dogwoodhitch/v1/none", "", "noRoute", nil},
		{"/read/1", "", "keyUnknown", []string{"Authorization", "Bearer another"}},
	}
	for _, c := range cases {
		if g := f.send(http.MethodPost, c.path, c.body, c.header...); g.kind != c.kind || g.run != NotRun {
			t.Errorf("%s: got %+v, want %s", c.path, g, c.kind)
		}
	}
	if n := u.requests.Load(); n != 0 {
		t.Errorf("an upstream saw %d of the requests", n)
	}
}

// TestBufferedBodiesAreBounded holds large requests open until their bodies fill the
// memory that is set aside: one more is refused truly, one without a body is
// served, and there is room again when they have ended.
func TestBufferedBodiesAreBounded(t *testing.T) {
	release := make(chan struct{})
	u := startUpstream(t, func(r *http.Request, _ int64) (string, bool) {
		if r.Method == http.MethodPost {
			<-release
		}
		return okResponse("ok"), false
	})
	f := startEntry(t, u.Addr().String())
	body := strings.Repeat("x", 1<<10)
	results := make(chan callerResult, 4)
	for range cap(results) {
		go func() { results <- f.send(http.MethodPost, "/read/1", body) }()
	}
	for f.shard.OpenRequests() < cap(results) {
		time.Sleep(time.Millisecond)
	}
	if g := f.send(http.MethodPost, "/read/1", body); g.kind != "noCapacity" || g.run != NotRun {
		t.Errorf("one too many got %+v", g)
	}
	if g := f.send(http.MethodGet, "/read/1", ""); g.body != "ok" {
		t.Errorf("a request without a body got %+v", g)
	}
	close(release)
	for range cap(results) {
		if g := <-results; g.body != "ok" {
			t.Errorf("got %+v", g)
		}
	}
	if g := f.send(http.MethodPost, "/read/1", body); g.body != "ok" {
		t.Errorf("with room again got %+v", g)
	}
}

// TestKeyIsNotForwarded looks for the key wherever a caller may put it.
func TestKeyIsNotForwarded(t *testing.T) {
	var seen atomic.Value
	seen.Store("")
	u := startUpstream(t, func(r *http.Request, _ int64) (string, bool) {
		seen.Store(seen.Load().(string) + fmt.Sprint(r.URL, r.Header))
		return okResponse("ok"), false
	})
	f := startEntry(t, u.Addr().String())
	for _, g := range []callerResult{
		f.send(http.MethodGet, "/read/1?a=1&apiKey="+testKey, "", "Authorization", ""),
		f.send(http.MethodGet, "/read/1?other="+testKey, "", "Cookie", "key="+testKey),
		f.send(http.MethodGet, "/read/1", "", "X-Api-Key", testKey),
	} {
		if g.body != "ok" || strings.Contains(seen.Load().(string), testKey) {
			t.Errorf("got %+v, the upstream saw %v", g, seen.Load())
		}
	}
}

// TestCancelledRequestFreesSlot cancels a request: the upstream's work is cancelled too, and
// the slot is free again.
func TestCancelledRequestFreesSlot(t *testing.T) {
	cancelled := make(chan struct{})
	u := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	}))
	t.Cleanup(u.Close)
	f := startEntry(t, u.Listener.Addr().String())
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, f.URL+"/read/1", nil)
	r.Header.Set("Authorization", "Bearer "+testKey)
	if _, err := http.DefaultClient.Do(r); err == nil {
		t.Fatal("the request was answered")
	}
	<-cancelled
	for f.shard.OpenRequests() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkEntryOverhead compares a request through an entry instance with the same
// request made to the upstream itself, in one run.
func BenchmarkEntryOverhead(b *testing.B) {
	u := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "work") {
			time.Sleep(time.Millisecond)
		}
		w.Write([]byte("ok"))
	}))
	b.Cleanup(u.Close)
	f := startEntry(b, u.Listener.Addr().String())
	client := &http.Client{}
	measure := func(b *testing.B, url string) {
		for b.Loop() {
			r, _ := http.NewRequest(http.MethodGet, url, nil)
			r.Header.Set("Authorization", "Bearer "+testKey)
			a, err := client.Do(r)
			if err != nil {
				b.Fatal(err)
			}
			io.Copy(io.Discard, a.Body)
			a.Body.Close()
		}
	}
	b.Run("direct", func(b *testing.B) { measure(b, u.URL+"/read/1") })
	b.Run("through", func(b *testing.B) { measure(b, f.URL+"/read/1") })
	b.Run("direct, 1 ms of work", func(b *testing.B) { measure(b, u.URL+"/read/work") })
	b.Run("through, 1 ms of work", func(b *testing.B) { measure(b, f.URL+"/read/work") })
	b.Run("decisions", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			w := f.shard.StartRequest(func(at dhclock.Millis, request uint64) dhevent.Event {
				return dhevent.NewRequestReceived(at, dhevent.RequestReceivedOptions{
					RequestID: request, Path: "/read/1", APIKeyHash: dhwire.HashSecret(testKey),
				})
			})
			<-w.Decisions()
			f.shard.Handle(func(at dhclock.Millis) dhevent.Event {
				return dhevent.NewAttemptEnded(at, dhevent.AttemptEndedOptions{RequestID: w.RequestID(), Status: 200})
			})
			f.shard.RemoveWaiter(w)
		}
	})
}
