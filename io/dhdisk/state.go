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
func (s State) Founders() []dhmessage.Member { return dhwire.VotersFromWire(s.identity.GetFounders()) }

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
