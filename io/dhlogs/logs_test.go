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

// TestLimiterBoundsEachKind writes ten times what a kind may, for ten seconds,
// beside a line of another kind.
func TestLimiterBoundsEachKind(t *testing.T) {
	var output bytes.Buffer
	logs, err := New(Options{Level: "info", Output: &output, Process: "p"})
	if err != nil {
		t.Fatal(err)
	}
	now := dhclock.Millis(1000)
	l := NewLimiter(logs.Logger("decisions"), dhtime.New(func() dhclock.Millis { return now }))
	made := 0
	line := func() (logrus.Fields, string) { made++; return logrus.Fields{}, "x" }
	const seconds, flood = 10, 10 * linesPerSecond
	for range seconds * flood {
		now += dhclock.Millis(1000 / flood)
		l.Write("flood", line)
	}
	l.Write("other", line)
	now += 1000
	l.Write("flood", line)
	lines := strings.Count(output.String(), "\n")
	if lines > seconds*linesPerSecond+burstLines+2 || lines != made {
		t.Errorf("%d lines, %d made", lines, made)
	}
	if !strings.Contains(output.String(), `"kind":"other"`) {
		t.Error("a flood of one kind hid another")
	}
	total := int64(0)
	for _, text := range strings.Split(strings.TrimSpace(output.String()), "\n") {
		var l struct {
			LeftOut int64 `json:"leftOut"`
		}
		if err := json.Unmarshal([]byte(text), &l); err != nil {
			t.Fatal(err)
		}
		total += 1 + l.LeftOut
	}
	if total != seconds*flood+2 {
		t.Errorf("written and left out are %d, want %d", total, seconds*flood+2)
	}
}

// blockedOutput is an output that takes nothing until it is released.
type blockedOutput struct {
	release chan struct{}
	mutex   sync.Mutex
	written bytes.Buffer
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.release
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.written.Write(p)
}

// TestWriterDoesNotBlock writes to an output that is stuck.
func TestWriterDoesNotBlock(t *testing.T) {
	s := &blockedOutput{release: make(chan struct{})}
	w := NewWriter(s)
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
		t.Fatal("a write waited for the output")
	}
	close(s.release)
	w.Close()
	if !strings.Contains(s.written.String(), "lines were dropped") {
		t.Error("the drop wasn't told")
	}
}
