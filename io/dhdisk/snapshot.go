package dhdisk

import (
	"fmt"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhwire"
)

// Save stores a snapshot. One that replaces the log is synced before Save
// returns; another is written in the background, and skipped while an earlier
// one is being written: then the log is kept for longer.
func (f *Folder) Save(e *dheffect.SaveSnapshot) error {
	if e.Installed() {
		if err := f.Wait(); err != nil {
			return err
		}
		if err := f.startSegment(e.Term(), e.VotedFor(), e.RemainingEntries()); err != nil {
			return err
		}
		return f.store(e.Snapshot(), f.sequence)
	}
	select {
	case <-f.saving:
	default:
		return nil
	}
	if f.failed != nil {
		return f.failed
	}
	if err := f.startSegment(e.Term(), e.VotedFor(), e.RemainingEntries()); err != nil {
		return err
	}
	f.saving = make(chan struct{})
	go func(done chan struct{}, sequence uint64) {
		defer close(done)
		f.failed = f.store(e.Snapshot(), sequence)
	}(f.saving, f.sequence)
	return nil
}

// Wait waits until no snapshot is being written, and returns the last one's
// error.
func (f *Folder) Wait() error {
	<-f.saving
	return f.failed
}

// store puts a snapshot in place and removes what it replaces.
func (f *Folder) store(s dhmessage.Snapshot, sequence uint64) error {
	payload, err := proto.Marshal(dhwire.SnapshotToWire(s))
	if err != nil {
		return err
	}
	path := filepath.Join(f.path, fmt.Sprintf("snapshot-%020d", s.Index()))
	if err := writeSynced(path, snapshotMark, payload); err != nil {
		return fmt.Errorf("write snapshot: %w", err)
	}
	for _, old := range numbered(f.path, "snapshot-") {
		if old.sequence < s.Index() {
			os.Remove(old.path)
		}
	}
	for _, old := range numbered(f.path, "log-") {
		if old.sequence < sequence {
			os.Remove(old.path)
		}
	}
	return nil
}
