package dhcatalog

import (
	"slices"
	"strings"
)

// refList is a list of references, sorted by kind and name.
type refList []Ref

func compareRefs(a, b Ref) int {
	if n := strings.Compare(string(a.kind), string(b.kind)); n != 0 {
		return n
	}
	return strings.Compare(a.name, b.name)
}

// of returns the part of the list with one kind.
func (l refList) of(kind Kind) refList {
	byKind := func(r Ref, k Kind) int { return strings.Compare(string(r.kind), string(k)) }
	start, _ := slices.BinarySearchFunc(l, kind, byKind)
	end := start
	for end < len(l) && l[end].kind == kind {
		end++
	}
	return l[start:end:end]
}

// updated returns the list after a change set that led to the given objects. It
// is the same list if no object came or went.
func (l refList) updated(s ChangeSet, objects map[Ref]Object) refList {
	var came []Ref
	for _, o := range s.Puts() {
		if _, known := slices.BinarySearchFunc(l, o.Ref(), compareRefs); !known {
			came = append(came, o.Ref())
		}
	}
	if len(came) == 0 && len(s.Deletes()) == 0 {
		return l
	}
	slices.SortFunc(came, compareRefs)
	came = slices.Compact(came)
	next := make(refList, 0, len(l)+len(came))
	for _, r := range l {
		for len(came) > 0 && compareRefs(came[0], r) < 0 {
			next, came = append(next, came[0]), came[1:]
		}
		if _, kept := objects[r]; kept {
			next = append(next, r)
		}
	}
	return append(next, came...)
}
