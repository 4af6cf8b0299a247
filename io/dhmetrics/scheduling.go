package dhmetrics

import (
	"runtime/metrics"

	"dogwoodhitch/core/dhclock"
)

// schedulingLatencies is the runtime's histogram of how long goroutines that could run
// waited until they ran, in seconds.
const schedulingLatencies = "/sched/latencies:seconds"

// SchedulingDelay measures how long goroutines wait for processor time. A process that
// gets less of it than its work needs reads requests and messages that much later than
// they arrive. It must not be used by several goroutines at the same time.
type SchedulingDelay struct {
	sample   [1]metrics.Sample
	previous []uint64 // counts of the histogram's buckets at the last reading
}

// NewSchedulingDelay returns a SchedulingDelay whose first reading covers the time since
// the start of the process.
func NewSchedulingDelay() *SchedulingDelay {
	return &SchedulingDelay{sample: [1]metrics.Sample{{Name: schedulingLatencies}}}
}

// Read returns a quantile, between 0 and 1, of the waits that ended since the last
// reading; 0 if there were none.
func (d *SchedulingDelay) Read(quantile float64) dhclock.Millis {
	metrics.Read(d.sample[:])
	if d.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := d.sample[0].Value.Float64Histogram()
	recent := make([]uint64, len(h.Counts))
	total := uint64(0)
	for i, n := range h.Counts {
		recent[i] = n
		if i < len(d.previous) {
			recent[i] -= d.previous[i]
		}
		total += recent[i]
	}
	d.previous = append(d.previous[:0], h.Counts...)
	return quantileOf(recent, h.Buckets, uint64(quantile*float64(total)))
}

// quantileOf returns the lower bound, in milliseconds, of the bucket in which the given
// number of smaller values is reached. Bounds are in seconds.
func quantileOf(counts []uint64, bounds []float64, smaller uint64) dhclock.Millis {
	for i, n := range counts {
		if n > smaller {
			return dhclock.Millis(max(0, bounds[i]) * float64(dhclock.Second))
		}
		smaller -= n
	}
	return 0
}
