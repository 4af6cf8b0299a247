package dhcatalog

// DeclarationName is the name of the one declaration that a catalog holds.
const DeclarationName = "current"

// Declaration records the newest whole configuration that an operator put by
// number, with the text in which it came.
type Declaration struct {
	number uint64
	text   string
}

// NewDeclaration returns a declaration. The text is given back as it is.
func NewDeclaration(number uint64, text string) Declaration {
	return Declaration{number: number, text: text}
}

// Ref implements Object.
func (d Declaration) Ref() Ref { return NewRef(KindDeclaration, DeclarationName) }

// Number returns the number that the operator gave.
func (d Declaration) Number() uint64 { return d.number }

// Text returns what the operator put.
func (d Declaration) Text() string { return d.text }

func (d Declaration) references() []Ref { return nil }

func (d Declaration) check(*problems) {}

// Declaration returns the newest whole configuration put by number; false if
// there was none.
func (c *Catalog) Declaration() (Declaration, bool) {
	d, found := c.objects[NewRef(KindDeclaration, DeclarationName)].(Declaration)
	return d, found
}

// declaredKinds are the kinds of object that a declaration replaces as a whole.
var declaredKinds = map[Kind]bool{
	KindOrganisation: true, KindKey: true, KindService: true, KindRoute: true,
	KindLimit: true, KindObjective: true, KindDeclaration: true,
}

// Replace returns the change set that leaves exactly the given objects of the
// kinds that a declaration holds: those that differ are put, and those that
// are missing are deleted. Objects of other kinds stay. An object that stands
// twice is put twice, so that the check of the change set finds it.
func (c *Catalog) Replace(head ChangeSetOptions, objects []Object) ChangeSet {
	wanted := make(map[Ref]int, len(objects))
	for _, o := range objects {
		wanted[o.Ref()]++
	}
	for _, o := range objects {
		if old, found := c.objects[o.Ref()]; !found || wanted[o.Ref()] > 1 || !equalObjects(old, o) {
			head.Puts = append(head.Puts, o)
		}
	}
	for _, r := range c.refs {
		if declaredKinds[r.kind] && wanted[r] == 0 {
			head.Deletes = append(head.Deletes, r)
		}
	}
	return NewChangeSet(head)
}
