package dhdisk

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhmessage"
)

// TestCorruptSnapshotIsRead cuts a snapshot of two changes at each byte and flips a bit in each, and
// appends a byte. Each must be reported: what is missing would be lost without notice.
func TestCorruptSnapshotIsRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "snapshot")
	c, err := dhcatalog.New().Apply(routesChange(0, 2))
	if err != nil {
		t.Fatal(err)
	}
	s := dhmessage.NewSnapshot(dhmessage.SnapshotOptions{Index: 1, Term: 1, Catalog: c, RecentChanges: []dhmessage.AcceptedChange{
		dhmessage.NewAcceptedChange(1, 1, routesChange(0, 2), dhcatalog.New().Undo(routesChange(0, 2))),
	}})
	write := map[string]func() error{
		snapshotMagic: func() error { return writeSnapshot(path, s) },
		wholeSnapshotMagic: func() error {
			writeWholeSnapshot(t, path, 1)
			return nil
		},
	}
	for magic, write := range write {
		if err := write(); err != nil {
			t.Fatal(err)
		}
		if got, err := readSnapshot(path); err != nil || got.Catalog().Version() != 1 || len(got.RecentChanges()) != 1 {
			t.Fatalf("%s: an intact file gives %v and error %v", magic, got, err)
		}
		intact, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		check := func(what string, at int, raw []byte) {
			if err := os.WriteFile(path, raw, filePermission); err != nil {
				t.Fatal(err)
			}
			var corrupt CorruptionError
			if _, err := readSnapshot(path); !errors.As(err, &corrupt) {
				t.Errorf("%s: %s at byte %d of %d gives error %v, want a CorruptionError", magic, what, at, len(intact), err)
			}
		}
		for i := range intact[:min(len(intact), 600)] {
			check("cut", i, intact[:i])
			flipped := append([]byte{}, intact...)
			flipped[i] ^= 0x10
			check("flipped", i, flipped)
		}
		check("appended", len(intact), append(intact[:len(intact):len(intact)], 0))
		check("cut", len(intact)-1, intact[:len(intact)-1])
	}
}

// TestLastFragmentThatIsFullEndsTheSnapshot stores a snapshot whose last change fills its fragment. The
// one after it is empty and mustn't be written: it would be read as the end, with another one behind it.
func TestLastFragmentThatIsFullEndsTheSnapshot(t *testing.T) {
	path := filepath.Join(t.TempDir(), "snapshot")
	change := routesChange(0, 4000)
	c, err := dhcatalog.New().Apply(change)
	if err != nil {
		t.Fatal(err)
	}
	for name, s := range map[string]dhmessage.Snapshot{
		"a large change at the end": dhmessage.NewSnapshot(dhmessage.SnapshotOptions{Index: 1, Term: 1, Catalog: c, RecentChanges: []dhmessage.AcceptedChange{
			dhmessage.NewAcceptedChange(1, 1, change, dhcatalog.New().Undo(change)),
		}}),
		"nothing at all": {},
	} {
		if err := writeSnapshot(path, s); err != nil {
			t.Fatal(err)
		}
		if got, err := readSnapshot(path); err != nil || len(got.RecentChanges()) != len(s.RecentChanges()) {
			t.Errorf("%s: got %d changes and error %v", name, len(got.RecentChanges()), err)
		}
	}
}
