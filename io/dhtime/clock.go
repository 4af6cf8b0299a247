// Package dhtime reads the clock that counts from the instance's boot.
package dhtime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"dogwoodhitch/core/dhclock"
)

// Clock gives clock readings through a function, so that tests can steer it.
type Clock struct{ now func() dhclock.Millis }

// New returns a clock that gives what a function returns.
func New(now func() dhclock.Millis) Clock { return Clock{now: now} }

// System returns the instance's clock. It goes on while the process is stopped
// and while the whole instance is suspended, so that leases run out then too.
// Changes of the time of day don't move it.
func System() Clock {
	return New(func() dhclock.Millis {
		var t unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
			panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v; run on Linux 2.6.39 or later", err))
		}
		return dhclock.Millis(time.Duration(t.Nano()).Milliseconds()) + startOffset
	})
}

// startOffset keeps readings that go back a while from the start positive.
const startOffset = 24 * 3600 * dhclock.Second

// Now returns the present reading.
func (c Clock) Now() dhclock.Millis { return c.now() }

// Duration returns a span as the standard library's type.
func Duration(m dhclock.Millis) time.Duration { return time.Duration(m) * time.Millisecond }

// Millis returns a duration in milliseconds, rounded down.
func Millis(d time.Duration) dhclock.Millis { return dhclock.Millis(d.Milliseconds()) }
