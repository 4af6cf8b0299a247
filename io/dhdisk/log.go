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

// openLog opens the last segment for writing, behind its last valid
// record, or starts the first one.
func (f *Folder) openLog(segments []numberedFile) error {
	if len(segments) == 0 || segments[len(segments)-1].validSize == 0 {
		if len(segments) > 0 {
			f.lastSegment = segments[len(segments)-1].number
		}
		return f.startSegment(f.state.term, f.state.votedFor, nil)
	}
	last := segments[len(segments)-1]
	log, err := os.OpenFile(last.path, os.O_RDWR, filePermission)
	if err != nil {
		return err
	}
	if err := log.Truncate(last.validSize); err != nil {
		log.Close()
		return err
	}
	if _, err := log.Seek(last.validSize, 0); err != nil {
		log.Close()
		return err
	}
	f.log, f.lastSegment = log, last.number
	return log.Sync()
}

// startSegment starts a new log file with term, vote and entries.
func (f *Folder) startSegment(term uint64, vote string, entries []dhmessage.Entry) error {
	f.lastSegment++
	path := filepath.Join(f.path, fmt.Sprintf("log-%020d", f.lastSegment))
	f.buffer = append(f.buffer[:0], logMagic...)
	if err := f.encodeRecords(term, vote, entries); err != nil {
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
	return syncParent(path)
}

// encodeRecords adds records to the buffer.
func (f *Folder) encodeRecords(term uint64, vote string, entries []dhmessage.Entry) error {
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
