// Package dhdisk keeps a voter's term, vote, log and snapshots in one data
// folder.
//
// The folder holds:
//
//	lock               held while a process uses the folder
//	identity           name, random identity, and the founders of the group
//	snapshot-INDEX     the state after the entry of that index
//	log-SEQUENCE       segments of the log, read in the order of their numbers
//
// Only the last segment may end in a record that was cut off. An entry whose
// index exists already replaces it and all that follow. Each snapshot starts a
// new segment; the old ones are removed once the snapshot is synced.
package dhdisk

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"google.golang.org/protobuf/proto"

	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhproto"
	"dogwoodhitch/io/dhwire"
)

// Permissions of the folder and its files.
const (
	folderPermission = 0o700
	filePermission   = 0o600
)

// Format is the version of the layout.
const Format = 1

// identitySize is the length of a folder's random identity, in bytes.
const identitySize = 8

// Folder is an open data folder.
type Folder struct {
	path     string
	lock     *os.File
	log      *os.File
	sequence uint64
	buffer   []byte
	saving   chan struct{} // closed when no snapshot is being written
	failed   error         // of the last snapshot, once saving is closed
	state    State
}

// State is what a data folder holds.
type State struct {
	identity *dhproto.Identity
	term     uint64
	vote     string
	snapshot dhmessage.Snapshot
	entries  []dhmessage.Entry
	cut      int64
}

// Name returns the name of the process that the folder belongs to.
func (s State) Name() string { return s.identity.GetName() }

// Identity returns the random identity of the folder.
func (s State) Identity() string { return s.identity.GetFolder() }

// Founders returns the voters of a new group, or nil.
func (s State) Founders() []dhmessage.Voter { return dhwire.VotersFromWire(s.identity.GetFounders()) }

// Term returns the last term.
func (s State) Term() uint64 { return s.term }

// Vote returns the vote of that term, or "".
func (s State) Vote() string { return s.vote }

// Snapshot returns the newest snapshot.
func (s State) Snapshot() dhmessage.Snapshot { return s.snapshot }

// Entries returns the log entries after the snapshot.
func (s State) Entries() []dhmessage.Entry { return s.entries }

// Cut returns how many bytes of a record that was cut off were removed.
func (s State) Cut() int64 { return s.cut }

// Found gives an empty folder the identity of a founder of a new group.
func Found(path, name string, founders []dhmessage.Voter) error {
	if err := os.MkdirAll(path, folderPermission); err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	if _, err := os.Stat(filepath.Join(path, "identity")); err == nil {
		return FoundedError{folder: path}
	}
	return writeIdentity(path, name, founders)
}

func writeIdentity(path, name string, founders []dhmessage.Voter) error {
	raw := make([]byte, identitySize)
	if _, err := rand.Read(raw); err != nil {
		return err
	}
	payload, err := proto.Marshal(&dhproto.Identity{
		Format: Format, Name: name, Folder: hex.EncodeToString(raw), Founders: dhwire.VotersToWire(founders),
	})
	if err != nil {
		return err
	}
	return writeSynced(filepath.Join(path, "identity"), identityMark, payload)
}

// Open locks a data folder and reads it. An empty folder gets a new identity
// without a vote. A record at the end whose write was cut off is removed;
// other damage is a DamageError.
func Open(path, name string) (*Folder, error) {
	if err := os.MkdirAll(path, folderPermission); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	f := &Folder{path: path, saving: make(chan struct{})}
	close(f.saving)
	if err := f.takeLock(); err != nil {
		return nil, err
	}
	if err := f.open(name); err != nil {
		f.lock.Close()
		return nil, err
	}
	return f, nil
}

func (f *Folder) open(name string) error {
	if _, err := os.Stat(filepath.Join(f.path, "identity")); errors.Is(err, fs.ErrNotExist) {
		if err := f.requireBlank(); err != nil {
			return err
		}
		if err := writeIdentity(f.path, name, nil); err != nil {
			return err
		}
	}
	state, files, err := read(f.path)
	if err != nil {
		return err
	}
	if state.Name() != name {
		return NameError{folder: f.path, owner: state.Name(), name: name}
	}
	f.state = state
	return f.continueLog(files)
}

// requireBlank refuses a folder that lost its identity but not its log.
func (f *Folder) requireBlank() error {
	for _, pattern := range []string{"log-*", "snapshot-*"} {
		if found, _ := filepath.Glob(filepath.Join(f.path, pattern)); len(found) > 0 {
			return DamageError{path: filepath.Join(f.path, "identity"), reason: "it is missing beside " + filepath.Base(found[0])}
		}
	}
	return nil
}

