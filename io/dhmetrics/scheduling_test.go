package dhmetrics

import (
	"runtime"
	"sync"
	"testing"
	"time"
)

// TestSchedulingDelayShowsBusyProcessors keeps the only processor busy with goroutines that
// each run for 5 ms at a time, and expects that they are seen to wait for each other.
func TestSchedulingDelayShowsBusyProcessors(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	d := NewSchedulingDelay()
	d.Read(0.99)
	var busy sync.WaitGroup
	for range 20 {
		busy.Go(func() {
			for range 20 {
				for start := time.Now(); time.Since(start) < 5*time.Millisecond; {
				}
				runtime.Gosched()
			}
		})
	}
	busy.Wait()
	if got := d.Read(0.5); got < 20 {
		t.Errorf("half of the waits are below %d ms with 20 busy goroutines, want 20 ms or more", got)
	}
	if got := d.Read(0.5); got > 5 {
		t.Errorf("half of the waits are %d ms or more on an idle processor", got)
	}
}
