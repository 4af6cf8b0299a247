// Package dhevent holds everything that can happen to a process. A reducer
// learns of the outside world, the time and randomness only through events.
package dhevent

import "dogwoodhitch/core/dhclock"

// Event is one thing that happened.
type Event interface {
	// At returns the instance's clock when it happened.
	At() dhclock.Millis
}

// stamp carries the clock reading of an event.
type stamp struct{ at dhclock.Millis }

// At implements Event.
func (s stamp) At() dhclock.Millis { return s.at }
