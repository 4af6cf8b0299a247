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

// SaveSnapshot stores a snapshot. One that replaces the log is synced before Save
// returns; another is written in the background, and skipped while an earlier
// one is being written: then the log is kept for longer.
func (f *Folder) SaveSnapshot(e *dheffect.SaveSnapshot) error {
	if e.Installed() {
		if err := f.WaitForSnapshot(); err != nil {
			return err
		}
		if err := f.startSegment(e.Term(), e.VotedFor(), e.RemainingEntries()); err != nil {
			return err
		}
		return f.storeSnapshot(e.Snapshot(), f.lastSegment)
	}
	select {
	case <-f.snapshotDone:
	default:
		return nil
	}
	if f.snapshotError != nil {
		return f.snapshotError
	}
	if err := f.startSegment(e.Term(), e.VotedFor(), e.RemainingEntries()); err != nil {
		return err
	}
	f.snapshotDone = make(chan struct{})
	go func(done chan struct{}, sequence uint64) {
		defer close(done)
		f.snapshotError = f.storeSnapshot(e.Snapshot(), sequence)
	}(f.snapshotDone, f.lastSegment)
	return nil
}

// WaitForSnapshot waits until no snapshot is being written, and returns the last one's
// error.
func (f *Folder) WaitForSnapshot() error {
	<-f.snapshotDone
	return f.snapshotError
}

// storeSnapshot puts a snapshot in place and removes what it replaces.
func (f *Folder) storeSnapshot(s dhmessage.Snapshot, sequence uint64) error {
	payload, err := proto.Marshal(dhwire.SnapshotToWire(s))
	if err != nil {
		return err
	}
	path := filepath.Join(f.path, fmt.Sprintf("snapshot-%020d", s.Index()))
	if err := writeRecordFile(path, snapshotMagic, payload); err != nil {
		return fmt.Errorf("write snapshot: %w", err)
	}
	for _, old := range listNumbered(f.path, "snapshot-") {
		if old.number < s.Index() {
			os.Remove(old.path)
		}
	}
	for _, old := range listNumbered(f.path, "log-") {
		if old.number < sequence {
			os.Remove(old.path)
		}
	}
	return nil
}
