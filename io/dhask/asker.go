// Package dhask lets goroutines put questions and wishes to control state and
// wait for the replies.
package dhask

import (
	"context"
	"sync"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhtime"
)

// Options are what an asker needs.
type Options struct {
	Clock dhtime.Clock
	// Post hands an event to control state.
	Post func(ctx context.Context, e dhevent.Event) error
}

// Asker numbers questions and hands out the replies.
type Asker struct {
	options Options
	mutex   sync.Mutex
	next    uint64
	waiting map[uint64]chan dheffect.Effect
}

// New returns an asker.
func New(o Options) *Asker { return &Asker{options: o, waiting: map[uint64]chan dheffect.Effect{}} }

// Take hands a reply to the goroutine that waits for it, and tells whether the
// effect was a reply.
func (a *Asker) Take(e dheffect.Effect) bool {
	ticket, ok := ticketOf(e)
	if !ok {
		return false
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if c, found := a.waiting[ticket]; found {
		c <- e
		delete(a.waiting, ticket)
	}
	return true
}

func ticketOf(e dheffect.Effect) (uint64, bool) {
	switch e := e.(type) {
	case *dheffect.Reply:
		return e.CorrelationID(), true
	case *dheffect.StatusReply:
		return e.CorrelationID(), true
	case *dheffect.HistoryReply:
		return e.CorrelationID(), true
	case *dheffect.ClaimReply:
		return e.CorrelationID(), true
	default:
		return 0, false
	}
}

// ask posts an event that carries a new ticket, and waits for the reply.
func (a *Asker) ask(ctx context.Context, event func(at dhclock.Millis, ticket uint64) dhevent.Event) (dheffect.Effect, error) {
	reply := make(chan dheffect.Effect, 1)
	a.mutex.Lock()
	a.next++
	ticket := a.next
	a.waiting[ticket] = reply
	a.mutex.Unlock()
	defer a.forget(ticket)
	if err := a.options.Post(ctx, event(a.options.Clock.Now(), ticket)); err != nil {
		return nil, err
	}
	select {
	case e := <-reply:
		return e, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (a *Asker) forget(ticket uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.waiting, ticket)
}

// Propose asks for a command to be committed and returns what it led to.
func (a *Asker) Propose(ctx context.Context, c dhmessage.Command, patience dhclock.Millis) (dhmessage.Result, error) {
	e, err := a.ask(ctx, func(at dhclock.Millis, ticket uint64) dhevent.Event {
		return dhevent.NewProposalRequested(at, dhevent.ProposalRequestedOptions{CorrelationID: ticket, Command: c, Timeout: patience})
	})
	return resultOf(e), err
}

// Current waits until the configuration here is certainly as new as now. An
// unsure result means that this couldn't be found out in time.
func (a *Asker) Current(ctx context.Context, patience dhclock.Millis) (dhmessage.Result, error) {
	e, err := a.ask(ctx, func(at dhclock.Millis, ticket uint64) dhevent.Event {
		return dhevent.NewReadRequested(at, dhevent.ReadRequestedOptions{CorrelationID: ticket, Timeout: patience})
	})
	return resultOf(e), err
}

// CheckIn registers an upstream's word about itself. The result comes once the
// word binds as far as it must.
func (a *Asker) CheckIn(ctx context.Context, u dhcatalog.Upstream) (dhmessage.Result, error) {
	e, err := a.ask(ctx, func(at dhclock.Millis, ticket uint64) dhevent.Event {
		return dhevent.NewUpstreamHeartbeatReceived(at, dhevent.UpstreamHeartbeatReceivedOptions{CorrelationID: ticket, Upstream: u})
	})
	return resultOf(e), err
}

// CheckOut takes a registered upstream's last word. The lifetime is 0 if it
// didn't say when it started.
func (a *Asker) CheckOut(ctx context.Context, name string, lifetime int64) (dhmessage.Result, error) {
	e, err := a.ask(ctx, func(at dhclock.Millis, ticket uint64) dhevent.Event {
		return dhevent.NewUpstreamDeregistered(at, dhevent.UpstreamDeregisteredOptions{CorrelationID: ticket, Name: name, Incarnation: lifetime})
	})
	return resultOf(e), err
}

func resultOf(e dheffect.Effect) dhmessage.Result {
	if r, ok := e.(*dheffect.Reply); ok {
		return r.Result()
	}
	return dhmessage.Result{}
}

// Status returns what this process knows of the system.
func (a *Asker) Status(ctx context.Context) (dheffect.Status, error) {
	e, err := a.ask(ctx, func(at dhclock.Millis, ticket uint64) dhevent.Event {
		return dhevent.NewStatusRequested(at, dhevent.StatusRequestedOptions{CorrelationID: ticket})
	})
	if r, ok := e.(*dheffect.StatusReply); ok {
		return r.Status(), nil
	}
	return dheffect.Status{}, err
}

// History returns the accepted change sets that this process remembers.
func (a *Asker) History(ctx context.Context) ([]dhmessage.AcceptedChange, error) {
	e, err := a.ask(ctx, func(at dhclock.Millis, ticket uint64) dhevent.Event {
		return dhevent.NewHistoryRequested(at, dhevent.HistoryRequestedOptions{CorrelationID: ticket})
	})
	if r, ok := e.(*dheffect.HistoryReply); ok {
		return r.Changes(), nil
	}
	return nil, err
}

// Claim returns what a voter knows of a claim.
func (a *Asker) Claim(ctx context.Context, k dhmessage.ClaimKey) (dhmessage.ClaimRecord, bool, error) {
	e, err := a.ask(ctx, func(at dhclock.Millis, ticket uint64) dhevent.Event {
		return dhevent.NewClaimRequested(at, dhevent.ClaimRequestedOptions{CorrelationID: ticket, Key: k})
	})
	if r, ok := e.(*dheffect.ClaimReply); ok {
		return r.Record(), r.Found(), nil
	}
	return dhmessage.ClaimRecord{}, false, err
}
