package dhclient

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// TestEndlessResponseFillsTheOperatorsMemory calls a server whose response never ends. The call
// must fail once it has read the limit.
func TestEndlessResponseFillsTheOperatorsMemory(t *testing.T) {
	var sent atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for piece := make([]byte, 1<<20); r.Context().Err() == nil; {
			n, err := w.Write(piece)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}))
	defer server.Close()
	c := New(Options{Servers: []string{server.Listener.Addr().String()}})
	if _, err := c.Status(t.Context()); err == nil {
		t.Error("a call with an endless response succeeded")
	}
	// The kernel lets the buffers of both sockets grow to tens of megabytes.
	const buffered = 128 << 20
	if got := sent.Load(); got > maxResponseBytes+buffered {
		t.Errorf("the server sent %d bytes, want at most %d", got, maxResponseBytes+buffered)
	}
}
