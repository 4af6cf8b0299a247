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

// SaveSnapshot stores a snapshot and starts a new segment with the remaining log
// entries. A snapshot installed by the leader replaces the log and is synced
// before SaveSnapshot returns. Any other snapshot is written in the background;
// it is skipped while an earlier one is being written, and the log then keeps
// its entries until the next snapshot.
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
	go func(done chan struct{}, firstSegment uint64) {
		defer close(done)
		f.snapshotError = f.storeSnapshot(e.Snapshot(), firstSegment)
	}(f.snapshotDone, f.lastSegment)
	return nil
}

// WaitForSnapshot waits until no snapshot is being written and returns the error
// of the last background write.
func (f *Folder) WaitForSnapshot() error {
	<-f.snapshotDone
	return f.snapshotError
}

// storeSnapshot writes and syncs a snapshot, and then removes older snapshots and
// the segments before firstSegment, the one that the snapshot started.
func (f *Folder) storeSnapshot(s dhmessage.Snapshot, firstSegment uint64) error {
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
		if old.number < firstSegment {
			os.Remove(old.path)
		}
	}
	return nil
}
