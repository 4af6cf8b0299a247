package dhcatalog

import (
	"errors"
	"testing"
)

// TestReplaceRejectsDuplicateKeys declares the same key for two organisations,
// of which one has the key already. Replace puts only objects that differ; it
// must not drop the duplicate, so that Apply reports it.
func TestReplaceRejectsDuplicateKeys(t *testing.T) {
	key := func(organisation string) Object {
		return NewKey(KeyOptions{Name: "k", Organisation: organisation, Hash: Hash{1}})
	}
	a, b := NewOrganisation(OrganisationOptions{Name: "a"}), NewOrganisation(OrganisationOptions{Name: "b"})
	c := New()
	header := ChangeSetOptions{ID: "x", Author: "test"}
	c, err := c.Apply(c.Replace(header, []Object{a, b, key("a")}))
	if err != nil {
		t.Fatal(err)
	}
	header.Base = c.Version()
	_, err = c.Apply(c.Replace(header, []Object{a, b, key("a"), key("b")}))
	var invalid InvalidError
	if !errors.As(err, &invalid) {
		t.Errorf("got %v, want an InvalidError", err)
	}
}

// TestReplaceKeepsUndeclaredKinds replaces a declaration: registered upstreams
// and evacuations stay, and an organisation that isn't declared is deleted.
func TestReplaceKeepsUndeclaredKinds(t *testing.T) {
	c, err := New().Apply(NewChangeSet(ChangeSetOptions{ID: "x", Author: "test", Puts: []Object{
		NewOrganisation(OrganisationOptions{Name: "old"}), NewEvacuation("z"),
		NewUpstream(UpstreamOptions{Name: "u", Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 1}),
	}}))
	if err != nil {
		t.Fatal(err)
	}
	next, err := c.Apply(c.Replace(ChangeSetOptions{ID: "y", Author: "test", Base: 1}, []Object{
		NewOrganisation(OrganisationOptions{Name: "new", HomeRegions: []string{"r"}}), NewDeclaration(7, "text"),
	}))
	if err != nil {
		t.Fatal(err)
	}
	_, old := next.Organisation("old")
	d, declared := next.Declaration()
	if old || !declared || d.Number() != 7 || d.Text() != "text" || !next.Evacuated("z") || len(next.UpstreamsOf("s")) != 1 {
		t.Errorf("got %d objects, organisation old: %v, declaration %d %q; want the upstream, the evacuation, no organisation old, declaration 7 \"text\"", next.Len(), old, d.Number(), d.Text())
	}
}

// TestDeclarationWithoutTextReplacesTheText submits what an entry instance shows of a declaration,
// as a rollback that was computed there would. It must be refused, or the text would be lost.
func TestDeclarationWithoutTextReplacesTheText(t *testing.T) {
	d := NewDeclaration(7, "text").WithoutText()
	_, err := New().Apply(NewChangeSet(ChangeSetOptions{ID: "x", Author: "test", Puts: []Object{d}}))
	var invalid InvalidError
	if !errors.As(err, &invalid) {
		t.Errorf("got %v, want an InvalidError", err)
	}
}
