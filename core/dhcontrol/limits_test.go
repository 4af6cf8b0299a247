package dhcontrol

import (
	"fmt"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhgrant"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhview"
)

// TestRaisedLimitWaitsForChangesToCease raises the limit of an organisation from 10 to 100 a second
// while an upstream registers every 500 ms. The new rate must apply a freshness lease after the
// raise, although the configuration goes on changing.
func TestRaisedLimitWaitsForChangesToCease(t *testing.T) {
	c := dhcatalog.New()
	apply := func(list ...dhcatalog.Object) {
		next, err := c.Apply(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
			ID: fmt.Sprint("x", c.Version()), Base: c.Version(), Author: "test", Puts: list,
		}))
		if err != nil {
			t.Fatal(err)
		}
		c = next
	}
	limit := func(rate int64) dhcatalog.Object {
		return dhcatalog.NewLimit(dhcatalog.LimitOptions{Name: "o", Organisation: "o", Rate: rate, Burst: 100})
	}
	apply(dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: "o"}), limit(10))
	l := &limits{owners: map[string]*dhgrant.Owner{}}
	l.configure(0, c, 0)
	const raisedAt dhclock.Millis = 1000
	apply(limit(100))
	l.configure(raisedAt, c, 0)
	granted := dhmessage.Tokens(0)
	for now := raisedAt; now < raisedAt+10_000; now += 100 {
		if now%500 == 0 {
			apply(dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: fmt.Sprint("other", now)}))
		}
		l.configure(now, c, 0)
		amount, _ := l.owners["o"].Grant(now, "i", 1, 1000*dhmessage.Token)
		l.owners["o"].Report(now, "i", 1, granted+amount, 0)
		granted += amount
	}
	want := dhmessage.Token * 100 * dhmessage.Tokens(10_000-dhview.FreshnessLease-1000) / 1000
	if granted < want {
		t.Errorf("%d tokens are granted in 10 s, want at least %d", granted/dhmessage.Token, want/dhmessage.Token)
	}
}
