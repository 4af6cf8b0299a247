package dhwire

import (
	"iter"
	"math"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhledger"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhproto"
)

// fragmentBytes is the approximate size from which on a fragment of a snapshot gets nothing more,
// in bytes of memory.
const fragmentBytes = 512 << 10

// SnapshotFragments returns a snapshot in parts. Each is a message of its own that a
// SnapshotAssembler takes in the same order, so that neither side holds the whole snapshot in
// protobuf. The first one has the index.
func SnapshotFragments(s dhmessage.Snapshot) iter.Seq[*dhproto.Snapshot] {
	return snapshotFragments(s, fragmentBytes)
}

// SnapshotToWire converts a snapshot to a single protobuf message.
func SnapshotToWire(s dhmessage.Snapshot) *dhproto.Snapshot {
	for m := range snapshotFragments(s, math.MaxInt) {
		return m
	}
	return nil
}

// SnapshotFromWire converts a snapshot from a single protobuf message, or returns an error.
func SnapshotFromWire(m *dhproto.Snapshot) (dhmessage.Snapshot, error) {
	a := NewSnapshotAssembler()
	if err := a.Add(m); err != nil {
		return dhmessage.Snapshot{}, err
	}
	return a.Snapshot()
}

// snapshotFragments returns a snapshot in parts of about a size.
func snapshotFragments(s dhmessage.Snapshot, maxBytes int) iter.Seq[*dhproto.Snapshot] {
	return func(yield func(*dhproto.Snapshot) bool) {
		f := fragmenter{maxBytes: maxBytes, yield: yield}
		f.begin()
		f.addHeader(s)
		if c := s.Catalog(); c != nil {
			f.addObjects(c)
			f.addBlocks(c)
		}
		for _, r := range s.Receipts() {
			f.current.Receipts = append(f.current.Receipts, receiptToWire(r))
			f.added(receiptBytes)
		}
		for _, a := range s.RecentChanges() {
			f.current.Recent = append(f.current.Recent, &dhproto.Accepted{
				Version: a.Version(), AtMs: a.LogTime().Milliseconds(), Set: ChangeSetToWire(a.ChangeSet()), Undo: ChangeSetToWire(a.Undo()),
			})
			f.added(a.ApproximateBytes())
		}
		for _, c := range s.Claims() {
			f.current.Claims = append(f.current.Claims, claimRecordToWire(c))
			f.added(claimBytes + c.Response().Size())
		}
		if f.bytes > 0 {
			f.flush()
		}
	}
}

// Approximate sizes in protobuf objects, in bytes.
const (
	headerBytes     = 500
	receiptBytes    = 300
	claimBytes      = 500
	tableBlockBytes = 14
)

// fragmenter collects the parts of a snapshot and yields a message whenever it is large enough.
type fragmenter struct {
	current  *dhproto.Snapshot
	blocks   *blockTable
	bytes    int
	maxBytes int
	yield    func(*dhproto.Snapshot) bool
	isDone   bool // nothing more is wanted
}

func (f *fragmenter) begin() { f.current, f.blocks, f.bytes = &dhproto.Snapshot{}, nil, 0 }

func (f *fragmenter) flush() {
	if !f.isDone {
		f.isDone = !f.yield(f.current)
	}
	f.begin()
}

// added records the size of what was added to the message.
func (f *fragmenter) added(bytes int) {
	f.bytes += bytes
	if f.bytes >= f.maxBytes {
		f.flush()
	}
}

func (f *fragmenter) addHeader(s dhmessage.Snapshot) {
	m := f.current
	m.Index, m.Term, m.AtMs = s.Index(), s.Term(), s.LogTime().Milliseconds()
	m.Voters, m.LimitsChangedAtMs = MembersToWire(s.Members()), s.LimitsChangedAt().Milliseconds()
	for _, d := range s.DrainStarts() {
		m.DrainStarts = append(m.DrainStarts, &dhproto.DrainStart{Name: d.Name(), AtMs: d.LogTime().Milliseconds()})
	}
	if c := s.Catalog(); c != nil {
		f.catalog().Version = c.Version()
	}
	f.added(headerBytes)
}

func (f *fragmenter) catalog() *dhproto.Catalog {
	if f.current.Catalog == nil {
		f.current.Catalog = &dhproto.Catalog{}
	}
	return f.current.Catalog
}

