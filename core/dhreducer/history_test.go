package dhreducer

import (
	"fmt"
	"runtime"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// controlMemory is the memory that control may use on a machine, in bytes.
const controlMemory = 64 << 20

// allRoutesChanged returns a declaration in which the timeout of each route differs from the one
// of the declaration before.
func allRoutesChanged(number uint64, routes int) dhmessage.Declare {
	objects := []dhcatalog.Object{dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "s"})}
	for i := range routes {
		objects = append(objects, dhcatalog.NewRoute(dhcatalog.RouteOptions{
			Name: fmt.Sprint("r", i), PathPrefix: fmt.Sprintf("/r%d/", i), Service: "s", Timeout: 1000 + dhclock.Millis(number%10),
		}))
	}
	return dhmessage.NewDeclare(dhcatalog.NewDeclaration(number, fmt.Sprint(number)), objects)
}

// heapInUse returns the size of the heap after a garbage collection, in bytes.
func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestChangesOfAllRoutesFillTheMemory uploads 1,700 declarations that change 412 routes each,
// a day's changes.
func TestChangesOfAllRoutesFillTheMemory(t *testing.T) {
	n := newNetwork(t, 1)
	n.run(2 * dhclock.Second)
	before := heapInUse()
	for number := range uint64(1700) {
		n.propose(n.leader(), allRoutesChanged(number+1, 412))
		n.run(40)
	}
	if d, _ := n.machines[0].view.Catalog().Declaration(); d.Number() != 1700 {
		t.Fatalf("declaration %d is in force, want 1700", d.Number())
	}
	used := heapInUse() - before
	t.Logf("%d MB after 1700 declarations", used>>20)
	if used > controlMemory {
		t.Errorf("%d MB are in use after 1700 declarations, want at most %d", used>>20, controlMemory>>20)
	}
	runtime.KeepAlive(n)
}
