package dhsoak

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"dogwoodhitch/io/dhentry"
)

// checkAll checks all records once every entry instance has ended.
func (s *soak) checkAll() {
	for _, l := range s.lives {
		s.checkLife(l)
	}
	for _, f := range s.executions.faults {
		s.fail("%s", f)
	}
	for _, q := range s.calls {
		s.checkAnswer(q)
		s.checkRuns(q)
		if !s.isDisturbed("", q.startedAt, q.endedAt) {
			s.checkPlanned(q)
		}
	}
}

// checkLife checks how a process ended.
func (s *soak) checkLife(l *life) {
	log := l.Log()
	for _, text := range []string{"\npanic: ", "\nfatal error: ", "\ngoroutine ", "DATA RACE", "http: panic serving"} {
		if strings.Contains("\n"+log, text) {
			s.fail("%s wrote %q", l, strings.TrimSpace(text))
		}
	}
	switch {
	case l.isKilled:
		if by := l.EndedBy(); by != syscall.SIGKILL && by != syscall.SIGTERM && l.ExitCode() != 0 {
			s.fail("%s was killed and ended with exit code %d, by signal %v", l, l.ExitCode(), by)
		}
	case l.stoppedAt.IsZero():
		s.fail("%s ended by itself, with exit code %d, by signal %v", l, l.ExitCode(), l.EndedBy())
	case !l.wasStarted && l.EndedBy() == syscall.SIGTERM:
		// The signal came before the program received signals.
	default:
		s.checkStop(l)
	}
}

// lastLine returns the last line of the log, apart from those on SIGHUP, which may come until
// the process has ended.
func (l *life) lastLine() string {
	lines := strings.Split(strings.TrimSpace(l.Log()), "\n")
	for len(lines) > 1 && strings.Contains(lines[len(lines)-1], `"msg":"SIGHUP changes nothing`) {
		lines = lines[:len(lines)-1]
	}
	return lines[len(lines)-1]
}

// checkStop checks a planned stop.
func (s *soak) checkStop(l *life) {
	if l.ExitCode() != 0 {
		s.fail("%s was stopped and ended with exit code %d, by signal %v; want 0", l, l.ExitCode(), l.EndedBy())
		return
	}
	if line := l.lastLine(); !strings.Contains(line, `"msg":"stopped"`) {
		s.fail("the last log line of %s is %q, want stopped", l, line)
	}
	bound := s.leaveWait + s.finish + stopSlack
	if took := l.EndedAt().Sub(l.stoppedAt); took > bound && !s.isDisturbed(l.name, l.stoppedAt, l.EndedAt()) {
		s.fail("%s ended %v after SIGTERM, want %v at most", l, took, bound)
	}
}

func (l *life) String() string {
	return fmt.Sprintf("%s (started at %s)", l.name, l.startedAt.Format(clockFormat))
}

// checkAnswer checks what holds whatever fails.
func (s *soak) checkAnswer(q *call) {
	switch {
	case q.err != nil:
	case q.refusal == "" && q.status != 200:
		s.fail("an answer is neither the upstream's nor a refusal: %v", q)
	case q.refusal != "" && q.run != dhentry.NotRun && q.run != dhentry.MayHaveRun:
		s.fail("a refusal doesn't say whether the request ran: %v", q)
	case q.isForeign:
		s.fail("the answer isn't that of the request: %v", q)
	}
}

// checkRuns checks how often a request ran.
func (s *soak) checkRuns(q *call) {
	runs, same := s.executions.byID[q.id], s.executions.byToken[q.token]
	if q.refusal != "" && q.run == dhentry.NotRun && len(runs) > 0 {
		s.fail("a request that was refused as not run ran: %v, %s", q, describe(runs))
	}
	if !q.isRepeatable && len(same) > 1 {
		s.fail("a request that must not be repeated ran more than once: %v, %s", q, describe(same))
	}
}

// checkPlanned checks what holds while nothing fails but by planned stops.
func (s *soak) checkPlanned(q *call) {
	l := s.lifeAt(q.entry, q.dialledAt)
	if l == nil {
		return
	}
	runs := s.executions.byID[q.id]
	switch {
	case q.isTimeout():
		s.fail("a request got no answer: %v, %s", q, describe(runs))
	case q.err != nil && !s.mayBeCut(q, l, runs):
		s.fail("a request was cut without a complete answer: %v, %s; %v got SIGTERM at %s", q, describe(runs), l, l.stoppedAt.Format(clockFormat))
	case q.run == dhentry.MayHaveRun && !q.resends && q.endedAt.Before(q.deadline()) && !s.isAbortedByStop(q):
		s.fail("a request was given up before its deadline: %v, %s; %v got SIGTERM at %s", q, describe(runs), l, l.stoppedAt.Format(clockFormat))
	}
}

// mayBeCut reports whether a connection may have been closed without a complete answer. One may be
// on which the request wasn't sent in full when the stop began to close connections, so that the
// process can't have read it, or whose answer is too large to be held and breaks at the request's
// deadline or, once it has begun, at the end of a stop that the request precedes.
func (s *soak) mayBeCut(q *call, l *life, runs []*execution) bool {
	if q.answerBytes > streamedBytes && !q.endedAt.Before(q.deadline()) {
		return true
	}
	if q.status != 0 {
		return s.isAbortedByStop(q)
	}
	return len(runs) == 0 && !l.stoppedAt.IsZero() && (q.sentAt.IsZero() || q.sentAt.After(l.stoppedAt.Add(s.leaveWait)))
}

// isAbortedByStop reports whether the request was sent before the planned stop of an instance, or
// before the instance received its signal, and lasted until its end.
func (s *soak) isAbortedByStop(q *call) bool {
	for _, l := range s.lives {
		if l.stoppedAt.IsZero() || q.endedAt.Before(l.stoppedAt.Add(s.leaveWait+s.finish)) {
			continue
		}
		if !q.startedAt.After(l.stoppedAt) || !q.startedAt.After(l.leftAt()) {
			return true
		}
	}
	return false
}

// isDisturbed reports whether there was an unplanned fault of a process, of any if the name is "", or of
// a link between two times.
func (s *soak) isDisturbed(process string, from, to time.Time) bool {
	return slices.ContainsFunc(s.disturbances, func(p *period) bool {
		return (process == "" || p.process == "" || p.process == process) && p.overlaps(from, to)
	})
}

// lifeAt returns the life of an instance that accepted a connection at some time.
func (s *soak) lifeAt(name string, at time.Time) *life {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found *life
	for _, l := range s.lives {
		if l.name == name && l.startedAt.Before(at) {
			found = l
		}
	}
	return found
}

func describe(runs []*execution) string {
	text := fmt.Sprintf("%d runs", len(runs))
	for _, e := range runs {
		text += fmt.Sprintf(", at %s from %s to %s complete %t", e.upstream, e.startedAt.Format(clockFormat), e.endedAt.Format(clockFormat), e.isComplete)
	}
	return text
}
