package dhpeer

import (
	"context"
	"slices"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhtime"
)

// Bounds of the messages that wait for a peer or are in calls to it, by their approximate size in
// bytes. A peer that is slow or cut off must not fill the memory of this process. Messages that carry
// a complete snapshot or configuration stay outside: the peer can't go on without them, and the
// control state bounds how often it sends one.
const (
	// maxPeerBytes bounds those for one peer; see dhmessage.Fits.
	maxPeerBytes = 4 << 20
	// maxPendingBytes bounds those for all peers. Peers that get the same message share what it
	// holds, but each counts, as each call encodes it.
	maxPendingBytes = 48 << 20
	// minTransferRate is the rate at which a call must be able to transfer its messages, in bytes
	// of approximate size a second. They are sent compressed.
	minTransferRate = 1 << 20
	// bulkBytes is the size from which on a message is sent in bulk.
	bulkBytes = 1 << 20
	// separateBytes is the size from which on a message has a call of its own.
	separateBytes = 16 << 10
	// maxSeparateWait is the wait from which on messages share calls whatever their size, and
	// maxSharedBytes bounds such a call: a peer whose calls take long gets what waits in few of them.
	maxSeparateWait dhclock.Millis = 100
	maxSharedBytes                 = 1 << 20
)

// lane identifies a queue. Each peer has one for large messages, in a call of their own each, and one
// for all others, which don't wait for large ones.
type lane struct {
	to      string
	isLarge bool
}

// laneOf returns the lane for a message with changes of some size. Changes that follow a large one don't
// overtake it: a receiver can't use them before it. The caller must hold the mutex.
func (s *Sender) laneOf(to string, m dhmessage.Message, changeBytes int) lane {
	large := lane{to: to, isLarge: true}
	q, found := s.queues[large]
	if isSeparate(m, changeBytes) || changeBytes > 0 && found && q.pendingBytes > 0 {
		return large
	}
	return lane{to: to}
}

// queuedMessage is a message with its approximate size in bytes and the time at which it was queued.
type queuedMessage struct {
	message  dhmessage.Message
	bytes    int
	queuedAt dhclock.Millis
}

func (m queuedMessage) isSeparate() bool { return isSeparate(m.message, m.bytes) }

// queue holds the messages to one peer.
type queue struct {
	lane     lane
	messages chan queuedMessage
	// next precedes the messages, if not nil. Only the goroutine of the queue uses it.
	next *queuedMessage
	// pendingBytes is the size of the messages that wait or are in a call.
	pendingBytes int
	calls        []*call // the oldest first
}

// call is a call to a peer.
type call struct {
	bytes     int // size of its messages
	startedAt dhclock.Millis
	cancel    context.CancelFunc
}

// isOverdue reports whether the call has had the time to transfer its messages.
func (c *call) isOverdue(now dhclock.Millis) bool {
	return now.Since(c.startedAt) > dhtime.Millis(slotTimeout)+dhclock.Millis(c.bytes)*dhclock.Second/minTransferRate
}

// collectBatch returns the first message and those that are queued after it, up to maxBatchSize
// messages, and their size. A large message is alone, so that peers that get the same one get the
// same call, which is compressed once, unless it has waited for long.
func (q *queue) collectBatch(now dhclock.Millis, first queuedMessage) (list []queuedMessage, size int) {
	list, size = []queuedMessage{first}, first.bytes
	isLate := now.Since(first.queuedAt) > maxSeparateWait
	if first.isSeparate() && !isLate {
		return list, size
	}
	for len(list) < maxBatchSize {
		select {
		case m := <-q.messages:
			if m.isSeparate() && (!isLate || size+m.bytes > maxSharedBytes) {
				q.next = &m
				return list, size
			}
			list, size = append(list, m), size+m.bytes
		default:
			return list, size
		}
	}
	return list, size
}

// takeNext removes and returns next; nil if there is none.
func (q *queue) takeNext() *queuedMessage {
	m := q.next
	q.next = nil
	return m
}

// startCall returns the context of a call to a peer. The function end must be called after it.
func (s *Sender) startCall(q *queue, size int) (ctx context.Context, end func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	c := &call{bytes: size, startedAt: s.options.Clock.Now(), cancel: cancel}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	q.calls = append(q.calls, c)
	return ctx, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.endCall(q, c)
	}
}

// endCall cancels a call, if it still runs, and releases its size. The caller must hold the mutex.
func (s *Sender) endCall(q *queue, c *call) {
	c.cancel()
	s.addPending(q, -c.bytes)
	c.bytes = 0
	if i := slices.Index(q.calls, c); i >= 0 {
		q.calls = slices.Delete(q.calls, i, i+1)
	}
}

// makeRoom reports whether a message of some size may be queued for a peer. Where the bounds are
// reached, it cancels calls that had the time to transfer their messages, so that what is sent once
// a link works again doesn't wait for their timeout. A peer for which nothing else waits gets a
// message whatever waits for the others. The caller must hold the mutex.
func (s *Sender) makeRoom(q *queue, size int) bool {
	fits := func() bool {
		return dhmessage.Fits(q.pendingBytes, size, maxPeerBytes) && (q.pendingBytes <= 0 || dhmessage.Fits(s.pendingBytes, size, maxPendingBytes))
	}
	for now := s.options.Clock.Now(); !fits(); {
		i := slices.IndexFunc(q.calls, func(c *call) bool { return c.bytes > 0 && c.isOverdue(now) })
		if i < 0 {
			return false
		}
		s.endCall(q, q.calls[i])
	}
	return true
}

// PendingBytes returns the approximate size of the messages that wait for peers or are in calls to
// them, without complete snapshots and configurations.
func (s *Sender) PendingBytes() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return int64(s.pendingBytes)
}

// addPending adds to the size of what is pending. The caller must hold the mutex.
func (s *Sender) addPending(q *queue, size int) {
	q.pendingBytes += size
	s.pendingBytes += size
}

// isBulk reports whether a message with changes of some size is sent in bulk: one that carries a
// complete snapshot or configuration, or as much as one.
func isBulk(m dhmessage.Message, changeBytes int) bool {
	return dhmessage.CarriesState(m) || changeBytes >= bulkBytes
}

// isSeparate reports whether a message with changes of some size has a call of its own.
func isSeparate(m dhmessage.Message, changeBytes int) bool {
	return isBulk(m, changeBytes) || changeBytes >= separateBytes
}
