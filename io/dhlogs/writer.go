package dhlogs

import (
	"fmt"
	"io"
	"sync/atomic"
)

// maxQueuedLines bounds the lines that wait to be written.
const maxQueuedLines = 2048

// Writer passes lines on to a slow output without ever waiting for it: when too
// many wait, lines are dropped and their number is written later.
type Writer struct {
	output  io.Writer
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter returns a writer that works until it is closed.
func NewWriter(output io.Writer) *Writer {
	w := &Writer{output: output, queue: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never waits and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits, and ends the writer. Nothing may be written after
// it.
func (w *Writer) Close() {
	close(w.queue)
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.queue {
		if n := w.dropped.Swap(0); n > 0 {
			line = append(fmt.Appendf(nil, "{\"level\":\"warning\",\"layer\":\"logs\",\"msg\":\"the output is too slow; lines were dropped\",\"lines\":%d}\n", n), line...)
		}
		if _, err := w.output.Write(line); err != nil {
			// There is nowhere left to tell it.
			w.dropped.Add(1)
		}
	}
}
