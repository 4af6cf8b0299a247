package dhdisk

import (
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// foundFolder founds a group with the single voter c1 and returns the path of the
// voter's data folder.
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

// newEntry returns an entry that adds the organisation org-INDEX.
func newEntry(index, term uint64) dhmessage.Entry {
	return dhmessage.NewEntry(index, term, 0, dhmessage.NewChange(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
		ID: fmt.Sprint("id-", index), Base: index - 1, Author: "test",
		Puts: []dhcatalog.Object{dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: fmt.Sprint("org-", index)})},
	})))
}

// persist appends entries with a vote for c1@x in the term.
func persist(t testing.TB, f *Folder, term uint64, entries ...dhmessage.Entry) {
	t.Helper()
	if err := f.Persist([]*dheffect.Persist{dheffect.NewPersist(dheffect.PersistOptions{Term: term, VotedFor: "c1@x", Entries: entries})}); err != nil {
		t.Fatal(err)
	}
}

func lastSegmentPath(t testing.TB, path string) string {
	t.Helper()
	segments := listNumbered(path, "log-")
	return segments[len(segments)-1].path
}

// TestReopenRestoresState persists entries, replaces some of them, and checks the
// term, vote, entries and identity after a restart.
func TestReopenRestoresState(t *testing.T) {
	path := foundFolder(t)
	f := openFolder(t, path)
	persist(t, f, 1, newEntry(1, 1), newEntry(2, 1), newEntry(3, 1))
	persist(t, f, 2, newEntry(2, 2))
	f.Close()
	s := openFolder(t, path).State()
	if s.Term() != 2 || s.VotedFor() != "c1@x" || len(s.Entries()) != 2 || s.Entries()[1].Term() != 2 {
		t.Errorf("got term %d, vote %q, entries %v; want term 2, vote \"c1@x\" and 2 entries, the second of term 2", s.Term(), s.VotedFor(), s.Entries())
	}
	if len(s.Founders()) != 1 || s.FolderID() == "" {
		t.Errorf("got folder ID %q and founders %v, want an ID and one founder", s.FolderID(), s.Founders())
	}
}

// TestTornRecordIsRemoved truncates the log at every byte of its last record, as
// a crash during the write would. The entries before the record must remain, and
// entries appended after the restart must be readable.
func TestTornRecordIsRemoved(t *testing.T) {
	path := foundFolder(t)
	f := openFolder(t, path)
	persist(t, f, 1, newEntry(1, 1))
	before, _ := os.ReadFile(lastSegmentPath(t, path))
	persist(t, f, 1, newEntry(2, 1))
	after, _ := os.ReadFile(lastSegmentPath(t, path))
	f.Close()
	for n := len(before); n < len(after); n++ {
		os.WriteFile(lastSegmentPath(t, path), after[:n], 0o600)
		f := openFolder(t, path)
		if got := len(f.State().Entries()); got != 1 {
			t.Fatalf("log truncated at byte %d of %d: got %d entries, want 1", n, len(after), got)
		}
		f.Close()
	}
	f = openFolder(t, path)
	persist(t, f, 1, newEntry(2, 1))
	f.Close()
	if got := len(openFolder(t, path).State().Entries()); got != 2 {
		t.Errorf("got %d entries after appending to a log with a torn record, want 2", got)
	}
}

// TestCorruptionIsReported flips a bit in each byte of the log that valid records
// follow. Open must return a CorruptionError, whose message names the remedy: it
// must not drop acknowledged entries silently.
func TestCorruptionIsReported(t *testing.T) {
	path := foundFolder(t)
	f := openFolder(t, path)
	persist(t, f, 1, newEntry(1, 1))
	persist(t, f, 1, newEntry(2, 1))
	before, _ := os.Stat(lastSegmentPath(t, path))
	persist(t, f, 1, newEntry(3, 1))
	f.Close()
	intact, _ := os.ReadFile(lastSegmentPath(t, path))
	for i := range int(before.Size()) {
		flipped := append([]byte{}, intact...)
		flipped[i] ^= 0x40
		os.WriteFile(lastSegmentPath(t, path), flipped, 0o600)
		var corrupt CorruptionError
		if _, err := Open(path, "c1"); !errors.As(err, &corrupt) {
			t.Fatalf("flipped a bit in byte %d of %d: got error %v, want a CorruptionError", i, len(intact), err)
		}
	}
}

