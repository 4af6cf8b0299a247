// Package dhdisk keeps a voter's term, vote, log and snapshots in one data
// folder.
//
// The folder holds:
//
//	lock               held while a process uses the folder
//	identity           name, random identity, and the founders of the group
//	snapshot-INDEX     the state after the entry of that index
//	log-SEQUENCE       segments of the log, read in the order of their numbers
//
// Only the last segment may end in a record that was cut off. An entry whose
// index exists already replaces it and all that follow. Each snapshot starts a
// new segment; the old ones are removed once the snapshot is synced.
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

// Permissions of the folder and its files.
const (
	folderPermission = 0o700
	filePermission   = 0o600
)

// Format is the version of the layout.
const Format = 1

// Folder is an open data folder.
type Folder struct {
	path          string
	lock          *os.File
	log           *os.File
	lastSegment   uint64
	buffer        []byte
	snapshotDone  chan struct{} // closed when no snapshot is being written
	snapshotError error         // of the last snapshot, once saving is closed
	state         State
}

// Open locks a data folder and reads it. An empty folder gets a new identity
// without a vote. A record at the end whose write was cut off is removed;
// other damage is a DamageError.
func Open(path, name string) (*Folder, error) {
	if err := os.MkdirAll(path, folderPermission); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	f := &Folder{path: path, snapshotDone: make(chan struct{})}
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

func (f *Folder) open(name string) error {
	if _, err := os.Stat(filepath.Join(f.path, "identity")); errors.Is(err, fs.ErrNotExist) {
		if err := f.requireEmpty(); err != nil {
			return err
		}
		if err := writeIdentity(f.path, name, nil); err != nil {
			return err
		}
	}
	state, files, err := readState(f.path)
	if err != nil {
		return err
	}
	if state.ProcessName() != name {
		return OwnerError{folder: f.path, owner: state.ProcessName(), name: name}
	}
	f.state = state
	return f.openLog(files)
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

// State returns what the folder held when it was opened.
func (f *Folder) State() State { return f.state }

// Inspect reads a data folder without changing it.
func Inspect(path string) (State, error) {
	s, _, err := readState(path)
	return s, err
}

func syncParent(path string) error {
	d, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Persist writes the effects in order and syncs once.
func (f *Folder) Persist(list []*dheffect.Persist) error {
	f.buffer = f.buffer[:0]
	for _, p := range list {
		if err := f.encodeRecords(p.Term(), p.VotedFor(), p.Entries()); err != nil {
			return fmt.Errorf("encode log: %w", err)
		}
	}
	if _, err := f.log.Write(f.buffer); err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	if err := f.log.Sync(); err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	return nil
}

// Close ends the use of the folder.
func (f *Folder) Close() error {
	err := f.WaitForSnapshot()
	return errors.Join(err, f.log.Close(), f.lock.Close())
}
