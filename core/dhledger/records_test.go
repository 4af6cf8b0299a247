package dhledger

import (
	"errors"
	"fmt"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhhistory"
	"dogwoodhitch/core/dhmessage"
)

// droppedChange is a ledger whose history has dropped the content of its first change sets, which
// put a limit and a drain.
type droppedChange struct {
	*Ledger
	first dhcatalog.ChangeSet
}

// setupAt is the log time of the first change sets, and largeAt of those that followed them.
const (
	setupAt dhclock.Millis = 1000
	largeAt dhclock.Millis = 2000
)

func newDroppedChange(t *testing.T) *droppedChange {
	t.Helper()
	l, apply := newTestLedger()
	change := func(at dhclock.Millis, o dhcatalog.ChangeSetOptions) dhcatalog.ChangeSet {
		o.Base, o.Author = l.Catalog().Version(), "a"
		o.ID, o.Digest = fmt.Sprint("change-", o.Base), dhcatalog.Hash{byte(o.Base)}
		s := dhcatalog.NewChangeSet(o)
		if r := apply(at, dhmessage.NewChange(s)); r.Err() != nil {
			t.Fatalf("change set %s: %v", s.ID(), r.Err())
		}
		return s
	}
	d := &droppedChange{Ledger: l}
	d.first = change(setupAt, dhcatalog.ChangeSetOptions{Puts: []dhcatalog.Object{
		dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "z", Region: "r"}), dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: "o"}),
		dhcatalog.NewLimit(dhcatalog.LimitOptions{Name: "o", Organisation: "o", Rate: 10, Burst: 10}),
		dhcatalog.NewDrain(dhcatalog.DrainOptions{Name: "d", Target: dhcatalog.NewRef(dhcatalog.KindZone, "z"), Ramp: 3_600_000}),
		dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "s"}),
	}})
	for range 20 {
		var routes []dhcatalog.Object
		for i := range 1000 {
			routes = append(routes, dhcatalog.NewRoute(dhcatalog.RouteOptions{
				Name: fmt.Sprint("r", i), PathPrefix: fmt.Sprintf("/r%d/", i), Service: "s", Timeout: 1000 + dhclock.Millis(l.Catalog().Version()),
			}))
		}
		change(largeAt, dhcatalog.ChangeSetOptions{Puts: routes})
	}
	if _, kept := l.History().Since(l.Catalog().Version(), 0); kept {
		t.Fatal("the history still holds the first change set")
	}
	return d
}

// eachRestart calls check with the ledger, and with the one that a restart leads to.
func (d *droppedChange) eachRestart(check func(name string, l *Ledger)) {
	check("running", d.Ledger)
	check("restarted", New(d.Snapshot(nil)))
}

// TestResendIsRefusedOnceItsContentIsDropped sends the first change set again, and another one
// under its ID.
func TestResendIsRefusedOnceItsContentIsDropped(t *testing.T) {
	d := newDroppedChange(t)
	d.eachRestart(func(name string, l *Ledger) {
		if r := l.Preview(d.first); r.Err() != nil || r.Version() != 1 {
			t.Errorf("%s: a resend got version %d and %v, want version 1", name, r.Version(), r.Err())
		}
		other := dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{ID: d.first.ID(), Base: l.Catalog().Version(), Author: "a", Digest: dhcatalog.Hash{99}})
		var reused dhcatalog.ReusedError
		if r := l.Preview(other); !errors.As(r.Err(), &reused) {
			t.Errorf("%s: another change set under the ID got %v, want a ReusedError", name, r.Err())
		}
		if n := len(l.OlderReceipts()) + len(l.History().Changes()); n != 21 {
			t.Errorf("%s: %d change sets are listed, want 21", name, n)
		}
	})
}

// TestDrainEndsOnceItsChangeIsDropped guards the start of a drain, without which its whole ramp
// counts as over.
func TestDrainEndsOnceItsChangeIsDropped(t *testing.T) {
	newDroppedChange(t).eachRestart(func(name string, l *Ledger) {
		if at, found := l.DrainStart("d"); !found || at != setupAt {
			t.Errorf("%s: the drain started at %d (%v), want %d", name, at, found, setupAt)
		}
	})
}

// TestLimitsCountAsOldOnceTheirChangeIsDropped guards the time of the last change of limits, before
// which tokens were granted under other limits.
func TestLimitsCountAsOldOnceTheirChangeIsDropped(t *testing.T) {
	newDroppedChange(t).eachRestart(func(name string, l *Ledger) {
		if at := l.LimitsChangedAt(); at != setupAt {
			t.Errorf("%s: the limits changed at %d, want %d", name, at, setupAt)
		}
	})
}

// TestSnapshotOfAnEarlierReleaseKeepsItsWholeHistory loads a snapshot whose history is bounded by
// the number of change sets alone.
func TestSnapshotOfAnEarlierReleaseKeepsItsWholeHistory(t *testing.T) {
	d := newDroppedChange(t)
	var all []dhmessage.AcceptedChange
	c := dhcatalog.New()
	for _, s := range append([]dhcatalog.ChangeSet{d.first}, changeSets(d.History())...) {
		s = rebased(s, c.Version())
		next, err := c.Apply(s)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, dhmessage.NewAcceptedChange(next.Version(), setupAt, s, c.Undo(s)))
		c = next
	}
	all = append(all, all[1:]...)
	l := New(dhmessage.NewSnapshot(dhmessage.SnapshotOptions{Index: 1, Term: 1, LogTime: largeAt, Catalog: c, RecentChanges: all}))
	if size := l.History().ApproximateBytes(); size > dhhistory.MaxBytes {
		t.Errorf("the history has %d bytes, want at most %d", size, dhhistory.MaxBytes)
	}
	if r := l.Preview(d.first); r.Err() != nil || r.Version() != 1 {
		t.Errorf("a resend got version %d and %v, want version 1", r.Version(), r.Err())
	}
	if at, found := l.DrainStart("d"); !found || at != setupAt {
		t.Errorf("the drain started at %d (%v), want %d", at, found, setupAt)
	}
	if at := l.LimitsChangedAt(); at != setupAt {
		t.Errorf("the limits changed at %d, want %d", at, setupAt)
	}
}

func changeSets(h dhhistory.History) []dhcatalog.ChangeSet {
	var list []dhcatalog.ChangeSet
	for _, a := range h.Changes() {
		list = append(list, a.ChangeSet())
	}
	return list
}

// rebased returns a change set for another version.
func rebased(s dhcatalog.ChangeSet, base uint64) dhcatalog.ChangeSet {
	return dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
		ID: s.ID(), Base: base, Author: s.Author(), Puts: s.Puts(), Deletes: s.Deletes(), Digest: s.Digest(),
	})
}
