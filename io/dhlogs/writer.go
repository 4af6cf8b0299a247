package dhlogs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the maximum number of lines that wait for the output.
	maxQueuedLines = 2048
	// closeTimeout is how long Close waits for the output. A process that ends must not
	// depend on the reader of its log.
	closeTimeout = 200 * time.Millisecond
)

// Writer writes lines to an output in the background, so that a slow output
// doesn't block the caller. When the queue is full, it drops lines and writes
// their number later.
type Writer struct {
	output  io.Writer
	queue   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	done    chan struct{}
}

// NewWriter returns a writer and starts its goroutine, which runs until Close.
func NewWriter(output io.Writer) *Writer {
	w := &Writer{output: output, queue: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops the writer. Lines that the output doesn't take
// within closeTimeout are lost, and so are lines written afterwards: connections that
// net/http still closes may write some.
func (w *Writer) Close() {
	close(w.closing)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.queue:
			w.writeLine(line)
		case <-w.closing:
			for range len(w.queue) {
				w.writeLine(<-w.queue)
			}
			return
		}
	}
}

func (w *Writer) writeLine(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		line = append(fmt.Appendf(nil, "{\"level\":\"warning\",\"layer\":\"logs\",\"msg\":\"the output is too slow; lines were dropped\",\"lines\":%d}\n", n), line...)
	}
	if _, err := w.output.Write(line); err != nil {
		// The error can't be logged, as the output failed. The count is
		// written if the output recovers.
		w.dropped.Add(1)
	}
}
