package dhdisk

import "fmt"

// CorruptionError says that a file of the data folder can't be trusted.
type CorruptionError struct {
	path   string
	offset int64
	reason string
}

// Path returns the file.
func (e CorruptionError) Path() string { return e.path }

// Offset returns where the damage begins, in bytes.
func (e CorruptionError) Offset() int64 { return e.offset }

// Error implements error.
func (e CorruptionError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s; move the data folder away, start with an empty one and "+
		"run 'voter replace' on the leader", e.path, e.offset, e.reason)
}

// LockedError says that another process uses the data folder.
type LockedError struct{ folder string }

// Error implements error.
func (e LockedError) Error() string {
	return fmt.Sprintf("data folder %s is used by another process; stop that process or give this one its own folder", e.folder)
}

// OwnerError says that the data folder belongs to another process name.
type OwnerError struct {
	folder string
	owner  string
	name   string
}

// Error implements error.
func (e OwnerError) Error() string {
	return fmt.Sprintf("data folder %s belongs to %q, not to %q; give each process its own folder", e.folder, e.owner, e.name)
}

// IdentityExistsError says that a data folder already has an identity.
type IdentityExistsError struct{ folder string }

// Error implements error.
func (e IdentityExistsError) Error() string {
	return fmt.Sprintf("data folder %s has an identity already; found a group only on empty folders", e.folder)
}
