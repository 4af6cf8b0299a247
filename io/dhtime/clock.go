// Package dhtime reads the machine's boot-time clock, which also counts while
// the machine is suspended.
package dhtime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"dogwoodhitch/core/dhclock"
)

// Clock returns clock readings from a function, which tests replace.
type Clock struct{ now func() dhclock.Millis }

// New returns a clock that reads from the function.
func New(now func() dhclock.Millis) Clock { return Clock{now: now} }

// System returns the machine's boot-time clock. It advances while the process
// is stopped and while the machine is suspended, so that leases expire in these
// cases too. It is independent of changes to the time of day.
func System() Clock {
	return New(func() dhclock.Millis {
		var t unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
			panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v; run on Linux 2.6.39 or later", err))
		}
		return dhclock.Millis(time.Duration(t.Nano()).Milliseconds()) + startOffset
	})
}

// startOffset is added to every reading, so that subtracting up to a day from a
// reading taken soon after boot has a positive result.
const startOffset = 24 * 3600 * dhclock.Second

// Now returns the current reading.
func (c Clock) Now() dhclock.Millis { return c.now() }

// Duration converts milliseconds to a time.Duration.
func Duration(m dhclock.Millis) time.Duration { return time.Duration(m) * time.Millisecond }

// Millis converts a time.Duration to milliseconds, rounded towards zero.
func Millis(d time.Duration) dhclock.Millis { return dhclock.Millis(d.Milliseconds()) }
