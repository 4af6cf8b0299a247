package dhdisk

import "fmt"

// CorruptionError reports a file of the data folder whose content is invalid.
type CorruptionError struct {
	path   string
	offset int64
	reason string
}

// Path returns the path of the file.
func (e CorruptionError) Path() string { return e.path }

// Offset returns the position of the first invalid byte.
func (e CorruptionError) Offset() int64 { return e.offset }

// Error implements error.
func (e CorruptionError) Error() string {
	return fmt.Sprintf("%s is corrupt at byte %d: %s; move the data folder away, start with an empty one and "+
		"run 'voter replace' on the leader", e.path, e.offset, e.reason)
}

// LockedError reports a data folder that another process has locked.
type LockedError struct{ folder string }

// Error implements error.
func (e LockedError) Error() string {
	return fmt.Sprintf("data folder %s is locked by another process; stop that process or use a separate folder for this one", e.folder)
}

// OwnerError reports a data folder that was created for another process name.
type OwnerError struct {
	folder string
	owner  string
	name   string
}

// Error implements error.
func (e OwnerError) Error() string {
	return fmt.Sprintf("data folder %s belongs to process %q, not to %q; use a separate folder for each process", e.folder, e.owner, e.name)
}

// IdentityExistsError reports a data folder that can't be founded because it
// already has an identity.
type IdentityExistsError struct{ folder string }

// Error implements error.
func (e IdentityExistsError) Error() string {
	return fmt.Sprintf("data folder %s already has an identity; found a group only on empty folders", e.folder)
}
