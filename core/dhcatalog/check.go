package dhcatalog

import (
	"strconv"
	"strings"
)

// maxProblems bounds how many problems one check reports.
const maxProblems = 100

// maxNameLength bounds names and change identifiers, in bytes.
const maxNameLength = 128

// Problem is one fault of a change set.
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

// Ref returns the object at fault.
func (p Problem) Ref() Ref { return p.ref }

// Field returns the field at fault.
func (p Problem) Field() string { return p.field }

// Found returns the value found.
func (p Problem) Found() string { return p.found }

// Remedy tells what to do.
func (p Problem) Remedy() string { return p.remedy }

// String returns the problem as one line.
func (p Problem) String() string {
	return p.ref.String() + " " + p.field + ": found " + p.found + "; " + p.remedy
}

// InvalidError says why a change set was refused as a whole.
type InvalidError struct{ problems []Problem }

// NewInvalidError returns the refusal of a change set with problems.
func NewInvalidError(list []Problem) InvalidError { return InvalidError{problems: list} }

// Problems returns every fault found, at most 100.
func (e InvalidError) Problems() []Problem { return e.problems }

// Error implements error.
func (e InvalidError) Error() string {
	lines := make([]string, 0, len(e.problems))
	for _, p := range e.problems {
		lines = append(lines, p.String())
	}
	return "the change set was refused as a whole: " + strings.Join(lines, "; ")
}

// ConflictError says that a change set was written against another version.
type ConflictError struct {
	base    uint64
	current uint64
}

// NewConflictError returns the refusal of a change set with a stale base.
func NewConflictError(base, current uint64) ConflictError {
	return ConflictError{base: base, current: current}
}

// Base returns the version that the change set names.
func (e ConflictError) Base() uint64 { return e.base }

// Current returns the version in force.
func (e ConflictError) Current() uint64 { return e.current }

// Error implements error.
func (e ConflictError) Error() string {
	return "base version " + strconv.FormatUint(e.base, 10) + " is not the current version " +
		strconv.FormatUint(e.current, 10) + "; read the current version, renew the change set and send it under a new id"
}

// ReusedError says that a change id came again with other content.
type ReusedError struct{ id string }

// NewReusedError returns the refusal of a reused change id.
func NewReusedError(id string) ReusedError { return ReusedError{id: id} }

// ID returns the change id.
func (e ReusedError) ID() string { return e.id }

// Error implements error.
func (e ReusedError) Error() string {
	return "change id " + strconv.Quote(e.id) + " was used before with other content; send this change set under a new id"
}

// problems collects faults during a check.
type problems struct{ list []Problem }

func (p *problems) add(ref Ref, field, found, remedy string) {
	if len(p.list) < maxProblems {
		p.list = append(p.list, Problem{ref: ref, field: field, found: found, remedy: remedy})
	}
}

func (p *problems) err() error {
	if len(p.list) == 0 {
		return nil
	}
	return InvalidError{problems: p.list}
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

func cutLast(s string, sep byte) (string, string, bool) {
	i := strings.LastIndexByte(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

func numericHost(host string) bool {
	return strings.Trim(host, "0123456789abcdefABCDEF.:[]") == ""
}

// ValidName tells whether a name is usable for an object or a change id.
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
