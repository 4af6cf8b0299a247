// Package dhevent defines the events that a process handles. Events are a
// reducer's only source of input, of the time and of randomness.
package dhevent

import "dogwoodhitch/core/dhclock"

// Event is something that happened to a process.
type Event interface {
	// At returns the instance's clock reading when the event happened, in
	// milliseconds.
	At() dhclock.Millis
}

// stamp is the clock reading of an event.
type stamp struct{ at dhclock.Millis }

// At implements Event.
func (s stamp) At() dhclock.Millis { return s.at }
