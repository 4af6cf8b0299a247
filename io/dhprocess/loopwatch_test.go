package dhprocess

import (
	"context"
	"errors"
	"strings"
	"testing"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/io/dhlogs"
	"dogwoodhitch/io/dhloop"
	"dogwoodhitch/io/dhtime"
)

// TestStalledLoopLeavesNoTrace watches a loop that passes, then stalls twice; before the second stall
// the process is paused. Each stall must leave one line at its start and one at its end, and the pause none.
func TestStalledLoopLeavesNoTrace(t *testing.T) {
	output := &lineBuffer{}
	logs, err := dhlogs.New(dhlogs.Options{Level: "info", Output: output})
	if err != nil {
		t.Fatal(err)
	}
	var ages []dhclock.Millis
	w := loopWatch{log: logs.Logger("process"), age: func() dhclock.Millis {
		age := ages[0]
		ages = ages[1:]
		return age
	}}
	// After the age at the start of a stall follows that after the time for a pass.
	for _, list := range [][]dhclock.Millis{{20}, {1000, 1100}, {2000}, {10}, {5000, 20}, {3000, 3100}, {20}} {
		ages = list
		w.check(t.Context())
		if len(ages) > 0 {
			t.Errorf("%v: the ages %v aren't read", list, ages)
		}
	}
	const stalls, goesOn = "the control loop stalls", "the control loop goes on"
	want := []string{stalls, goesOn, stalls, goesOn}
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	if len(lines) != len(want) {
		t.Fatalf("got lines %q, want %q", lines, want)
	}
	for i, l := range lines {
		if !strings.Contains(l, want[i]) || !strings.Contains(l, `"level":"warning"`) {
			t.Errorf("got line %s, want a warning that %s", l, want[i])
		}
	}
}

// TestEndedLoopSeemsToAnswer asks a process whose loop has ended for its contact, soon after that and
// once it is clear by the age of the loop.
func TestEndedLoopSeemsToAnswer(t *testing.T) {
	now := dhclock.Millis(10_000)
	clock := dhtime.New(func() dhclock.Millis { return now })
	c := newCluster(t, 1)
	p := New(c.options("i1", "a1", "entry"))
	p.loop = dhloop.New(nil, dhloop.Seams{Clock: clock})
	for _, age := range []dhclock.Millis{30, longLoopAge} {
		now = 10_000 + age
		_, err := p.Contact()
		var noAnswer NoAnswerError
		if !errors.As(err, &noAnswer) || noAnswer.Age() != age {
			t.Errorf("%d ms after the last pass: got error %v", age, err)
		}
		if waits := errors.Is(err, context.DeadlineExceeded); waits != (age < longLoopAge) {
			t.Errorf("%d ms after the last pass: the process waits for an answer: %v", age, waits)
		}
	}
}
