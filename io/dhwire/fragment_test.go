package dhwire

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// drawSnapshot draws a snapshot of routes, blocks, receipts, changes and claims, some of them none.
func drawSnapshot(t *rapid.T) dhmessage.Snapshot {
	count := func(name string) int { return rapid.IntRange(0, 4).Draw(t, name) }
	o := dhmessage.SnapshotOptions{Index: 9, Term: 2, LogTime: 3, LimitsChangedAt: 2, Catalog: dhcatalog.New()}
	o.Members = []dhmessage.Member{dhmessage.NewMember(dhmessage.NewPeer("c", "f"), "10.0.0.1:1", false)}
	o.DrainStarts = []dhmessage.DrainStart{dhmessage.NewDrainStart("d", 1)}
	put := func(puts []dhcatalog.Object, blocks []dhcatalog.BlockChange) {
		s := dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
			ID: fmt.Sprint("change-", o.Catalog.Version()), Base: o.Catalog.Version(), Author: "a", Puts: puts, Blocks: blocks,
		})
		next, err := o.Catalog.Apply(s)
		if err != nil {
			t.Fatal(err)
		}
		undo := o.Catalog.Undo(s)
		if o.Catalog = next; len(puts) > 0 && puts[0].Ref().Kind() == dhcatalog.KindRoute {
			o.RecentChanges = append(o.RecentChanges, dhmessage.NewAcceptedChange(next.Version(), 1, s, undo))
		}
	}
	if rapid.Bool().Draw(t, "objects") {
		put([]dhcatalog.Object{
			dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "z", Region: "r"}), dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "s"}),
			dhcatalog.NewSite(dhcatalog.SiteOptions{Name: "s1", Zone: "z", TimeToLive: 1000}), dhcatalog.NewSite(dhcatalog.SiteOptions{Name: "s2", Zone: "z", TimeToLive: 1000}),
		}, nil)
		for i := range count("blocks") * 10 {
			put(nil, []dhcatalog.BlockChange{dhcatalog.NewBlockChange(dhcatalog.NewBlock(uint64(i)<<40, 24, false), fmt.Sprint("s", 1+i%2))})
		}
		for i := range count("routes") {
			put([]dhcatalog.Object{dhcatalog.NewRoute(dhcatalog.RouteOptions{
				Name: fmt.Sprint("r", i), PathPrefix: fmt.Sprintf("/r%d/", i), Service: "s", Timeout: 1000 + dhclock.Millis(i),
			})}, nil)
		}
	}
	for i := range count("receipts") {
		o.Receipts = append(o.Receipts, dhmessage.NewReceipt(dhmessage.ReceiptOptions{Version: uint64(i + 1), LogTime: 1, ID: fmt.Sprint("old-", i), Author: "a", Digest: dhcatalog.Hash{1}}))
	}
	for i := range count("claims") {
		o.Claims = append(o.Claims, dhmessage.NewClaimRecord(dhmessage.ClaimRecordOptions{
			Key: dhmessage.NewClaimKey("o", fmt.Sprint(i)), Response: dhmessage.NewResponse(200, nil, make([]byte, i*100)), Expiry: 5,
		}))
	}
	return dhmessage.NewSnapshot(o)
}

// TestSnapshotIsCutAnywhere cuts drawn snapshots into fragments of all sizes. No fragment may be empty,
// which would end a stored snapshot, and together they must make up the snapshot.
func TestSnapshotIsCutAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		maxBytes := rapid.IntRange(1, 6000).Draw(t, "maxBytes")
		a := NewSnapshotAssembler()
		for f := range snapshotFragments(s, maxBytes) {
			raw, err := proto.Marshal(f)
			if err != nil || len(raw) == 0 {
				t.Fatalf("a fragment has %d bytes, error %v", len(raw), err)
			}
			if err := a.Add(f); err != nil {
				t.Fatal(err)
			}
		}
		got, err := a.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if want, got := SnapshotToWire(s), SnapshotToWire(got); !proto.Equal(want, got) {
			t.Fatalf("the fragments make up %v, want %v", got, want)
		}
	})
}
