package dhprocess

import (
	"time"

	"github.com/sirupsen/logrus"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/io/dhmetrics"
)

// Parameters of observing how long goroutines wait for processor time.
const (
	schedulingInterval = 1 * time.Second
	// schedulingQuantile is the share of the waits that are shorter than the one reported.
	schedulingQuantile = 0.9
	// longSchedulingDelay is the wait from which on a line is logged, in milliseconds.
	longSchedulingDelay dhclock.Millis = 50
)

// watchSchedulingDelay reports how long work waits for processor time, as a gauge and,
// while it is long, in the log. It also watches the control loop and its messages.
func (p *Process) watchSchedulingDelay() {
	ticker := time.NewTicker(schedulingInterval)
	defer ticker.Stop()
	delay := dhmetrics.NewSchedulingDelay()
	w := loopWatch{age: p.loop.SinceLastPass, log: p.log}
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
		}
		d := delay.Read(schedulingQuantile)
		p.metrics.SetGauge(d.Milliseconds(), "dogwoodhitch_scheduling_delay_ms")
		if d >= longSchedulingDelay {
			p.log.WithFields(logrus.Fields{"ms": d.Milliseconds()}).Warn("work waits for processor time")
		}
		w.check(p.ctx)
		p.controlWatch.check()
	}
}
