// Package dhtime reads the instance's monotonic clock.
package dhtime

import (
	"time"

	"dogwoodhitch/core/dhclock"
)

// Clock gives clock readings through a function, so that tests can steer it.
type Clock struct{ now func() dhclock.Millis }

// New returns a clock that gives what a function returns.
func New(now func() dhclock.Millis) Clock { return Clock{now: now} }

// System returns the process's monotonic clock. It starts at one day, so that
// readings before the start are positive too, and goes on while the process
// is stopped.
func System() Clock {
	start := time.Now().Add(-24 * time.Hour)
	return New(func() dhclock.Millis { return dhclock.Millis(time.Since(start).Milliseconds()) })
}

// Now returns the present reading.
func (c Clock) Now() dhclock.Millis { return c.now() }

// Span returns a span as the standard library's type.
func Span(m dhclock.Millis) time.Duration { return time.Duration(m) * time.Millisecond }

// Millis returns a duration in milliseconds, rounded down.
func Millis(d time.Duration) dhclock.Millis { return dhclock.Millis(d.Milliseconds()) }
