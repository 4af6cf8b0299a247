package dhquarantine

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

func fingerprint(n int) dhmessage.Fingerprint {
	return dhmessage.NewFingerprint("o", dhcatalog.Hash{byte(n), byte(n >> 8)})
}

// TestRequestsInFlightAtCrashesAreServed crashes upstreams under a lethal request and lets
// the same other requests be in flight at up to three of the crashes. Only the lethal one
// may be quarantined.
func TestRequestsInFlightAtCrashesAreServed(t *testing.T) {
	s := NewSet()
	for crash := range 4 {
		s.RecordCrash(1000, HashCrash("s", "u", int64(crash)), fingerprint(0))
		for other := range 10 {
			if crash < 1+other%3 {
				s.RecordCrash(1000, HashCrash("s", "u", int64(crash)), fingerprint(1+other))
			}
		}
	}
	if s.Quarantine(1000, fingerprint(0)) == 0 {
		t.Error("the request in flight at all crashes isn't quarantined")
	}
	for other := range 10 {
		if s.Quarantine(1000, fingerprint(1+other)) > 0 {
			t.Errorf("a request in flight at %d of the crashes is quarantined", 1+other%3)
		}
	}
}

// TestOneUpstreamCrashingIsNoEvidence records the crash of one process again and again,
// as several instances see it. It must count once.
func TestOneUpstreamCrashingIsNoEvidence(t *testing.T) {
	s := NewSet()
	for range 5 {
		s.RecordCrash(1000, HashCrash("s", "u", 1), fingerprint(0))
	}
	if s.Quarantine(1000, fingerprint(0)) > 0 {
		t.Error("one crash quarantines a request")
	}
}

// TestAcquittalOutlivesLateReports merges a report of earlier crashes after the request has
// ended without a crash. It must stay acquitted.
func TestAcquittalOutlivesLateReports(t *testing.T) {
	s, late := NewSet(), NewSet()
	for crash := range 3 {
		s.RecordCrash(1000, HashCrash("s", "u", int64(crash)), fingerprint(0))
		late.RecordCrash(1000, HashCrash("s", "u", int64(crash)), fingerprint(0))
	}
	if !s.Acquit(1500, fingerprint(0)) || s.Quarantine(1500, fingerprint(0)) > 0 {
		t.Fatal("a request that ended without a crash stays quarantined")
	}
	s.Merge(2000, new(Replication).NextReport(2000, late).Suspects())
	if s.Quarantine(2000, fingerprint(0)) > 0 {
		t.Error("a late report quarantines the request again")
	}
	late.Merge(2000, new(Replication).NextReport(2000, s).Suspects())
	if late.Quarantine(2000, fingerprint(0)) > 0 {
		t.Error("the acquittal doesn't reach another process")
	}
}

// TestQuarantineEnds lets time pass: the request may be sent again once, and one more crash
// quarantines it for longer.
func TestQuarantineEnds(t *testing.T) {
	s := NewSet()
	for crash := range minCrashes {
		s.RecordCrash(1000, HashCrash("s", "u", int64(crash)), fingerprint(0))
	}
	after := 1000 + minQuarantine
	s.RemoveExpired(after)
	if s.Quarantine(after, fingerprint(0)) > 0 {
		t.Fatal("the quarantine doesn't end")
	}
	s.RecordCrash(after, HashCrash("s", "u", 99), fingerprint(0))
	if got, want := s.Quarantine(after, fingerprint(0)), 2*minQuarantine; got != want {
		t.Errorf("quarantined for %d ms after one more crash, want %d", got, want)
	}
	s.RemoveExpired(after + 2*minQuarantine + suspicionTTL + 1)
	if len(s.suspects) > 0 {
		t.Error("the suspect is never forgotten")
	}
}

// TestSuspectsAreBounded records crashes of far more requests than a process keeps. The
// quarantined one must stay.
func TestSuspectsAreBounded(t *testing.T) {
	s := NewSet()
	for crash := range minCrashes {
		s.RecordCrash(1000, HashCrash("s", "u", int64(crash)), fingerprint(0))
	}
	for n := range 3 * maxSuspects {
		s.RecordCrash(1000+dhclock.Millis(n), HashCrash("s", fmt.Sprint(n), 1), fingerprint(1+n))
	}
	if len(s.suspects) > maxSuspects || s.Quarantine(5000, fingerprint(0)) == 0 {
		t.Errorf("%d suspects are kept, want at most %d and among them the quarantined one", len(s.suspects), maxSuspects)
	}
}

// TestSetsConverge exchanges reports between processes in any order and loses some of
// them. Once reports arrive again, all processes must quarantine the same requests. One
// process is of a release that sends no reports, which must not stop the others.
func TestSetsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const processes = 4
		sets := [processes]*Set{}
		links := [processes][processes]Replication{}
		for i := range sets {
			sets[i] = NewSet()
		}
		now := dhclock.Millis(1000)
		exchange := func(a, b int) {
			report := links[a][b].NextReport(now, sets[a])
			if rapid.Bool().Draw(rt, "lost") {
				return
			}
			links[b][a].Receive(now, sets[b], report)
		}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			now += dhclock.Millis(rapid.IntRange(0, 300).Draw(rt, "pause"))
			i, j := rapid.IntRange(0, processes-1).Draw(rt, "process"), rapid.IntRange(0, processes-1).Draw(rt, "other")
			switch rapid.IntRange(0, 3).Draw(rt, "kind") {
			case 0:
				sets[i].Acquit(now, fingerprint(j))
			case 1:
				if i != j {
					exchange(i, j)
				}
			default:
				sets[i].RecordCrash(now, HashCrash("s", "u", rapid.Int64Range(0, 6).Draw(rt, "crash")), fingerprint(j))
			}
		}
		for range 4 * processes {
			now += resendInterval + 1
			for i := range processes - 1 {
				report := links[i][i+1].NextReport(now, sets[i])
				links[i+1][i].Receive(now, sets[i+1], report)
				links[i][i+1].Receive(now, sets[i], links[i+1][i].NextReport(now, sets[i+1]))
			}
			links[0][0].Receive(now, sets[0], nil) // an older release
		}
		for i := range sets {
			for n := range processes {
				if a, b := sets[0].Quarantine(now, fingerprint(n)) > 0, sets[i].Quarantine(now, fingerprint(n)) > 0; a != b {
					rt.Fatalf("request %d: quarantined at process 0: %v, at process %d: %v", n, a, i, b)
				}
			}
		}
	})
}
