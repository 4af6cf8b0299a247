package dhdisk

import (
	"fmt"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhproto"
	"dogwoodhitch/io/dhwire"
)

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
