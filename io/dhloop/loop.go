// Package dhloop runs the one goroutine that owns a process's control state.
//
// It receives events from a bounded mailbox in batches, reduces them, and
// executes the resulting effects. What a batch stores is stored first, in the
// order of its effects and with a single sync unless the leader has sent a
// snapshot; so every message or reply that the batch sends depends only on
// durable state. If a voter's disk stalls, its loop stalls too
// and the voter loses its leadership, so that another voter can take over.
package dhloop

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhreducer"
	"dogwoodhitch/io/dhtime"
)

// Sizes and intervals of the loop.
const (
	// mailboxSize is the capacity of the mailbox, in events.
	mailboxSize = 8192
	// maxMailboxBytes bounds what the events in the mailbox hold of the log, the
	// configuration and changes, by their approximate size in bytes; see dhmessage.Fits. While
	// the disk stalls, the mailbox gets what the leader goes on sending.
	maxMailboxBytes = 16 << 20
	// maxBatchSize bounds the events that the loop takes from the mailbox to
	// complete a batch.
	maxBatchSize = 256
	// TickInterval is the time between two Ticked events of a voter or learner.
	TickInterval = 20 * time.Millisecond
	// EntryTickInterval is that time for an entry instance, which has no elections to time.
	EntryTickInterval = 40 * time.Millisecond
)

// Seams connect the loop to the rest of the process. No function may block,
// except Persist and SaveSnapshot, which sync to disk.
type Seams struct {
	// Self is this process. Messages to itself are not sent: they become events
	// that the loop reduces before it takes further events from the mailbox.
	Self dhmessage.Peer
	// Clock returns the clock readings of the events that the loop creates.
	Clock dhtime.Clock
	// TickInterval is the time between two Ticked events.
	TickInterval time.Duration
	// Random returns the random number of a Ticked event.
	Random func() uint64
	// Send sends a message to another process.
	Send func(to string, m dhmessage.Message)
	// Persist writes and syncs the Persist effects of a batch. An error ends
	// the loop.
	Persist func(list []*dheffect.Persist) error
	// SaveSnapshot stores a snapshot. One that the leader sent is synced before
	// SaveSnapshot returns; any other may be written in the background. An error
	// ends the loop.
	SaveSnapshot func(e *dheffect.SaveSnapshot) error
	// Execute executes all other effects.
	Execute func(e dheffect.Effect)
	// RecordWait is called with each event of the mailbox and the time since its clock reading; nil
	// if waits are not recorded.
	RecordWait func(e dhevent.Event, wait dhclock.Millis)
	// Record writes an event and its effects to a journal; nil if there is none.
	Record func(e dhevent.Event, effects []dheffect.Effect)
}

// Loop owns the control state and is the only one to change it.
type Loop struct {
	state   *dhreducer.State
	seams   Seams
	mailbox chan dhevent.Event
	// mailboxBytes is the approximate size of what the events in the mailbox hold.
	mailboxBytes atomic.Int64
	// lastPass is when the last batch ended, or the loop was created, in milliseconds.
	lastPass    atomic.Int64
	localEvents []dhevent.Event // caused by effects of the batch, for the next one
	effects     dheffect.List   // of the batch
	ended       chan struct{}   // closed once Run has returned
}

// New returns a loop that is not running.
func New(s *dhreducer.State, seams Seams) *Loop {
	l := &Loop{state: s, seams: seams, mailbox: make(chan dhevent.Event, mailboxSize), ended: make(chan struct{})}
	l.recordPass()
	return l
}

// EndedError reports an event that the loop can't reduce any more, because it has ended.
type EndedError struct{}

// Error implements error.
func (EndedError) Error() string {
	return "the control loop of this process has ended; use another process"
}

// Ended returns a channel that is closed once the loop has ended. Events are turned away then, and
// those that wait in the mailbox are never reduced.
func (l *Loop) Ended() <-chan struct{} { return l.ended }

// HasEnded reports whether the loop has ended.
func (l *Loop) HasEnded() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

func (l *Loop) recordPass() { l.lastPass.Store(int64(l.now())) }

// SinceLastPass returns the time since the last pass of the loop ended. While the loop runs, it is at most
// about a tick; it grows while a pass takes long, and once the loop has ended.
func (l *Loop) SinceLastPass() dhclock.Millis {
	return l.now().Since(dhclock.Millis(l.lastPass.Load()))
}

// BusyError reports an event that the mailbox has no room for.
type BusyError struct{ bytes int }

// Bytes returns the approximate size of the event, in bytes.
func (e BusyError) Bytes() int { return e.bytes }

// Error implements error.
func (e BusyError) Error() string {
	return fmt.Sprintf("an order of %d bytes: the control loop has too much to do; use another process or retry", e.bytes)
}

// reserve reports whether an event's content fits into the mailbox. If it does, release must be
// called once the event isn't in the mailbox any more.
func (l *Loop) reserve(e dhevent.Event) bool {
	size := dhevent.ContentBytes(e)
	if pending := l.mailboxBytes.Add(int64(size)) - int64(size); dhmessage.Fits(int(pending), size, maxMailboxBytes) {
		return true
	}
	l.mailboxBytes.Add(-int64(size))
	return false
}

func (l *Loop) release(e dhevent.Event) { l.mailboxBytes.Add(-int64(dhevent.ContentBytes(e))) }

