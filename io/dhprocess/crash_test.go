package dhprocess

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/io/dhentry"
)

// crashingUpstream is an upstream that crashes when it runs a request whose path ends in
// lethal, and that listens again restartDelay later.
type crashingUpstream struct {
	address string
	arrived *atomic.Int64 // lethal requests, over all upstreams
	crashed *atomic.Int64 // upstreams that have crashed
	mutex   sync.Mutex
	server  *http.Server // nil while the upstream is down
	isKnown bool         // counted in crashed
}

const restartDelay = 300 * time.Millisecond

func (u *crashingUpstream) listen() error {
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.server = &http.Server{Handler: u}
	go u.server.Serve(l)
	return nil
}

// crash resets all connections and refuses new ones.
func (u *crashingUpstream) crash() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.server == nil {
		return
	}
	u.server.Close()
	u.server = nil
	if !u.isKnown {
		u.isKnown = true
		u.crashed.Add(1)
	}
	time.AfterFunc(restartDelay, func() { _ = u.listen() })
}

func (u *crashingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/lethal") {
		u.arrived.Add(1)
		u.crash()
		return
	}
	w.Header().Set(dhentry.HeaderAttempt, r.Header.Get(dhentry.HeaderAttempt))
	time.Sleep(20 * time.Millisecond)
}

// crashTest is a cluster with upstreams that a request can crash.
type crashTest struct {
	*cluster
	arrived, crashed atomic.Int64
}

func newCrashTest(t *testing.T) *crashTest {
	c := &crashTest{cluster: newCluster(t, 3)}
	c.addEntries(2, 2)
	puts := []dhcatalog.Object{
		dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "s"}),
		dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: "repeatable", PathPrefix: "/repeatable/", Service: "s", Open: true, Idempotent: true, Timeout: 3000, MaxAttempts: 2}),
		dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: "once", PathPrefix: "/once/", Service: "s", Open: true, Timeout: 3000, MaxAttempts: 2}),
	}
	for i := range 8 {
		u := &crashingUpstream{address: freeAddress(t), arrived: &c.arrived, crashed: &c.crashed}
		if err := u.listen(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(u.crash)
		puts = append(puts, dhcatalog.NewUpstream(dhcatalog.UpstreamOptions{
			Name: fmt.Sprint("u", i), Service: "s", Address: u.address, Zone: fmt.Sprintf("z%02d", i%2), Slots: 100, Incarnation: 1,
		}))
	}
	c.applyChange(puts...)
	c.waitInForce(time.Now())
	return c
}

// get sends a request to an entry instance and returns the status.
func (c *crashTest) get(p *Process, path string) int {
	ctx, cancel := context.WithTimeout(c.t.Context(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.BoundAddresses().Callers+path, nil)
	if err != nil {
		c.t.Error(err)
		return 0
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		c.t.Error(err)
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// crashUpstreams sends the request that crashes upstreams until it has crashed three, beside
// requests that are in flight at them.
func (c *crashTest) crashUpstreams(route string) {
	c.t.Helper()
	var others sync.WaitGroup
	for i := 0; c.crashed.Load() < 3 && i < 20; i++ {
		for k := range 8 {
			others.Go(func() { c.get(c.entries[k%4], fmt.Sprintf("/repeatable/%d", k)) })
		}
		time.Sleep(10 * time.Millisecond)
		c.get(c.entries[i%4], "/"+route+"/lethal")
		time.Sleep(200 * time.Millisecond)
	}
	others.Wait()
	if c.crashed.Load() < 3 {
		c.t.Fatalf("%d upstreams have crashed, want 3 before the check", c.crashed.Load())
	}
}

// checkQuarantine checks that all instances refuse the request that crashes upstreams.
func (c *crashTest) checkQuarantine(route string) {
	c.t.Helper()
	arrived := c.arrived.Load()
	for range 3 {
		for _, p := range c.entries {
			if status := c.get(p, "/"+route+"/lethal"); status != http.StatusServiceUnavailable {
				c.t.Errorf("%s answers the request with status %d, want 503", p.options.Name, status)
			}
		}
	}
	if n := c.arrived.Load() - arrived; n > 0 {
		c.t.Errorf("the request reached upstreams %d times more after it had crashed %d", n, c.crashed.Load())
	}
}

// TestRequestCrashesOneUpstreamAfterAnother sends a request that crashes each upstream
// which runs it to all instances in turn. Once it has crashed three upstreams, no
// instance may forward it any more, including one that joins later. Requests that were in
// flight at the crashed upstreams are served.
func TestRequestCrashesOneUpstreamAfterAnother(t *testing.T) {
	for _, route := range []string{"repeatable", "once"} {
		t.Run(route, func(t *testing.T) {
			c := newCrashTest(t)
			c.crashUpstreams(route)
			c.applyChange(c.startEntry("z00-late", "z00"))
			c.waitInForce(time.Now())
			time.Sleep(2 * time.Second)
			c.checkQuarantine(route)
			for _, p := range c.entries {
				for k := range 8 {
					if status := c.get(p, fmt.Sprintf("/repeatable/%d", k)); status != http.StatusOK {
						t.Errorf("%s answers another request with status %d, want 200", p.options.Name, status)
					}
				}
			}
		})
	}
}

// TestRestartOfAllProcessesEndsQuarantine restarts all processes after a request has crashed
// three upstreams. No instance may forward it afterwards.
func TestRestartOfAllProcessesEndsQuarantine(t *testing.T) {
	c := newCrashTest(t)
	c.crashUpstreams("repeatable")
	time.Sleep(time.Second)
	c.restart()
	c.waitInForce(time.Now())
	time.Sleep(time.Second)
	c.checkQuarantine("repeatable")
}
