package dhentry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/io/dhwire"
)

// TestBrokenResponsesAreRefused makes upstreams send broken, wrong, oversized and
// late responses. The caller must get a refusal of the right kind, and never a
// truncated body that looks complete.
func TestBrokenResponsesAreRefused(t *testing.T) {
	stall := func(*http.Request, int64) (string, bool) {
		time.Sleep(600 * time.Millisecond)
		return okResponse("late"), true
	}
	cases := []struct {
		name     string
		respond  func(r *http.Request, n int64) (string, bool)
		kind     string
		requests int64 // that the upstream gets for one request that must not be repeated
	}{
		{"truncated body", func(*http.Request, int64) (string, bool) {
			return "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf", true
		}, "upstreamBroken", 1},
		{"truncated chunk", func(*http.Request, int64) (string, bool) {
			return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nhalf", true
		}, "upstreamBroken", 1},
		{"close-delimited body", func(*http.Request, int64) (string, bool) {
			return "HTTP/1.1 200 OK\r\n\r\nhalf", true
		}, "upstreamBroken", 1},
		{"not HTTP", func(*http.Request, int64) (string, bool) { return "\x00\x01garbage\r\n\r\n", true }, "upstreamBroken", 1},
		{"no response", func(*http.Request, int64) (string, bool) { return "", true }, "upstreamBroken", 1},
		{"response to another attempt", func(*http.Request, int64) (string, bool) {
			return "HTTP/1.1 200 OK\r\nDogwoodhitch-Attempt: another\r\nContent-Length: 2\r\n\r\nno", false
		}, "upstreamBroken", 1},
		{"header too large", func(*http.Request, int64) (string, bool) {
			return "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 100<<10) + "\r\n\r\n", true
		}, "upstreamBroken", 1},
		{"stalled", stall, "timeout", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := startUpstream(t, c.respond)
			e := startEntry(t, u.Addr().String())
			got := e.send(http.MethodPost, "/write/1", "body", "Idempotency-Key", "k", "X-Idempotency-Key", "k")
			if got.kind != c.kind || got.run != MayHaveRun || strings.Contains(got.body, "half") {
				t.Errorf("got %+v, want refusal %s that may have run", got, c.kind)
			}
			if n := u.requests.Load(); n != c.requests {
				t.Errorf("the upstream got %d requests, want %d", n, c.requests)
			}
			if open := e.trafficState.OpenRequests(); open != 0 {
				t.Errorf("%d requests are still open", open)
			}
		})
	}
}

// TestTransportSendsEachRequestOnce closes a pooled connection after reading a
// request from it. The transport of net/http then resends requests that carry an
// idempotency key or have no body. The upstream must get each request once,
// from callers with HTTP/1.1 and with HTTP/2.
func TestTransportSendsEachRequestOnce(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.1", "HTTP/2"} {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			u := startUpstream(t, func(r *http.Request, _ int64) (string, bool) {
				if strings.Contains(r.URL.Path, "warm") {
					return okResponse("warm"), false
				}
				return "", true
			})
			e := startEntry(t, u.Addr().String())
			client := &http.Client{Transport: &http.Transport{Protocols: new(http.Protocols)}}
			client.Transport.(*http.Transport).Protocols.SetHTTP1(protocol == "HTTP/1.1")
			client.Transport.(*http.Transport).Protocols.SetUnencryptedHTTP2(protocol == "HTTP/2")
			for _, path := range []string{"/read/warm", "/write/1", "/buy/1"} {
				r, _ := http.NewRequest(method, e.URL+path, nil)
				r.Header.Set("Authorization", "Bearer "+testKey)
				r.Header.Set("Idempotency-Key", "k")
				r.Header.Set("X-Idempotency-Key", "k")
				response, err := client.Do(r)
				if err != nil {
					t.Fatal(err)
				}
				io.Copy(io.Discard, response.Body)
				response.Body.Close()
			}
			if n := u.requests.Load(); n != 3 {
				t.Errorf("%s %s: the upstream got %d requests, want 3", protocol, method, n)
			}
		}
	}
}

