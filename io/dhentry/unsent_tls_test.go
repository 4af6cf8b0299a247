package dhentry

import (
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestAlertOfAClosedConnectionCountsAsRequest closes a TLS connection to a peer between the time
// at which an attempt acquires it and the first byte of the request. The alert that closes it is
// no part of a request.
func TestAlertOfAClosedConnectionCountsAsRequest(t *testing.T) {
	peer := httptest.NewTLSServer(http.NotFoundHandler())
	t.Cleanup(peer.Close)
	c := connectTo(t, peer.Listener.Addr().String())
	overTLS := tls.Client(c, &tls.Config{InsecureSkipVerify: true}) //nolint:gosec // a server of this test
	if err := overTLS.Handshake(); err != nil {
		t.Fatal(err)
	}
	if !c.acquire(t.Context(), false) {
		t.Fatal("a new connection can't be acquired")
	}
	overTLS.Close()
	if !c.abandonUnwritten() {
		t.Error("a connection on which no request was written counts as written")
	}
}
