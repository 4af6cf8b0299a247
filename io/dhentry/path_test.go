package dhentry

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	"dogwoodhitch/core/dhcatalog"
)

// prefixes are those of the routes of these tests. The value tells whether the route requires a key.
var prefixes = map[string]bool{"/a/": true, "/a/b/": false, "/c/": false, "/c/d%2Fe/": true}

// statusFor returns the status of a request without a key: that of the longest prefix that begins the
// path of its target as it was sent.
func statusFor(target string) int {
	path, _, _ := strings.Cut(target, "?")
	longest, status := 0, http.StatusNotFound
	for prefix, keyed := range prefixes {
		if !strings.HasPrefix(path, prefix) || len(prefix) < longest {
			continue
		}
		longest, status = len(prefix), http.StatusOK
		if keyed {
			status = http.StatusUnauthorized
		}
	}
	return status
}

// pathEntry is an entry with the routes of prefixes, directly or behind a peer, and what its upstream
// received last.
type pathEntry struct {
	*testEntry
	received atomic.Value
}

func startPathEntry(t testing.TB) *pathEntry {
	t.Helper()
	e := &pathEntry{}
	u := startUpstream(t, func(r *http.Request, _ int64) (string, bool) {
		e.received.Store(r.RequestURI)
		return okResponse("ok"), false
	})
	e.testEntry = startEntry(t, u.Addr().String())
	var routes []dhcatalog.Object
	for prefix, keyed := range prefixes {
		routes = append(routes, dhcatalog.NewRoute(dhcatalog.RouteOptions{
			Name: fmt.Sprintf("r%x", prefix), PathPrefix: prefix, Service: "service", Open: !keyed, Idempotent: true, Timeout: 5000,
		}))
	}
	e.publish(t, routes...)
	return e
}

// get sends a request without a key, whose target goes out as it is, and returns the status.
func (e *pathEntry) get(t *testing.T, target string) int {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(e.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", target)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%s: %v", target, err)
	}
	response.Body.Close()
	return response.StatusCode
}

// check compares the status of a target, and what the upstream receives of it.
func (e *pathEntry) check(t *testing.T, target string, want int) error {
	t.Helper()
	e.received.Store("")
	got := e.get(t, target)
	if got != want {
		return fmt.Errorf("%s: got status %d, want %d", target, got, want)
	}
	if received := e.received.Load(); got == http.StatusOK && received != target {
		return fmt.Errorf("%s: the upstream received %s", target, received)
	}
	return nil
}

// TestEncodedPathSelectsAnotherRoute sends targets that mean a prefix once they are decoded or cleaned.
// The route is that of the path as it was sent, which is also what the upstream gets: otherwise a
// request reaches another service, or the upstreams of a keyed route without a key.
func TestEncodedPathSelectsAnotherRoute(t *testing.T) {
	e := startPathEntry(t)
	for target, want := range map[string]int{
		"/a/b/x": 200, "/a/x": 401, "/a/b%2Fx": 401, "/a/b%2fx": 401, "/a/%62/x": 401, "/a//b/x": 401, "/a/./b/x": 401,
		"/c/../a/x": 200, "/c/%2E%2E/a/x": 200, "/%61/b/x": 404, "//a/b/x": 404, "/A/b/x": 404, "/c/d/e/x": 200, "/c/d%2Fe/x": 401, "/c/d%2fe/x": 200,
		"/a/b/%zz": 400, "/a/b/%": 400, "/a/b/x?y=%2F": 200, "*": 404, "/dogwoodhitch/none": 404, "/%64ogwoodhitch/v1/lookup": 404,
	} {
		if err := e.check(t, target, want); err != nil {
			t.Error(err)
		}
	}
	if got := e.get(t, "http://h/a/b%2Fx"); got != 401 {
		t.Errorf("absolute form: got status %d, want 401", got)
	}
}

// drawTarget draws a target that net/http accepts or refuses.
func drawTarget(t *rapid.T) string {
	parts := rapid.SliceOfN(rapid.SampledFrom([]string{"/", "a", "b", "c", "d", "e", "%2F", "%2f", "%61", "%62", "..", ".", "%2E", "%", "%25", ";", "x"}), 0, 12).Draw(t, "parts")
	start := rapid.SampledFrom([]string{"/", "/a/", "/a/b", "/c/d"}).Draw(t, "start")
	return start + strings.Join(parts, "")
}

// FuzzRouteIsThatOfThePathAsSent compares the selected route with the longest prefix of drawn targets.
func FuzzRouteIsThatOfThePathAsSent(f *testing.F) {
	e := startPathEntry(f)
	f.Fuzz(func(t *testing.T, raw []byte) {
		rapid.MakeFuzz(func(r *rapid.T) { checkDrawnTarget(t, r, e) })(t, raw)
	})
}

// TestRouteIsThatOfThePathAsSent is the short search of FuzzRouteIsThatOfThePathAsSent.
func TestRouteIsThatOfThePathAsSent(t *testing.T) {
	e := startPathEntry(t)
	rapid.Check(t, func(r *rapid.T) { checkDrawnTarget(t, r, e) })
}

func checkDrawnTarget(t *testing.T, r *rapid.T, e *pathEntry) {
	target := drawTarget(r)
	want := statusFor(target)
	if _, err := url.ParseRequestURI(target); err != nil {
		want = http.StatusBadRequest
	}
	if err := e.check(t, target, want); err != nil {
		r.Fatal(err)
	}
}