// TestRetriesByIdempotency checks that an idempotent request is retried after a
// broken response, and any other request only if it certainly did not run.
func TestRetriesByIdempotency(t *testing.T) {
	broken := startUpstream(t, func(*http.Request, int64) (string, bool) { return "", true })
	good := startUpstream(t, func(*http.Request, int64) (string, bool) { return okResponse("good"), false })
	refusing := startUpstream(t, func(*http.Request, int64) (string, bool) {
		return "HTTP/1.1 503 Service Unavailable\r\nDogwoodhitch-Run: not-run\r\nContent-Length: 0\r\n\r\n", false
	})
	const closed = "127.0.0.2:1" // a port that the system gives to no other server
	for name, bad := range map[string]string{"broken": broken.Addr().String(), "closed": closed, "refusing": refusing.Addr().String()} {
		e := startEntry(t, bad, good.Addr().String())
		for range 30 { // fill the retry budget
			e.send(http.MethodGet, "/read/1", "")
		}
		served := 0
		for range 10 {
			if e.send(http.MethodGet, "/read/1", "").body == "good" {
				served++
			}
		}
		if served != 10 {
			t.Errorf("%s: %d of 10 idempotent requests were served, want 10", name, served)
		}
		for range 10 {
			got := e.send(http.MethodPost, "/write/1", "x")
			if name == "broken" && got.kind != "" && got.run != MayHaveRun {
				t.Errorf("broken: got %+v, want a refusal that may have run", got)
			}
			if name != "broken" && got.body != "good" {
				t.Errorf("%s: a request that did not run was not retried: got %+v", name, got)
			}
		}
	}
}

// TestTruncatedLargeResponse checks that a response too large for the buffer is
// forwarded completely, and that the caller's connection is aborted if the
// upstream truncates it.
func TestTruncatedLargeResponse(t *testing.T) {
	large := strings.Repeat("x", 10<<10)
	u := startUpstream(t, func(r *http.Request, _ int64) (string, bool) {
		if strings.HasSuffix(r.URL.Path, "complete") {
			return okResponse(large), false
		}
		return strings.TrimSuffix(okResponse(large), "xxxx"), true
	})
	e := startEntry(t, u.Addr().String())
	if got := e.send(http.MethodGet, "/read/complete", ""); got.body != large {
		t.Errorf("got %d bytes and error %v, want %d bytes", len(got.body), got.err, len(large))
	}
	if got := e.send(http.MethodGet, "/read/truncated", ""); got.err == nil && got.status == http.StatusOK {
		t.Errorf("a truncated response of %d bytes looks complete", len(got.body))
	}
}

// TestInvalidRequestsAreRefused checks that invalid requests are refused and never
// reach an upstream.
func TestInvalidRequestsAreRefused(t *testing.T) {
	u := startUpstream(t, func(*http.Request, int64) (string, bool) { return okResponse("ok"), false })
	e := startEntry(t, u.Addr().String())
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
		if got := e.send(http.MethodPost, c.path, c.body, c.header...); got.kind != c.kind || got.run != NotRun {
			t.Errorf("%s: got %+v, want refusal %s that did not run", c.path, got, c.kind)
		}
	}
	if n := u.requests.Load(); n != 0 {
		t.Errorf("an upstream got %d of the requests, want none", n)
	}
}

// TestBufferedBodiesAreBounded keeps requests open until their bodies reach
// MaxHeldBytes. A further request with a body must be refused as not run, one
// without a body must be served, and the memory must be released when the requests
// have ended.
func TestBufferedBodiesAreBounded(t *testing.T) {
	release := make(chan struct{})
	u := startUpstream(t, func(r *http.Request, _ int64) (string, bool) {
		if r.Method == http.MethodPost {
			<-release
		}
		return okResponse("ok"), false
	})
	e := startEntry(t, u.Addr().String())
	body := strings.Repeat("x", 1<<10)
	results := make(chan callerResult, 4)
	for range cap(results) {
		go func() { results <- e.send(http.MethodPost, "/read/1", body) }()
	}
	for e.trafficState.OpenRequests() < cap(results) {
		time.Sleep(time.Millisecond)
	}
	if got := e.send(http.MethodPost, "/read/1", body); got.kind != "noCapacity" || got.run != NotRun {
		t.Errorf("a request beyond MaxHeldBytes got %+v, want refusal noCapacity", got)
	}
	if got := e.send(http.MethodGet, "/read/1", ""); got.body != "ok" {
		t.Errorf("a request without a body got %+v, want ok", got)
	}
	close(release)
	for range cap(results) {
		if got := <-results; got.body != "ok" {
			t.Errorf("a request within MaxHeldBytes got %+v, want ok", got)
		}
	}
	if got := e.send(http.MethodPost, "/read/1", body); got.body != "ok" {
		t.Errorf("a request after the others have ended got %+v, want ok", got)
	}
}

