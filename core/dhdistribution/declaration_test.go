package dhdistribution

import (
	"fmt"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// declare adds a change to a leader that puts a declaration and a number of organisations.
func declare(t *testing.T, s *State, now dhclock.Millis, organisations int) {
	t.Helper()
	old := s.Catalog()
	puts := []dhcatalog.Object{dhcatalog.NewDeclaration(old.Version()+1, "text")}
	for i := range organisations {
		puts = append(puts, dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: fmt.Sprint("o", i)}))
	}
	set := dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{ID: fmt.Sprint("declare-", old.Version()), Base: old.Version(), Author: "test", Puts: puts})
	next, err := old.Apply(set)
	if err != nil {
		t.Fatal(err)
	}
	s.SetCatalog(now, next, append(s.History(), dhmessage.NewAcceptedChange(next.Version(), 0, set, old.Undo(set))))
}

// TestInstancesGetTheTextsOfDeclarations sends a declaration to instances, one of which lacks
// so much that it gets the full configuration. They must know its number and not get its text.
func TestInstancesGetTheTextsOfDeclarations(t *testing.T) {
	s := newLeader(20, 5)
	declare(t, s, 10, 1)
	for name, version := range map[string]uint64{"recent": 20, "old": 2} {
		u := poll(s, 20, name, version)
		i := New(Options{Self: name, Zone: "z", Voters: []string{"c1"}, Now: 1})
		if version == 20 {
			i.applyUpdate(15, newLeader(20, 5).Catalog(), nil)
		}
		i.applyUpdate(20, u.Full(), u.Changes())
		if d, found := i.Catalog().Declaration(); !found || d.Number() != 21 || d.Text() != "" || !d.TextOmitted() {
			t.Errorf("%s instance: declaration %d, found: %v, with the text %q; want 21 without its text", name, d.Number(), found, d.Text())
		}
	}
	if d, _ := s.Catalog().Declaration(); d.Text() != "text" {
		t.Errorf("the leader's declaration has the text %q, want %q", d.Text(), "text")
	}
}

// TestLargeChangesAreSentAgainWhileOnTheirWay puts 1,400 objects, which take more than a second
// on a narrow link. They must not be sent again meanwhile, neither alone nor after the next
// change, and be sent again later.
func TestLargeChangesAreSentAgainWhileOnTheirWay(t *testing.T) {
	s := newLeader(20, 20)
	poll(s, 10, "i", 20)
	declare(t, s, 1000, 1400)
	if n := len(poll(s, 1000, "i", 20).Changes()); n != 1 {
		t.Fatalf("%d changes were sent, want 1", n)
	}
	if n := len(poll(s, 1500, "i", 20).Changes()); n != 0 {
		t.Errorf("%d changes were sent again after 500 ms, want none", n)
	}
	declare(t, s, 1900, 1)
	if n := len(poll(s, 1900, "i", 20).Changes()); n != 1 {
		t.Errorf("%d changes were sent after one more, want that one only", n)
	}
	if n := len(poll(s, 3000, "i", 20).Changes()); n != 2 {
		t.Errorf("%d changes were sent again after 2 s, want 2", n)
	}
}
