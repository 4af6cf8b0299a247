package dhburn

import (
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
)

var testObjective = dhcatalog.NewObjective(dhcatalog.ObjectiveOptions{Name: "o", Route: "gate", TargetPerMillion: 999_000, Latency: 100})

// recordedRows records a request per second for two organisations until a time.
// One in oneIn requests of the first organisation is bad.
func recordedRows(until dhclock.Millis, oneIn int) []Row {
	r := New()
	n := 0
	for now := dhclock.Second; now <= until; now += dhclock.Second {
		n++
		r.Add(now, "gate", "failing", n%oneIn == 0)
		r.Add(now, "gate", "healthy", false)
	}
	return r.Rows(until, []dhcatalog.Objective{testObjective})
}

// TestRowsAreSortedByBurnRate records bad requests of one of two organisations
// on a route. Its row must come first and raise a page. Counted together with the
// requests of the other organisation, the burn rate would be half as high, too
// low for a page.
func TestRowsAreSortedByBurnRate(t *testing.T) {
	list := recordedRows(3600*dhclock.Second, 50)
	if len(list) != 2 || list[0].Organisation() != "failing" || list[1].Bad() != 0 {
		t.Fatalf("got %+v", list)
	}
	// One bad request in 50 is 20 times a budget of one in 1000.
	if b := list[0].Burn1h(); b < 19 || b > 21 || list[0].Alert() != AlertPage || list[1].Alert() != AlertNone {
		t.Errorf("burn rate %v, alerts %v and %v, want 19 to 21, page and ok", b, list[0].Alert(), list[1].Alert())
	}
}

// TestShortWindowsRecoverBeforeLongOnes records an hour of failures. The short
// windows must recover first, so that the page ends soon after the failures, and
// the six-hour window last.
func TestShortWindowsRecoverBeforeLongOnes(t *testing.T) {
	r := New()
	for now := dhclock.Second; now <= 3600*dhclock.Second; now += dhclock.Second {
		r.Add(now, "gate", "o", true)
	}
	at := func(now dhclock.Millis) Row { return r.Rows(now, []dhcatalog.Objective{testObjective})[0] }
	if a := at(3600 * dhclock.Second).Alert(); a != AlertPage {
		t.Errorf("alert %v during the failures, want page", a)
	}
	later := at(3600*dhclock.Second + 10*minute)
	if later.Burn5m() != 0 || later.Burn1h() == 0 || later.Alert() != AlertTicket {
		t.Errorf("ten minutes after the failures: row %+v, alert %v, want a ticket", later, later.Alert())
	}
	if last := at(8 * 3600 * dhclock.Second); last.Total() != 0 || last.Burn6h() != 0 {
		t.Errorf("seven hours after the failures: row %+v, want no requests and no burn", last)
	}
}
