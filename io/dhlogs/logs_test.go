package dhlogs

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/io/dhtime"
)

// TestLimiterBoundsEachKind writes lines of one kind at ten times the maximum
// rate for ten seconds, and then a line of another kind. The rate must hold, the
// other kind must not be suppressed, and written and left-out lines must add up.
func TestLimiterBoundsEachKind(t *testing.T) {
	var output bytes.Buffer
	logs, err := New(Options{Level: "info", Output: &output, Process: "p"})
	if err != nil {
		t.Fatal(err)
	}
	now := dhclock.Millis(1000)
	l := NewLimiter(logs.Logger("decisions"), dhtime.New(func() dhclock.Millis { return now }))
	built := 0
	line := func() (logrus.Fields, string) { built++; return logrus.Fields{}, "x" }
	const seconds, flood = 10, 10 * linesPerSecond
	for range seconds * flood {
		now += dhclock.Millis(1000 / flood)
		l.Write("flood", line)
	}
	l.Write("other", line)
	now += 1000
	l.Write("flood", line)
	lines := strings.Count(output.String(), "\n")
	if lines > seconds*linesPerSecond+burstLines+2 || lines != built {
		t.Errorf("got %d lines written and %d built, want as many built as written, within the rate", lines, built)
	}
	if !strings.Contains(output.String(), `"kind":"other"`) {
		t.Error("a flood of one kind suppressed a line of another")
	}
	total := int64(0)
	for _, text := range strings.Split(strings.TrimSpace(output.String()), "\n") {
		var fields struct {
			LeftOut int64 `json:"leftOut"`
		}
		if err := json.Unmarshal([]byte(text), &fields); err != nil {
			t.Fatal(err)
		}
		total += 1 + fields.LeftOut
	}
	if total != seconds*flood+2 {
		t.Errorf("got %d lines written or left out, want %d", total, seconds*flood+2)
	}
}

// blockedOutput is an output whose Write blocks until release is closed.
type blockedOutput struct {
	release chan struct{}
	mutex   sync.Mutex
	written bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.release
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.written.Write(p)
}

// TestWriterDoesNotBlock writes more lines than the queue holds to an output that
// blocks. Write must return, and the writer must report the dropped lines once the
// output accepts data again.
func TestWriterDoesNotBlock(t *testing.T) {
	output := &blockedOutput{release: make(chan struct{})}
	w := NewWriter(output)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range maxQueuedLines + 500 {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocked on the output")
	}
	close(output.release)
	w.Close()
	if !strings.Contains(output.written.String(), "lines were dropped") {
		t.Error("the writer did not report the dropped lines")
	}
}
