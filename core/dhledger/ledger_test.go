package dhledger

import (
	"errors"
	"fmt"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// withLedger returns an empty ledger and a function that applies commands at
// log times.
func withLedger() (*Ledger, func(at dhclock.Millis, c dhmessage.Command) dhmessage.Result) {
	l := New(dhmessage.Snapshot{})
	index := uint64(0)
	return l, func(at dhclock.Millis, c dhmessage.Command) dhmessage.Result {
		index++
		return l.Apply(dhmessage.NewEntry(index, 1, at, c))
	}
}

var purchaseKey = dhmessage.NewClaimKey("glenmorven", "purchase-1")

func claim(instance string) dhmessage.Claim {
	return dhmessage.NewClaim(dhmessage.ClaimOptions{
		Key: purchaseKey, Claimant: dhmessage.NewClaimant(instance, 1, 1),
		Digest: dhcatalog.KeyHash{1}, Deadline: 100, Retention: 1000,
	})
}

func outcome(instance string, s dhmessage.ClaimState) dhmessage.Outcome {
	return dhmessage.NewOutcome(purchaseKey, dhmessage.NewClaimant(instance, 1, 1), s, nil)
}

func TestReleaseThatOvertakesItsClaim(t *testing.T) {
	_, apply := withLedger()
	apply(1, outcome("a", dhmessage.ClaimReleased))
	if got := apply(2, claim("a")).Claim(); got != dhmessage.ClaimReleased {
		t.Errorf("a claim that was given up is %v", got)
	}
	if got := apply(3, claim("b")).Claim(); got != dhmessage.ClaimGranted {
		t.Errorf("another attempt's claim is %v", got)
	}
}

func TestClaimLife(t *testing.T) {
	l, apply := withLedger()
	steps := []struct {
		at   dhclock.Millis
		c    dhmessage.Command
		want dhmessage.ClaimState
	}{
		{1, claim("a"), dhmessage.ClaimGranted},
		{2, claim("a"), dhmessage.ClaimGranted}, // the proposal came twice
		{3, claim("b"), dhmessage.ClaimOpen},
		{200, claim("b"), dhmessage.ClaimUnclear},
		{201, outcome("b", dhmessage.ClaimReleased), dhmessage.ClaimNone}, // not its claim
		{202, outcome("a", dhmessage.ClaimDone), dhmessage.ClaimDone},     // late, but true
		{203, claim("b"), dhmessage.ClaimDone},
		{204, outcome("a", dhmessage.ClaimReleased), dhmessage.ClaimDone}, // an outcome stays
		{1001, claim("b"), dhmessage.ClaimGranted},                        // forgotten after its retention
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
	_, apply := withLedger()
	apply(1, claim("a"))
	if r := apply(2, dhmessage.NewResolve(purchaseKey, true)); r.Err() == nil {
		t.Error("a claim that runs may be resolved")
	}
	if got := apply(200, dhmessage.NewResolve(purchaseKey, false)).Claim(); got != dhmessage.ClaimReleased {
		t.Errorf("resolved as not run gives %v", got)
	}
	if got := apply(201, claim("b")).Claim(); got != dhmessage.ClaimGranted {
		t.Errorf("a resend after that gives %v", got)
	}
}

// TestAnswersAreBounded records large answers until there is no more room, and
// again once older ones are forgotten.
func TestAnswersAreBounded(t *testing.T) {
	l, apply := withLedger()
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
	if again := New(l.Snapshot(nil)); again.answers != l.answers {
		t.Errorf("%d bytes after a snapshot, %d before", again.answers, l.answers)
	}
	if got := record(2000, room+1); got != dhmessage.ClaimDone {
		t.Errorf("after the older ones are forgotten an answer is %v", got)
	}
}

func change(id string, base uint64, digest byte) dhmessage.Command {
	return dhmessage.NewChange(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
		ID: id, Base: base, Author: "test", Digest: dhcatalog.KeyHash{digest},
		Puts: []dhcatalog.Object{dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: id})},
	}))
}

// TestChangeMemory resends changes after others, over a snapshot.
func TestChangeMemory(t *testing.T) {
	l, apply := withLedger()
	for i := range 5 {
		if r := apply(1, change(fmt.Sprint("id-", i), uint64(i), 1)); r.Err() != nil {
			t.Fatal(r.Err())
		}
	}
	again := New(l.Snapshot(nil))
	if r := again.Apply(dhmessage.NewEntry(9, 1, 1, change("id-2", 2, 1))); r.Version() != 3 {
		t.Errorf("a resend gave %+v", r)
	}
	var reused dhcatalog.ReusedError
	if r := again.Apply(dhmessage.NewEntry(10, 1, 1, change("id-2", 5, 2))); !errors.As(r.Err(), &reused) {
		t.Errorf("another content under the id gave %+v", r)
	}
	var conflict dhcatalog.ConflictError
	if r := again.Apply(dhmessage.NewEntry(11, 1, 1, change("id-9", 3, 1))); !errors.As(r.Err(), &conflict) || conflict.Current() != 5 {
		t.Errorf("an old base gave %+v", r)
	}
}

// BenchmarkClaim applies a claim and its outcome.
func BenchmarkClaim(b *testing.B) {
	_, apply := withLedger()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		k := dhmessage.NewClaimKey("org", fmt.Sprint("key-", i))
		by := dhmessage.NewClaimant("i", 1, uint64(i))
		at := dhclock.Millis(i)
		apply(at, dhmessage.NewClaim(dhmessage.ClaimOptions{Key: k, Claimant: by, Deadline: 100, Retention: 100_000}))
		apply(at, dhmessage.NewOutcome(k, by, dhmessage.ClaimDone, nil))
	}
}
