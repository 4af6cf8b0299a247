package dhledger

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// newTestLedger returns an empty ledger and a function that applies a command
// as the next entry, with the given log time.
func newTestLedger() (*Ledger, func(at dhclock.Millis, c dhmessage.Command) dhmessage.Result) {
	l := New(dhmessage.Snapshot{})
	index := uint64(0)
	return l, func(at dhclock.Millis, c dhmessage.Command) dhmessage.Result {
		index++
		return l.Apply(dhmessage.NewEntry(index, 1, at, c))
	}
}

var purchaseKey = dhmessage.NewClaimKey("glenmorven", "purchase-1")

// newClaim returns a claim of purchaseKey with a deadline of 100 ms and a
// retention of 1000 ms.
func newClaim(instance string) dhmessage.Claim {
	return dhmessage.NewClaim(dhmessage.ClaimOptions{
		Key: purchaseKey, Claimant: dhmessage.NewClaimant(instance, 1, 1),
		Digest: dhcatalog.Hash{1}, Timeout: 100, Retention: 1000,
	})
}

func newOutcome(instance string, s dhmessage.ClaimState) dhmessage.Outcome {
	return dhmessage.NewOutcome(purchaseKey, dhmessage.NewClaimant(instance, 1, 1), s, nil)
}

// TestReleaseBeforeClaim commits the release of a claim before the claim, as
// happens if the messages arrive out of order. The claim must not be granted,
// since its request has been refused as not run; another claimant's claim must.
func TestReleaseBeforeClaim(t *testing.T) {
	_, apply := newTestLedger()
	apply(1, newOutcome("a", dhmessage.ClaimReleased))
	if got := apply(2, newClaim("a")).ClaimState(); got != dhmessage.ClaimReleased {
		t.Errorf("claim after its release: got %v, want %v", got, dhmessage.ClaimReleased)
	}
	if got := apply(3, newClaim("b")).ClaimState(); got != dhmessage.ClaimGranted {
		t.Errorf("claim of another claimant: got %v, want %v", got, dhmessage.ClaimGranted)
	}
}

// TestClaimLifecycle applies claims and outcomes of two claimants for one key. A
// repeated proposal must be granted again, the other claimant must not get the
// claim before it expires, and only the claimant that holds the claim may record
// an outcome. Otherwise both claimants could run the request.
func TestClaimLifecycle(t *testing.T) {
	l, apply := newTestLedger()
	steps := []struct {
		at   dhclock.Millis
		c    dhmessage.Command
		want dhmessage.ClaimState
	}{
		{1, newClaim("a"), dhmessage.ClaimGranted},
		{2, newClaim("a"), dhmessage.ClaimGranted}, // the same proposal, committed twice
		{3, newClaim("b"), dhmessage.ClaimOpen},
		{200, newClaim("b"), dhmessage.ClaimUnclear},
		{201, newOutcome("b", dhmessage.ClaimReleased), dhmessage.ClaimNone}, // doesn't hold the claim
		{202, newOutcome("a", dhmessage.ClaimDone), dhmessage.ClaimDone},     // outcome after the deadline
		{203, newClaim("b"), dhmessage.ClaimDone},
		{204, newOutcome("a", dhmessage.ClaimReleased), dhmessage.ClaimDone}, // a final outcome is not replaced
		{1001, newClaim("b"), dhmessage.ClaimGranted},                        // the earlier claim has expired
	}
	for _, s := range steps {
		if got := apply(s.at, s.c).ClaimState(); got != s.want {
			t.Errorf("%T at %d: got %v, want %v", s.c, s.at, got, s.want)
		}
	}
	if restored := New(l.Snapshot(nil)); restored.ClaimCount() != l.ClaimCount() {
		t.Errorf("%d claims after restoring a snapshot, %d before", restored.ClaimCount(), l.ClaimCount())
	}
}