func (f *fragmenter) addObjects(c *dhcatalog.Catalog) {
	for _, k := range dhcatalog.Kinds() {
		for _, o := range c.List(k) {
			m := f.catalog()
			m.Objects = append(m.Objects, ObjectToWire(o))
			f.added(dhcatalog.ApproximateBytes(o))
		}
	}
}

func (f *fragmenter) addBlocks(c *dhcatalog.Catalog) {
	c.EachBlock(func(b dhcatalog.Block, site string) {
		if f.blocks == nil {
			f.blocks = newBlockTable()
			f.catalog().Blocks = f.blocks.table
		}
		f.blocks.add(b, site)
		f.added(tableBlockBytes)
	})
}

// SnapshotAssembler rebuilds a snapshot from its parts.
type SnapshotAssembler struct {
	options dhmessage.SnapshotOptions
	catalog dhcatalog.Builder
	version uint64
	loader  *dhledger.Loader
}

// NewSnapshotAssembler returns an assembler without parts.
func NewSnapshotAssembler() *SnapshotAssembler {
	return &SnapshotAssembler{loader: dhledger.NewLoader()}
}

// Add adds the next part, or returns an error that wraps a FormatError.
func (a *SnapshotAssembler) Add(m *dhproto.Snapshot) error {
	a.options.Index, a.options.Term = max(a.options.Index, m.GetIndex()), max(a.options.Term, m.GetTerm())
	a.options.LogTime = max(a.options.LogTime, dhclock.Millis(m.GetAtMs()))
	a.options.Members = append(a.options.Members, MembersFromWire(m.GetVoters())...)
	a.version = max(a.version, m.GetCatalog().GetVersion())
	if err := addCatalogFromWire(&a.catalog, m.GetCatalog()); err != nil {
		return err
	}
	a.loader.SetLimitsChangedAt(dhclock.Millis(m.GetLimitsChangedAtMs()))
	for _, w := range m.GetReceipts() {
		a.loader.AddReceipt(receiptFromWire(w))
	}
	for _, w := range m.GetRecent() {
		set, err := ChangeSetFromWire(w.GetSet())
		if err != nil {
			return err
		}
		undo, err := ChangeSetFromWire(w.GetUndo())
		if err != nil {
			return err
		}
		a.loader.AddChange(dhmessage.NewAcceptedChange(w.GetVersion(), dhclock.Millis(w.GetAtMs()), set, undo))
	}
	for _, w := range m.GetDrainStarts() {
		a.loader.AddDrainStart(dhmessage.NewDrainStart(w.GetName(), dhclock.Millis(w.GetAtMs())))
	}
	for _, w := range m.GetClaims() {
		a.options.Claims = append(a.options.Claims, claimRecordFromWire(w))
	}
	return nil
}

// Snapshot returns the snapshot that the parts make up, or an error if they hold no valid
// configuration.
func (a *SnapshotAssembler) Snapshot() (dhmessage.Snapshot, error) {
	c, err := buildCatalog(&a.catalog, a.version)
	if err != nil {
		return dhmessage.Snapshot{}, err
	}
	a.options.Catalog = c
	return a.loader.Snapshot(a.options), nil
}

func claimRecordToWire(c dhmessage.ClaimRecord) *dhproto.ClaimRecord {
	return &dhproto.ClaimRecord{
		Key: claimKeyToWire(c.Key()), Claimant: claimantToWire(c.Claimant()), Digest: digestToWire(c.Digest()),
		State: int32(c.State()), Answer: responseToWire(c.Response()),
		DeadlineMs: c.Deadline().Milliseconds(), ExpiryMs: c.Expiry().Milliseconds(),
	}
}

func claimRecordFromWire(w *dhproto.ClaimRecord) dhmessage.ClaimRecord {
	return dhmessage.NewClaimRecord(dhmessage.ClaimRecordOptions{
		Key: claimKeyFromWire(w.GetKey()), Claimant: claimantFromWire(w.GetClaimant()),
		Digest: digestFromWire(w.GetDigest()), State: dhmessage.ClaimState(w.GetState()),
		Response: responseFromWire(w.GetAnswer()),
		Deadline: dhclock.Millis(w.GetDeadlineMs()), Expiry: dhclock.Millis(w.GetExpiryMs()),
	})
}
