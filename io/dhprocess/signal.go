package dhprocess

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// Signals receives the signals that would end a process without need. A stopping process has
// to receive them too, because requests are still open.
type Signals struct{ hangups chan os.Signal }

// ReceiveSignals returns Signals that receive SIGHUP from now until the process exits. It also
// ignores SIGPIPE, which a process gets that writes its log when nobody reads it any more.
func ReceiveSignals() *Signals {
	signal.Ignore(syscall.SIGPIPE)
	s := &Signals{hangups: make(chan os.Signal, 1)}
	signal.Notify(s.hangups, syscall.SIGHUP)
	return s
}

// HandleHangups calls a function after each SIGHUP, one call at a time, until the returned
// function is called. Signals that arrive during a call cause one further call.
func (s *Signals) HandleHangups(f func()) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var handling sync.WaitGroup
	handling.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-s.hangups:
				f()
			}
		}
	})
	return func() {
		cancel()
		handling.Wait()
	}
}
