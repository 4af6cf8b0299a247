package dhentry

import (
	"fmt"
	"net/http"
	"testing"

	"dogwoodhitch/core/dhevent"
)

// TestSecondResponseBreaksTheNextRequest sends many requests beside each other over few connections
// to an upstream that writes each response twice, at once. No connection may carry the next
// request before the second response was found.
func TestSecondResponseBreaksTheNextRequest(t *testing.T) {
	for _, body := range []string{"", "body"} {
		u := startUpstream(t, func(r *http.Request, _ int64) (string, bool) {
			response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", HeaderRequestID, r.Header.Get(HeaderRequestID), len(body), body)
			return response + response, false
		})
		s := startEchoingServer(t)
		sendBesideEachOther(func(id string) {
			if end, err := s.attemptOnce(t.Context(), u.Addr().String(), id); end != dhevent.EndAnswered {
				t.Errorf("body %q: request %s ended as %v: %v", body, id, end, err)
			}
		})
	}
}
