package dhcatalog

import "slices"

// ChangeSetOptions are the fields of a ChangeSet.
type ChangeSetOptions struct {
	// ID is chosen by the operator; a resend carries the same ID.
	ID string
	// Base is the version that the change set applies to.
	Base uint64
	// Author names the operator or component that made the change.
	Author  string
	Puts    []Object
	Deletes []Ref
	Blocks  []BlockChange
	// Digest is a hash of the content. It distinguishes a resend from a
	// different change set under a reused ID.
	Digest Hash
}

// ChangeSet is a set of changes that is applied atomically: all or none.
type ChangeSet struct{ options ChangeSetOptions }

// NewChangeSet returns a change set.
func NewChangeSet(o ChangeSetOptions) ChangeSet { return ChangeSet{options: o} }

// ID returns the identifier that resends share.
func (c ChangeSet) ID() string { return c.options.ID }

// Base returns the version that the change set applies to.
func (c ChangeSet) Base() uint64 { return c.options.Base }

// Author returns the name of the operator or component that made the change.
func (c ChangeSet) Author() string { return c.options.Author }

// Puts returns the objects to create or replace.
func (c ChangeSet) Puts() []Object { return c.options.Puts }

// Deletes returns the objects to remove.
func (c ChangeSet) Deletes() []Ref { return c.options.Deletes }

// Blocks returns the client blocks to assign or remove.
func (c ChangeSet) Blocks() []BlockChange { return c.options.Blocks }

// AffectsLimits reports whether the change set alters limits, or the instances
// among which limits are divided.
func (c ChangeSet) AffectsLimits() bool {
	for _, o := range c.options.Puts {
		if affectsLimits(o.Ref()) {
			return true
		}
	}
	return slices.ContainsFunc(c.options.Deletes, affectsLimits)
}

func affectsLimits(r Ref) bool { return r.kind == KindLimit || r.kind == KindInstance }

// Digest returns the hash of the content.
func (c ChangeSet) Digest() Hash { return c.options.Digest }

// Empty reports whether the change set contains no changes.
func (c ChangeSet) Empty() bool {
	return len(c.options.Puts) == 0 && len(c.options.Deletes) == 0 && len(c.options.Blocks) == 0
}
