package dhloop

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhconsensus"
	"dogwoodhitch/core/dhcontrol"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhreducer"
	"dogwoodhitch/io/dhdisk"
	"dogwoodhitch/io/dhtime"
)

// follower is a voter with a data folder, to which a test sends the messages of a leader.
type follower struct {
	t        rapid.TB
	path     string
	matched  uint64 // last index that it has acknowledged
	started  int
	now      dhclock.Millis
	messages []dhmessage.Message // of the next batch
}

func newFollower(t rapid.TB, path string) *follower {
	founders := []dhmessage.Member{
		dhmessage.NewMember(dhmessage.NewPeer("c1", ""), "c1:1", false), dhmessage.NewMember(dhmessage.NewPeer("c2", ""), "c2:1", false),
		dhmessage.NewMember(dhmessage.NewPeer("c3", ""), "c3:1", false),
	}
	if err := dhdisk.Found(path, "c2", founders); err != nil {
		t.Fatal(err)
	}
	return &follower{t: t, path: path, now: 1}
}

// entry returns an entry that adds the organisation o-INDEX.
func (f *follower) entry(index, term uint64) dhmessage.Entry {
	return dhmessage.NewEntry(index, term, 1, dhmessage.NewEdit("test", []dhcatalog.Object{
		dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: fmt.Sprint("o-", index)}),
	}, nil))
}

// append queues a message with the entries after an index, up to another one.
func (f *follower) append(term, after, last uint64) {
	o := dhmessage.AppendRequestOptions{Term: term, PreviousIndex: after, PreviousTerm: term, CommitIndex: last, Round: 1}
	if after == 0 {
		o.PreviousTerm = 0
	}
	for index := after + 1; index <= last; index++ {
		o.Entries = append(o.Entries, f.entry(index, term))
	}
	f.messages = append(f.messages, dhmessage.NewAppendRequest(o))
}

// install queues a snapshot after an index.
func (f *follower) install(term, index uint64) {
	c := dhcatalog.New()
	for i := uint64(1); i <= index; i++ {
		next, err := c.Apply(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
			ID: fmt.Sprint("edit-", i), Base: c.Version(), Author: "test", Puts: f.entry(i, term).Command().(dhmessage.Edit).Puts(),
		}))
		if err != nil {
			f.t.Fatal(err)
		}
		c = next
	}
	members := []dhmessage.Member{dhmessage.NewMember(dhmessage.NewPeer("c1", ""), "c1:1", false), dhmessage.NewMember(dhmessage.NewPeer("c2", ""), "c2:1", false)}
	f.messages = append(f.messages, dhmessage.NewInstallSnapshot(dhmessage.InstallSnapshotOptions{
		Term: term, Round: 1, Snapshot: dhmessage.NewSnapshot(dhmessage.SnapshotOptions{Index: index, Term: term, LogTime: 1, Members: members, Catalog: c}),
	}))
}

// run starts the process, which finds the queued messages in its mailbox and handles them in one
// batch, and stops it.
func (f *follower) run() {
	folder, err := dhdisk.Open(f.path, "c2")
	if err != nil {
		f.t.Fatal(err)
	}
	defer folder.Close()
	s := folder.State()
	self := dhmessage.NewPeer("c2", s.FolderID())
	f.started++
	f.now += 1000
	loop := New(dhreducer.NewControl(dhcontrol.Options{
		Self: self, Voters: []string{"c1", "c2", "c3"}, StartID: uint64(f.started), Now: f.now,
		Consensus: &dhconsensus.Options{
			Self: self, Founders: s.Founders(), Term: s.Term(), VotedFor: s.VotedFor(), Snapshot: s.Snapshot(), Entries: s.Entries(), Now: f.now, Random: 1,
		},
	}), Seams{
		Self: self, Clock: dhtime.New(func() dhclock.Millis { return f.now }), TickInterval: time.Hour, Random: func() uint64 { return 1 },
		Send: func(_ string, m dhmessage.Message) {
			if r, ok := m.(*dhmessage.AppendResponse); ok && r.Accepted() {
				f.matched = max(f.matched, r.MatchIndex())
			}
		},
		Persist: folder.Persist, SaveSnapshot: folder.SaveSnapshot, Execute: func(dheffect.Effect) {},
	})
	for _, m := range f.messages {
		loop.TryPost(dhevent.NewMessageReceived(f.now, dhevent.MessageReceivedOptions{From: dhmessage.NewPeer("c1", "f1"), Message: m}))
	}
	f.messages = nil
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- loop.Run(ctx) }()
	for loop.QueueLength() > 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-ended; err != nil {
		f.t.Fatal(err)
	}
}

// check compares what the data folder holds with what the process has acknowledged.
func (f *follower) check() {
	s, err := dhdisk.Inspect(f.path)
	if err != nil {
		f.t.Fatal(err)
	}
	last := s.Snapshot().Index() + uint64(len(s.Entries()))
	if last < f.matched {
		f.t.Fatalf("the process acknowledged entry %d, its data folder ends at %d", f.matched, last)
	}
	indexes := []uint64{s.Snapshot().Index()}
	for _, e := range s.Entries() {
		indexes = append(indexes, e.Index())
	}
	if !slices.IsSorted(indexes) || indexes[len(indexes)-1] != last {
		f.t.Fatalf("the data folder holds the entries %v", indexes)
	}
}

// TestEntriesAfterAnInstalledSnapshotAreLost lets a follower find a leader's snapshot and the entries
// that follow it in one batch, as after a stall. What it has acknowledged must be there after a restart.
func TestEntriesAfterAnInstalledSnapshotAreLost(t *testing.T) {
	f := newFollower(t, filepath.Join(t.TempDir(), "data"))
	f.append(1, 0, 2)
	f.run()
	f.install(1, 10)
	f.append(1, 10, 12)
	f.run()
	if f.matched != 12 {
		t.Fatalf("the process acknowledged entry %d, want 12", f.matched)
	}
	f.check()
}

// TestAcknowledgedEntriesSurviveRestarts draws batches of snapshots and entries with restarts between
// them.
func TestAcknowledgedEntriesSurviveRestarts(t *testing.T) {
	folders := 0
	rapid.Check(t, func(r *rapid.T) {
		folders++
		f := newFollower(r, filepath.Join(t.TempDir(), fmt.Sprint("data-", folders)))
		last := uint64(0)
		for range rapid.IntRange(1, 4).Draw(r, "starts") {
			for range rapid.IntRange(1, 4).Draw(r, "messages") {
				next := last + uint64(rapid.IntRange(0, 3).Draw(r, "entries"))
				if rapid.Bool().Draw(r, "snapshot") && next > 0 {
					f.install(1, next)
				} else {
					f.append(1, last, next)
				}
				last = next
			}
			f.run()
			f.check()
		}
	})
}
