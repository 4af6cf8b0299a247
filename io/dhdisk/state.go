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

// State is the persistent state of a voter, as read from its data folder.
type State struct {
	identity  *dhproto.Identity
	term      uint64
	votedFor  string
	snapshot  dhmessage.Snapshot
	entries   []dhmessage.Entry
	suspects  []dhmessage.Suspect
	tornBytes int64
}

// ProcessName returns the name of the process that the folder belongs to.
func (s State) ProcessName() string { return s.identity.GetName() }

// FolderID returns the random ID of the folder.
func (s State) FolderID() string { return s.identity.GetFolder() }

// Founders returns the founding voters of the group, or nil if the folder was not
// founded.
func (s State) Founders() []dhmessage.Member { return dhwire.MembersFromWire(s.identity.GetFounders()) }

// Term returns the latest term that was persisted.
func (s State) Term() uint64 { return s.term }

// VotedFor returns the peer that this voter voted for in that term, or "".
func (s State) VotedFor() string { return s.votedFor }

// Snapshot returns the latest snapshot, empty if there is none.
func (s State) Snapshot() dhmessage.Snapshot { return s.snapshot }

// Entries returns the log entries after the snapshot.
func (s State) Entries() []dhmessage.Entry { return s.entries }

// Suspects returns the requests that were in flight at several crashes of upstreams.
func (s State) Suspects() []dhmessage.Suspect { return s.suspects }

// TornBytes returns the size of the torn record at the end of the log, in bytes.
// Open removes it.
func (s State) TornBytes() int64 { return s.tornBytes }

// numberedFile is a segment with its sequence number or a snapshot with its
// index.
type numberedFile struct {
	path      string
	number    uint64
	validSize int64 // of a segment, in bytes; 0 if its magic header is incomplete
}

// readState reads the identity, the latest snapshot, the suspects and the log of a data folder.
// It also returns the segments with the sizes of their valid parts.
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
	if err := s.readSuspects(path); err != nil {
		return s, nil, err
	}
	segments, err := s.readLog(path)
	return s, segments, err
}

func (s *State) readSnapshot(path string) error {
	snapshots := listNumbered(path, "snapshot-")
	if len(snapshots) == 0 {
		return nil
	}
	var err error
	s.snapshot, err = readSnapshot(snapshots[len(snapshots)-1].path)
	return err
}

// readLog reads the segments in order and applies their records. It returns the
// segments with the sizes of their valid parts.
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
		validSize, err := scanRecords(segments[i].path, logMagic, raw, s.applyRecord)
		if err != nil {
			return nil, err
		}
		segments[i].validSize = int64(validSize)
		if validSize == len(raw) {
			continue
		}
		if !last {
			return nil, CorruptionError{path: segments[i].path, offset: int64(validSize), reason: "the segment ends in an incomplete record, but it isn't the last one"}
		}
		s.tornBytes = int64(len(raw) - validSize)
	}
	return segments, nil
}

// applyRecord applies a log record to the state.
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

// appendEntry appends an entry and removes stored entries from its index on. It
// ignores entries that the snapshot covers, and entries after a gap: a crash
// occurred after they were written and before the installed snapshot that
// precedes them was stored, so they were never acknowledged.
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

// listNumbered returns the files whose names consist of the prefix and a number,
// in numeric order.
func listNumbered(path, prefix string) []numberedFile {
	paths, _ := filepath.Glob(filepath.Join(path, prefix+"*"))
	var files []numberedFile
	for _, p := range paths {
		number, err := strconv.ParseUint(strings.TrimPrefix(filepath.Base(p), prefix), 10, 64)
		if err == nil {
			files = append(files, numberedFile{path: p, number: number})
		}
	}
	slices.SortFunc(files, func(a, b numberedFile) int { return int(int64(a.number) - int64(b.number)) })
	return files
}
