package dhentry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// startClosingUpstream starts an upstream or peer that answers requests whose path
// ends in warm and closes the connection after reading any other request.
func startClosingUpstream(t testing.TB) *rawUpstream {
	t.Helper()
	return startUpstream(t, func(r *http.Request, _ int64) (string, bool) {
		if !strings.HasSuffix(r.URL.Path, "warm") {
			return "", true
		}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 4\r\n\r\nwarm", HeaderAttempt, r.Header.Get(HeaderAttempt)), false
	})
}

// publish gives the entry instance a configuration with the objects of testCatalog,
// the zone z and further objects.
func (e *testEntry) publish(t testing.TB, puts ...dhcatalog.Object) {
	t.Helper()
	zone := dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "z", Region: "r"})
	c, err := testCatalog(t).Apply(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
		ID: "further", Author: "test", Base: 1, Puts: append([]dhcatalog.Object{zone}, puts...),
	}))
	if err != nil {
		t.Fatal(err)
	}
	e.publishCatalog(c)
}

// startEntryWithRegistered starts a server in front of one registered upstream.
func startEntryWithRegistered(t testing.TB, address string) *testEntry {
	t.Helper()
	e := startEntry(t)
	e.publish(t, dhcatalog.NewUpstream(dhcatalog.UpstreamOptions{
		Name: "u", Service: "service", Address: address, Zone: "z", Slots: 16, Incarnation: 1,
	}))
	return e
}

// startEntryWithPeer starts a server without upstreams that has a reservation at
// one peer.
func startEntryWithPeer(t testing.TB, address string) *testEntry {
	t.Helper()
	e := startEntry(t)
	e.publish(t,
		dhcatalog.NewInstance(dhcatalog.InstanceOptions{Name: "i", Zone: "z", CallerAddress: "10.0.0.1:80", PeerAddress: "10.0.0.1:81"}),
		dhcatalog.NewInstance(dhcatalog.InstanceOptions{Name: "p", Zone: "z", CallerAddress: "10.0.0.2:80", PeerAddress: address}),
	)
	e.trafficState.Handle(func(at dhclock.Millis) dhevent.Event {
		return dhevent.NewReservationReceived(at, dhevent.ReservationReceivedOptions{
			Instance: "p", Response: dhmessage.NewReservationResponse(dhmessage.ReservationResponseOptions{
				Service: "service", RequestSentAt: at, TTL: 1_000_000, Slots: 16,
			}),
		})
	})
	return e
}

// closingDestinations are the kinds of destination besides announced upstreams.
var closingDestinations = []struct {
	name  string
	start func(t testing.TB, address string) *testEntry
}{
	{"registered upstream", startEntryWithRegistered},
	{"peer", startEntryWithPeer},
}

// sendAfterWarming sends a request that must not be repeated to a destination that
// has an idle pooled connection and closes it after reading the request. The
// destination must get the request once, and the caller a refusal that says that it
// may have run.
func sendAfterWarming(t *testing.T, start func(t testing.TB, address string) *testEntry, method, path, body string, header ...string) {
	t.Helper()
	u := startClosingUpstream(t)
	e := start(t, u.Addr().String())
	if got := e.send(http.MethodGet, "/read/warm", ""); got.body != "warm" {
		t.Fatalf("got %+v for the first request, want body warm", got)
	}
	if got := e.send(method, path, body, header...); got.kind != "upstreamBroken" || got.run != MayHaveRun {
		t.Errorf("got %+v, want refusal upstreamBroken that may have run", got)
	}
	if n := u.requests.Load() - 1; n != 1 {
		t.Errorf("the request was received %d times, want once", n)
	}
}

// TestRequestWithoutBodyIsSentOnce sends requests without a body, on routes that
// aren't idempotent, to a registered upstream and to a peer that close the
// connection after reading them. The transport of net/http resends such a request
// if it was sent on a pooled connection and either its method is safe or it has an
// idempotency key. The request would then run twice, so it needs a new connection.
func TestRequestWithoutBodyIsSentOnce(t *testing.T) {
	for _, d := range closingDestinations {
		for _, c := range []struct {
			method, path string
			header       []string
		}{
			{http.MethodGet, "/write/1", nil},
			{http.MethodPost, "/write/1", []string{HeaderIdempotencyKey, "k"}},
			{http.MethodPost, "/buy/1", []string{HeaderIdempotencyKey, "k"}},
		} {
			t.Run(fmt.Sprintf("%s %s %s", d.name, c.method, c.path), func(t *testing.T) {
				sendAfterWarming(t, d.start, c.method, c.path, "", c.header...)
			})
		}
	}
}

// TestRequestWithBodyIsSentOnce sends requests with a body and an idempotency key to
// a registered upstream and to a peer that close the pooled connection after reading
// them. The transport of net/http resends such a request if it can rewind the body.
func TestRequestWithBodyIsSentOnce(t *testing.T) {
	for _, d := range closingDestinations {
		for _, path := range []string{"/write/1", "/buy/1"} {
			t.Run(d.name+" "+path, func(t *testing.T) {
				sendAfterWarming(t, d.start, http.MethodPost, path, "body", HeaderIdempotencyKey, "k")
			})
		}
	}
}
