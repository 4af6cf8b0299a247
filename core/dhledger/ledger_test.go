package dhledger

import (
	"errors"
	"fmt"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// newTestLedger returns an empty ledger and a function that applies commands at
// log times.
func newTestLedger() (*Ledger, func(at dhclock.Millis, c dhmessage.Command) dhmessage.Result) {
	l := New(dhmessage.Snapshot{})
	index := uint64(0)
	return l, func(at dhclock.Millis, c dhmessage.Command) dhmessage.Result {
		index++
		return l.Apply(dhmessage.NewEntry(index, 1, at, c))
	}
}

var purchaseKey = dhmessage.NewClaimKey("glenmorven", "purchase-1")

func newClaim(instance string) dhmessage.Claim {
	return dhmessage.NewClaim(dhmessage.ClaimOptions{
		Key: purchaseKey, Claimant: dhmessage.NewClaimant(instance, 1, 1),
		Digest: dhcatalog.KeyHash{1}, Deadline: 100, Retention: 1000,
	})
}

func newOutcome(instance string, s dhmessage.ClaimState) dhmessage.Outcome {
	return dhmessage.NewOutcome(purchaseKey, dhmessage.NewClaimant(instance, 1, 1), s, nil)
}

func TestReleaseBeforeClaim(t *testing.T) {
	_, apply := newTestLedger()
	apply(1, newOutcome("a", dhmessage.ClaimReleased))
	if got := apply(2, newClaim("a")).Claim(); got != dhmessage.ClaimReleased {
		t.Errorf("a claim that was given up is %v", got)
	}
	if got := apply(3, newClaim("b")).Claim(); got != dhmessage.ClaimGranted {
		t.Errorf("another attempt's claim is %v", got)
	}
}

func TestClaimLifecycle(t *testing.T) {
	l, apply := newTestLedger()
	steps := []struct {
		at   dhclock.Millis
		c    dhmessage.Command
		want dhmessage.ClaimState
	}{
		{1, newClaim("a"), dhmessage.ClaimGranted},
		{2, newClaim("a"), dhmessage.ClaimGranted}, // the proposal came twice
		{3, newClaim("b"), dhmessage.ClaimOpen},
		{200, newClaim("b"), dhmessage.ClaimUnclear},
		{201, newOutcome("b", dhmessage.ClaimReleased), dhmessage.ClaimNone}, // not its claim
		{202, newOutcome("a", dhmessage.ClaimDone), dhmessage.ClaimDone},     // late, but true
		{203, newClaim("b"), dhmessage.ClaimDone},
		{204, newOutcome("a", dhmessage.ClaimReleased), dhmessage.ClaimDone}, // an outcome stays
		{1001, newClaim("b"), dhmessage.ClaimGranted},                        // forgotten after its retention
	}
	for _, s := range steps {
		if got := apply(s.at, s.c).Claim(); got != s.want {
			t.Errorf("at %d %T gave %v, want %v", s.at, s.c, got, s.want)
		}
	}
	if again := New(l.Snapshot(nil)); again.ClaimCount() != l.ClaimCount() {
		t.Errorf("%d claims after a snapshot, %d before", again.ClaimCount(), l.ClaimCount())
	}
}

func TestResolve(t *testing.T) {
	_, apply := newTestLedger()
	apply(1, newClaim("a"))
	if r := apply(2, dhmessage.NewResolve(purchaseKey, true)); r.Err() == nil {
		t.Error("a claim that runs may be resolved")
	}
	if got := apply(200, dhmessage.NewResolve(purchaseKey, false)).Claim(); got != dhmessage.ClaimReleased {
		t.Errorf("resolved as not run gives %v", got)
	}
	if got := apply(201, newClaim("b")).Claim(); got != dhmessage.ClaimGranted {
		t.Errorf("a resend after that gives %v", got)
	}
}

// TestRecordedAnswersAreBounded records large answers until there is no more room, and
// again once older ones are forgotten.
func TestRecordedAnswersAreBounded(t *testing.T) {
	l, apply := newTestLedger()
	body := make([]byte, 4<<20)
	record := func(at dhclock.Millis, i int) dhmessage.ClaimState {
		k := dhmessage.NewClaimKey("o", fmt.Sprint("k", i))
		by := dhmessage.NewClaimant("a", 1, uint64(i))
		apply(at, dhmessage.NewClaim(dhmessage.ClaimOptions{Key: k, Claimant: by, Deadline: 10, Retention: 1000}))
		return apply(at, dhmessage.NewOutcome(k, by, dhmessage.ClaimDone, dhmessage.NewAnswer(200, nil, body))).Claim()
	}
	room := MaxAnswerBytes / len(body)
	for i := range room {
		if got := record(1, i); got != dhmessage.ClaimDone {
			t.Fatalf("answer %d of %d: %v", i, room, got)
		}
	}
	if got := record(1, room); got != dhmessage.ClaimRan {
		t.Errorf("an answer without room is %v", got)
	}
	if again := New(l.Snapshot(nil)); again.answerBytes != l.answerBytes {
		t.Errorf("%d bytes after a snapshot, %d before", again.answerBytes, l.answerBytes)
	}
	if got := record(2000, room+1); got != dhmessage.ClaimDone {
		t.Errorf("after the older ones are forgotten an answer is %v", got)
	}
}

func newChange(id string, base uint64, digest byte) dhmessage.Command {
	return dhmessage.NewChange(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
		ID: id, Base: base, Author: "test", Digest: dhcatalog.KeyHash{digest},
		Puts: []dhcatalog.Object{dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: id})},
	}))
}

// TestResentChangeSets resends changes after others, over a snapshot.
func TestResentChangeSets(t *testing.T) {
	l, apply := newTestLedger()
	for i := range 5 {
		if r := apply(1, newChange(fmt.Sprint("id-", i), uint64(i), 1)); r.Err() != nil {
			t.Fatal(r.Err())
		}
	}
	again := New(l.Snapshot(nil))
	if r := again.Apply(dhmessage.NewEntry(9, 1, 1, newChange("id-2", 2, 1))); r.Version() != 3 {
		t.Errorf("a resend gave %+v", r)
	}
	var reused dhcatalog.ReusedError
	if r := again.Apply(dhmessage.NewEntry(10, 1, 1, newChange("id-2", 5, 2))); !errors.As(r.Err(), &reused) {
		t.Errorf("another content under the id gave %+v", r)
	}
	var conflict dhcatalog.ConflictError
	if r := again.Apply(dhmessage.NewEntry(11, 1, 1, newChange("id-9", 3, 1))); !errors.As(r.Err(), &conflict) || conflict.Current() != 5 {
		t.Errorf("an old base gave %+v", r)
	}
}

// BenchmarkClaim applies a claim and its outcome.
func BenchmarkClaim(b *testing.B) {
	_, apply := newTestLedger()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		k := dhmessage.NewClaimKey("org", fmt.Sprint("key-", i))
		by := dhmessage.NewClaimant("i", 1, uint64(i))
		at := dhclock.Millis(i)
		apply(at, dhmessage.NewClaim(dhmessage.ClaimOptions{Key: k, Claimant: by, Deadline: 100, Retention: 100_000}))
		apply(at, dhmessage.NewOutcome(k, by, dhmessage.ClaimDone, nil))
	}
}
