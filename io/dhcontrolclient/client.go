// Package dhcontrolclient lets goroutines send requests to the control loop and
// wait for the replies.
package dhcontrolclient

import (
	"context"
	"fmt"
	"sync"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhloop"
	"dogwoodhitch/io/dhtime"
)

// answerTimeout is how long a control loop may take to answer, beside the time for which a request
// lets it wait for other processes.
const answerTimeout = 3 * dhclock.Second

// UnansweredError reports a request that the control loop hasn't answered, as while the disk of the
// process stalls. Whether the request takes effect is unknown.
type UnansweredError struct{ wait dhclock.Millis }

// Wait returns for how long the request waited, in milliseconds.
func (e UnansweredError) Wait() dhclock.Millis { return e.wait }

// Error implements error.
func (e UnansweredError) Error() string {
	return fmt.Sprintf("the control loop of this process hasn't answered for %d ms; resend the request with the same id to another process, "+
		"and check the disk of this one's data folder", e.wait)
}

// StalledError reports a request that wasn't posted, since the control loop waits for the disk.
type StalledError struct{ stalledFor dhclock.Millis }

// StalledFor returns for how long the loop has waited, in milliseconds.
func (e StalledError) StalledFor() dhclock.Millis { return e.stalledFor }

// Error implements error.
func (e StalledError) Error() string {
	return fmt.Sprintf("the disk of this process has stalled for %d ms; use another process, and check the disk of this one's data folder", e.stalledFor)
}

// Options configure a Client.
type Options struct {
	Clock dhtime.Clock
	// StalledFor returns for how long the control loop has waited for a disk that stalls, in
	// milliseconds, or 0.
	StalledFor func() dhclock.Millis
	// Post queues an event for the control loop.
	Post func(ctx context.Context, e dhevent.Event) error
	// LoopEnded returns a channel that is closed once the control loop has ended. Calls that wait
	// for a reply end then.
	LoopEnded func() <-chan struct{}
}

// Client sends requests to the control loop under correlation IDs and passes each
// reply to the caller that waits for it.
type Client struct {
	options Options
	mutex   sync.Mutex
	lastID  uint64
	pending map[uint64]chan dheffect.Effect
}

// New returns a Client.
func New(o Options) *Client { return &Client{options: o, pending: map[uint64]chan dheffect.Effect{}} }

