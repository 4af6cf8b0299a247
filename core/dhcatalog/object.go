// Package dhcatalog defines the configuration: the named objects that operators
// create, and the change sets that alter them and are validated as one unit.
//
// A Catalog is an immutable version: applying a change set returns a new one.
// The package performs no I/O and contains no encoding.
package dhcatalog

// Kind names a type of object.
type Kind string

// The kinds of object.
const (
	KindZone         Kind = "zone"
	KindInstance     Kind = "instance"
	KindOrganisation Kind = "organisation"
	KindKey          Kind = "key"
	KindService      Kind = "service"
	KindRoute        Kind = "route"
	KindLimit        Kind = "limit"
	KindObjective    Kind = "objective"
	KindSite         Kind = "site"
	KindDrain        Kind = "drain"
	KindLink         Kind = "link"
	KindUpstream     Kind = "upstream"
	KindEvacuation   Kind = "evacuation"
	KindDeclaration  Kind = "declaration"
)

// KindRegion is the kind of a drain target that is a region. A region is not an
// object: it exists as long as a zone names it.
const KindRegion Kind = "region"

// Kinds returns all kinds in dependency order: an object refers only to objects
// of kinds listed before its own.
func Kinds() []Kind {
	return []Kind{
		KindZone, KindInstance, KindOrganisation, KindKey, KindService,
		KindRoute, KindLimit, KindObjective, KindSite, KindDrain, KindLink,
		KindUpstream, KindEvacuation, KindDeclaration,
	}
}

// Ref identifies an object by kind and name.
type Ref struct {
	kind Kind
	name string
}

// NewRef returns the reference to an object.
func NewRef(kind Kind, name string) Ref { return Ref{kind: kind, name: name} }

// Kind returns the object's kind.
func (r Ref) Kind() Kind { return r.kind }

// Name returns the object's name.
func (r Ref) Name() string { return r.name }

// String returns kind/name.
func (r Ref) String() string { return string(r.kind) + "/" + r.name }

// Object is one named object of a catalog. Implementations are immutable
// values.
type Object interface {
	// Ref returns the object's kind and name.
	Ref() Ref
	// references returns the objects that must exist for this one to be valid.
	references() []Ref
	// check adds problems that show without regard to other objects.
	check(p *problems)
}
