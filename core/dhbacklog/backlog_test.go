package dhbacklog

import (
	"testing"

	"dogwoodhitch/core/dhclock"
)

// Load pattern of TestOverloadedProcessServesNobodyInTime, in microseconds unless noted.
const (
	arrivalInterval = 1000
	serviceTime     = 4000
	dropTime        = 100
	patience        = 300_000
	loadTime        = 10_000_000
	goodWait        = 50 // ms
)

// TestOverloadedProcessServesNobodyInTime simulates a process that has time for a quarter of the
// connections that arrive, whose callers give up after 300 ms. In the order of arrival all of
// those served have waited for about that time. It must serve as many as it has time for, less a
// tenth, and keep none of them waiting for more than 50 ms.
func TestOverloadedProcessServesNobodyInTime(t *testing.T) {
	var b Backlog[int]
	arrived, served, late, turnedAway := 0, 0, 0, 0
	for now := 0; now < loadTime; {
		for ; arrived*arrivalInterval <= now; arrived++ {
			if _, ok := b.Add(dhclock.Millis(arrived*arrivalInterval/1000), arrived); ok {
				turnedAway++
				now += dropTime
			}
		}
		c, wait, ok := b.Next(dhclock.Millis(now / 1000))
		switch {
		case !ok:
			now += arrivalInterval
			continue
		case now-c*arrivalInterval > patience:
			now += dropTime
		default:
			now += serviceTime
			served++
			if wait > goodWait {
				late++
			}
		}
		b.Read(c)
	}
	possible := loadTime / serviceTime
	t.Logf("%d connections arrived, %d of a possible %d were served, %d late, %d turned away", arrived, served, possible, late, turnedAway)
	if served < possible*9/10 || late > served/10 {
		t.Errorf("%d of a possible %d connections were served, %d of them after more than %d ms", served, possible, late, goodWait)
	}
}

// TestServerGetsNoMoreThanItReads hands connections to a server that reads none of them. Once it
// has MaxUnread it must get the next one after the timeout, or after it has read one.
func TestServerGetsNoMoreThanItReads(t *testing.T) {
	var b Backlog[int]
	for c := range MaxUnread + 10 {
		b.Add(0, c)
	}
	handed := 0
	for {
		if _, _, ok := b.Next(1); !ok {
			break
		}
		handed++
	}
	if handed != MaxUnread {
		t.Errorf("the server got %d connections, want %d", handed, MaxUnread)
	}
	if timeout, ok := b.NextTimeout(1); !ok || timeout != unreadTimeout {
		t.Errorf("the next timeout is %d ms, %v; want %d", timeout, ok, unreadTimeout)
	}
	b.Read(MaxUnread + 9) // the newest was handed first
	if c, wait, ok := b.Next(20); !ok || c != 9 || wait != 20 {
		t.Errorf("after a read the server got connection %d after %d ms, %v; want 9 after 20 ms", c, wait, ok)
	}
	if _, _, ok := b.Next(20); ok {
		t.Error("the server got two connections after one read")
	}
	if _, _, ok := b.Next(1 + unreadTimeout); !ok {
		t.Error("the server got no connection after the timeout")
	}
}

// TestOldestConnectionIsTurnedAway adds one connection more than may wait.
func TestOldestConnectionIsTurnedAway(t *testing.T) {
	var b Backlog[int]
	for c := range MaxWaiting {
		if _, ok := b.Add(0, c); ok {
			t.Fatalf("a connection was turned away when %d waited", c)
		}
	}
	if c, ok := b.Add(1, MaxWaiting); !ok || c != 0 {
		t.Errorf("connection %d was turned away, %v; want 0", c, ok)
	}
}