func (f *Folder) takeLock() error {
	lock, err := os.OpenFile(filepath.Join(f.path, "lock"), os.O_CREATE|os.O_RDWR, filePermission)
	if err != nil {
		return fmt.Errorf("open lock: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return LockedError{folder: f.path}
	}
	f.lock = lock
	return nil
}

// State returns what the folder held when it was opened.
func (f *Folder) State() State { return f.state }

// Inspect reads a data folder without changing it.
func Inspect(path string) (State, error) {
	s, _, err := read(path)
	return s, err
}

// segment is one log file.
type segment struct {
	path     string
	sequence uint64
	valid    int64
}

// read loads identity, newest snapshot and log.
func read(path string) (State, []segment, error) {
	var s State
	raw, err := readWhole(filepath.Join(path, "identity"), identityMark)
	if err != nil {
		return s, nil, err
	}
	s.identity = &dhproto.Identity{}
	if err := proto.Unmarshal(raw, s.identity); err != nil {
		return s, nil, DamageError{path: filepath.Join(path, "identity"), reason: err.Error()}
	}
	if err := s.readSnapshot(path); err != nil {
		return s, nil, err
	}
	segments, err := s.readLog(path)
	return s, segments, err
}

func (s *State) readSnapshot(path string) error {
	names := numbered(path, "snapshot-")
	if len(names) == 0 {
		return nil
	}
	newest := names[len(names)-1].path
	raw, err := readWhole(newest, snapshotMark)
	if err != nil {
		return err
	}
	m := &dhproto.Snapshot{}
	if err := proto.Unmarshal(raw, m); err != nil {
		return DamageError{path: newest, reason: err.Error()}
	}
	if s.snapshot, err = dhwire.SnapshotFromWire(m); err != nil {
		return DamageError{path: newest, reason: err.Error()}
	}
	return nil
}

func (s *State) readLog(path string) ([]segment, error) {
	segments := numbered(path, "log-")
	for i := range segments {
		raw, err := os.ReadFile(segments[i].path)
		if err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
		last := i == len(segments)-1
		if last && len(raw) < markSize {
			s.cut = int64(len(raw))
			continue
		}
		valid, err := scan(segments[i].path, logMark, raw, s.take)
		if err != nil {
			return nil, err
		}
		segments[i].valid = int64(valid)
		if valid == len(raw) {
			continue
		}
		if !last {
			return nil, DamageError{path: segments[i].path, offset: int64(valid), reason: "a segment that isn't the last one is incomplete"}
		}
		s.cut = int64(len(raw) - valid)
	}
	return segments, nil
}

// take applies one record of the log.
func (s *State) take(payload []byte) error {
	r := &dhproto.Record{}
	if err := proto.Unmarshal(payload, r); err != nil {
		return err
	}
	if r.GetTerm() > 0 {
		s.term, s.vote = r.GetTerm(), r.GetVote()
	}
	if r.GetEntry() == nil {
		return nil
	}
	e, err := dhwire.EntryFromWire(r.GetEntry())
	if err != nil {
		return err
	}
	s.append(e)
	return nil
}

// append adds an entry. An entry that doesn't follow the log was written with
// a snapshot that was never put in place; it was not acknowledged.
func (s *State) append(e dhmessage.Entry) {
	base := s.snapshot.Index()
	if e.Index() <= base {
		return
	}
	if e.Index() > base+uint64(len(s.entries))+1 {
		return
	}
	s.entries = append(s.entries[:e.Index()-base-1], e)
}

// numbered lists the files of a kind by their number.
func numbered(path, prefix string) []segment {
	names, _ := filepath.Glob(filepath.Join(path, prefix+"*"))
	var list []segment
	for _, n := range names {
		number, err := strconv.ParseUint(strings.TrimPrefix(filepath.Base(n), prefix), 10, 64)
		if err == nil {
			list = append(list, segment{path: n, sequence: number})
		}
	}
	slices.SortFunc(list, func(a, b segment) int { return int(int64(a.sequence) - int64(b.sequence)) })
	return list
}

func syncFolder(path string) error {
	d, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// continueLog opens the last segment for writing, behind its last valid
// record, or starts the first one.
func (f *Folder) continueLog(segments []segment) error {
	if len(segments) == 0 || segments[len(segments)-1].valid == 0 {
		if len(segments) > 0 {
			f.sequence = segments[len(segments)-1].sequence
		}
		return f.startSegment(f.state.term, f.state.vote, nil)
	}
	last := segments[len(segments)-1]
	log, err := os.OpenFile(last.path, os.O_RDWR, filePermission)
	if err != nil {
		return err
	}
	if err := log.Truncate(last.valid); err != nil {
		log.Close()
		return err
	}
	if _, err := log.Seek(last.valid, 0); err != nil {
		log.Close()
		return err
	}
	f.log, f.sequence = log, last.sequence
	return log.Sync()
}

// startSegment starts a new log file with term, vote and entries.
func (f *Folder) startSegment(term uint64, vote string, entries []dhmessage.Entry) error {
	f.sequence++
	path := filepath.Join(f.path, fmt.Sprintf("log-%020d", f.sequence))
	f.buffer = append(f.buffer[:0], logMark...)
	if err := f.encode(term, vote, entries); err != nil {
		return err
	}
	log, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_RDWR, filePermission)
	if err != nil {
		return err
	}
	if _, err := log.Write(f.buffer); err != nil {
		log.Close()
		return err
	}
	if err := log.Sync(); err != nil {
		log.Close()
		return err
	}
	if f.log != nil {
		f.log.Close()
	}
	f.log = log
	return syncFolder(path)
}

// encode adds records to the buffer.
func (f *Folder) encode(term uint64, vote string, entries []dhmessage.Entry) error {
	records := []*dhproto.Record{{Term: term, Vote: vote}}
	for _, e := range entries {
		records = append(records, &dhproto.Record{Entry: dhwire.EntryToWire(e)})
	}
	for _, r := range records {
		payload, err := proto.Marshal(r)
		if err != nil {
			return err
		}
		f.buffer = appendRecord(f.buffer, payload)
	}
	return nil
}

// Persist writes the effects in order and syncs once.
func (f *Folder) Persist(list []*dheffect.Persist) error {
	f.buffer = f.buffer[:0]
	for _, p := range list {
		if err := f.encode(p.Term(), p.Vote(), p.Entries()); err != nil {
			return fmt.Errorf("encode log: %w", err)
		}
	}
	if _, err := f.log.Write(f.buffer); err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	if err := f.log.Sync(); err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	return nil
}

// Save stores a snapshot. One that replaces the log is synced before Save
// returns; another is written in the background, and skipped while an earlier
// one is being written: then the log is kept for longer.
func (f *Folder) Save(e *dheffect.SaveSnapshot) error {
	if e.Installed() {
		if err := f.Wait(); err != nil {
			return err
		}
		if err := f.startSegment(e.Term(), e.Vote(), e.Rest()); err != nil {
			return err
		}
		return f.store(e.Snapshot(), f.sequence)
	}
	select {
	case <-f.saving:
	default:
		return nil
	}
	if f.failed != nil {
		return f.failed
	}
	if err := f.startSegment(e.Term(), e.Vote(), e.Rest()); err != nil {
		return err
	}
	f.saving = make(chan struct{})
	go func(done chan struct{}, sequence uint64) {
		defer close(done)
		f.failed = f.store(e.Snapshot(), sequence)
	}(f.saving, f.sequence)
	return nil
}

// Wait waits until no snapshot is being written, and returns the last one's
// error.
func (f *Folder) Wait() error {
	<-f.saving
	return f.failed
}

// store puts a snapshot in place and removes what it replaces.
func (f *Folder) store(s dhmessage.Snapshot, sequence uint64) error {
	payload, err := proto.Marshal(dhwire.SnapshotToWire(s))
	if err != nil {
		return err
	}
	path := filepath.Join(f.path, fmt.Sprintf("snapshot-%020d", s.Index()))
	if err := writeSynced(path, snapshotMark, payload); err != nil {
		return fmt.Errorf("write snapshot: %w", err)
	}
	for _, old := range numbered(f.path, "snapshot-") {
		if old.sequence < s.Index() {
			os.Remove(old.path)
		}
	}
	for _, old := range numbered(f.path, "log-") {
		if old.sequence < sequence {
			os.Remove(old.path)
		}
	}
	return nil
}

// Close ends the use of the folder.
func (f *Folder) Close() error {
	err := f.Wait()
	return errors.Join(err, f.log.Close(), f.lock.Close())
}
