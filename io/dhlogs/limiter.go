package dhlogs

import (
	"sync"

	"github.com/sirupsen/logrus"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/io/dhtime"
)

// Bounds of the lines of one kind: each kind has a share of its own, so that a
// flood of one doesn't hide the others.
const (
	// linesPerSecond is how many lines of one kind are written in a second.
	linesPerSecond = 20
	// burstLines is how many may be written at once.
	burstLines = 40
	// maxKinds bounds the kinds.
	maxKinds = 64
)

// Limiter writes lines of which there may be too many. What is left out is
// counted and told with the next line of the kind.
type Limiter struct {
	log     *logrus.Entry
	clock   dhtime.Clock
	mutex   sync.Mutex
	buckets map[string]*tokenBucket
}

// tokenBucket is what one kind may still write, in thousandths of a line.
type tokenBucket struct {
	tokens     int64
	refilledAt dhclock.Millis
	leftOut    int64
}

// tokensPerLine is one line.
const tokensPerLine = 1000

// NewLimiter returns a limiter that writes to a logger.
func NewLimiter(log *logrus.Entry, clock dhtime.Clock) *Limiter {
	return &Limiter{log: log, clock: clock, buckets: map[string]*tokenBucket{}}
}

// Write writes a line of a kind if there is room for it. The line is made only
// then. A nil limiter writes nothing.
func (l *Limiter) Write(kind string, line func() (logrus.Fields, string)) {
	if l == nil {
		return
	}
	leftOut, ok := l.allow(kind)
	if !ok {
		return
	}
	fields, text := line()
	fields["kind"] = kind
	if leftOut > 0 {
		fields["leftOut"] = leftOut
	}
	l.log.WithFields(fields).Info(text)
}

// allow takes a line's room, and returns how many were left out before it.
func (l *Limiter) allow(kind string) (leftOut int64, ok bool) {
	now := l.clock.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	a, found := l.buckets[kind]
	if !found {
		if len(l.buckets) >= maxKinds {
			return 0, false
		}
		a = &tokenBucket{tokens: burstLines * tokensPerLine, refilledAt: now}
		l.buckets[kind] = a
	}
	a.tokens = min(burstLines*tokensPerLine, a.tokens+linesPerSecond*int64(now.Since(a.refilledAt)))
	a.refilledAt = now
	if a.tokens < tokensPerLine {
		a.leftOut++
		return 0, false
	}
	a.tokens -= tokensPerLine
	leftOut, a.leftOut = a.leftOut, 0
	return leftOut, true
}
