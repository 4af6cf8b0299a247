package dhtraffic

import (
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
)

// TestRequestThatMayHaveRunIsRepeatedOnARouteThatForbidsIt breaks the first attempt of a request
// that may be repeated. Meanwhile a new version sends its path to a route whose requests may run
// at most once.
func TestRequestThatMayHaveRunIsRepeatedOnARouteThatForbidsIt(t *testing.T) {
	forbidRepetition(t, true)
}

// TestAnnouncedRequestIsRepeatedOnARouteThatForbidsIt is the same with announced upstreams.
func TestAnnouncedRequestIsRepeatedOnARouteThatForbidsIt(t *testing.T) {
	forbidRepetition(t, false)
}

func forbidRepetition(t *testing.T, isRegistered bool) {
	t.Helper()
	s := newRetryTest(t, true, isRegistered)
	if _, ok := s.send(1000, "/any/", false).(*dheffect.ForwardToUpstream); !ok {
		t.Fatal("the request isn't forwarded")
	}
	s.apply(t, 1001, dhcatalog.ChangeSetOptions{Puts: []dhcatalog.Object{dhcatalog.NewRoute(dhcatalog.RouteOptions{
		Name: "r", PathPrefix: "/any/", Service: "s", Open: true, Timeout: 3000, MaxAttempts: 2,
	})}})
	decision := s.end(1002, dhevent.AttemptEndedOptions{End: dhevent.EndBroken})
	if refuse, ok := decision.(*dheffect.Refuse); !ok || !refuse.Refusal().MayHaveRun() {
		t.Errorf("got decision %T, want a Refuse that says that the request may have run", decision)
	}
}