// TestKeyIsNotForwarded sends the API key in each place that may carry it, and in a
// cookie and a query parameter. The upstream must not receive it.
func TestKeyIsNotForwarded(t *testing.T) {
	var received atomic.Value
	received.Store("")
	u := startUpstream(t, func(r *http.Request, _ int64) (string, bool) {
		received.Store(received.Load().(string) + fmt.Sprint(r.URL, r.Header))
		return okResponse("ok"), false
	})
	e := startEntry(t, u.Addr().String())
	for _, got := range []callerResult{
		e.send(http.MethodGet, "/read/1?a=1&apiKey="+testKey, "", "Authorization", ""),
		e.send(http.MethodGet, "/read/1?other="+testKey, "", "Cookie", "key="+testKey),
		e.send(http.MethodGet, "/read/1", "", "X-Api-Key", testKey),
	} {
		if got.body != "ok" || strings.Contains(received.Load().(string), testKey) {
			t.Errorf("got %+v, and the upstream received %v, want ok and a request without the key", got, received.Load())
		}
	}
}

// TestCancelledRequestFreesSlot checks that a request cancelled by the caller is
// also cancelled at the upstream, and that it ends at the entry instance, which
// releases its slot.
func TestCancelledRequestFreesSlot(t *testing.T) {
	cancelled := make(chan struct{})
	u := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	}))
	t.Cleanup(u.Close)
	e := startEntry(t, u.Listener.Addr().String())
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, e.URL+"/read/1", nil)
	r.Header.Set("Authorization", "Bearer "+testKey)
	if _, err := http.DefaultClient.Do(r); err == nil {
		t.Fatal("the request got a response before its context ended")
	}
	<-cancelled
	for e.trafficState.OpenRequests() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkEntryOverhead compares a request through an entry instance with the
// same request sent directly to the upstream in the same run, and measures the
// reducer alone.
func BenchmarkEntryOverhead(b *testing.B) {
	u := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "work") {
			time.Sleep(time.Millisecond)
		}
		w.Write([]byte("ok"))
	}))
	b.Cleanup(u.Close)
	e := startEntry(b, u.Listener.Addr().String())
	client := &http.Client{}
	measure := func(b *testing.B, url string) {
		for b.Loop() {
			r, _ := http.NewRequest(http.MethodGet, url, nil)
			r.Header.Set("Authorization", "Bearer "+testKey)
			response, err := client.Do(r)
			if err != nil {
				b.Fatal(err)
			}
			io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
	}
	b.Run("direct", func(b *testing.B) { measure(b, u.URL+"/read/1") })
	b.Run("through", func(b *testing.B) { measure(b, e.URL+"/read/1") })
	b.Run("direct, 1 ms of work", func(b *testing.B) { measure(b, u.URL+"/read/work") })
	b.Run("through, 1 ms of work", func(b *testing.B) { measure(b, e.URL+"/read/work") })
	b.Run("decisions", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			w := e.trafficState.StartRequest(func(at dhclock.Millis, requestID uint64) dhevent.Event {
				return dhevent.NewRequestReceived(at, dhevent.RequestReceivedOptions{
					RequestID: requestID, Path: "/read/1", APIKeyHash: dhwire.HashSecret(testKey),
				})
			})
			<-w.Decisions()
			e.trafficState.Handle(func(at dhclock.Millis) dhevent.Event {
				return dhevent.NewAttemptEnded(at, dhevent.AttemptEndedOptions{RequestID: w.RequestID(), Status: 200})
			})
			e.trafficState.RemoveWaiter(w)
		}
	})
}
