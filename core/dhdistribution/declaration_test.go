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
