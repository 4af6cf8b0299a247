package dhdisk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

func foundFolder(t testing.TB) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "data")
	if err := Found(path, "c1", []dhmessage.Member{dhmessage.NewMember(dhmessage.NewPeer("c1", ""), "", false)}); err != nil {
		t.Fatal(err)
	}
	return path
}

func openFolder(t testing.TB, path string) *Folder {
	t.Helper()
	f, err := Open(path, "c1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	return f
}

func newEntry(index, term uint64) dhmessage.Entry {
	return dhmessage.NewEntry(index, term, 0, dhmessage.NewChange(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
		ID: fmt.Sprint("id-", index), Base: index - 1, Author: "test",
		Puts: []dhcatalog.Object{dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: fmt.Sprint("org-", index)})},
	})))
}

func persist(t testing.TB, f *Folder, term uint64, entries ...dhmessage.Entry) {
	t.Helper()
	if err := f.Persist([]*dheffect.Persist{dheffect.NewPersist(dheffect.PersistOptions{Term: term, VotedFor: "c1@x", Entries: entries})}); err != nil {
		t.Fatal(err)
	}
}

func lastSegmentPath(t testing.TB, path string) string {
	t.Helper()
	list := listNumbered(path, "log-")
	return list[len(list)-1].path
}

// TestReopenRestoresState writes entries, replaces some of them, and reads them again.
func TestReopenRestoresState(t *testing.T) {
	path := foundFolder(t)
	f := openFolder(t, path)
	persist(t, f, 1, newEntry(1, 1), newEntry(2, 1), newEntry(3, 1))
	persist(t, f, 2, newEntry(2, 2))
	f.Close()
	s := openFolder(t, path).State()
	if s.Term() != 2 || s.VotedFor() != "c1@x" || len(s.Entries()) != 2 || s.Entries()[1].Term() != 2 {
		t.Errorf("term %d, vote %q, entries %v", s.Term(), s.VotedFor(), s.Entries())
	}
	if len(s.Founders()) != 1 || s.FolderID() == "" {
		t.Errorf("identity %q, founders %v", s.FolderID(), s.Founders())
	}
}

// TestTornRecordIsRemoved cuts the log at every byte of its last record: the entries
// before it stay.
func TestTornRecordIsRemoved(t *testing.T) {
	path := foundFolder(t)
	f := openFolder(t, path)
	persist(t, f, 1, newEntry(1, 1))
	whole, _ := os.ReadFile(lastSegmentPath(t, path))
	persist(t, f, 1, newEntry(2, 1))
	longer, _ := os.ReadFile(lastSegmentPath(t, path))
	f.Close()
	for n := len(whole); n < len(longer); n++ {
		os.WriteFile(lastSegmentPath(t, path), longer[:n], 0o600)
		f := openFolder(t, path)
		if got := len(f.State().Entries()); got != 1 {
			t.Fatalf("cut at byte %d of %d: %d entries", n, len(longer), got)
		}
		f.Close()
	}
	f = openFolder(t, path)
	persist(t, f, 1, newEntry(2, 1))
	f.Close()
	if got := len(openFolder(t, path).State().Entries()); got != 2 {
		t.Errorf("%d entries after writing behind a cut record", got)
	}
}

// TestCorruptionIsReported changes each byte of the log in turn: what is acknowledged is
// never dropped in silence, and the refusal names the remedy.
func TestCorruptionIsReported(t *testing.T) {
	path := foundFolder(t)
	f := openFolder(t, path)
	persist(t, f, 1, newEntry(1, 1))
	persist(t, f, 1, newEntry(2, 1))
	size, _ := os.Stat(lastSegmentPath(t, path))
	persist(t, f, 1, newEntry(3, 1))
	f.Close()
	good, _ := os.ReadFile(lastSegmentPath(t, path))
	for i := range int(size.Size()) {
		bad := append([]byte{}, good...)
		bad[i] ^= 0x40
		os.WriteFile(lastSegmentPath(t, path), bad, 0o600)
		var damage CorruptionError
		if _, err := Open(path, "c1"); !errors.As(err, &damage) {
			t.Fatalf("byte %d of %d: %v", i, len(good), err)
		}
	}
}

