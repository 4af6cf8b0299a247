package dhprocess

import (
	"errors"
	"strings"
	"testing"
	"time"

	"dogwoodhitch/io/dhlogs"
	"dogwoodhitch/io/dhtime"
)

// TestStalledDiskLeavesNoTrace has a sync take as long as an election: the log must tell so while
// it lasts and afterwards. A fast sync must leave no line.
func TestStalledDiskLeavesNoTrace(t *testing.T) {
	output := &lineBuffer{}
	logs, err := dhlogs.New(dhlogs.Options{Level: "info", Output: output})
	if err != nil {
		t.Fatal(err)
	}
	w := &diskWatch{clock: dhtime.System(), log: logs.Logger("process")}
	if err := w.run(func() error { return nil }); err != nil || output.String() != "" {
		t.Errorf("a fast sync: got error %v and lines %q, want neither", err, output.String())
	}
	failure := errors.New("a failure of the disk")
	err = w.run(func() error {
		waitForLine(t, output, `"msg":"the disk stalls: `)
		if w.stalledFor() == 0 {
			t.Error("the stall isn't known while it lasts")
		}
		return failure
	})
	if !errors.Is(err, failure) {
		t.Errorf("got error %v, want that of the disk", err)
	}
	waitForLine(t, output, `"msg":"the disk stalled: `)
	if d := w.stalledFor(); d != 0 {
		t.Errorf("the disk counts as stalled for %v after the stall", d)
	}
	if !strings.Contains(output.String(), `"ms":`) {
		t.Errorf("no line has the time: %s", output)
	}
}

// waitForLine waits for a line with a text, for less than a test would hang.
func waitForLine(t *testing.T, output *lineBuffer, text string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !strings.Contains(output.String(), text); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("no line has %s: %s", text, output)
		}
	}
}
