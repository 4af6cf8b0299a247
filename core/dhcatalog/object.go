// Package dhcatalog holds the named objects that operators create, the change
// sets that alter them, and the check of a whole change set.
//
// A Catalog is immutable: applying a change set returns a new one. The package
// performs no I/O and knows no encoding.
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

// KindRegion is the kind of a drain's target that is a region. Regions are
// named by zones and are no objects.
const KindRegion Kind = "region"

// Kinds lists every kind in the order in which references point: an object
// refers only to kinds listed before its own.
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
	// references lists the objects that must exist beside this one.
	references() []Ref
	// check reports what is wrong with the object taken alone.
	check(p *problems)
}
