// Package dhclock defines the time type of the project.
//
// Readings come from an instance's own monotonic clock. They are never compared
// between instances: messages carry durations only.
package dhclock

// Millis is a reading of an instance's monotonic clock, or a duration, in
// milliseconds.
type Millis int64

// Second is one second as a duration.
const Second Millis = 1000

// Since returns the time elapsed from an earlier reading to m, never negative.
func (m Millis) Since(earlier Millis) Millis {
	return max(0, m-earlier)
}

// Milliseconds returns the duration or reading as an integer.
func (m Millis) Milliseconds() int64 { return int64(m) }
