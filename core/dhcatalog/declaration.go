package dhcatalog

import (
	"maps"
	"slices"
	"unicode/utf8"
)

// DeclarationName is the name of the only declaration in a catalog.
const DeclarationName = "current"

// Declaration is the complete configuration that an operator uploaded last
// under a number, with its original text. A declaration with a higher number
// replaces it.
type Declaration struct {
	number uint64
	text   string
	// textOmitted is set in the history, and in copies for entry instances.
	textOmitted bool `journal:"textOmitted,omitZero"`
}

// NewDeclaration returns a declaration. The text is stored unchanged, so that
// operators read back exactly what was uploaded.
func NewDeclaration(number uint64, text string) Declaration {
	return Declaration{number: number, text: text}
}

// Ref implements Object.
func (d Declaration) Ref() Ref { return NewRef(KindDeclaration, DeclarationName) }

// Number returns the number that the operator chose.
func (d Declaration) Number() uint64 { return d.number }

// Text returns the configuration as the operator uploaded it, or "" if it is omitted.
func (d Declaration) Text() string { return d.text }

// TextOmitted reports whether this copy of the declaration lacks its text.
func (d Declaration) TextOmitted() bool { return d.textOmitted }

// WithoutText returns the declaration without its text. The text is several times as large as
// the objects that it declares, and only read back by operators.
func (d Declaration) WithoutText() Declaration {
	d.text, d.textOmitted = "", true
	return d
}

func (d Declaration) references() []Ref { return nil }

func (d Declaration) check(p *problems) {
	if !utf8.ValidString(d.text) {
		p.add(d.Ref(), "text", "bytes that are not UTF-8", "encode the configuration in UTF-8")
	}
	if d.textOmitted {
		p.add(d.Ref(), "textOmitted", "true", "upload the complete configuration under a higher number")
	}
}

// Declaration returns the current declaration; false if there is none.
func (c *Catalog) Declaration() (Declaration, bool) {
	d, found := c.objects[NewRef(KindDeclaration, DeclarationName)].(Declaration)
	return d, found
}

// WithoutText returns the catalog with its declaration, if it has one, without its text.
func (c *Catalog) WithoutText() *Catalog {
	d, found := c.Declaration()
	if !found || d.textOmitted {
		return c
	}
	next := *c
	next.objects = maps.Clone(c.objects)
	next.objects[d.Ref()] = d.WithoutText()
	return &next
}

// WithoutText returns the change set with the declaration that it puts, if any, without its
// text.
func (s ChangeSet) WithoutText() ChangeSet {
	i := slices.IndexFunc(s.options.Puts, func(o Object) bool { return o.Ref().kind == KindDeclaration })
	if i < 0 {
		return s
	}
	d, _ := s.options.Puts[i].(Declaration)
	if d.textOmitted {
		return s
	}
	s.options.Puts = slices.Clone(s.options.Puts)
	s.options.Puts[i] = d.WithoutText()
	return s
}

// declaredKinds are the kinds of object that a declaration covers completely:
// an object of these kinds that isn't declared is deleted.
var declaredKinds = map[Kind]bool{
	KindOrganisation: true, KindKey: true, KindService: true, KindRoute: true,
	KindLimit: true, KindObjective: true, KindDeclaration: true,
}

// Replace returns the change set after which the given objects are the only
// ones of the kinds that a declaration covers: it puts the objects that differ
// and deletes those that are not given. Objects of other kinds stay. An object
// that is given twice is put twice, so that Apply reports it. The header
// supplies ID, base and author of the result.
func (c *Catalog) Replace(header ChangeSetOptions, objects []Object) ChangeSet {
	occurrences := make(map[Ref]int, len(objects))
	for _, o := range objects {
		occurrences[o.Ref()]++
	}
	for _, o := range objects {
		if old, found := c.objects[o.Ref()]; !found || occurrences[o.Ref()] > 1 || !equalObjects(old, o) {
			header.Puts = append(header.Puts, o)
		}
	}
	for _, r := range c.refs {
		if declaredKinds[r.kind] && occurrences[r] == 0 {
			header.Deletes = append(header.Deletes, r)
		}
	}
	return NewChangeSet(header)
}
