package dhsettings

import (
	"fmt"
	"strings"
)

// Problem is an invalid field of a settings file.
type Problem struct {
	path   string
	found  string
	remedy string
}

// Path returns the path of the field, such as listen.callers.
func (p Problem) Path() string { return p.path }

// Found returns the invalid value, or a description of it.
func (p Problem) Found() string { return p.found }

// Remedy returns how to correct the field.
func (p Problem) Remedy() string { return p.remedy }

// Error reports a settings file with problems.
type Error struct {
	file     string
	problems []Problem
}

// File returns the path of the settings file.
func (e Error) File() string { return e.file }

// Problems returns all problems of the file.
func (e Error) Problems() []Problem { return e.problems }

// Error implements error.
func (e Error) Error() string {
	lines := make([]string, 0, len(e.problems))
	for _, p := range e.problems {
		lines = append(lines, fmt.Sprintf("%s: %s: found %s; %s", e.file, p.path, p.found, p.remedy))
	}
	return strings.Join(lines, "\n")
}
