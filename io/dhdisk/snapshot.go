package dhdisk

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhproto"
	"dogwoodhitch/io/dhwire"
)

// SaveSnapshot stores a snapshot and starts a new segment with the remaining log
// entries. A snapshot installed by the leader replaces the log and is synced
// before SaveSnapshot returns. Any other snapshot is written in the background;
// it is skipped while an earlier one is being written. If it is skipped or can't be written, the log
// keeps its entries until the next snapshot.
func (f *Folder) SaveSnapshot(e *dheffect.SaveSnapshot) error {
	if e.Installed() {
		<-f.snapshotDone
		if err := f.startSegment(e.Term(), e.VotedFor(), e.RemainingEntries()); err != nil {
			return err
		}
		f.snapshotError = f.storeSnapshot(e.Snapshot(), f.lastSegment)
		return f.snapshotError
	}
	select {
	case <-f.snapshotDone:
	default:
		return nil
	}
	if err := f.startSegment(e.Term(), e.VotedFor(), e.RemainingEntries()); err != nil {
		return err
	}
	f.snapshotDone = make(chan struct{})
	go func(done chan struct{}, firstSegment uint64, report func(error)) {
		defer close(done)
		f.snapshotError = f.storeSnapshot(e.Snapshot(), firstSegment)
		if f.snapshotError != nil {
			report(f.snapshotError)
		}
	}(f.snapshotDone, f.lastSegment, f.reportSnapshotError)
	return nil
}

// WaitForSnapshot waits until no snapshot is being written and returns the error
// of the last one.
func (f *Folder) WaitForSnapshot() error {
	<-f.snapshotDone
	return f.snapshotError
}

// storeSnapshot writes and syncs a snapshot, and then removes older snapshots and
// the segments before firstSegment, the one that the snapshot started.
func (f *Folder) storeSnapshot(s dhmessage.Snapshot, firstSegment uint64) error {
	path := filepath.Join(f.path, fmt.Sprintf("snapshot-%020d", s.Index()))
	if err := writeSnapshot(path, s); err != nil {
		return fmt.Errorf("write snapshot: %w", err)
	}
	for _, old := range listNumbered(f.path, "snapshot-") {
		if old.number < s.Index() {
			os.Remove(old.path)
		}
	}
	for _, old := range listNumbered(f.path, "log-") {
		if old.number < firstSegment {
			os.Remove(old.path)
		}
	}
	return nil
}

// writeSnapshot writes a snapshot fragment by fragment, so that it isn't in memory a second time.
func writeSnapshot(path string, s dhmessage.Snapshot) error {
	return writeRecords(path, snapshotMagic, func(add func(payload []byte) error) error {
		for fragment := range dhwire.SnapshotFragments(s) {
			payload, err := proto.Marshal(fragment)
			if err != nil {
				return err
			}
			if len(payload) == 0 {
				continue // an empty record would end the snapshot
			}
			if err := add(payload); err != nil {
				return err
			}
		}
		return add(nil)
	})
}

// readSnapshot reads a snapshot of this or an earlier release, a part at a time.
func readSnapshot(path string) (dhmessage.Snapshot, error) {
	f, err := os.Open(path)
	if err != nil {
		return dhmessage.Snapshot{}, fmt.Errorf("read snapshot: %w", err)
	}
	defer f.Close()
	r := snapshotReader{path: path, file: f, reader: bufio.NewReaderSize(f, bufferBytes), assembler: dhwire.NewSnapshotAssembler()}
	if err := r.read(); err != nil {
		return dhmessage.Snapshot{}, err
	}
	s, err := r.assembler.Snapshot()
	if err != nil {
		return s, r.corruption(err.Error())
	}
	return s, nil
}

// snapshotReader reads a snapshot from a file.
type snapshotReader struct {
	path      string
	file      *os.File
	reader    *bufio.Reader
	offset    int64 // of the record that is read
	assembler *dhwire.SnapshotAssembler
}

func (r *snapshotReader) corruption(reason string) error {
	return CorruptionError{path: r.path, offset: r.offset, reason: reason}
}

