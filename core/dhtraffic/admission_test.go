package dhtraffic

import (
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhview"
)

// newPartitionedState returns the state of an instance whose configuration was
// last confirmed at 10 s. The organisation "strict" has no grace beyond the
// freshness lease, "lenient" has one of 60 s.
func newPartitionedState(t *testing.T) *State {
	t.Helper()
	return newTestState(t, 10_000,
		dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "a1", Region: "a"}),
		dhcatalog.NewInstance(dhcatalog.InstanceOptions{Name: "a1-1", Zone: "a1", CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2"}),
		dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: "strict"}),
		dhcatalog.NewKey(dhcatalog.KeyOptions{Name: "strict", Organisation: "strict", Hash: dhcatalog.Hash{1}}),
		dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: "lenient", StaleGrace: 60_000}),
		dhcatalog.NewKey(dhcatalog.KeyOptions{Name: "lenient", Organisation: "lenient", Hash: dhcatalog.Hash{2}}),
		dhcatalog.NewLimit(dhcatalog.LimitOptions{Name: "lenient", Organisation: "lenient", Rate: 100, Burst: 100}),
		dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "s"}),
		dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: "keyed", PathPrefix: "/keyed/", Service: "s", Idempotent: true, Timeout: 1000}),
		dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: "open", PathPrefix: "/open/", Service: "s", Open: true, Idempotent: true, Timeout: 1000}),
	)
}

// TestPartitionedInstanceAfterLeaseExpiry sends requests to an instance that
// gets no configuration updates. When its freshness lease has expired, it refuses
// keyed requests as not run, serves those of an organisation with a grace from
// its own floor until the grace ends, and still serves open routes.
func TestPartitionedInstanceAfterLeaseExpiry(t *testing.T) {
	s := newPartitionedState(t)
	request := uint64(0)
	send := func(now dhclock.Millis, path string, key byte) dheffect.RefusalKind {
		announceUpstreams(s, now)
		request++
		var out dheffect.List
		s.HandleRequest(dhevent.NewRequestReceived(now, dhevent.RequestReceivedOptions{
			RequestID: request, Path: path, APIKeyHash: dhcatalog.Hash{key},
		}), &out)
		for _, e := range out.Items() {
			switch e := e.(type) {
			case *dheffect.Refuse:
				if e.Refusal().MayHaveRun() {
					t.Error("a request refused on admission is reported as possibly run")
				}
				return e.Refusal().Kind()
			case *dheffect.ForwardToUpstream:
				s.HandleAttemptEnd(dhevent.NewAttemptEnded(now, dhevent.AttemptEndedOptions{RequestID: request, Status: 200}), &out)
				return ""
			}
		}
		return "waiting"
	}
	lease, grace := 10_000+dhview.FreshnessLease, 10_000+dhview.FreshnessLease+60_000
	cases := []struct {
		at   dhclock.Millis
		path string
		key  byte
		want dheffect.RefusalKind
	}{
		{lease, "/keyed/", 1, ""},
		{lease + 1, "/keyed/", 1, dheffect.RefuseConfigurationStale},
		{lease + 1, "/keyed/", 2, ""},
		{lease + 1, "/keyed/", 9, dheffect.RefuseConfigurationStale}, // the key may have been added since
		{lease + 1, "/none/", 1, dheffect.RefuseConfigurationStale},
		{lease + 1, "/open/", 0, ""},
		{grace, "/keyed/", 2, ""},
		{grace + 1, "/keyed/", 2, dheffect.RefuseConfigurationStale},
		{grace + 1, "/open/", 0, ""},
	}
	for _, c := range cases {
		if got := send(c.at, c.path, c.key); got != c.want {
			t.Errorf("at %d ms, %s with key %d: refusal kind %q, want %q", c.at, c.path, c.key, got, c.want)
		}
	}
	served := 0
	for range 200 {
		if send(grace, "/keyed/", 2) == "" {
			served++
		}
	}
	if served == 0 || served > 10 {
		t.Errorf("%d of 200 simultaneous requests served, want 1 to 10: the floor holds 10 tokens", served)
	}
}
