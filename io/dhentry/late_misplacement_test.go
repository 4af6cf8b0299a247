package dhentry

import (
	"net/http"
	"net/url"
	"testing"

	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/io/dhtime"
)

// TestLateMisplacementWithoutEchoDeniesARun is TestLateRefusalWithoutEchoDeniesARun for a 421.
func TestLateMisplacementWithoutEchoDeniesARun(t *testing.T) {
	received := make(chan struct{}, 8)
	release := make(chan struct{})
	u := startUpstream(t, func(_ *http.Request, n int64) (string, bool) {
		received <- struct{}{}
		switch n {
		case 2:
			return okResponse("copy"), false // the response to request 2 follows late
		case 3:
			<-release
			return "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", false
		default:
			return okResponse("ran"), false
		}
	})
	o := StandardDialect().options
	o.Misplaced = func(status int, _ http.Header) bool { return status == http.StatusMisdirectedRequest }
	s := New(Options{Clock: dhtime.System(), Dialect: NewDialect(o), MaxConnections: 1})
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
	if end := send(); end == dhevent.EndMisplaced {
		t.Errorf("the response to request 2 in place of that to request 3 ended it as %v, want %v", end, dhevent.EndUnattributed)
	}
}
