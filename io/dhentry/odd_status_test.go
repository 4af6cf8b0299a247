package dhentry

import (
	"fmt"
	"net/http"
	"testing"
)

// TestStatusOutsideTheProtocolReachesTheCaller lets an upstream respond with a status that ends no
// request. The caller must get an answer of this instance that promises nothing.
func TestStatusOutsideTheProtocolReachesTheCaller(t *testing.T) {
	for _, status := range []string{"000", "-00", "042", "099", "101", "600", "999"} {
		u := startUpstream(t, func(*http.Request, int64) (string, bool) {
			return fmt.Sprintf("HTTP/1.1 %s Status\r\nContent-Length: 2\r\n\r\nno", status), false
		})
		e := startEntry(t, u.Addr().String())
		for _, path := range []string{"/read/1", "/write/1"} {
			got := e.send(http.MethodPost, path, "")
			if got.err != nil || got.status != http.StatusBadGateway || got.run == NotRun {
				t.Errorf("%s, status %s: got %+v, want status 502 without a promise", path, status, got)
			}
		}
	}
}