// TestResolve resolves a claim before and after its deadline. Before the deadline
// the claimant may still run the request, so that a release by an operator would
// let a second claimant run it too.
func TestResolve(t *testing.T) {
	_, apply := newTestLedger()
	apply(1, newClaim("a"))
	if r := apply(2, dhmessage.NewResolve(purchaseKey, true)); r.Err() == nil {
		t.Error("an open claim was resolved before its deadline")
	}
	if got := apply(200, dhmessage.NewResolve(purchaseKey, false)).ClaimState(); got != dhmessage.ClaimReleased {
		t.Errorf("unclear claim resolved as not run: got %v, want %v", got, dhmessage.ClaimReleased)
	}
	if got := apply(201, newClaim("b")).ClaimState(); got != dhmessage.ClaimGranted {
		t.Errorf("claim after that decision: got %v, want %v", got, dhmessage.ClaimGranted)
	}
}

// TestRecordedResponsesAreBounded records responses of 4 MiB up to
// MaxResponseBytes. The next claim is recorded without its response; once the
// older claims have expired, responses are recorded again. Without the bound,
// large responses would fill the memory of every voter.
func TestRecordedResponsesAreBounded(t *testing.T) {
	l, apply := newTestLedger()
	body := make([]byte, 4<<20)
	record := func(at dhclock.Millis, i int) dhmessage.ClaimState {
		k := dhmessage.NewClaimKey("o", fmt.Sprint("k", i))
		claimant := dhmessage.NewClaimant("a", 1, uint64(i))
		apply(at, dhmessage.NewClaim(dhmessage.ClaimOptions{Key: k, Claimant: claimant, Timeout: 10, Retention: 1000}))
		return apply(at, dhmessage.NewOutcome(k, claimant, dhmessage.ClaimDone, dhmessage.NewResponse(200, nil, body))).ClaimState()
	}
	capacity := MaxResponseBytes / len(body)
	for i := range capacity {
		if got := record(1, i); got != dhmessage.ClaimDone {
			t.Fatalf("response %d of %d: got %v, want %v", i, capacity, got, dhmessage.ClaimDone)
		}
	}
	if got := record(1, capacity); got != dhmessage.ClaimRan {
		t.Errorf("response beyond MaxResponseBytes: got %v, want %v", got, dhmessage.ClaimRan)
	}
	if restored := New(l.Snapshot(nil)); restored.responseBytes != l.responseBytes {
		t.Errorf("%d bytes of responses after restoring a snapshot, %d before", restored.responseBytes, l.responseBytes)
	}
	if got := record(2000, capacity+1); got != dhmessage.ClaimDone {
		t.Errorf("response after the older claims expired: got %v, want %v", got, dhmessage.ClaimDone)
	}
}

func newChange(id string, base uint64, digest byte) dhmessage.Command {
	return dhmessage.NewChange(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
		ID: id, Base: base, Author: "test", Digest: dhcatalog.Hash{digest},
		Puts: []dhcatalog.Object{dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: id})},
	}))
}

// TestResentChangeSets resends change sets to a ledger restored from a
// snapshot: a resend returns the version of the first time, and a reused ID or
// a stale base is refused.
func TestResentChangeSets(t *testing.T) {
	l, apply := newTestLedger()
	for i := range 5 {
		if r := apply(1, newChange(fmt.Sprint("id-", i), uint64(i), 1)); r.Err() != nil {
			t.Fatal(r.Err())
		}
	}
	restored := New(l.Snapshot(nil))
	if r := restored.Apply(dhmessage.NewEntry(9, 1, 1, newChange("id-2", 2, 1))); r.Version() != 3 {
		t.Errorf("resent change set: got %+v, want version 3", r)
	}
	var reused dhcatalog.ReusedError
	if r := restored.Apply(dhmessage.NewEntry(10, 1, 1, newChange("id-2", 5, 2))); !errors.As(r.Err(), &reused) {
		t.Errorf("different content under a used ID: got %+v, want a ReusedError", r)
	}
	var conflict dhcatalog.ConflictError
	if r := restored.Apply(dhmessage.NewEntry(11, 1, 1, newChange("id-9", 3, 1))); !errors.As(r.Err(), &conflict) || conflict.Current() != 5 {
		t.Errorf("stale base: got %+v, want a ConflictError with current version 5", r)
	}
}

