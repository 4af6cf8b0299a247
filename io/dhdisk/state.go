package dhdisk

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhproto"
	"dogwoodhitch/io/dhwire"
)

// State is what a data folder holds.
type State struct {
	identity  *dhproto.Identity
	term      uint64
	votedFor  string
	snapshot  dhmessage.Snapshot
	entries   []dhmessage.Entry
	tornBytes int64
}

// ProcessName returns the name of the process that the folder belongs to.
func (s State) ProcessName() string { return s.identity.GetName() }

// FolderID returns the random identity of the folder.
func (s State) FolderID() string { return s.identity.GetFolder() }

// Founders returns the voters of a new group, or nil.
func (s State) Founders() []dhmessage.Member { return dhwire.VotersFromWire(s.identity.GetFounders()) }

// Term returns the last term.
func (s State) Term() uint64 { return s.term }

// VotedFor returns the vote of that term, or "".
func (s State) VotedFor() string { return s.votedFor }

// Snapshot returns the newest snapshot.
func (s State) Snapshot() dhmessage.Snapshot { return s.snapshot }

// Entries returns the log entries after the snapshot.
func (s State) Entries() []dhmessage.Entry { return s.entries }

// TornBytes returns how many bytes of a record that was cut off were removed.
func (s State) TornBytes() int64 { return s.tornBytes }

// numberedFile is one log file.
type numberedFile struct {
	path      string
	number    uint64
	validSize int64
}

// readState loads identity, newest snapshot and log.
func readState(path string) (State, []numberedFile, error) {
	var s State
	raw, err := readRecordFile(filepath.Join(path, "identity"), identityMagic)
	if err != nil {
		return s, nil, err
	}
	s.identity = &dhproto.Identity{}
	if err := proto.Unmarshal(raw, s.identity); err != nil {
		return s, nil, CorruptionError{path: filepath.Join(path, "identity"), reason: err.Error()}
	}
	if err := s.readSnapshot(path); err != nil {
		return s, nil, err
	}
	segments, err := s.readLog(path)
	return s, segments, err
}

func (s *State) readSnapshot(path string) error {
	names := listNumbered(path, "snapshot-")
	if len(names) == 0 {
		return nil
	}
	newest := names[len(names)-1].path
	raw, err := readRecordFile(newest, snapshotMagic)
	if err != nil {
		return err
	}
	m := &dhproto.Snapshot{}
	if err := proto.Unmarshal(raw, m); err != nil {
		return CorruptionError{path: newest, reason: err.Error()}
	}
	if s.snapshot, err = dhwire.SnapshotFromWire(m); err != nil {
		return CorruptionError{path: newest, reason: err.Error()}
	}
	return nil
}

func (s *State) readLog(path string) ([]numberedFile, error) {
	segments := listNumbered(path, "log-")
	for i := range segments {
		raw, err := os.ReadFile(segments[i].path)
		if err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
		last := i == len(segments)-1
		if last && len(raw) < magicSize {
			s.tornBytes = int64(len(raw))
			continue
		}
		valid, err := scanRecords(segments[i].path, logMagic, raw, s.applyRecord)
		if err != nil {
			return nil, err
		}
		segments[i].validSize = int64(valid)
		if valid == len(raw) {
			continue
		}
		if !last {
			return nil, CorruptionError{path: segments[i].path, offset: int64(valid), reason: "a segment that isn't the last one is incomplete"}
		}
		s.tornBytes = int64(len(raw) - valid)
	}
	return segments, nil
}

// applyRecord applies one record of the log.
func (s *State) applyRecord(payload []byte) error {
	r := &dhproto.Record{}
	if err := proto.Unmarshal(payload, r); err != nil {
		return err
	}
	if r.GetTerm() > 0 {
		s.term, s.votedFor = r.GetTerm(), r.GetVote()
	}
	if r.GetEntry() == nil {
		return nil
	}
	e, err := dhwire.EntryFromWire(r.GetEntry())
	if err != nil {
		return err
	}
	s.appendEntry(e)
	return nil
}

// appendEntry adds an entry. An entry that doesn't follow the log was written with
// a snapshot that was never put in place; it was not acknowledged.
func (s *State) appendEntry(e dhmessage.Entry) {
	base := s.snapshot.Index()
	if e.Index() <= base {
		return
	}
	if e.Index() > base+uint64(len(s.entries))+1 {
		return
	}
	s.entries = append(s.entries[:e.Index()-base-1], e)
}

// listNumbered lists the files of a kind by their number.
func listNumbered(path, prefix string) []numberedFile {
	names, _ := filepath.Glob(filepath.Join(path, prefix+"*"))
	var list []numberedFile
	for _, n := range names {
		number, err := strconv.ParseUint(strings.TrimPrefix(filepath.Base(n), prefix), 10, 64)
		if err == nil {
			list = append(list, numberedFile{path: n, number: number})
		}
	}
	slices.SortFunc(list, func(a, b numberedFile) int { return int(int64(a.number) - int64(b.number)) })
	return list
}
