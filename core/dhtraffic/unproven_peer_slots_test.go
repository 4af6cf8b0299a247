package dhtraffic

import (
	"testing"

	"dogwoodhitch/core/dhevent"
)

// TestUnprovenStatusTakesAPeersSlots lets a peer pass on an upstream's own 429 to a request that may
// run at most once. The peer has responded, so its reserved slots must stay.
func TestUnprovenStatusTakesAPeersSlots(t *testing.T) {
	p := &peer{slots: 3, running: 1}
	if p.releaseSlot(dhevent.EndUnproven); p.slots != 3 {
		t.Errorf("the peer has %d reserved slots left, want 3", p.slots)
	}
}
