package dhpeer

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"testing"
	"time"

	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhproto"
	"dogwoodhitch/io/dhwire"
)

// largeSnapshot returns a message with recorded responses of some megabytes.
func largeSnapshot(term uint64, megabytes int) *dhmessage.InstallSnapshot {
	var claims []dhmessage.ClaimRecord
	for i := range megabytes * 16 {
		body := make([]byte, 64<<10)
		for j := range body {
			body[j] = byte(i*j) ^ byte(j>>8)
		}
		claims = append(claims, dhmessage.NewClaimRecord(dhmessage.ClaimRecordOptions{
			Key: dhmessage.NewClaimKey("o", fmt.Sprint(i)), State: dhmessage.ClaimDone, Response: dhmessage.NewResponse(200, nil, body),
		}))
	}
	return dhmessage.NewInstallSnapshot(dhmessage.InstallSnapshotOptions{
		Term: term, Round: 3, Snapshot: dhmessage.NewSnapshot(dhmessage.SnapshotOptions{Index: 7, Term: 1, LogTime: 5, Claims: claims}),
	})
}

// TestSnapshotOnItsWayFillsTheMemory sends 32 MB of recorded responses. The receiver needs them once;
// what both sides need besides must be less than half of that.
func TestSnapshotOnItsWayFillsTheMemory(t *testing.T) {
	const megabytes = 32
	p := newPair(t, "secret")
	m := largeSnapshot(4, megabytes)
	defer debug.SetGCPercent(debug.SetGCPercent(5))
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // the collector keeps up on a busy machine
	inUse := func() uint64 {
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		return s.HeapAlloc
	}
	runtime.GC()
	before, peak := inUse(), uint64(0)
	p.sender.Send("b", m)
	for deadline := time.Now().Add(20 * time.Second); ; {
		select {
		case got := <-p.received:
			s := got.(*dhmessage.InstallSnapshot)
			if s.Term() != 4 || s.Round() != 3 || s.Snapshot().Index() != 7 || s.Snapshot().LogTime() != 5 || len(s.Snapshot().Claims()) != megabytes*16 {
				t.Errorf("got term %d, round %d, index %d, log time %d and %d claims", s.Term(), s.Round(), s.Snapshot().Index(), s.Snapshot().LogTime(), len(s.Snapshot().Claims()))
			}
			used := (max(peak, before) - before) >> 20
			t.Logf("%d MB of heap for a snapshot of %d MB", used, megabytes)
			if used > megabytes+megabytes/2 {
				t.Errorf("%d MB of heap for a snapshot of %d MB", used, megabytes)
			}
			runtime.KeepAlive(m)
			return
		case <-time.After(10 * time.Millisecond):
			peak = max(peak, inUse())
		}
		if time.Now().After(deadline) {
			t.Fatal("the snapshot didn't arrive")
		}
	}
}

// TestSnapshotOfMixedPartsIsInstalled gives a receiver parts that are missing, repeated, of another
// sender or of an earlier term. Only a snapshot all of whose parts arrive in order may come of it.
func TestSnapshotOfMixedPartsIsInstalled(t *testing.T) {
	var fragments []*dhproto.Snapshot
	for f := range dhwire.SnapshotFragments(largeSnapshot(1, 2).Snapshot()) {
		fragments = append(fragments, f)
	}
	last := uint32(len(fragments) - 1)
	if last < 2 {
		t.Fatalf("%d parts, want three or more", len(fragments))
	}
	a := &partsAssembly{}
	add := func(from string, term, transfer uint64, number uint32) (*dhmessage.InstallSnapshot, error) {
		return a.add(from, &dhproto.InstallPart{Term: term, Transfer: transfer, Number: number, Last: number == last, Part: fragments[number]})
	}
	refused := func(what, from string, term, transfer uint64, number uint32) {
		t.Helper()
		if m, err := add(from, term, transfer, number); err == nil || m != nil {
			t.Errorf("%s: got %v and error %v, want an error", what, m, err)
		}
	}
	taken := func(from string, term, transfer uint64, number uint32) *dhmessage.InstallSnapshot {
		t.Helper()
		m, err := add(from, term, transfer, number)
		if err != nil {
			t.Fatalf("part %d of transfer %d: %v", number, transfer, err)
		}
		return m
	}
	refused("a part without the first", "c1", 2, 1, 1)
	taken("c1", 2, 1, 0)
	refused("a part that isn't the next", "c1", 2, 1, 2)
	refused("a part of another sender", "c2", 2, 1, 1)
	refused("a part of another transfer", "c1", 2, 9, 1)
	refused("the first part of an earlier term", "c0", 1, 5, 0)
	taken("c2", 3, 2, 0)
	refused("a part of the transfer before", "c1", 2, 1, 1)
	for number := uint32(1); number < last; number++ {
		if m := taken("c2", 3, 2, number); m != nil {
			t.Fatal("the snapshot is complete too early")
		}
	}
	m := taken("c2", 3, 2, last)
	if m == nil || len(m.Snapshot().Claims()) != 32 {
		t.Fatalf("the last part completes %v", m)
	}
	refused("the last part again", "c2", 3, 2, last)
	taken("c0", 1, 5, 0)
}