// TestSnapshotSurvivesCrash replaces log entries by a snapshot and opens the
// folder in each state that a crash in between can leave behind: with the old
// segment still present, and without the snapshot.
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
	check := func(state string, index uint64, entries int) {
		t.Helper()
		f := openFolder(t, path)
		defer f.Close()
		got := f.State()
		if got.Snapshot().Index() != index || len(got.Entries()) != entries || got.Term() != 3 {
			t.Errorf("%s: got snapshot %d, %d entries and term %d", state, got.Snapshot().Index(), len(got.Entries()), got.Term())
		}
	}
	check("snapshot complete", 2, 2)
	for name, raw := range before {
		os.WriteFile(filepath.Join(path, name), raw, 0o600)
	}
	check("crash before the old segment was removed", 2, 2)
	for _, snapshot := range listNumbered(path, "snapshot-") {
		os.Remove(snapshot.path)
	}
	check("crash before the snapshot was stored", 0, 4)
}

// readSegments returns the content of each segment by file name.
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

// TestUnusableFolderIsRefused opens a folder that is locked, that belongs to
// another process, or that lost its identity, and founds a group on a folder that
// already has an identity. Only an empty folder gets a new identity.
func TestUnusableFolderIsRefused(t *testing.T) {
	path := foundFolder(t)
	f := openFolder(t, path)
	var locked LockedError
	if _, err := Open(path, "c1"); !errors.As(err, &locked) {
		t.Errorf("opening a locked folder: got error %v, want a LockedError", err)
	}
	f.Close()
	var otherOwner OwnerError
	if _, err := Open(path, "c2"); !errors.As(err, &otherOwner) {
		t.Errorf("opening the folder of another process: got error %v, want an OwnerError", err)
	}
	var exists IdentityExistsError
	if err := Found(path, "c1", nil); !errors.As(err, &exists) {
		t.Errorf("founding a folder that has an identity: got error %v, want an IdentityExistsError", err)
	}
	os.Remove(filepath.Join(path, "identity"))
	var corrupt CorruptionError
	if _, err := Open(path, "c1"); !errors.As(err, &corrupt) {
		t.Errorf("opening a folder that lost its identity: got error %v, want a CorruptionError", err)
	}
	empty := filepath.Join(t.TempDir(), "empty")
	if s := openFolder(t, empty).State(); s.FolderID() == "" || s.Founders() != nil {
		t.Errorf("opening an empty folder: got folder ID %q and founders %v, want an ID and no founders", s.FolderID(), s.Founders())
	}
}

// BenchmarkOpen measures how long Open takes for logs of different lengths.
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

// TestRecordThatThisReleaseRefusesEndsAVoter reopens a folder with a snapshot that holds records
// of upstreams that an older release accepted. A voter that can't open it would end at each start.
func TestRecordThatThisReleaseRefusesEndsAVoter(t *testing.T) {
	path := foundFolder(t)
	f := openFolder(t, path)
	c, err := dhcatalog.New().Follow(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{ID: "x", Author: "test", Puts: []dhcatalog.Object{
		dhcatalog.NewUpstream(dhcatalog.UpstreamOptions{Name: "odd", Service: "s", Address: "host:+80", Zone: "z", Slots: -1, Incarnation: math.MaxInt64}),
		dhcatalog.NewUpstream(dhcatalog.UpstreamOptions{Name: "good", Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 1}),
	}}))
	if err != nil {
		t.Fatal(err)
	}
	persist(t, f, 1, newEntry(1, 1))
	if err := f.SaveSnapshot(dheffect.NewSaveSnapshot(dheffect.SaveSnapshotOptions{
		Snapshot: dhmessage.NewSnapshot(dhmessage.SnapshotOptions{Index: 1, Term: 1, Catalog: c}), Term: 1,
	})); err != nil {
		t.Fatal(err)
	}
	if err := f.WaitForSnapshot(); err != nil {
		t.Fatal(err)
	}
	f.Close()
	if got := openFolder(t, path).State().Snapshot().Catalog(); len(got.UpstreamsOf("s")) != 2 {
		t.Errorf("the snapshot has the upstreams %v, want 2", got.UpstreamsOf("s"))
	}
}
