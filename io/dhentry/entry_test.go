package dhentry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhreducer"
	"dogwoodhitch/core/dhsteer"
	"dogwoodhitch/core/dhtraffic"
	"dogwoodhitch/core/dhview"
	"dogwoodhitch/io/dhnet"
	"dogwoodhitch/io/dhtime"
	"dogwoodhitch/io/dhtrafficstate"
	"dogwoodhitch/io/dhwire"
)

const testKey = "a-caller-key-of-the-tests"

// testEntry is an entry instance's server whose claims are granted immediately.
type testEntry struct {
	*httptest.Server
	trafficState *dhtrafficstate.Owner
	server       *Server
}

func testCatalog(t testing.TB) *dhcatalog.Catalog {
	t.Helper()
	c, err := dhcatalog.New().Apply(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
		ID: "test", Author: "test", Puts: []dhcatalog.Object{
			dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: "org"}),
			dhcatalog.NewKey(dhcatalog.KeyOptions{Name: "key", Organisation: "org", Hash: dhwire.HashSecret(testKey)}),
			dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "service"}),
			dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: "read", PathPrefix: "/read/", Service: "service", Idempotent: true, Timeout: 400, QueueWait: 100}),
			dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: "write", PathPrefix: "/write/", Service: "service", Timeout: 400, QueueWait: 100}),
			dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: "buy", PathPrefix: "/buy/", Service: "service", ClaimRequired: true, Timeout: 400, QueueWait: 100, Retention: 1000}),
		},
	}))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// publishCatalog gives the entry instance a view of a catalog whose confirmation
// lies in the future, so that it stays fresh for the whole test.
func (e *testEntry) publishCatalog(c *dhcatalog.Catalog) {
	e.trafficState.Handle(func(at dhclock.Millis) dhevent.Event {
		return dhevent.NewViewPublished(at, dhevent.ViewPublishedOptions{
			View: dhview.New(dhview.Options{Catalog: c, EverConfirmed: true, ConfirmedAt: at + 1_000_000}),
		})
	})
}

// startEntry starts a server in front of upstreams at the given addresses.
func startEntry(t testing.TB, addresses ...string) *testEntry {
	t.Helper()
	return startConfiguredEntry(t, func(*http.Server) {}, addresses...)
}

// startConfiguredEntry is like startEntry for an HTTP server that a function configures.
func startConfiguredEntry(t testing.TB, configure func(s *http.Server), addresses ...string) *testEntry {
	t.Helper()
	e := &testEntry{}
	clock := dhtime.System()
	e.trafficState = dhtrafficstate.New(dhreducer.NewTraffic(dhtraffic.Options{Instance: "i", Zone: "z", Now: clock.Now(), MaxConnections: new(16)}), dhtrafficstate.Seams{
		Clock: clock,
		Execute: func(effect dheffect.Effect) {
			posted, ok := effect.(*dheffect.PostToControl)
			if !ok {
				return
			}
			proposal, ok := posted.Event().(*dhevent.ProposalRequested)
			if !ok {
				return
			}
			if _, ok := proposal.Command().(dhmessage.Claim); !ok {
				return
			}
			e.trafficState.Handle(func(at dhclock.Millis) dhevent.Event {
				return dhevent.NewClaimResultReceived(at, dhevent.ClaimResultReceivedOptions{
					RequestID: proposal.CorrelationID(), Result: dhmessage.NewResult(dhmessage.ResultOptions{ClaimState: dhmessage.ClaimGranted}),
				})
			})
		},
	})
	e.publishCatalog(testCatalog(t))
	for i, address := range addresses {
		e.trafficState.Handle(func(at dhclock.Millis) dhevent.Event {
			return dhevent.NewUpstreamAnnounced(at+1_000_000, dhevent.UpstreamAnnouncedOptions{
				Announcement: dhsteer.NewAnnouncement(dhsteer.AnnouncementOptions{Name: fmt.Sprint("u", i), Service: "service", Address: address, Slots: 16}),
			})
		})
	}
	s := New(Options{
		Instance: "i", TrafficState: e.trafficState, Clock: clock,
		MaxBodyBytes: 1 << 10, MaxHeldBytes: 1 << 12, ResponseBufferBytes: 1 << 10, MaxConnections: 16,
	})
	e.server = s
	e.Server = httptest.NewUnstartedServer(s.CallerHandler())
	e.Config.Protocols = new(http.Protocols)
	e.Config.Protocols.SetHTTP1(true)
	e.Config.Protocols.SetUnencryptedHTTP2(true)
	e.Config.ErrorLog = nil
	e.Config.ConnContext = dhnet.ConnContext
	configure(e.Config)
	e.Start()
	t.Cleanup(e.Close)
	return e
}

// rawUpstream is a fake upstream that answers with raw bytes and counts the
// requests that it receives.
type rawUpstream struct {
	net.Listener
	requests atomic.Int64
}

// startUpstream starts an upstream that calls a function with each request and its
// number, writes the raw bytes that the function returns, and closes the
// connection if closes is true.
func startUpstream(t testing.TB, respond func(r *http.Request, n int64) (raw string, closes bool)) *rawUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &rawUpstream{Listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c, respond)
		}
	}()
	return u
}

func (u *rawUpstream) serve(c net.Conn, respond func(r *http.Request, n int64) (string, bool)) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		r.RemoteAddr = c.RemoteAddr().String()
		raw, closes := respond(r, u.requests.Add(1))
		io.WriteString(c, raw)
		if closes {
			return
		}
	}
}

func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// callerResult is the response that a caller gets, or the error of its request.
type callerResult struct {
	status int
	kind   string // of the refusal, or ""
	run    string // value of HeaderRun
	body   string
	err    error
}

func (e *testEntry) send(method, path, body string, header ...string) callerResult {
	r, err := http.NewRequest(method, e.URL+path, strings.NewReader(body))
	if err != nil {
		return callerResult{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return callerResult{err: err}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return callerResult{response.StatusCode, response.Header.Get(HeaderRefusal), response.Header.Get(HeaderRun), string(raw), err}
}
