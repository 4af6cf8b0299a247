package dhdisk

import (
	"bufio"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"os"
)

// Layout of a file: an 8-byte magic header, then records. A record has a header
// of two little-endian integers of 4 bytes each, the length of the payload and
// the CRC-32C of length and payload, followed by the payload, an encoded
// Protobuf message. A snapshot has a record for each of its fragments and ends in
// an empty one.
const (
	logMagic      = "dhLog001"
	snapshotMagic = "dhSnap02"
	identityMagic = "dhIden01"
	suspectsMagic = "dhSusp01"
	// wholeSnapshotMagic begins the snapshots of earlier releases, which have a single record.
	wholeSnapshotMagic = "dhSnap01"
	magicSize          = 8
	recordHeaderSize   = 8
	// maxPayload is the maximum length of a payload, in bytes.
	maxPayload = 1 << 30
	// bufferBytes is the size of the buffer between records and a file, in bytes.
	bufferBytes = 64 << 10
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

func checksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoliTable), castagnoliTable, payload)
}

// appendRecord appends a record with this payload to a buffer.
func appendRecord(buffer, payload []byte) []byte {
	var header [recordHeaderSize]byte
	binary.LittleEndian.PutUint32(header[:4], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], checksum(header[:4], payload))
	return append(append(buffer, header[:]...), payload...)
}

// readRecord returns the payload of the record at the start of raw and the size
// of the record, header included. It returns false if no valid record starts
// there.
func readRecord(raw []byte) (payload []byte, size int, ok bool) {
	if len(raw) < recordHeaderSize {
		return nil, 0, false
	}
	length := binary.LittleEndian.Uint32(raw[:4])
	if length > maxPayload || int(length) > len(raw)-recordHeaderSize {
		return nil, 0, false
	}
	payload = raw[recordHeaderSize : recordHeaderSize+int(length)]
	if checksum(raw[:4], payload) != binary.LittleEndian.Uint32(raw[4:recordHeaderSize]) {
		return nil, 0, false
	}
	return payload, recordHeaderSize + int(length), true
}

// containsRecord reports whether a valid record with a payload starts at any
// offset of raw.
func containsRecord(raw []byte) bool {
	for i := range raw {
		if payload, _, ok := readRecord(raw[i:]); ok && len(payload) > 0 {
			return true
		}
	}
	return false
}

// scanRecords calls handle for each record in the content of a file and returns
// the size of the valid part. The part after it must be a torn record: if a
// valid record follows, scanRecords returns a CorruptionError, since records
// that were synced would be lost.
func scanRecords(path, magic string, raw []byte, handle func(payload []byte) error) (validSize int, err error) {
	if len(raw) < magicSize || string(raw[:magicSize]) != magic {
		return 0, CorruptionError{path: path, offset: 0, reason: "the magic header " + magic + " is missing"}
	}
	validSize = magicSize
	for validSize < len(raw) {
		payload, size, ok := readRecord(raw[validSize:])
		if !ok {
			if containsRecord(raw[validSize+1:]) {
				return validSize, CorruptionError{path: path, offset: int64(validSize), reason: "a record is invalid and valid records follow it"}
			}
			return validSize, nil
		}
		if err := handle(payload); err != nil {
			return validSize, CorruptionError{path: path, offset: int64(validSize), reason: err.Error()}
		}
		validSize += size
	}
	return validSize, nil
}

// temporarySuffix ends the names of files that are not complete yet.
const temporarySuffix = ".tmp"

// writeRecordFile atomically creates or replaces a file that contains a single
// record, and syncs it.
func writeRecordFile(path, magic string, payload []byte) error {
	return writeRecords(path, magic, func(add func(payload []byte) error) error { return add(payload) })
}

// writeRecords atomically creates or replaces a file that contains the records that
// write adds, and syncs it.
func writeRecords(path, magic string, write func(add func(payload []byte) error) error) error {
	temporary := path + temporarySuffix
	f, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePermission)
	if err != nil {
		return err
	}
	w := bufio.NewWriterSize(f, bufferBytes)
	_, err = w.WriteString(magic)
	if err == nil {
		err = write(func(payload []byte) error {
			_, err := w.Write(appendRecord(nil, payload))
			return err
		})
	}
	if err == nil {
		err = w.Flush()
	}
	if err == nil {
		err = f.Sync()
	}
	err = errors.Join(err, f.Close())
	if err == nil {
		err = os.Rename(temporary, path)
	}
	if err != nil {
		os.Remove(temporary) // its space may be what the disk lacks
		return err
	}
	return syncParent(path)
}

// readRecordFile returns the payload of a file that writeRecordFile wrote. As the
// file is replaced atomically, an incomplete record is a CorruptionError.
func readRecordFile(path, magic string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var payload []byte
	validSize, err := scanRecords(path, magic, raw, func(p []byte) error {
		payload = p
		return nil
	})
	if err == nil && (validSize != len(raw) || payload == nil) {
		err = CorruptionError{path: path, offset: int64(validSize), reason: "the record is incomplete"}
	}
	return payload, err
}
