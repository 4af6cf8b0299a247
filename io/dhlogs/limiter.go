package dhlogs

import (
	"sync"

	"github.com/sirupsen/logrus"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/io/dhtime"
)

// Rate limits. Each kind of line has its own limit, so that a flood of one kind
// doesn't suppress lines of the others.
const (
	// linesPerSecond is the maximum rate of the lines of one kind.
	linesPerSecond = 20
	// burstLines is the maximum number of lines of one kind in a burst.
	burstLines = 40
	// maxKinds is the maximum number of kinds. Lines of further kinds are not
	// written.
	maxKinds = 64
)

// Limiter writes log lines at a limited rate for each kind. It counts the lines
// that it leaves out and reports their number in the next line of the kind.
type Limiter struct {
	log     *logrus.Entry
	clock   dhtime.Clock
	mutex   sync.Mutex
	buckets map[string]*tokenBucket
}

// tokenBucket limits the rate of one kind. Tokens are thousandths of a line, so
// that a rate in lines per second is the same number of tokens per millisecond.
type tokenBucket struct {
	tokens     int64
	refilledAt dhclock.Millis
	leftOut    int64
}

// tokensPerLine is the number of tokens that a line costs.
const tokensPerLine = 1000

// NewLimiter returns a limiter that writes to a logger.
func NewLimiter(log *logrus.Entry, clock dhtime.Clock) *Limiter {
	return &Limiter{log: log, clock: clock, buckets: map[string]*tokenBucket{}}
}

// Write writes a line of a kind at level info, or leaves it out if the kind has
// exceeded its rate. It calls line only if the line is written. A nil limiter
// writes nothing.
func (l *Limiter) Write(kind string, line func() (logrus.Fields, string)) {
	l.WriteAt(logrus.InfoLevel, kind, line)
}

// WriteAt is like Write for another level.
func (l *Limiter) WriteAt(level logrus.Level, kind string, line func() (logrus.Fields, string)) {
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
	l.log.WithFields(fields).Log(level, text)
}

// allow reports whether a line of a kind may be written now. If so, it also
// returns the number of lines left out since the last one.
func (l *Limiter) allow(kind string) (leftOut int64, ok bool) {
	now := l.clock.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	b, found := l.buckets[kind]
	if !found {
		if len(l.buckets) >= maxKinds {
			return 0, false
		}
		b = &tokenBucket{tokens: burstLines * tokensPerLine, refilledAt: now}
		l.buckets[kind] = b
	}
	b.tokens = min(burstLines*tokensPerLine, b.tokens+linesPerSecond*int64(now.Since(b.refilledAt)))
	b.refilledAt = now
	if b.tokens < tokensPerLine {
		b.leftOut++
		return 0, false
	}
	b.tokens -= tokensPerLine
	leftOut, b.leftOut = b.leftOut, 0
	return leftOut, true
}
