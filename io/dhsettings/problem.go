package dhsettings

import (
	"fmt"
	"strings"
)

// Problem is one fault of a settings file.
type Problem struct {
	path   string
	found  string
	remedy string
}

// Path returns the field at fault, such as listen.callers.
func (p Problem) Path() string { return p.path }

// Found returns the value found.
func (p Problem) Found() string { return p.found }

// Remedy tells what to do.
func (p Problem) Remedy() string { return p.remedy }

// Error says what is wrong with a settings file.
type Error struct {
	file     string
	problems []Problem
}

// File returns the settings file.
func (e Error) File() string { return e.file }

// Problems returns every fault found.
func (e Error) Problems() []Problem { return e.problems }

// Error implements error.
func (e Error) Error() string {
	lines := make([]string, 0, len(e.problems))
	for _, p := range e.problems {
		lines = append(lines, fmt.Sprintf("%s: %s: found %s; %s", e.file, p.path, p.found, p.remedy))
	}
	return strings.Join(lines, "\n")
}
