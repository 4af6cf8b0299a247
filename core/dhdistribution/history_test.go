package dhdistribution

import (
	"fmt"
	"runtime"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// controlMemory is the memory that control may use on a machine, in bytes.
const controlMemory = 64 << 20

// routesChange returns a change set in which the timeout of each route differs from the one before.
func routesChange(base uint64, routes int) dhcatalog.ChangeSet {
	puts := []dhcatalog.Object{dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "s"})}
	for i := range routes {
		puts = append(puts, dhcatalog.NewRoute(dhcatalog.RouteOptions{
			Name: fmt.Sprint("r", i), PathPrefix: fmt.Sprintf("/r%d/", i), Service: "s", Timeout: 1000 + dhclock.Millis(base%10),
		}))
	}
	return dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{ID: fmt.Sprint("c", base), Base: base, Author: "a", Puts: puts})
}

// TestChangesOfAllRoutesFillTheMemoryOfAnInstance sends an instance 800 changes of 412 routes, less
// than a day's changes.
func TestChangesOfAllRoutesFillTheMemoryOfAnInstance(t *testing.T) {
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	s := New(Options{Self: "i", Zone: "z", Voters: []string{"c"}})
	for base := range uint64(800) {
		var out dheffect.List
		s.HandleUpdate(dhclock.Millis(base), "c", dhmessage.NewUpdate(dhmessage.UpdateOptions{
			Version: base + 1, Changes: []dhcatalog.ChangeSet{routesChange(base, 412)},
		}), &out)
		s.EndBatch(dhclock.Millis(base), &out)
	}
	if s.Catalog().Version() != 800 {
		t.Fatalf("the instance has version %d, want 800", s.Catalog().Version())
	}
	used := heap() - before
	t.Logf("%d MB after 800 changes", used>>20)
	if used > controlMemory {
		t.Errorf("%d MB are in use after 800 changes, want at most %d", used>>20, controlMemory>>20)
	}
	runtime.KeepAlive(s)
}
