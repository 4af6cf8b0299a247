package dhquarantine

import (
	"testing"

	"dogwoodhitch/core/dhclock"
)

// TestBackupMissesQuarantine lets a process store its suspects while a request crashes
// upstreams, while time passes and after the request was acquitted. A set that is restored
// from what is stored must quarantine the request as long as the first one does.
func TestBackupMissesQuarantine(t *testing.T) {
	s, stored := NewSet(), NewSet()
	var b Backup
	now := dhclock.Millis(1000)
	save := func(want bool) {
		t.Helper()
		list, due := b.Due(now, s)
		if due != want {
			t.Fatalf("at %d ms: suspects are due: %t, want %t", now, due, want)
		}
		if due {
			stored = NewSet()
			stored.Merge(now, list)
		}
	}
	check := func(tolerance dhclock.Millis) {
		t.Helper()
		got, want := stored.Quarantine(now, fingerprint(0)), s.Quarantine(now, fingerprint(0))
		if got < want || got > want+tolerance {
			t.Errorf("at %d ms: the restored set quarantines the request for %d ms, want %d", now, got, want)
		}
	}
	save(false)
	for crash := range minCrashes {
		save(false)
		s.RecordCrash(now, HashCrash("s", "u", int64(crash)), fingerprint(0), fingerprint(1+crash))
	}
	save(true)
	check(0)
	now += minSaveInterval - 1
	s.RecordCrash(now, HashCrash("s", "u", minCrashes), fingerprint(0))
	save(false)
	now++
	save(true)
	check(0)
	now += ageInterval
	save(true)
	check(0)
	now += ageInterval
	s.Acquit(now, fingerprint(0))
	save(true)
	check(0)
	now += ageInterval
	save(false)
}
