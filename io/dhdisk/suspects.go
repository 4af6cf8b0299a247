package dhdisk

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhproto"
	"dogwoodhitch/io/dhwire"
)

// SaveSuspects replaces the stored suspects and syncs them. It may run concurrently with the
// folder's other methods, but not with itself or Close.
func (f *Folder) SaveSuspects(list []dhmessage.Suspect) error {
	report := dhmessage.NewSuspectReport(dhmessage.SuspectReportOptions{Suspects: list})
	payload, err := proto.Marshal(dhwire.SuspectReportToWire(report))
	if err != nil {
		return err
	}
	if err := writeRecordFile(suspectsPath(f.path), suspectsMagic, payload); err != nil {
		return fmt.Errorf("write suspects: %w", err)
	}
	return nil
}

func suspectsPath(folder string) string { return filepath.Join(folder, "suspects") }

func (s *State) readSuspects(folder string) error {
	path := suspectsPath(folder)
	raw, err := readRecordFile(path, suspectsMagic)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	m := &dhproto.SuspectReport{}
	if err := proto.Unmarshal(raw, m); err != nil {
		return CorruptionError{path: path, reason: err.Error()}
	}
	report, err := dhwire.SuspectReportFromWire(m)
	if err != nil {
		return CorruptionError{path: path, reason: err.Error()}
	}
	s.suspects = report.Suspects()
	return nil
}
