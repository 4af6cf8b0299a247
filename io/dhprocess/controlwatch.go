package dhprocess

import (
	"github.com/sirupsen/logrus"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhmetrics"
	"dogwoodhitch/io/dhtime"
)

// lateControlTime is the wait of a message or an event from which on a line is logged, in
// milliseconds: the interval of a leader's heartbeats.
const lateControlTime dhclock.Millis = 100

// controlWatch observes how long the messages and events of the control state wait, and the processor
// time of the process.
type controlWatch struct {
	// messages waited for a call to their peer, events for the control loop.
	messages, events dhmetrics.LongestWait
	metrics          *dhmetrics.Metrics
	log              *logrus.Entry
	processorTime    dhclock.Millis // of the process, as of the last check
}

// recordMessage records how long a message to a peer has waited for its call.
func (w *controlWatch) recordMessage(m dhmessage.Message, wait dhclock.Millis) {
	w.messages.Record(m, wait)
}

// recordEvent records how long an event has waited for the control loop. A message counts by its own
// kind.
func (w *controlWatch) recordEvent(e dhevent.Event, wait dhclock.Millis) {
	if received, ok := e.(*dhevent.MessageReceived); ok {
		w.events.Record(received.Message(), wait)
		return
	}
	w.events.Record(e, wait)
}

// check reports the longest waits since the last check as gauges and, if one is long, in a line.
func (w *controlWatch) check() {
	queued, message := w.messages.Take()
	waited, event := w.events.Take()
	used := w.processorTimeSinceCheck()
	w.metrics.SetGauge(queued.Milliseconds(), "dogwoodhitch_longest_wait_ms", "for", "peers")
	w.metrics.SetGauge(waited.Milliseconds(), "dogwoodhitch_longest_wait_ms", "for", "control")
	if max(queued, waited) < lateControlTime {
		return
	}
	w.log.WithFields(logrus.Fields{
		"queueMs": queued.Milliseconds(), "message": message, "loopMs": waited.Milliseconds(), "event": event, "processorMs": used.Milliseconds(),
	}).Warn("control messages are late")
}

// processorTimeSinceCheck returns the processor time of the process since the last check; 0 if it can't
// be read.
func (w *controlWatch) processorTimeSinceCheck() dhclock.Millis {
	spent, err := dhmetrics.ProcessorTime()
	if err != nil {
		w.log.WithError(err).Debug("no processor time in lines about late messages")
		return 0
	}
	total := dhtime.Millis(spent)
	used := total.Since(w.processorTime)
	w.processorTime = total
	w.metrics.SetGauge(total.Milliseconds(), "dogwoodhitch_processor_ms_total")
	return used
}