// TestSnapshotSurvivesCrash replaces the log by a snapshot, and dies at each point of doing
// so.
func TestSnapshotSurvivesCrash(t *testing.T) {
	path := foundFolder(t)
	f := openFolder(t, path)
	persist(t, f, 3, newEntry(1, 1), newEntry(2, 1), newEntry(3, 1))
	before := readSegments(t, path)
	c, err := dhcatalog.New().Apply(newEntry(1, 1).Command().(dhmessage.Change).ChangeSet())
	if err != nil {
		t.Fatal(err)
	}
	s := dhmessage.NewSnapshot(dhmessage.SnapshotOptions{Index: 2, Term: 1, Catalog: c})
	if err := f.SaveSnapshot(dheffect.NewSaveSnapshot(dheffect.SaveSnapshotOptions{
		Snapshot: s, Term: 3, VotedFor: "c1@x", RemainingEntries: []dhmessage.Entry{newEntry(3, 1)},
	})); err != nil {
		t.Fatal(err)
	}
	if err := f.WaitForSnapshot(); err != nil {
		t.Fatal(err)
	}
	persist(t, f, 3, newEntry(4, 3))
	f.Close()
	check := func(when string, index uint64, entries int) {
		t.Helper()
		f := openFolder(t, path)
		defer f.Close()
		got := f.State()
		if got.Snapshot().Index() != index || len(got.Entries()) != entries || got.Term() != 3 {
			t.Errorf("%s: snapshot %d, %d entries, term %d", when, got.Snapshot().Index(), len(got.Entries()), got.Term())
		}
	}
	check("after the snapshot", 2, 2)
	for name, raw := range before {
		os.WriteFile(filepath.Join(path, name), raw, 0o600)
	}
	check("before the old segment was removed", 2, 2)
	for _, n := range listNumbered(path, "snapshot-") {
		os.Remove(n.path)
	}
	check("before the snapshot was put in place", 0, 4)
}

func readSegments(t testing.TB, path string) map[string][]byte {
	t.Helper()
	files := map[string][]byte{}
	for _, s := range listNumbered(path, "log-") {
		raw, err := os.ReadFile(s.path)
		if err != nil {
			t.Fatal(err)
		}
		files[filepath.Base(s.path)] = raw
	}
	return files
}

// TestUnusableFolderIsRefused opens folders that must not be used.
func TestUnusableFolderIsRefused(t *testing.T) {
	path := foundFolder(t)
	f := openFolder(t, path)
	var locked LockedError
	if _, err := Open(path, "c1"); !errors.As(err, &locked) {
		t.Errorf("a folder in use: %v", err)
	}
	f.Close()
	var name OwnerError
	if _, err := Open(path, "c2"); !errors.As(err, &name) {
		t.Errorf("a folder of another name: %v", err)
	}
	var founded IdentityExistsError
	if err := Found(path, "c1", nil); !errors.As(err, &founded) {
		t.Errorf("a folder that has an identity: %v", err)
	}
	os.Remove(filepath.Join(path, "identity"))
	var damage CorruptionError
	if _, err := Open(path, "c1"); !errors.As(err, &damage) {
		t.Errorf("a folder without its identity: %v", err)
	}
	blank := filepath.Join(t.TempDir(), "blank")
	if s := openFolder(t, blank).State(); s.FolderID() == "" || s.Founders() != nil {
		t.Errorf("a blank folder has identity %q and founders %v", s.FolderID(), s.Founders())
	}
}

// BenchmarkOpen measures a restart against the length of the log.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []uint64{500, 1000, 2000, 4000} {
		path := foundFolder(b)
		f := openFolder(b, path)
		for i := uint64(1); i <= n; i++ {
			f.buffer = f.buffer[:0]
			if err := f.encodeRecords(1, "", []dhmessage.Entry{newEntry(i, 1)}); err != nil {
				b.Fatal(err)
			}
			f.log.Write(f.buffer)
		}
		f.Close()
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				f, err := Open(path, "c1")
				if err != nil {
					b.Fatal(err)
				}
				f.Close()
			}
		})
	}
}