// BenchmarkClaim applies a claim and its outcome per iteration.
func BenchmarkClaim(b *testing.B) {
	_, apply := newTestLedger()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		k := dhmessage.NewClaimKey("org", fmt.Sprint("key-", i))
		claimant := dhmessage.NewClaimant("i", 1, uint64(i))
		at := dhclock.Millis(i)
		apply(at, dhmessage.NewClaim(dhmessage.ClaimOptions{Key: k, Claimant: claimant, Timeout: 100, Retention: 100_000}))
		apply(at, dhmessage.NewOutcome(k, claimant, dhmessage.ClaimDone, nil))
	}
}

// TestStricterChecksSplitTheVoters applies edits with records of upstreams that earlier releases
// accept or refuse in the log. Voters of all releases must agree on each: a check that becomes
// stricter or looser here gives them different configurations under one version.
func TestStricterChecksSplitTheVoters(t *testing.T) {
	record := dhcatalog.UpstreamOptions{Name: "u", Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 1}
	for name, c := range map[string]struct {
		accepted bool
		change   func(u *dhcatalog.UpstreamOptions)
	}{
		"port with a sign":  {true, func(u *dhcatalog.UpstreamOptions) { u.Address = "10.0.0.1:+80" }},
		"name of a host":    {true, func(u *dhcatalog.UpstreamOptions) { u.Address = "cafe:80" }},
		"no host":           {true, func(u *dhcatalog.UpstreamOptions) { u.Address = "0.0.0.0:65535" }},
		"latest start":      {true, func(u *dhcatalog.UpstreamOptions) { u.Incarnation = math.MaxInt64 }},
		"earliest start":    {true, func(u *dhcatalog.UpstreamOptions) { u.Incarnation = math.MinInt64 }},
		"overflowed report": {true, func(u *dhcatalog.UpstreamOptions) { u.ColdReportID = math.MinInt64 }},
		"most slots":        {true, func(u *dhcatalog.UpstreamOptions) { u.Slots = 10_000 }},
		"longest start":     {true, func(u *dhcatalog.UpstreamOptions) { u.ColdRemaining = 3_600_000 }},
		"longest name":      {true, func(u *dhcatalog.UpstreamOptions) { u.Name = strings.Repeat("a", 128) }},
		"port 0":            {false, func(u *dhcatalog.UpstreamOptions) { u.Address = "10.0.0.1:0" }},
		"port too high":     {false, func(u *dhcatalog.UpstreamOptions) { u.Address = "10.0.0.1:65536" }},
		"letters":           {false, func(u *dhcatalog.UpstreamOptions) { u.Address = "localhost:80" }},
		"too many slots":    {false, func(u *dhcatalog.UpstreamOptions) { u.Slots = 10_001 }},
		"no slot":           {false, func(u *dhcatalog.UpstreamOptions) { u.Slots = 0 }},
		"unknown state":     {false, func(u *dhcatalog.UpstreamOptions) { u.State = 3 }},
		"too long a start":  {false, func(u *dhcatalog.UpstreamOptions) { u.ColdRemaining = 3_600_001 }},
		"no service":        {false, func(u *dhcatalog.UpstreamOptions) { u.Service = "" }},
		"slash":             {false, func(u *dhcatalog.UpstreamOptions) { u.Name = "a/b" }},
	} {
		odd := record
		c.change(&odd)
		l := New(dhmessage.Snapshot{})
		good := record
		good.Name, good.Address = "good", "10.0.0.2:80"
		r := l.Apply(dhmessage.NewEntry(1, 1, 0, dhmessage.NewEdit("test", []dhcatalog.Object{dhcatalog.NewUpstream(odd), dhcatalog.NewUpstream(good)}, nil)))
		if accepted := r.Err() == nil; accepted != c.accepted || (len(l.Catalog().UpstreamsOf("s")) == 2) != c.accepted {
			t.Errorf("%s: accepted %v with %d upstreams, want %v", name, accepted, len(l.Catalog().UpstreamsOf("s")), c.accepted)
		}
	}
}
