package dhentry

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/io/dhtime"
)

// TestRepeatedRefusalWithoutEchoDeniesARun lets an upstream that doesn't echo attempts write an
// earlier refusal again, on the same connection, in place of the response to a request that it
// ran. The caller must not be told that the request did not run.
func TestRepeatedRefusalWithoutEchoDeniesARun(t *testing.T) {
	for _, path := range []string{"/read/", "/write/", "/buy/"} {
		t.Run(path, func(t *testing.T) {
			var refusedOn sync.Map // addresses of connections
			var runs atomic.Int64
			u := startUpstream(t, func(r *http.Request, _ int64) (string, bool) {
				_, repeats := refusedOn.Load(r.RemoteAddr)
				if isRefused := strings.HasSuffix(r.URL.Path, "refused"); isRefused || repeats {
					refusedOn.Store(r.RemoteAddr, true)
					if !isRefused {
						runs.Add(1)
					}
					return fmt.Sprintf("HTTP/1.1 503 X\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", HeaderRun, NotRun), false
				}
				runs.Add(1)
				return okResponse("ran"), false
			})
			e := startEntry(t, u.Addr().String())
			e.tick(t)
			e.send(http.MethodPost, "/read/refused", "x")
			for i := 0; i < 100 && runs.Load() == 0; i++ {
				time.Sleep(10 * time.Millisecond) // the backoff after the refusal
				got := e.send(http.MethodPost, path+"2", "x", HeaderIdempotencyKey, "k")
				if runs.Load() > 0 && got.run == NotRun {
					t.Errorf("got %+v for a request that ran", got)
				}
			}
			if runs.Load() == 0 {
				t.Error("no request ran")
			}
		})
	}
}

// TestLateRefusalWithoutEchoDeniesARun lets an upstream that doesn't echo attempts write its first
// response twice. Each later response then arrives in place of the next one, a refusal too.
func TestLateRefusalWithoutEchoDeniesARun(t *testing.T) {
	requireUnattributed(t, StandardDialect(), fmt.Sprintf("HTTP/1.1 503 X\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", HeaderRun, NotRun))
}

// TestLateMisplacementWithoutEchoDeniesARun is the same with a 421.
func TestLateMisplacementWithoutEchoDeniesARun(t *testing.T) {
	o := StandardDialect().options
	o.Misplaced = func(status int, _ http.Header) bool { return status == http.StatusMisdirectedRequest }
	requireUnattributed(t, NewDialect(o), "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
}

// requireUnattributed sends three requests to an upstream that writes a refusal of the second in
// place of the response to the third.
func requireUnattributed(t *testing.T, d *Dialect, refusal string) {
	t.Helper()
	received := make(chan struct{}, 8)
	release := make(chan struct{})
	u := startUpstream(t, func(_ *http.Request, n int64) (string, bool) {
		received <- struct{}{}
		switch n {
		case 2:
			return okResponse("copy"), false // the response to request 2 follows late
		case 3:
			<-release
			return refusal, false
		default:
			return okResponse("ran"), false
		}
	})
	s := New(Options{Clock: dhtime.System(), Dialect: d, MaxConnections: 1})
	t.Cleanup(s.Close)
	send := func() dhevent.AttemptEnd {
		in := &inbound{id: "r", method: http.MethodPost, host: "h", url: &url.URL{Path: "/x"}, header: http.Header{}, body: []byte("x")}
		a := s.sendAttempt(t.Context(), in, target{address: u.Addr().String(), timeout: 10_000}, 1<<10)
		if a.end == dhevent.EndAnswered {
			a.close()
		}
		return a.end
	}
	for n := range 2 {
		if end := send(); end != dhevent.EndAnswered {
			t.Fatalf("request %d ended as %v, want %v", n+1, end, dhevent.EndAnswered)
		}
		<-received
	}
	go func() {
		<-received
		close(release)
	}()
	if end := send(); end != dhevent.EndUnattributed {
		t.Errorf("the refusal of request 2 in place of the response to request 3 ended it as %v, want %v", end, dhevent.EndUnattributed)
	}
}
