// Package dhclock holds the project's only notion of time.
//
// Readings come from an instance's own monotonic clock. They are never
// compared between instances: only spans cross the wire.
package dhclock

// Millis is a reading of an instance's monotonic clock, or a span between two
// readings, in milliseconds.
type Millis int64

// Second is one second as a span.
const Second Millis = 1000

// Since returns the span from an earlier reading to m, never negative.
func (m Millis) Since(earlier Millis) Millis {
	return max(0, m-earlier)
}

// Milliseconds returns the span or reading as a plain number.
func (m Millis) Milliseconds() int64 { return int64(m) }
