package dhprocess

import (
	"context"
	"testing"
	"time"

	"dogwoodhitch/io/dhtime"
)

// TestControlProcessWithAFailedDiskNeverEnds has the log of a follower refuse entries. The process
// must end, so that it is started again, and must hold no call until then.
func TestControlProcessWithAFailedDiskNeverEnds(t *testing.T) {
	c := newManagedCluster(t, 3, 3)
	c.applyChange(organisation(1))
	failed := c.voters[2]
	ended := make(chan error, 1)
	go func() { ended <- failed.serveUntil(t.Context()) }()
	if err := failed.options.DataFolder.Close(); err != nil {
		t.Fatal(err)
	}
	c.applyChange(organisation(2))
	const endTime, callTimeout, callTime = 2 * time.Second, 900 * time.Millisecond, 300 * time.Millisecond
	for deadline := time.Now().Add(endTime); ; {
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
		calledAt := time.Now()
		_, err := failed.ControlClient().ReadBarrier(ctx, dhtime.Millis(callTimeout))
		cancel()
		if took := time.Since(calledAt); err != nil && took > callTime {
			t.Errorf("a call at the process is held for %v: %v", took, err)
		}
		select {
		case err := <-ended:
			if err == nil {
				t.Error("the process ended without an error")
			}
			return
		case <-time.After(10 * time.Millisecond):
		}
		if time.Now().After(deadline) {
			t.Fatalf("the process runs on %v after its log refused an entry", endTime)
		}
	}
}
