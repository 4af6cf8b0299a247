package dhdisk

import (
	"fmt"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhhistory"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhproto"
	"dogwoodhitch/io/dhwire"
)

// controlMemory is the memory that control may use on a machine, in bytes.
const controlMemory = 64 << 20

// peakHeap returns how much the heap grows at most while a function runs, in bytes. Garbage counts
// until it is collected, which happens meanwhile at a growth of gcPercent. One thread runs both, so
// that the collector keeps up with the function however busy the machine is.
func peakHeap(gcPercent int, run func()) uint64 {
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	inUse := func() uint64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	runtime.GC()
	before, peak := inUse(), uint64(0)
	done, sampled := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sampled)
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
				peak = max(peak, inUse())
			}
		}
	}()
	run()
	close(done)
	<-sampled
	return max(peak, before) - before
}

// routesChange returns a change set that puts a number of routes with a new timeout.
func routesChange(base uint64, routes int) dhcatalog.ChangeSet {
	puts := []dhcatalog.Object{dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "s"})}
	for i := range routes {
		puts = append(puts, dhcatalog.NewRoute(dhcatalog.RouteOptions{
			Name: fmt.Sprint("route-", i), PathPrefix: fmt.Sprintf("/lepu%d/", i), Service: "s", Host: "ae51.example", Affinity: true,
			Timeout: 1000 + dhclock.Millis(base%10), Objective: 600, MaxAttempts: 2, HomeRegions: []string{"highland", "lowland"},
		}))
	}
	return dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{ID: fmt.Sprint("c", base), Base: base, Author: "a", Puts: puts})
}

// writeWholeSnapshot writes a snapshot as earlier releases did, with a number of changes of 412
// routes, and returns its size.
func writeWholeSnapshot(t *testing.T, path string, changes uint64) int {
	t.Helper()
	m := &dhproto.Snapshot{Index: changes, Term: 1, AtMs: 1}
	c := dhcatalog.New()
	for base := range changes {
		s := routesChange(base, 412)
		next, err := c.Apply(s)
		if err != nil {
			t.Fatal(err)
		}
		m.Recent = append(m.Recent, &dhproto.Accepted{Version: next.Version(), AtMs: 1, Set: dhwire.ChangeSetToWire(s), Undo: dhwire.ChangeSetToWire(c.Undo(s))})
		c = next
	}
	m.Catalog = dhwire.SnapshotToWire(dhmessage.NewSnapshot(dhmessage.SnapshotOptions{Catalog: c})).GetCatalog()
	payload, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	if err := writeRecordFile(path, wholeSnapshotMagic, payload); err != nil {
		t.Fatal(err)
	}
	return len(payload)
}

// TestSnapshotOfAnEarlierReleaseFillsTheMemory opens a data folder whose snapshot holds 620 changes
// of 412 routes with their inverses, as earlier releases kept them. A process that needs more memory
// than it has to read them never starts again.
func TestSnapshotOfAnEarlierReleaseFillsTheMemory(t *testing.T) {
	path := foundFolder(t)
	const changes = 620
	size := writeWholeSnapshot(t, filepath.Join(path, fmt.Sprintf("snapshot-%020d", changes)), changes)
	var f *Folder
	used := peakHeap(20, func() { f = openFolder(t, path) })
	t.Logf("%d MB of heap for a snapshot of %d MB", used>>20, size>>20)
	if used > controlMemory {
		t.Errorf("%d MB of heap for a snapshot of %d MB, want at most %d", used>>20, size>>20, controlMemory>>20)
	}
	s := f.State().Snapshot()
	if s.Catalog().Version() != changes || len(s.Receipts())+len(s.RecentChanges()) != changes {
		t.Errorf("version %d with %d receipts and %d changes, want version and changes %d", s.Catalog().Version(), len(s.Receipts()), len(s.RecentChanges()), changes)
	}
	if size := dhhistory.New(s.RecentChanges()).ApproximateBytes(); size == 0 || size > dhhistory.MaxBytes {
		t.Errorf("the history has %d bytes, want 1 to %d", size, dhhistory.MaxBytes)
	}
}

// blocksCatalog returns a catalog with a number of client blocks, which differ in their sites.
func blocksCatalog(t *testing.T, count int) *dhcatalog.Catalog {
	t.Helper()
	b := &dhcatalog.Builder{}
	b.AddObjects([]dhcatalog.Object{
		dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "z", Region: "r"}),
		dhcatalog.NewSite(dhcatalog.SiteOptions{Name: "s1", Zone: "z", TimeToLive: 1000, Default: true}),
		dhcatalog.NewSite(dhcatalog.SiteOptions{Name: "s2", Zone: "z", TimeToLive: 1000}),
	})
	const batch = 1 << 16
	for first := 0; first < count; first += batch {
		var list []dhcatalog.BlockChange
		for i := first; i < min(first+batch, count); i++ {
			list = append(list, dhcatalog.NewBlockChange(dhcatalog.NewBlock(uint64(i)<<40, 24, false), fmt.Sprint("s", 1+i%2)))
		}
		if err := b.AddBlocks(list); err != nil {
			t.Fatal(err)
		}
	}
	c, err := b.Catalog(1)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestSnapshotIsHeldSeveralTimes stores a state of the target size, 2.4 million client blocks and
// 16 MB of recorded responses, and reads it back. Storing takes less than half of the state besides, and reading one state.
func TestSnapshotIsHeldSeveralTimes(t *testing.T) {
	const blocks, responses, responseBytes = 2_400_000, 1000, 16 << 10
	var claims []dhmessage.ClaimRecord
	for i := range responses {
		claims = append(claims, dhmessage.NewClaimRecord(dhmessage.ClaimRecordOptions{
			Key: dhmessage.NewClaimKey("o", fmt.Sprint(i)), State: dhmessage.ClaimDone, Response: dhmessage.NewResponse(200, nil, make([]byte, responseBytes)),
		}))
	}
	s := dhmessage.NewSnapshot(dhmessage.SnapshotOptions{Index: 1, Term: 1, Catalog: blocksCatalog(t, blocks), Claims: claims})
	path := filepath.Join(t.TempDir(), "snapshot")
	var err error
	const mostToStore = 16 << 20
	used := peakHeap(5, func() { err = writeSnapshot(path, s) })
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d MB of heap to store the snapshot", used>>20)
	if used > mostToStore {
		t.Errorf("%d MB of heap to store the snapshot, want at most %d", used>>20, mostToStore>>20)
	}
	var got dhmessage.Snapshot
	used = peakHeap(5, func() { got, err = readSnapshot(path) })
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d MB of heap to read the snapshot", used>>20)
	if used > controlMemory {
		t.Errorf("%d MB of heap to read the snapshot, want at most %d", used>>20, controlMemory>>20)
	}
	if got.Catalog().BlockCount() != blocks || len(got.Claims()) != responses {
		t.Errorf("%d blocks and %d claims, want %d and %d", got.Catalog().BlockCount(), len(got.Claims()), blocks, responses)
	}
	runtime.KeepAlive(s)
}
