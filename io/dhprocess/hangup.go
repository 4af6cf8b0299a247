package dhprocess

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Hangups receives SIGHUP, which ends a process that doesn't receive it. A stopping
// process has to receive it too, because requests are still open.
type Hangups struct{ received chan os.Signal }

// ReceiveHangups returns Hangups that receive SIGHUP from now until the process exits.
func ReceiveHangups() *Hangups {
	h := &Hangups{received: make(chan os.Signal, 1)}
	signal.Notify(h.received, syscall.SIGHUP)
	return h
}

// Run calls a function after each SIGHUP until the context ends. Signals that arrive
// during a call cause one further call.
func (h *Hangups) Run(ctx context.Context, f func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.received:
			f()
		}
	}
}
