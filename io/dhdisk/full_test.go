package dhdisk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// fillDisk has each write to a file of a folder fail for want of space.
func fillDisk(t *testing.T, folder, file string) {
	t.Helper()
	if err := os.Symlink("/dev/full", filepath.Join(folder, file)); err != nil {
		t.Fatal(err)
	}
}

func snapshotFile(index uint64) string { return fmt.Sprintf("snapshot-%020d", index) }

func requireNoTemporaryFile(t *testing.T, folder string) {
	t.Helper()
	if left, _ := filepath.Glob(filepath.Join(folder, "*"+temporarySuffix)); len(left) > 0 {
		t.Errorf("the folder still contains %v", left)
	}
}

// TestIncompleteFileStays stores a snapshot and suspects on a full disk. What was written must not
// keep the disk full.
func TestIncompleteFileStays(t *testing.T) {
	path := foundFolder(t)
	f := openFolder(t, path)
	fillDisk(t, path, "suspects"+temporarySuffix)
	if err := f.SaveSuspects(nil); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("suspects: got error %v, want %v", err, syscall.ENOSPC)
	}
	fillDisk(t, path, snapshotFile(7)+temporarySuffix)
	s := dhmessage.NewSnapshot(dhmessage.SnapshotOptions{Index: 7, Term: 1})
	if err := writeSnapshot(filepath.Join(path, snapshotFile(7)), s); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("snapshot: got error %v, want %v", err, syscall.ENOSPC)
	}
	requireNoTemporaryFile(t, path)
}

// TestEachKillDuringASnapshotLeavesAFile opens a folder whose process was killed while it stored
// snapshots, each under a name of its own.
func TestEachKillDuringASnapshotLeavesAFile(t *testing.T) {
	path := foundFolder(t)
	openFolder(t, path).Close()
	for index := range uint64(3) {
		if err := os.WriteFile(filepath.Join(path, snapshotFile(index)+temporarySuffix), []byte(snapshotMagic), filePermission); err != nil {
			t.Fatal(err)
		}
	}
	openFolder(t, path)
	requireNoTemporaryFile(t, path)
}

// TestFailedSnapshotEndsTheLoopLater stores a snapshot while the disk is full, and another one, of the
// process's own or of the leader, once it isn't. The first failure must be reported and nothing lost.
func TestFailedSnapshotEndsTheLoopLater(t *testing.T) {
	for _, installed := range []bool{false, true} {
		path := foundFolder(t)
		f := openFolder(t, path)
		var reported []error
		f.ReportSnapshotErrors(func(err error) { reported = append(reported, err) })
		persist(t, f, 1, newEntry(1, 1), newEntry(2, 1), newEntry(3, 1))
		save := func(index uint64, installed bool) {
			t.Helper()
			if err := f.SaveSnapshot(dheffect.NewSaveSnapshot(dheffect.SaveSnapshotOptions{
				Snapshot:  dhmessage.NewSnapshot(dhmessage.SnapshotOptions{Index: index, Term: 1}),
				Installed: installed, Term: 1, VotedFor: "c1@x", RemainingEntries: []dhmessage.Entry{newEntry(index+1, 1)},
			})); err != nil {
				t.Fatalf("snapshot %d, of the leader: %v: %v", index, installed, err)
			}
		}
		check := func(wantSnapshot uint64, wantEntries int) {
			t.Helper()
			s, err := Inspect(path)
			if err != nil || s.Snapshot().Index() != wantSnapshot || len(s.Entries()) != wantEntries {
				t.Fatalf("got snapshot %d, %d entries and error %v; want snapshot %d and %d entries", s.Snapshot().Index(), len(s.Entries()), err, wantSnapshot, wantEntries)
			}
		}
		fillDisk(t, path, snapshotFile(2)+temporarySuffix)
		save(2, false)
		if err := f.WaitForSnapshot(); !errors.Is(err, syscall.ENOSPC) || len(reported) != 1 {
			t.Fatalf("got error %v and reports %v, want one of %v", err, reported, syscall.ENOSPC)
		}
		persist(t, f, 1, newEntry(4, 1))
		check(0, 4)
		save(3, installed)
		if err := f.WaitForSnapshot(); err != nil {
			t.Fatal(err)
		}
		check(3, 1)
	}
}

// TestTornRecordInTheMiddleOfTheLog has the disk take half of a record. What follows must not be stored
// behind it, where a restart would find a corrupt log.
func TestTornRecordInTheMiddleOfTheLog(t *testing.T) {
	path := foundFolder(t)
	f := openFolder(t, path)
	persist(t, f, 1, newEntry(1, 1))
	log := f.log
	if _, err := log.Write([]byte{100, 0, 0, 0, 1}); err != nil {
		t.Fatal(err)
	}
	full, err := os.OpenFile("/dev/full", os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer full.Close()
	list := []*dheffect.Persist{dheffect.NewPersist(dheffect.PersistOptions{Term: 1, VotedFor: "c1@x", Entries: []dhmessage.Entry{newEntry(2, 1)}})}
	for _, disk := range []*os.File{full, log} {
		f.log = disk
		if err := f.Persist(list); !errors.Is(err, syscall.ENOSPC) {
			t.Errorf("got error %v, want %v", err, syscall.ENOSPC)
		}
	}
	if err := f.SaveSnapshot(dheffect.NewSaveSnapshot(dheffect.SaveSnapshotOptions{Term: 1})); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("a new segment: got error %v, want %v", err, syscall.ENOSPC)
	}
	f.Close()
	if got := len(openFolder(t, path).State().Entries()); got != 1 {
		t.Errorf("a restart finds %d entries, want 1", got)
	}
}
