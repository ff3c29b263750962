package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// A record on disk consists of magic, length of the payload, CRC-32C of length and payload,
// and the payload: an encoded LogRecord. The numbers are little-endian with four bytes each.
const (
	headerBytes    = 12
	maxRecordBytes = 256 << 20
)

var (
	recordMagic = []byte("HPR1")
	castagnoli  = crc32.MakeTable(crc32.Castagnoli)
)

// encodeRecord returns the record as it is written to disk.
func encodeRecord(record *v1.LogRecord) ([]byte, error) {
	encoded := make([]byte, headerBytes, headerBytes+proto.Size(record))
	encoded, err := proto.MarshalOptions{}.MarshalAppend(encoded, record)
	if err != nil {
		return nil, trace.Wrap(err, "encode log record %d", record.GetSequence())
	}
	payload := len(encoded) - headerBytes
	if payload > maxRecordBytes {
		return nil, trace.LimitExceeded("log record %d has %d bytes; %d are allowed", record.GetSequence(), payload, maxRecordBytes)
	}
	copy(encoded, recordMagic)
	binary.LittleEndian.PutUint32(encoded[4:], uint32(payload))
	binary.LittleEndian.PutUint32(encoded[8:], checksum(encoded))
	return encoded, nil
}

// checksum returns the CRC-32C of the length and the payload of an encoded record.
func checksum(encoded []byte) uint32 {
	sum := crc32.Update(0, castagnoli, encoded[4:8])
	return crc32.Update(sum, castagnoli, encoded[headerBytes:])
}

// decodeRecord decodes the record at the start of data and returns its length in bytes.
// It reports false for anything but a complete record with a valid checksum.
func decodeRecord(data []byte) (record *v1.LogRecord, size int, valid bool) {
	if len(data) < headerBytes || !bytes.Equal(data[:4], recordMagic) {
		return nil, 0, false
	}
	payload := binary.LittleEndian.Uint32(data[4:])
	if payload > maxRecordBytes || int(payload) > len(data)-headerBytes {
		return nil, 0, false
	}
	size = headerBytes + int(payload)
	if binary.LittleEndian.Uint32(data[8:]) != checksum(data[:size]) {
		return nil, 0, false
	}
	record = &v1.LogRecord{}
	if err := proto.Unmarshal(data[headerBytes:size], record); err != nil {
		return nil, 0, false
	}
	return record, size, true
}

// containsValidRecord reports whether a valid record with at least the given sequence number
// starts anywhere in data.
func containsValidRecord(data []byte, sequence uint64) bool {
	for {
		offset := bytes.Index(data, recordMagic)
		if offset < 0 {
			return false
		}
		if record, _, sound := decodeRecord(data[offset:]); sound && record.GetSequence() >= sequence {
			return true
		}
		data = data[offset+1:]
	}
}
