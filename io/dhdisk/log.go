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

// openLog opens the last segment for appending and truncates it after its last
// valid record. It starts a new segment if there is none, and replaces the last one
// if that has no complete header.
func (f *Folder) openLog(segments []numberedFile) error {
	if len(segments) == 0 || segments[len(segments)-1].validSize == 0 {
		if len(segments) > 0 {
			f.lastSegment = segments[len(segments)-1].number - 1
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

// startSegment creates and syncs the next segment, which begins with the given
// term, vote and entries, and makes it the open one.
func (f *Folder) startSegment(term uint64, votedFor string, entries []dhmessage.Entry) error {
	if f.logError != nil {
		return f.logError
	}
	f.lastSegment++
	path := filepath.Join(f.path, fmt.Sprintf("log-%020d", f.lastSegment))
	f.buffer = append(f.buffer[:0], logMagic...)
	if err := f.encodeRecords(term, votedFor, entries); err != nil {
		return err
	}
	log, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_RDWR, filePermission)
	if err != nil {
		return err
	}
	if err := f.flush(log); err != nil {
		log.Close()
		return err
	}
	if f.log != nil {
		f.log.Close()
	}
	f.log = log
	return syncParent(path)
}

// maxKeptBuffer is the size up to which the buffer is kept for the next records, in bytes.
const maxKeptBuffer = 1 << 20

// flush writes the buffer to a segment and syncs it. Once that has failed, it returns the same error
// without writing: the log may end in a torn record, and a later sync may succeed without what was lost.
func (f *Folder) flush(log *os.File) error {
	if f.logError != nil {
		return f.logError
	}
	_, f.logError = log.Write(f.buffer)
	if cap(f.buffer) > maxKeptBuffer {
		f.buffer = nil
	}
	if f.logError == nil {
		f.logError = log.Sync()
	}
	return f.logError
}

// encodeRecords appends one record for the term and vote and one for each entry
// to the buffer.
func (f *Folder) encodeRecords(term uint64, votedFor string, entries []dhmessage.Entry) error {
	records := []*dhproto.Record{{Term: term, Vote: votedFor}}
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
