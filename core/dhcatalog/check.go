package dhcatalog

import (
	"strconv"
	"strings"
	"unicode/utf8"
)

// maxProblems bounds the problems that one InvalidError lists.
const maxProblems = 100

// maxNameLength bounds names and change identifiers, in bytes.
const maxNameLength = 128

// Problem is one invalid value in a change set, or in an object checked alone.
type Problem struct {
	ref    Ref
	field  string
	found  string
	remedy string
}

// NewProblem returns a problem.
func NewProblem(ref Ref, field, found, remedy string) Problem {
	return Problem{ref: ref, field: field, found: found, remedy: remedy}
}

// Ref returns the reference of the invalid object.
func (p Problem) Ref() Ref { return p.ref }

// Field returns the name of the invalid field, as the API spells it.
func (p Problem) Field() string { return p.field }

// Found returns the invalid value.
func (p Problem) Found() string { return p.found }

// Remedy returns what the operator can do to fix the problem.
func (p Problem) Remedy() string { return p.remedy }

// String returns the problem on one line.
func (p Problem) String() string {
	return p.ref.String() + " " + p.field + ": found " + p.found + "; " + p.remedy
}

// InvalidError reports that a change set was refused because it is invalid. No
// part of the change set is applied.
type InvalidError struct{ problems []Problem }

// NewInvalidError returns an error with the given problems.
func NewInvalidError(list []Problem) InvalidError { return InvalidError{problems: list} }

// Problems returns the problems found, at most 100.
func (e InvalidError) Problems() []Problem { return e.problems }

// Error implements error.
func (e InvalidError) Error() string {
	lines := make([]string, 0, len(e.problems))
	for _, p := range e.problems {
		lines = append(lines, p.String())
	}
	return "the change set was refused as a whole: " + strings.Join(lines, "; ")
}

// ConflictError reports that a change set's base is not the current version.
type ConflictError struct {
	base    uint64
	current uint64
}

// NewConflictError returns an error for a change set with a stale base version.
func NewConflictError(base, current uint64) ConflictError {
	return ConflictError{base: base, current: current}
}

// Base returns the base version of the change set.
func (e ConflictError) Base() uint64 { return e.base }

// Current returns the current version.
func (e ConflictError) Current() uint64 { return e.current }

// Error implements error.
func (e ConflictError) Error() string {
	return "base version " + strconv.FormatUint(e.base, 10) + " is not the current version " +
		strconv.FormatUint(e.current, 10) + "; read the current version, renew the change set and send it under a new id"
}

// ReusedError reports that a change ID was used before with different content.
type ReusedError struct{ id string }

// NewReusedError returns an error for a reused change ID.
func NewReusedError(id string) ReusedError { return ReusedError{id: id} }

// ID returns the reused change ID.
func (e ReusedError) ID() string { return e.id }

// Error implements error.
func (e ReusedError) Error() string {
	return "change id " + strconv.Quote(e.id) + " was used before with other content; send this change set under a new id"
}

// problems collects the problems found during a check.
type problems struct{ list []Problem }

// add appends a problem unless maxProblems are listed already.
func (p *problems) add(ref Ref, field, found, remedy string) {
	if len(p.list) < maxProblems {
		p.list = append(p.list, Problem{ref: ref, field: field, found: found, remedy: remedy})
	}
}

// err returns an InvalidError, or nil if there are no problems.
func (p *problems) err() error {
	if len(p.list) == 0 {
		return nil
	}
	return InvalidError{problems: p.list}
}

// CheckObjects validates objects without regard to other objects. It returns an
// InvalidError or nil.
func CheckObjects(list ...Object) error {
	p := &problems{}
	for _, o := range list {
		checkObject(o, p)
	}
	return p.err()
}

// checkObject adds the problems of an object that show without regard to other objects.
func checkObject(o Object, p *problems) {
	p.requireName(o.Ref(), "name", o.Ref().name)
	o.check(p)
}

// CheckRefs validates the names in references to existing objects. It accepts each name that
// messages can hold: a record of another release must stay removable. It returns an
// InvalidError or nil.
func CheckRefs(list ...Ref) error {
	p := &problems{}
	for _, r := range list {
		if !utf8.ValidString(r.name) {
			p.add(r, "name", strconv.Quote(r.name), "use UTF-8")
		}
	}
	return p.err()
}

func (p *problems) requireName(ref Ref, field, value string) {
	if !ValidName(value) {
		p.add(ref, field, strconv.Quote(value), "use 1 to 128 letters, digits, '-', '_' or '.'")
	}
}

func (p *problems) requireRange(ref Ref, field string, value, low, high int64) {
	if value >= low && value <= high {
		return
	}
	p.add(ref, field, strconv.FormatInt(value, 10),
		"choose a value from "+strconv.FormatInt(low, 10)+" to "+strconv.FormatInt(high, 10))
}

func (p *problems) requireAddress(ref Ref, field, value string) {
	host, port, found := cutLast(value, ':')
	number, err := strconv.Atoi(port)
	if !found || host == "" || err != nil || number < 1 || number > 65535 || !numericHost(host) {
		p.add(ref, field, strconv.Quote(value), "give an IP number and a port, such as 10.0.0.1:8080")
	}
}

// cutLast slices s around the last sep; false if sep isn't in s.
func cutLast(s string, sep byte) (string, string, bool) {
	i := strings.LastIndexByte(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

// numericHost reports whether a host consists of characters that numeric IP
// addresses use. It doesn't parse the address.
func numericHost(host string) bool {
	return strings.Trim(host, "0123456789abcdefABCDEF.:[]") == ""
}

// ValidName reports whether a name is valid for an object or a change set ID.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for _, c := range []byte(name) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}
