// Package dhbacklog decides in which order the new connections of callers are served while
// there are more than the process has time for, and which of them are turned away.
//
// Callers give up after some hundred milliseconds and try again. If connections were served
// in the order of their arrival, each would wait for about that time, and the process would
// spend its time on callers that have left or are about to. The newest is served first, so
// that those which are served at all are served in time.
package dhbacklog

import (
	"slices"

	"dogwoodhitch/core/dhclock"
)

// Limits of a Backlog.
const (
	// MaxWaiting is how many connections may wait. The oldest is turned away for a further
	// one.
	MaxWaiting = 256
	// MaxUnread is how many connections may be handed to the server and not be read yet.
	// It bounds how long other work of the process waits for its turn.
	MaxUnread = 64
	// unreadTimeout is how long a connection counts as unread, in milliseconds. The others
	// must not wait for a caller that sends nothing.
	unreadTimeout dhclock.Millis = 100
	// minRetryAfter and maxRetryAfter bound the time after which a caller that is turned
	// away may return, in milliseconds.
	minRetryAfter dhclock.Millis = 200
	maxRetryAfter dhclock.Millis = 1000
)

// RetryAfter returns when a caller that is turned away may return. It differs between callers,
// so that they don't all return at the same moment.
func RetryAfter(random uint64) dhclock.Millis {
	return minRetryAfter + dhclock.Millis(random%uint64(maxRetryAfter-minRetryAfter+1))
}

// Backlog holds the connections of callers that wait to be served. The zero value is empty.
type Backlog[C comparable] struct {
	waiting []arrival[C] // oldest first
	unread  []arrival[C] // handed to the server, oldest first
}

// arrival is a connection, and when it arrived or was handed to the server.
type arrival[C comparable] struct {
	connection C
	at         dhclock.Millis
}

// Add adds a connection that has just arrived. If too many wait, it returns the one to turn
// away.
func (b *Backlog[C]) Add(now dhclock.Millis, c C) (turnedAway C, ok bool) {
	b.waiting = append(b.waiting, arrival[C]{c, now})
	if len(b.waiting) <= MaxWaiting {
		return turnedAway, false
	}
	turnedAway = b.waiting[0].connection
	b.waiting = slices.Delete(b.waiting, 0, 1)
	return turnedAway, true
}

// Next removes and returns the connection to hand to the server, and how long it has waited;
// false if there is none, or if the server hasn't read enough of those that it has.
func (b *Backlog[C]) Next(now dhclock.Millis) (c C, wait dhclock.Millis, ok bool) {
	for len(b.unread) > 0 && now.Since(b.unread[0].at) >= unreadTimeout {
		b.unread = slices.Delete(b.unread, 0, 1)
	}
	last := len(b.waiting) - 1
	if last < 0 || len(b.unread) >= MaxUnread {
		return c, 0, false
	}
	next := b.waiting[last]
	b.waiting = slices.Delete(b.waiting, last, last+1)
	b.unread = append(b.unread, arrival[C]{next.connection, now})
	return next.connection, now.Since(next.at), true
}

// NextTimeout returns the time until Next may return a connection without Read; false if
// none waits.
func (b *Backlog[C]) NextTimeout(now dhclock.Millis) (dhclock.Millis, bool) {
	if len(b.waiting) == 0 || len(b.unread) == 0 {
		return 0, false
	}
	return max(0, unreadTimeout-now.Since(b.unread[0].at)), true
}

// Read records that the server has read from a connection for the first time.
func (b *Backlog[C]) Read(c C) {
	b.unread = slices.DeleteFunc(b.unread, func(a arrival[C]) bool { return a.connection == c })
}
