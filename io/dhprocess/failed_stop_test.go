package dhprocess

import (
	"context"
	"errors"
	"testing"
)

// TestFailureDuringAStopIsLost has the log of a follower refuse entries when the process hands over its
// vote to a spare member. Run must return the error, as it does without a stop.
func TestFailureDuringAStopIsLost(t *testing.T) {
	c := newManagedCluster(t, 4, 3)
	c.waitForMembers(c.voters[3], 4)
	failed := c.voters[0]
	if err := failed.options.DataFolder.Close(); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancelCause(t.Context())
	stop(errors.New("terminated"))
	if err := failed.serveUntil(ctx); err == nil {
		t.Error("the process ended without an error")
	}
}
