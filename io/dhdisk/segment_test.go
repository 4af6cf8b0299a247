package dhdisk

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// TestSegmentWithoutHeaderIsHarmless leaves a new segment with each incomplete
// length of its magic header, as a crash between the creation of the segment and
// its first write does, and restarts twice. The first restart starts the segment
// after it, so at the second one the incomplete segment is no longer the last.
// Both must open the folder with all entries: a voter that fails to start after
// a crash loses its vote although its log is intact.
func TestSegmentWithoutHeaderIsHarmless(t *testing.T) {
	for size := range magicSize {
		t.Run(fmt.Sprint(size, " bytes"), func(t *testing.T) {
			path := foundFolder(t)
			f := openFolder(t, path)
			persist(t, f, 1, newEntry(1, 1))
			f.Close()
			segments := listNumbered(path, "log-")
			next := filepath.Join(path, fmt.Sprintf("log-%020d", segments[len(segments)-1].number+1))
			if err := os.WriteFile(next, []byte(logMagic[:size]), filePermission); err != nil {
				t.Fatal(err)
			}
			f = openFolder(t, path)
			if got := len(f.State().Entries()); got != 1 {
				t.Errorf("first restart: got %d entries, want 1", got)
			}
			persist(t, f, 1, newEntry(2, 1))
			f.Close()
			f, err := Open(path, "c1")
			if err != nil {
				t.Fatalf("second restart: %v", err)
			}
			defer f.Close()
			if got := len(f.State().Entries()); got != 2 {
				t.Errorf("second restart: got %d entries, want 2", got)
			}
		})
	}
}