// Deliver passes a reply to the goroutine that waits for it. It reports whether the
// effect is a reply; one that nobody waits for any more is dropped.
func (c *Client) Deliver(e dheffect.Effect) bool {
	correlationID, ok := correlationIDOf(e)
	if !ok {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if reply, found := c.pending[correlationID]; found {
		reply <- e
		delete(c.pending, correlationID)
	}
	return true
}

func correlationIDOf(e dheffect.Effect) (uint64, bool) {
	switch e := e.(type) {
	case *dheffect.Reply:
		return e.CorrelationID(), true
	case *dheffect.StatusReply:
		return e.CorrelationID(), true
	case *dheffect.ContactReply:
		return e.CorrelationID(), true
	case *dheffect.MemoryReply:
		return e.CorrelationID(), true
	case *dheffect.HistoryReply:
		return e.CorrelationID(), true
	case *dheffect.ClaimReply:
		return e.CorrelationID(), true
	default:
		return 0, false
	}
}

// request is like call, but returns a StalledError at once while the loop can't answer.
func (c *Client) request(ctx context.Context, wait dhclock.Millis, event func(at dhclock.Millis, correlationID uint64) dhevent.Event) (dheffect.Effect, error) {
	if d := c.options.StalledFor(); d > 0 {
		return nil, StalledError{stalledFor: d}
	}
	return c.call(ctx, wait, event)
}

// call posts an event with a new correlation ID and waits for the reply, until the context ends or
// for a time, after which it returns an UnansweredError.
func (c *Client) call(ctx context.Context, wait dhclock.Millis, event func(at dhclock.Millis, correlationID uint64) dhevent.Event) (dheffect.Effect, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, dhtime.Duration(wait), UnansweredError{wait: wait})
	defer cancel()
	reply := make(chan dheffect.Effect, 1)
	c.mutex.Lock()
	c.lastID++
	correlationID := c.lastID
	c.pending[correlationID] = reply
	c.mutex.Unlock()
	defer c.removePending(correlationID)
	if err := c.options.Post(ctx, event(c.options.Clock.Now(), correlationID)); err != nil {
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, err
	}
	select {
	case e := <-reply:
		return e, nil
	case <-c.options.LoopEnded():
		return nil, dhloop.EndedError{}
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

func (c *Client) removePending(correlationID uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.pending, correlationID)
}

// ProposeOptions are a command and what its caller can do.
type ProposeOptions struct {
	Command dhmessage.Command
	Timeout dhclock.Millis
	// IsReferable is set if the caller can follow the referral of a result.
	IsReferable bool
}

// Propose proposes a command to the voters and returns its result once it is
// applied. Without a result within the timeout the outcome is unknown; a command that
// later ones may contradict isn't applied any more then. The outcome is unknown at once, with a
// referral, if the caller can follow one and this process is cut off from the voters.
func (c *Client) Propose(ctx context.Context, o ProposeOptions) (dhmessage.Result, error) {
	e, err := c.request(ctx, o.Timeout+answerTimeout, func(at dhclock.Millis, correlationID uint64) dhevent.Event {
		return dhevent.NewProposalRequested(at, dhevent.ProposalRequestedOptions{
			CorrelationID: correlationID, Command: o.Command, Timeout: o.Timeout, Expires: true, IsReferable: o.IsReferable,
		})
	})
	return resultOf(e), err
}

// ReadBarrier waits until this process's configuration includes every change that
// was accepted before the call. The result has OutcomeUnknown set if that couldn't
// be confirmed within the timeout.
func (c *Client) ReadBarrier(ctx context.Context, timeout dhclock.Millis) (dhmessage.Result, error) {
	e, err := c.request(ctx, timeout+answerTimeout, func(at dhclock.Millis, correlationID uint64) dhevent.Event {
		return dhevent.NewReadRequested(at, dhevent.ReadRequestedOptions{CorrelationID: correlationID, Timeout: timeout})
	})
	return resultOf(e), err
}

// Leave announces that this process is about to stop, and returns once another member of the
// consensus group has its vote. It waits for a disk that stalls, which may recover in time. The
// result has OutcomeUnknown set if it may still have its vote after the timeout.
func (c *Client) Leave(ctx context.Context, timeout dhclock.Millis) (dhmessage.Result, error) {
	e, err := c.call(ctx, timeout, func(at dhclock.Millis, correlationID uint64) dhevent.Event {
		return dhevent.NewLeaveStarted(at, dhevent.LeaveStartedOptions{CorrelationID: correlationID, Timeout: timeout})
	})
	return resultOf(e), err
}

// RecordUpstreamHeartbeat registers an upstream, or updates it, with the state that
// its heartbeat reports. If the state changes to draining or gone, the call returns
// once a majority of voters has stored the change. The result has a referral if the upstream can
// follow one and this process is cut off from the voters.
func (c *Client) RecordUpstreamHeartbeat(ctx context.Context, u dhcatalog.Upstream, isReferable bool) (dhmessage.Result, error) {
	e, err := c.request(ctx, answerTimeout, func(at dhclock.Millis, correlationID uint64) dhevent.Event {
		return dhevent.NewUpstreamHeartbeatReceived(at, dhevent.UpstreamHeartbeatReceivedOptions{CorrelationID: correlationID, Upstream: u, IsReferable: isReferable})
	})
	return resultOf(e), err
}

// DeregisterOptions describe an upstream that stops.
type DeregisterOptions struct {
	Name string
	// Incarnation is 0 if the upstream doesn't report when it started, and LatestIncarnation the
	// one that it has then at the latest.
	Incarnation, LatestIncarnation int64
	// IsReferable is set if the upstream can follow the referral of a result.
	IsReferable bool
}

// DeregisterUpstream deregisters an upstream that stops. The result has a referral as that of
// RecordUpstreamHeartbeat.
func (c *Client) DeregisterUpstream(ctx context.Context, o DeregisterOptions) (dhmessage.Result, error) {
	e, err := c.request(ctx, answerTimeout, func(at dhclock.Millis, correlationID uint64) dhevent.Event {
		return dhevent.NewUpstreamDeregistered(at, dhevent.UpstreamDeregisteredOptions{
			CorrelationID: correlationID, Name: o.Name, Incarnation: o.Incarnation, LatestIncarnation: o.LatestIncarnation, IsReferable: o.IsReferable,
		})
	})
	return resultOf(e), err
}

func resultOf(e dheffect.Effect) dhmessage.Result {
	if r, ok := e.(*dheffect.Reply); ok {
		return r.Result()
	}
	return dhmessage.Result{}
}

// Status returns the status of the system as this process sees it.
func (c *Client) Status(ctx context.Context) (dheffect.Status, error) {
	e, err := c.request(ctx, answerTimeout, func(at dhclock.Millis, correlationID uint64) dhevent.Event {
		return dhevent.NewStatusRequested(at, dhevent.StatusRequestedOptions{CorrelationID: correlationID})
	})
	if r, ok := e.(*dheffect.StatusReply); ok {
		return r.Status(), nil
	}
	return dheffect.Status{}, err
}

// Contact returns the contact of this process with the consensus group.
func (c *Client) Contact(ctx context.Context) (dheffect.Contact, error) {
	e, err := c.call(ctx, answerTimeout, func(at dhclock.Millis, correlationID uint64) dhevent.Event {
		return dhevent.NewContactRequested(at, dhevent.ContactRequestedOptions{CorrelationID: correlationID})
	})
	if r, ok := e.(*dheffect.ContactReply); ok {
		return r.Contact(), nil
	}
	return dheffect.Contact{}, err
}

// Memory returns how much the control state of this process holds.
func (c *Client) Memory(ctx context.Context) (dheffect.MemoryStatus, error) {
	e, err := c.request(ctx, answerTimeout, func(at dhclock.Millis, correlationID uint64) dhevent.Event {
		return dhevent.NewMemoryRequested(at, dhevent.MemoryRequestedOptions{CorrelationID: correlationID})
	})
	if r, ok := e.(*dheffect.MemoryReply); ok {
		return r.Memory(), nil
	}
	return dheffect.MemoryStatus{}, err
}

// History returns what this process keeps of the accepted change sets.
func (c *Client) History(ctx context.Context) (*dheffect.HistoryReply, error) {
	e, err := c.request(ctx, answerTimeout, func(at dhclock.Millis, correlationID uint64) dhevent.Event {
		return dhevent.NewHistoryRequested(at, dhevent.HistoryRequestedOptions{CorrelationID: correlationID})
	})
	if r, ok := e.(*dheffect.HistoryReply); ok {
		return r, nil
	}
	return nil, err
}

// Claim returns the record of a claim and whether this voter has one.
func (c *Client) Claim(ctx context.Context, k dhmessage.ClaimKey) (dhmessage.ClaimRecord, bool, error) {
	e, err := c.request(ctx, answerTimeout, func(at dhclock.Millis, correlationID uint64) dhevent.Event {
		return dhevent.NewClaimRequested(at, dhevent.ClaimRequestedOptions{CorrelationID: correlationID, Key: k})
	})
	if r, ok := e.(*dheffect.ClaimReply); ok {
		return r.Record(), r.Found(), nil
	}
	return dhmessage.ClaimRecord{}, false, err
}
