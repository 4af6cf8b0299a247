package dhcontrolclient

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhtime"
)

// TestCallWaitsForAStalledLoop sends requests to a control loop that stands still, with room in its
// mailbox and without. Each must end by itself, and at once while the stall of the disk is known.
func TestCallWaitsForAStalledLoop(t *testing.T) {
	posts := map[string]func(ctx context.Context, e dhevent.Event) error{
		"queued": func(context.Context, dhevent.Event) error { return nil },
		"full mailbox": func(ctx context.Context, _ dhevent.Event) error {
			<-ctx.Done()
			return ctx.Err()
		},
	}
	const timeout = 10 * dhclock.Second
	calls := map[string]func(ctx context.Context, c *Client) error{
		"status":  func(ctx context.Context, c *Client) error { _, err := c.Status(ctx); return err },
		"memory":  func(ctx context.Context, c *Client) error { _, err := c.Memory(ctx); return err },
		"history": func(ctx context.Context, c *Client) error { _, err := c.History(ctx); return err },
		"claim": func(ctx context.Context, c *Client) error {
			_, _, err := c.Claim(ctx, dhmessage.ClaimKey{})
			return err
		},
		"read":  func(ctx context.Context, c *Client) error { _, err := c.ReadBarrier(ctx, timeout); return err },
		"leave": func(ctx context.Context, c *Client) error { _, err := c.Leave(ctx, timeout); return err },
		"propose": func(ctx context.Context, c *Client) error {
			_, err := c.Propose(ctx, ProposeOptions{Timeout: timeout})
			return err
		},
	}
	for mailbox, post := range posts {
		for name, call := range calls {
			t.Run(name+", "+mailbox, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithTimeout(t.Context(), dhtime.Duration(2*timeout))
					defer cancel()
					stalledFor := dhclock.Millis(0)
					c := New(Options{
						Clock: dhtime.System(), Post: post,
						StalledFor: func() dhclock.Millis { return stalledFor },
						LoopEnded:  func() <-chan struct{} { return nil },
					})
					if err := call(ctx, c); !errors.As(err, new(UnansweredError)) {
						t.Errorf("got error %v, want an UnansweredError", err)
					}
					stalledFor = 1000
					calledAt := time.Now()
					if err := call(ctx, c); !errors.As(err, new(StalledError)) && name != "leave" {
						t.Errorf("got error %v during a known stall, want a StalledError", err)
					} else if took := time.Since(calledAt); took > 0 && name != "leave" {
						t.Errorf("the call was held for %v during a known stall", took)
					}
				})
			})
		}
	}
}