func (r *snapshotReader) read() error {
	magic := make([]byte, magicSize)
	if _, err := io.ReadFull(r.reader, magic); err != nil {
		return r.corruption("the magic header is missing: " + err.Error())
	}
	r.offset = magicSize
	switch string(magic) {
	case snapshotMagic:
		return r.readFragments()
	case wholeSnapshotMagic:
		return r.readWhole()
	default:
		return r.corruption("the magic header " + snapshotMagic + " is missing; a later release may have written the file")
	}
}

// readHeader reads the header of a record.
func (r *snapshotReader) readHeader() (header [recordHeaderSize]byte, length int64, err error) {
	if _, err := io.ReadFull(r.reader, header[:]); err != nil {
		return header, 0, r.corruption("a record is incomplete: " + err.Error())
	}
	length = int64(binary.LittleEndian.Uint32(header[:4]))
	if length > maxPayload {
		return header, 0, r.corruption("a record is longer than any that is written")
	}
	return header, length, nil
}

// readFragments reads the records up to the empty one at the end.
func (r *snapshotReader) readFragments() error {
	for {
		header, length, err := r.readHeader()
		if err != nil {
			return err
		}
		payload, err := r.readBytes(length)
		if err != nil {
			return err
		}
		if checksum(header[:4], payload) != binary.LittleEndian.Uint32(header[4:]) {
			return r.corruption("the checksum of a record is wrong")
		}
		if length == 0 {
			return r.requireEnd()
		}
		if err := r.add(payload); err != nil {
			return err
		}
		r.offset += recordHeaderSize + length
	}
}

// readBytes reads a number of bytes. It allocates them as they arrive, because a corrupt file may
// name any number.
func (r *snapshotReader) readBytes(length int64) ([]byte, error) {
	var b bytes.Buffer
	if n, err := io.CopyN(&b, r.reader, length); err != nil {
		return nil, r.corruption(fmt.Sprintf("a record has %d of %d bytes: %v", n, length, err))
	}
	return b.Bytes(), nil
}

func (r *snapshotReader) add(payload []byte) error {
	m := &dhproto.Snapshot{}
	if err := proto.Unmarshal(payload, m); err != nil {
		return r.corruption(err.Error())
	}
	if err := r.assembler.Add(m); err != nil {
		return r.corruption(err.Error())
	}
	return nil
}

func (r *snapshotReader) requireEnd() error {
	if _, err := r.reader.ReadByte(); !errors.Is(err, io.EOF) {
		return r.corruption("the file goes on behind its last record")
	}
	return nil
}

// readWhole reads the single record of an earlier release field by field. Its history may be many
// times as large as the memory of the process.
func (r *snapshotReader) readWhole() error {
	header, length, err := r.readHeader()
	if err != nil {
		return err
	}
	sum := crc32.New(castagnoliTable)
	sum.Write(header[:4])
	if n, err := io.CopyN(sum, r.reader, length); err != nil {
		return r.corruption(fmt.Sprintf("the record has %d of %d bytes: %v", n, length, err))
	}
	if sum.Sum32() != binary.LittleEndian.Uint32(header[4:]) {
		return r.corruption("the checksum of the record is wrong")
	}
	if err := r.requireEnd(); err != nil {
		return err
	}
	r.offset += recordHeaderSize
	if _, err := r.file.Seek(r.offset, io.SeekStart); err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	r.reader.Reset(r.file)
	for {
		field, err := r.readField()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := r.add(field); err != nil {
			return err
		}
		r.offset += int64(len(field))
	}
}

// readField reads the next field of the message with its tag. It returns io.EOF at the end.
func (r *snapshotReader) readField() ([]byte, error) {
	tag, err := binary.ReadUvarint(r.reader)
	if err != nil {
		return nil, err
	}
	number, kind := protowire.DecodeTag(tag)
	value, err := binary.ReadUvarint(r.reader)
	if err != nil || number <= 0 || kind != protowire.VarintType && kind != protowire.BytesType || value > maxPayload && kind == protowire.BytesType {
		return nil, r.corruption("a field is invalid")
	}
	field := protowire.AppendVarint(protowire.AppendTag(nil, number, kind), value)
	if kind == protowire.VarintType {
		return field, nil
	}
	content, err := r.readBytes(int64(value))
	return append(field, content...), err
}
