package dhprocess

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// Hangups receives SIGHUP, which ends a process that doesn't receive it. A stopping
// process has to receive it too, because requests are still open.
type Hangups struct{ received chan os.Signal }

// ReceiveSignals receives from now until the process exits the signals that would end it
// without need: it returns the receiver of SIGHUP, and ignores SIGPIPE, which a process gets
// that writes its log when nobody reads it any more.
func ReceiveSignals() *Hangups {
	signal.Ignore(syscall.SIGPIPE)
	h := &Hangups{received: make(chan os.Signal, 1)}
	signal.Notify(h.received, syscall.SIGHUP)
	return h
}

// Handle calls a function after each SIGHUP, one call at a time, until the returned
// function is called. Signals that arrive during a call cause one further call.
func (h *Hangups) Handle(f func()) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var handling sync.WaitGroup
	handling.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-h.received:
				f()
			}
		}
	})
	return func() {
		cancel()
		handling.Wait()
	}
}
