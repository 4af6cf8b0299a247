// Package dhdisk stores a voter's term, vote, log, snapshots and suspects in a data
// folder.
//
// A data folder contains these files:
//
//	lock               locked while a process uses the folder
//	identity           process name, random folder ID and founders of the group
//	snapshot-INDEX     the state after the entry with that index
//	log-SEQUENCE       segments of the write-ahead log, read in numeric order
//	suspects           requests that were in flight at several crashes of upstreams
//
// Only the last segment may end in a torn record: one whose write a crash cut
// off. An entry whose index already exists replaces the stored entry and all
// that follow it. Each snapshot starts a new segment; older segments are
// removed once the snapshot is synced.
package dhdisk

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"dogwoodhitch/core/dheffect"
)

// Permissions of the data folder and its files: access only for the owner.
const (
	folderPermission = 0o700
	filePermission   = 0o600
)

// Format is the version of the data folder's layout.
const Format = 1

// Folder is an open data folder.
type Folder struct {
	path          string
	lock          *os.File
	log           *os.File      // the open segment
	lastSegment   uint64        // sequence number of the open segment, the last one
	buffer        []byte        // encoded records before they are written
	logError      error         // of the first write to the log that failed
	snapshotDone  chan struct{} // closed while no snapshot is being written
	snapshotError error         // of the last snapshot; valid once snapshotDone is closed
	// reportSnapshotError is called with the error of a snapshot that is written in the background.
	reportSnapshotError func(error)
	state               State
}

// Open locks a data folder and reads it. An empty folder gets a new identity
// without founders, so its process starts without a vote. A torn record at the
// end of the log is removed, and so are files that a crash left incomplete. Open
// returns a LockedError if another process uses the folder, an OwnerError if the
// folder belongs to another process name, and a CorruptionError if a file is
// invalid in any other way.
func Open(path, name string) (*Folder, error) {
	if err := os.MkdirAll(path, folderPermission); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	f := &Folder{path: path, snapshotDone: make(chan struct{}), reportSnapshotError: func(error) {}}
	close(f.snapshotDone)
	if err := f.acquireLock(); err != nil {
		return nil, err
	}
	if err := f.open(name); err != nil {
		f.lock.Close()
		return nil, err
	}
	return f, nil
}

// open reads the locked folder, creates an identity if it is empty, and opens the
// log for appending.
func (f *Folder) open(name string) error {
	f.removeIncomplete()
	if _, err := os.Stat(filepath.Join(f.path, "identity")); errors.Is(err, fs.ErrNotExist) {
		if err := f.requireEmpty(); err != nil {
			return err
		}
		if err := writeIdentity(f.path, name, nil); err != nil {
			return err
		}
	}
	state, segments, err := readState(f.path)
	if err != nil {
		return err
	}
	if state.ProcessName() != name {
		return OwnerError{folder: f.path, owner: state.ProcessName(), name: name}
	}
	f.state = state
	return f.openLog(segments)
}

// removeIncomplete removes the files that a crash left incomplete.
func (f *Folder) removeIncomplete() {
	incomplete, _ := filepath.Glob(filepath.Join(f.path, "*"+temporarySuffix))
	for _, path := range incomplete {
		os.Remove(path)
	}
}

func (f *Folder) acquireLock() error {
	lock, err := os.OpenFile(filepath.Join(f.path, "lock"), os.O_CREATE|os.O_RDWR, filePermission)
	if err != nil {
		return fmt.Errorf("open lock: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return LockedError{folder: f.path}
	}
	f.lock = lock
	return nil
}

// ReportSnapshotErrors has a function called, by another goroutine, with the error of each snapshot that
// is written in the background from now on.
func (f *Folder) ReportSnapshotErrors(report func(error)) { f.reportSnapshotError = report }

// State returns the state that Open read from the folder.
func (f *Folder) State() State { return f.state }

// ReleaseState drops what Open read from the folder but its identity, once the process has taken it:
// the folder would hold it as long as the process runs.
func (f *Folder) ReleaseState() { f.state = State{identity: f.state.identity} }

// Inspect reads a data folder without locking or changing it.
func Inspect(path string) (State, error) {
	s, _, err := readState(path)
	return s, err
}

// syncParent syncs the folder that contains a file, which makes the creation or
// renaming of the file durable.
func syncParent(path string) error {
	parent, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer parent.Close()
	return parent.Sync()
}

// Persist appends the effects to the log in order and then syncs it once. After an error the folder
// stores nothing more in the log.
func (f *Folder) Persist(list []*dheffect.Persist) error {
	f.buffer = f.buffer[:0]
	for _, p := range list {
		if err := f.encodeRecords(p.Term(), p.VotedFor(), p.Entries()); err != nil {
			return fmt.Errorf("encode log: %w", err)
		}
	}
	if err := f.flush(f.log); err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	return nil
}

// Close waits for the snapshot being written, closes the log and releases the
// lock. It returns the errors of all three steps.
func (f *Folder) Close() error {
	err := f.WaitForSnapshot()
	return errors.Join(err, f.log.Close(), f.lock.Close())
}
