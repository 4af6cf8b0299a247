package dhcatalog

import (
	"slices"
	"strings"
)

// refList is a list of references sorted by kind and name, without duplicates.
type refList []Ref

func compareRefs(a, b Ref) int {
	if n := strings.Compare(string(a.kind), string(b.kind)); n != 0 {
		return n
	}
	return strings.Compare(a.name, b.name)
}

// of returns the references of one kind.
func (l refList) of(kind Kind) refList {
	byKind := func(r Ref, k Kind) int { return strings.Compare(string(r.kind), string(k)) }
	start, _ := slices.BinarySearchFunc(l, kind, byKind)
	end := start
	for end < len(l) && l[end].kind == kind {
		end++
	}
	return l[start:end:end]
}

// updated returns the list of references after a change set, given the
// resulting objects. It returns the same list if the change set creates and
// deletes none.
func (l refList) updated(s ChangeSet, objects map[Ref]Object) refList {
	var added []Ref
	for _, o := range s.Puts() {
		if _, found := slices.BinarySearchFunc(l, o.Ref(), compareRefs); !found {
			added = append(added, o.Ref())
		}
	}
	if len(added) == 0 && len(s.Deletes()) == 0 {
		return l
	}
	slices.SortFunc(added, compareRefs)
	added = slices.Compact(added)
	next := make(refList, 0, len(l)+len(added))
	for _, r := range l {
		for len(added) > 0 && compareRefs(added[0], r) < 0 {
			next, added = append(next, added[0]), added[1:]
		}
		if _, kept := objects[r]; kept {
			next = append(next, r)
		}
	}
	return append(next, added...)
}
