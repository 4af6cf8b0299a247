// Package dhloop runs the one goroutine that owns a process's control state.
//
// It takes events from a bounded mailbox in batches, reduces them, and carries
// out the effects. All Persist effects of a batch are written and synced
// first, as one group; so nothing that a batch says or answers is less durable
// than what it rests on. A voter whose disk stalls stalls with it and loses
// its leadership, which is what others need.
package dhloop

import (
	"context"
	"time"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhreducer"
	"dogwoodhitch/io/dhtime"
)

// Sizes and times of the loop.
const (
	// mailboxSize bounds the events that wait.
	mailboxSize = 8192
	// maxBatchSize bounds the events of one batch.
	maxBatchSize = 256
	// TickInterval is the time between two ticks.
	TickInterval = 20 * time.Millisecond
)

// Seams are the functions by which the loop reaches the world. Each must
// return soon, but for Persist and Install, which sync.
type Seams struct {
	// Self is the name of this process: what it sends itself comes back as an
	// event of the same batch.
	Self         dhmessage.Peer
	Clock        dhtime.Clock
	Random       func() uint64
	Send         func(to string, m dhmessage.Message)
	Persist      func(list []*dheffect.Persist) error
	SaveSnapshot func(e *dheffect.SaveSnapshot) error
	Execute      func(e dheffect.Effect)
	// Record notes events and effects for a journal; nil for none.
	Record func(e dhevent.Event, effects []dheffect.Effect)
}

// Loop owns control state.
type Loop struct {
	state       *dhreducer.State
	seams       Seams
	mailbox     chan dhevent.Event
	localEvents []dhevent.Event
	effects     dheffect.List
}

// New returns a loop that is not running.
func New(s *dhreducer.State, seams Seams) *Loop {
	return &Loop{state: s, seams: seams, mailbox: make(chan dhevent.Event, mailboxSize)}
}

// Post hands over an event and waits for room in the mailbox until the context
// ends.
func (l *Loop) Post(ctx context.Context, e dhevent.Event) error {
	select {
	case l.mailbox <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TryPost hands over an event if the mailbox has room, and tells whether it had.
// It is for messages, which may be lost.
func (l *Loop) TryPost(e dhevent.Event) bool {
	select {
	case l.mailbox <- e:
		return true
	default:
		return false
	}
}

// QueueLength returns how many events wait.
func (l *Loop) QueueLength() int { return len(l.mailbox) }

// Run works until the context ends or the data folder fails.
func (l *Loop) Run(ctx context.Context) error {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-l.mailbox:
			l.reduce(e)
		case <-ticker.C:
			l.reduce(dhevent.NewTicked(l.now(), dhevent.TickedOptions{Random: l.seams.Random()}))
		}
		if err := l.finishBatch(); err != nil {
			return err
		}
	}
}

func (l *Loop) now() dhclock.Millis { return l.seams.Clock.Now() }

func (l *Loop) reduce(e dhevent.Event) {
	before := len(l.effects.Items())
	dhreducer.Reduce(l.state, e, &l.effects)
	if l.seams.Record != nil {
		l.seams.Record(e, l.effects.Items()[before:])
	}
}

// finishBatch takes what else waits, settles, and carries out the effects. Events
// that the effects bring about in this process make further batches.
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

func (l *Loop) reduceQueued() {
	for range maxBatchSize {
		select {
		case e := <-l.mailbox:
			l.reduce(e)
		default:
			return
		}
	}
}

// executeEffects does what the reducer asked for.
func (l *Loop) executeEffects() error {
	defer l.effects.Reset()
	if err := l.persist(); err != nil {
		return err
	}
	for _, e := range l.effects.Items() {
		switch e := e.(type) {
		case *dheffect.Persist:
		case *dheffect.Send:
			l.send(e)
		case *dheffect.SaveSnapshot:
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

// persist writes every Persist effect of the batch with one sync.
func (l *Loop) persist() error {
	var list []*dheffect.Persist
	for _, e := range l.effects.Items() {
		if p, ok := e.(*dheffect.Persist); ok {
			list = append(list, p)
		}
	}
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
