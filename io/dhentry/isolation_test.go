package dhentry

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"dogwoodhitch/core/dhcatalog"
)

// refusedAddress returns an address on which connections are refused.
func refusedAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startIsolatedEntry starts a server that can't connect to any of its registered
// upstreams, next to one peer.
func startIsolatedEntry(t testing.TB, peer string) *testEntry {
	t.Helper()
	objects := []dhcatalog.Object{
		dhcatalog.NewInstance(dhcatalog.InstanceOptions{Name: "i", Zone: "z", CallerAddress: "10.0.0.1:80", PeerAddress: "10.0.0.1:81"}),
		dhcatalog.NewInstance(dhcatalog.InstanceOptions{Name: "p", Zone: "z", CallerAddress: "10.0.0.2:80", PeerAddress: peer}),
	}
	for i := range 6 {
		objects = append(objects, dhcatalog.NewUpstream(dhcatalog.UpstreamOptions{
			Name: fmt.Sprint("u", i), Service: "service", Address: refusedAddress(t), Zone: "z", Slots: 16, Incarnation: 1,
		}))
	}
	e := startEntry(t)
	e.publish(t, objects...)
	return e
}

// TestIsolatedInstanceServesThroughPeers guards against an instance that refuses its
// callers because it can't connect to any upstream itself, although its peers can.
func TestIsolatedInstanceServesThroughPeers(t *testing.T) {
	peer := startUpstream(t, func(*http.Request, int64) (string, bool) {
		return "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npeer", false
	})
	e := startIsolatedEntry(t, peer.Addr().String())
	const requests = 20
	served := 0
	for i := range requests {
		method, path := http.MethodGet, "/read/1"
		if i%2 == 1 {
			method, path = http.MethodPost, "/write/1"
		}
		if got := e.send(method, path, ""); got.body == "peer" {
			served++
		}
	}
	if served < requests*2/3 {
		t.Errorf("%d of %d requests were served, want at least two thirds", served, requests)
	}
}
