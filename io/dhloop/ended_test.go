package dhloop

import (
	"errors"
	"testing"
	"time"

	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
)

// TestEndedLoopTakesEvents ends a loop by an error of its disk. Events must be turned away then, also
// one that waits for room in the mailbox.
func TestEndedLoopTakesEvents(t *testing.T) {
	failure := errors.New("no space left on device")
	release := make(chan struct{})
	loop := newLoopWithDisk(func([]*dheffect.Persist) error {
		<-release
		return failure
	})
	ended := make(chan error, 1)
	go func() { ended <- loop.Run(t.Context()) }()
	waiting := make(chan error, 1)
	go func() {
		var err error
		for err == nil {
			err = loop.Post(t.Context(), dhevent.NewSeedsChanged(1, nil))
		}
		waiting <- err
	}()
	for loop.QueueLength() < mailboxSize {
		time.Sleep(time.Millisecond)
	}
	close(release)
	if err := <-ended; !errors.Is(err, failure) {
		t.Errorf("the loop ended with %v, want the error of the disk", err)
	}
	if err := <-waiting; !errors.Is(err, EndedError{}) {
		t.Errorf("an event that waits gets %v, want an EndedError", err)
	}
	if loop.TryPost(dhevent.NewSeedsChanged(1, nil)) {
		t.Error("an ended loop takes an event")
	}
}
