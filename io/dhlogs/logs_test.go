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

// TestNetHTTPFloodsTheLog writes many messages of one kind to the standard library's logger,
// and then one on a panic. The rate must be limited, and the panic a line of its own.
func TestNetHTTPFloodsTheLog(t *testing.T) {
	var output bytes.Buffer
	logs, err := New(Options{Level: "info", Output: &output, Process: "p"})
	if err != nil {
		t.Fatal(err)
	}
	l := logs.StandardLogger(dhtime.New(func() dhclock.Millis { return 1000 }))
	for range 10 * burstLines {
		l.Print("http: TLS handshake error from 10.0.0.1:1: EOF")
	}
	l.Printf("http: panic serving 10.0.0.1:1: fault\ngoroutine 1 [running]:\n%s", strings.Repeat("x", 2*maxMessageBytes))
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	if len(lines) != burstLines+1 {
		t.Fatalf("got %d lines, want %d and one on the panic", len(lines), burstLines)
	}
	for _, text := range lines {
		if !json.Valid([]byte(text)) {
			t.Errorf("the line is no JSON: %s", text)
		}
	}
	if last := lines[burstLines]; !strings.Contains(last, `"stack":"goroutine 1 [running]:`) || len(last) > maxMessageBytes+1000 {
		t.Errorf("got a line of %d bytes on the panic, want one with a stack of at most %d", len(last), maxMessageBytes)
	}
}

// TestLineAfterCloseCrashesTheProcess writes a line after Close, as a connection that is
// still being closed does.
func TestLineAfterCloseCrashesTheProcess(t *testing.T) {
	var output bytes.Buffer
	w := NewWriter(&output)
	_, _ = w.Write([]byte("first\n"))
	w.Close()
	_, _ = w.Write([]byte("late\n"))
	if output.String() != "first\n" {
		t.Errorf("got %q, want the line written before Close", output.String())
	}
}
