package dhentry

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
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
