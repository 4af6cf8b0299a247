package dhprocess

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/io/dhloop"
	"dogwoodhitch/io/dhtime"
)

// Parameters of observing the control loop, in milliseconds.
const (
	// loopStallTime is the time without a pass after which the loop counts as stalled.
	loopStallTime = dhclock.Second
	// loopResumeTime is how long the loop may take for a pass once the process goes on after a pause.
	loopResumeTime dhclock.Millis = 100
	// contactTimeout bounds the wait for the contact with the consensus group. Its callers have little
	// time left, so they don't wait for a loop that hasn't passed for longLoopAge.
	contactTimeout dhclock.Millis = 50
	longLoopAge    dhclock.Millis = 500
)

// loopWatch logs stalls of the control loop. The process answers calls on other goroutines meanwhile.
type loopWatch struct {
	// age returns the time since the last pass of the loop.
	age func() dhclock.Millis
	log *logrus.Entry
	// stalledFor is the age of the last pass during a stall; 0 if there is none.
	stalledFor dhclock.Millis
}

// check logs the start and the end of a stall.
func (w *loopWatch) check(ctx context.Context) {
	age := w.age()
	switch {
	case age < loopStallTime:
		if w.stalledFor > 0 {
			w.log.WithField("ms", w.stalledFor.Milliseconds()).Warn("the control loop goes on after a stall")
			w.stalledFor = 0
		}
		return
	case w.stalledFor == 0:
		if age = w.ageAfterPause(ctx); age < loopStallTime {
			return
		}
		w.log.WithField("loopMs", age.Milliseconds()).Warn("the control loop stalls: orders, heartbeats, votes and configurations wait; check the disk and the processor time of this process")
	}
	w.stalledFor = age
}

// ageAfterPause returns the age of the last pass after loopResumeTime, since the loop may have had
// no time to pass because the process was paused; 0 if the process stops meanwhile.
func (w *loopWatch) ageAfterPause(ctx context.Context) dhclock.Millis {
	timer := time.NewTimer(dhtime.Duration(loopResumeTime))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return 0
	case <-timer.C:
		return w.age()
	}
}

// NoAnswerError reports that the control loop didn't answer a question in time.
type NoAnswerError struct {
	age   dhclock.Millis
	cause error
}

// Age returns the time since the last pass of the loop.
func (e NoAnswerError) Age() dhclock.Millis { return e.age }

// Unwrap returns why the question wasn't asked or its reply not awaited; nil if the loop hasn't passed
// for too long to ask it.
func (e NoAnswerError) Unwrap() error { return e.cause }

// HasLoopEnded reports whether there is no answer because the loop has ended.
func (e NoAnswerError) HasLoopEnded() bool { return errors.Is(e.cause, dhloop.EndedError{}) }

// Error implements error.
func (e NoAnswerError) Error() string {
	return fmt.Sprintf("the control loop doesn't answer, %d ms after its last pass; check the disk of the data folder, or restart the process", e.age)
}

// Contact returns the contact of this process with the consensus group, or a NoAnswerError if the
// control loop doesn't tell it at once.
func (p *Process) Contact() (dheffect.Contact, error) {
	switch age := p.loop.SinceLastPass(); {
	case p.loop.HasEnded():
		return dheffect.Contact{}, NoAnswerError{age: age, cause: dhloop.EndedError{}}
	case age >= longLoopAge:
		return dheffect.Contact{}, NoAnswerError{age: age}
	}
	ctx, cancel := context.WithTimeout(p.ctx, dhtime.Duration(contactTimeout))
	defer cancel()
	c, err := p.controlClient.Contact(ctx)
	if err != nil {
		return dheffect.Contact{}, NoAnswerError{age: p.loop.SinceLastPass(), cause: err}
	}
	return c, nil
}

// updateContactMetrics sets the gauges of the contact with the consensus group. Without an answer
// they keep their values, and the age of the loop grows.
func (p *Process) updateContactMetrics() {
	c, err := p.Contact()
	if err != nil || c.Role() == dheffect.RoleEntry {
		return
	}
	for _, r := range dheffect.Roles() {
		value := int64(0)
		if r == c.Role() {
			value = 1
		}
		p.metrics.SetGauge(value, "dogwoodhitch_role", "role", string(r))
	}
	p.metrics.SetGauge(int64(c.Term()), "dogwoodhitch_term")
	p.metrics.SetGauge(int64(c.VotersHeard()), "dogwoodhitch_voters_heard")
}
