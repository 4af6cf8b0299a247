package dhtraffic

import (
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhview"
)

// TestRefusedByAnOldConfiguration has an instance refuse requests with a configuration that was
// confirmed longer ago than accepted changes take to be in force, but within the freshness lease. A
// newer one may allow them, so that it must not say that they aren't allowed.
func TestRefusedByAnOldConfiguration(t *testing.T) {
	const confirmedAt, bound dhclock.Millis = 10_000, 2500
	c, err := dhcatalog.New().Apply(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{ID: "x", Author: "test", Puts: []dhcatalog.Object{
		dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "s"}),
		dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: "keyed", PathPrefix: "/keyed/", Service: "s", Timeout: 1000}),
		dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: "claims", PathPrefix: "/claims/", Service: "s", Timeout: 1000, ClaimRequired: true, Retention: 60_000}),
		dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: "o"}),
		dhcatalog.NewKey(dhcatalog.KeyOptions{Name: "k", Organisation: "o", Hash: dhcatalog.Hash{2}}),
	}}))
	if err != nil {
		t.Fatal(err)
	}
	s := New(Options{Instance: "a1-1", Zone: "a1", ChangeBound: bound})
	s.HandleView(dhevent.NewViewPublished(confirmedAt, dhevent.ViewPublishedOptions{
		View: dhview.New(dhview.Options{Catalog: c, EverConfirmed: true, ConfirmedAt: confirmedAt}),
	}))
	requests := map[string]dhevent.RequestReceivedOptions{
		"path without a route":        {Path: "/new/x"},
		"request without a key":       {Path: "/keyed/x"},
		"unknown key":                 {Path: "/keyed/x", APIKeyHash: dhcatalog.Hash{1}},
		"request without a claim key": {Path: "/claims/x", APIKeyHash: dhcatalog.Hash{2}},
	}
	for what, o := range requests {
		for age, isStale := range map[dhclock.Millis]bool{1000: false, bound: true, dhview.FreshnessLease: true, 5000: true} {
			o.RequestID++
			var out dheffect.List
			s.HandleRequest(dhevent.NewRequestReceived(confirmedAt+age, o), &out)
			var refusal dheffect.Refusal
			for _, e := range out.Items() {
				if r, ok := e.(*dheffect.Refuse); ok {
					refusal = r.Refusal()
				}
			}
			if got := refusal.Kind() == dheffect.RefuseConfigurationStale; got != isStale || refusal.Kind() == "" {
				t.Errorf("%s, %d ms after the last confirmation: refused as %q", what, age, refusal.Kind())
			}
		}
	}
}