// Post adds an event to the mailbox. It waits while the mailbox is full, until
// the context ends. It returns a BusyError if the content of the mailbox is too large, and an
// EndedError if the loop has ended.
func (l *Loop) Post(ctx context.Context, e dhevent.Event) error {
	if l.HasEnded() {
		return EndedError{}
	}
	if !l.reserve(e) {
		return BusyError{bytes: dhevent.ContentBytes(e)}
	}
	select {
	case l.mailbox <- e:
		return nil
	case <-l.ended:
		l.release(e)
		return EndedError{}
	case <-ctx.Done():
		l.release(e)
		return ctx.Err()
	}
}

// TryPost adds an event to the mailbox without waiting, and reports whether the
// mailbox had capacity and the loop runs. It is for events that may be lost, such as messages.
func (l *Loop) TryPost(e dhevent.Event) bool {
	if l.HasEnded() || !l.reserve(e) {
		return false
	}
	select {
	case l.mailbox <- e:
		return true
	default:
		l.release(e)
		return false
	}
}

// QueueLength returns the number of events in the mailbox.
func (l *Loop) QueueLength() int { return len(l.mailbox) }

// QueuedBytes returns the approximate size of what the events in the mailbox hold of the log, the
// configuration and changes.
func (l *Loop) QueuedBytes() int64 { return l.mailboxBytes.Load() }

// Run processes events until the context ends or writing to the data folder
// fails.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.ended)
	ticker := time.NewTicker(l.seams.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-l.mailbox:
			l.reducePosted(e)
		case <-ticker.C:
			l.reduce(dhevent.NewTicked(l.now(), dhevent.TickedOptions{Random: l.seams.Random()}))
		}
		if err := l.finishBatch(); err != nil {
			return err
		}
		l.recordPass()
	}
}

func (l *Loop) now() dhclock.Millis { return l.seams.Clock.Now() }

// reducePosted reduces an event from the mailbox.
func (l *Loop) reducePosted(e dhevent.Event) {
	l.release(e)
	if l.seams.RecordWait != nil {
		l.seams.RecordWait(e, l.now().Since(e.At()))
	}
	l.reduce(e)
}

func (l *Loop) reduce(e dhevent.Event) {
	before := len(l.effects.Items())
	dhreducer.Reduce(l.state, e, &l.effects)
	if l.seams.Record != nil {
		l.seams.Record(e, l.effects.Items()[before:])
	}
}

// finishBatch completes the batch from the mailbox, reduces BatchEnded and
// executes the effects. Effects that cause events in this process start a
// further batch of these events.
func (l *Loop) finishBatch() error {
	l.reduceQueued()
	for {
		l.reduce(dhevent.NewBatchEnded(l.now()))
		if err := l.executeEffects(); err != nil {
			return err
		}
		if len(l.localEvents) == 0 {
			return nil
		}
		local := l.localEvents
		l.localEvents = nil
		for _, e := range local {
			l.reduce(e)
		}
	}
}

// reduceQueued reduces up to maxBatchSize events that are in the mailbox.
func (l *Loop) reduceQueued() {
	for range maxBatchSize {
		select {
		case e := <-l.mailbox:
			l.reducePosted(e)
		default:
			return
		}
	}
}

// executeEffects executes the effects of the batch, those that store the log first.
func (l *Loop) executeEffects() error {
	defer l.effects.Reset()
	if err := l.storeLog(); err != nil {
		return err
	}
	for _, e := range l.effects.Items() {
		switch e := e.(type) {
		case *dheffect.Persist:
		case *dheffect.Send:
			l.send(e)
		case *dheffect.SaveSnapshot:
			if e.Installed() {
				continue
			}
			if err := l.seams.SaveSnapshot(e); err != nil {
				return err
			}
		case *dheffect.PostToControl:
			l.localEvents = append(l.localEvents, e.Event())
		default:
			l.seams.Execute(e)
		}
	}
	return nil
}

func (l *Loop) send(e *dheffect.Send) {
	if e.To() != l.seams.Self.Name() {
		l.seams.Send(e.To(), e.Message())
		return
	}
	l.localEvents = append(l.localEvents, dhevent.NewMessageReceived(l.now(), dhevent.MessageReceivedOptions{
		From: l.seams.Self, Message: e.Message(),
	}))
}

// storeLog executes the Persist effects of the batch, and the snapshots of the leader, which
// replace the log. Entries that follow such a snapshot are written after it: the segment that
// has the entries before it is removed.
func (l *Loop) storeLog() error {
	var list []*dheffect.Persist
	for _, e := range l.effects.Items() {
		switch e := e.(type) {
		case *dheffect.Persist:
			list = append(list, e)
		case *dheffect.SaveSnapshot:
			if !e.Installed() {
				continue
			}
			if err := l.persist(list); err != nil {
				return err
			}
			list = nil
			if err := l.seams.SaveSnapshot(e); err != nil {
				return err
			}
		}
	}
	return l.persist(list)
}

// persist writes Persist effects with one sync, and queues a LogSynced event for the
// last log entry among them.
func (l *Loop) persist(list []*dheffect.Persist) error {
	if len(list) == 0 {
		return nil
	}
	if err := l.seams.Persist(list); err != nil {
		return err
	}
	for i := len(list) - 1; i >= 0; i-- {
		if entries := list[i].Entries(); len(entries) > 0 {
			last := entries[len(entries)-1]
			l.localEvents = append(l.localEvents, dhevent.NewLogSynced(l.now(), dhevent.LogSyncedOptions{
				Index: last.Index(), Term: last.Term(),
			}))
			return nil
		}
	}
	return nil
}
