package dhdisk

import (
	"encoding/binary"
	"hash/crc32"
	"os"
)

// Layout of a file: an 8-byte mark, then records. A record is the length of
// its payload and the CRC-32C of length and payload, 4 bytes each in little
// endian, and the payload, which is a message of the schema.
const (
	logMagic         = "dhLog001"
	snapshotMagic    = "dhSnap01"
	identityMagic    = "dhIden01"
	magicSize        = 8
	recordHeaderSize = 8
	// maxPayload bounds one payload, in bytes.
	maxPayload = 1 << 30
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

func checksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoliTable), castagnoliTable, payload)
}

// appendRecord adds a record to a buffer.
func appendRecord(buffer, payload []byte) []byte {
	var head [recordHeaderSize]byte
	binary.LittleEndian.PutUint32(head[:4], uint32(len(payload)))
	binary.LittleEndian.PutUint32(head[4:], checksum(head[:4], payload))
	return append(append(buffer, head[:]...), payload...)
}

// readRecord returns the payload of the record at the start of raw and the
// record's whole size; false if there is no valid record.
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

// containsRecord tells whether a valid record that isn't empty starts anywhere in
// raw.
func containsRecord(raw []byte) bool {
	for i := range raw {
		if payload, _, ok := readRecord(raw[i:]); ok && len(payload) > 0 {
			return true
		}
	}
	return false
}

// scanRecords calls f for each record of a file's content and returns the length of
// the valid part. What follows the valid part may only be a record whose
// write was cut off: if a valid record stands behind it, the file is damaged.
func scanRecords(path, mark string, raw []byte, f func(payload []byte) error) (valid int, err error) {
	if len(raw) < magicSize || string(raw[:magicSize]) != mark {
		return 0, CorruptionError{path: path, offset: 0, reason: "the mark " + mark + " is missing"}
	}
	valid = magicSize
	for valid < len(raw) {
		payload, size, ok := readRecord(raw[valid:])
		if !ok {
			if containsRecord(raw[valid+1:]) {
				return valid, CorruptionError{path: path, offset: int64(valid), reason: "a record doesn't match its checksum and others follow"}
			}
			return valid, nil
		}
		if err := f(payload); err != nil {
			return valid, CorruptionError{path: path, offset: int64(valid), reason: err.Error()}
		}
		valid += size
	}
	return valid, nil
}

// writeRecordFile puts a file with one record in place, whole or not at all.
func writeRecordFile(path, mark string, payload []byte) error {
	temporary := path + ".tmp"
	f, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePermission)
	if err != nil {
		return err
	}
	if _, err := f.Write(appendRecord([]byte(mark), payload)); err != nil {
		f.Close()
		return err
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		return err
	}
	return syncParent(path)
}

// readRecordFile returns the one record of a file that was put in place whole.
func readRecordFile(path, mark string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var payload []byte
	valid, err := scanRecords(path, mark, raw, func(p []byte) error {
		payload = p
		return nil
	})
	if err == nil && (valid != len(raw) || payload == nil) {
		err = CorruptionError{path: path, offset: int64(valid), reason: "the record is incomplete"}
	}
	return payload, err
}
