package dhtrafficstate

import (
	"testing"
	"time"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhreducer"
	"dogwoodhitch/core/dhtraffic"
	"dogwoodhitch/io/dhtime"
)

// TestPanicOfOneRequestBlocksTheOwner panics while an event of a request is reduced, which net/http
// recovers from. All other requests, and a stop, must go on.
func TestPanicOfOneRequestBlocksTheOwner(t *testing.T) {
	o := New(dhreducer.NewTraffic(dhtraffic.Options{Instance: "i", Zone: "z", Now: 1}), Seams{Clock: dhtime.System()})
	func() {
		defer func() { _ = recover() }()
		o.Handle(func(dhclock.Millis) dhevent.Event { panic("fault") })
	}()
	answered := make(chan struct{})
	go func() { o.OpenRequests(); close(answered) }()
	select {
	case <-answered:
	case <-time.After(time.Second):
		t.Error("the number of open requests can't be read any more")
	}
}
