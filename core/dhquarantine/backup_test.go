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

// TestDownVoterBringsAnAcquittedQuarantineBack has a voter store a quarantine and go down. The
// request is acquitted meanwhile, and the acquittal expires. Neither set may quarantine the
// request once the voter is back.
func TestDownVoterBringsAnAcquittedQuarantineBack(t *testing.T) {
	for _, downtime := range []dhclock.Millis{acquittalTTL / 2, acquittalTTL + dhclock.Second, 2 * minQuarantine} {
		voter, other := NewSet(), NewSet()
		now := dhclock.Millis(1000)
		for crash := range minCrashes {
			voter.RecordCrash(now, HashCrash("s", "u", int64(crash)), fingerprint(0))
		}
		other.Merge(now, messages(now, voter.suspects, 0))
		stored, _ := new(Backup).Due(now, voter)
		other.Acquit(now+1, fingerprint(0))
		now += downtime
		other.RemoveExpired(now)
		voter = NewSet()
		voter.Merge(now, stored)
		var toVoter, toOther Replication
		for range 3 {
			now += resendInterval
			toVoter.Receive(now, other, toOther.NextReport(now, voter))
			toOther.Receive(now, voter, toVoter.NextReport(now, other))
		}
		if q := other.Quarantine(now, fingerprint(0)); q > 0 {
			t.Errorf("after %d ms down: the voter brings back the quarantine, for %d ms", downtime, q)
		}
	}
}
