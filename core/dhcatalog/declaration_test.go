package dhcatalog

import (
	"errors"
	"testing"
)

// TestReplaceRejectsDuplicateKeys puts a key that two organisations share, where one of
// the two is in force already.
func TestReplaceRejectsDuplicateKeys(t *testing.T) {
	key := func(organisation string) Object {
		return NewKey(KeyOptions{Name: "k", Organisation: organisation, Hash: KeyHash{1}})
	}
	a, b := NewOrganisation(OrganisationOptions{Name: "a"}), NewOrganisation(OrganisationOptions{Name: "b"})
	c := New()
	head := ChangeSetOptions{ID: "x", Author: "test"}
	c, err := c.Apply(c.Replace(head, []Object{a, b, key("a")}))
	if err != nil {
		t.Fatal(err)
	}
	head.Base = c.Version()
	_, err = c.Apply(c.Replace(head, []Object{a, b, key("a"), key("b")}))
	var invalid InvalidError
	if !errors.As(err, &invalid) {
		t.Errorf("got %v", err)
	}
}

// TestReplaceKeepsUndeclaredKinds leaves registrations and evacuations alone and
// deletes what the declaration doesn't hold.
func TestReplaceKeepsUndeclaredKinds(t *testing.T) {
	c, err := New().Apply(NewChangeSet(ChangeSetOptions{ID: "x", Author: "test", Puts: []Object{
		NewOrganisation(OrganisationOptions{Name: "old"}), NewEvacuation("z"),
		NewUpstream(UpstreamOptions{Name: "u", Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 1}),
	}}))
	if err != nil {
		t.Fatal(err)
	}
	next, err := c.Apply(c.Replace(ChangeSetOptions{ID: "y", Author: "test", Base: 1}, []Object{
		NewOrganisation(OrganisationOptions{Name: "new", Homes: []string{"r"}}), NewDeclaration(7, "text"),
	}))
	if err != nil {
		t.Fatal(err)
	}
	_, old := next.Organisation("old")
	d, declared := next.Declaration()
	if old || !declared || d.Number() != 7 || d.Text() != "text" || !next.Evacuated("z") || len(next.UpstreamsOf("s")) != 1 {
		t.Errorf("got %d objects, declaration %v", next.Len(), d.Number())
	}
}
