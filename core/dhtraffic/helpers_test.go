package dhtraffic

import (
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhview"
)

// newTestState returns the state of the instance a1-1 with a catalog of the given
// objects, last confirmed as current at the given time.
func newTestState(t testing.TB, confirmed dhclock.Millis, puts ...dhcatalog.Object) *State {
	t.Helper()
	c, err := dhcatalog.New().Apply(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{ID: "x", Author: "test", Puts: puts}))
	if err != nil {
		t.Fatal(err)
	}
	s := New(Options{Instance: "a1-1", Zone: "a1"})
	s.HandleView(dhevent.NewViewPublished(1, dhevent.ViewPublishedOptions{
		View: dhview.New(dhview.Options{Catalog: c, EverConfirmed: true, ConfirmedAt: confirmed}),
	}))
	return s
}
