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

// Client numbers questions and hands out the replies.
type Client struct {
	options Options
	mutex   sync.Mutex
	lastID  uint64
	pending map[uint64]chan dheffect.Effect
}

// New returns an asker.
func New(o Options) *Client { return &Client{options: o, pending: map[uint64]chan dheffect.Effect{}} }

// Deliver hands a reply to the goroutine that waits for it, and tells whether the
// effect was a reply.
func (a *Client) Deliver(e dheffect.Effect) bool {
	ticket, ok := correlationIDOf(e)
	if !ok {
		return false
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if c, found := a.pending[ticket]; found {
		c <- e
		delete(a.pending, ticket)
	}
	return true
}

func correlationIDOf(e dheffect.Effect) (uint64, bool) {
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

// call posts an event that carries a new ticket, and waits for the reply.
func (a *Client) call(ctx context.Context, event func(at dhclock.Millis, ticket uint64) dhevent.Event) (dheffect.Effect, error) {
	reply := make(chan dheffect.Effect, 1)
	a.mutex.Lock()
	a.lastID++
	ticket := a.lastID
	a.pending[ticket] = reply
	a.mutex.Unlock()
	defer a.removePending(ticket)
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

func (a *Client) removePending(ticket uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.pending, ticket)
}

// Propose asks for a command to be committed and returns what it led to.
func (a *Client) Propose(ctx context.Context, c dhmessage.Command, patience dhclock.Millis) (dhmessage.Result, error) {
	e, err := a.call(ctx, func(at dhclock.Millis, ticket uint64) dhevent.Event {
		return dhevent.NewProposalRequested(at, dhevent.ProposalRequestedOptions{CorrelationID: ticket, Command: c, Timeout: patience})
	})
	return resultOf(e), err
}

// ReadBarrier waits until the configuration here is certainly as new as now. An
// unsure result means that this couldn't be found out in time.
func (a *Client) ReadBarrier(ctx context.Context, patience dhclock.Millis) (dhmessage.Result, error) {
	e, err := a.call(ctx, func(at dhclock.Millis, ticket uint64) dhevent.Event {
		return dhevent.NewReadRequested(at, dhevent.ReadRequestedOptions{CorrelationID: ticket, Timeout: patience})
	})
	return resultOf(e), err
}

// RecordUpstreamHeartbeat registers an upstream's word about itself. The result comes once the
// word binds as far as it must.
func (a *Client) RecordUpstreamHeartbeat(ctx context.Context, u dhcatalog.Upstream) (dhmessage.Result, error) {
	e, err := a.call(ctx, func(at dhclock.Millis, ticket uint64) dhevent.Event {
		return dhevent.NewUpstreamHeartbeatReceived(at, dhevent.UpstreamHeartbeatReceivedOptions{CorrelationID: ticket, Upstream: u})
	})
	return resultOf(e), err
}

// DeregisterUpstream takes a registered upstream's last word. The lifetime is 0 if it
// didn't say when it started.
func (a *Client) DeregisterUpstream(ctx context.Context, name string, lifetime int64) (dhmessage.Result, error) {
	e, err := a.call(ctx, func(at dhclock.Millis, ticket uint64) dhevent.Event {
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
func (a *Client) Status(ctx context.Context) (dheffect.Status, error) {
	e, err := a.call(ctx, func(at dhclock.Millis, ticket uint64) dhevent.Event {
		return dhevent.NewStatusRequested(at, dhevent.StatusRequestedOptions{CorrelationID: ticket})
	})
	if r, ok := e.(*dheffect.StatusReply); ok {
		return r.Status(), nil
	}
	return dheffect.Status{}, err
}

// History returns the accepted change sets that this process remembers.
func (a *Client) History(ctx context.Context) ([]dhmessage.AcceptedChange, error) {
	e, err := a.call(ctx, func(at dhclock.Millis, ticket uint64) dhevent.Event {
		return dhevent.NewHistoryRequested(at, dhevent.HistoryRequestedOptions{CorrelationID: ticket})
	})
	if r, ok := e.(*dheffect.HistoryReply); ok {
		return r.Changes(), nil
	}
	return nil, err
}

// Claim returns what a voter knows of a claim.
func (a *Client) Claim(ctx context.Context, k dhmessage.ClaimKey) (dhmessage.ClaimRecord, bool, error) {
	e, err := a.call(ctx, func(at dhclock.Millis, ticket uint64) dhevent.Event {
		return dhevent.NewClaimRequested(at, dhevent.ClaimRequestedOptions{CorrelationID: ticket, Key: k})
	})
	if r, ok := e.(*dheffect.ClaimReply); ok {
		return r.Record(), r.Found(), nil
	}
	return dhmessage.ClaimRecord{}, false, err
}
