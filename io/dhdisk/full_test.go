package dhdisk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

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
