package crstore

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc32"

	"github.com/citronramp/citronramp/pkg/crlog"
)

// A record is a header of 16 bytes and a payload. The header holds a magic number, the length and the checksum of the
// payload, and a checksum of these fields and the offset of the record in the file. Each record is written at once and
// synced before the next one. A valid header after an invalid record therefore shows that the invalid one had been
// synced: the file is damaged, as opposed to a last write that was interrupted.
const (
	magic       = 0x63726c67
	headerBytes = 16
	// maxRecord bounds the size of a record: 16 MiB of uncommitted entries and the entries that follow a snapshot fit.
	maxRecord = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one write to a segment: with reset, the start of the segment after the entry at base, else a hard state and
// entries.
type record struct {
	reset     bool
	base      uint64
	hardState crlog.HardState
	entries   []crlog.Entry
}

func appendRecord(buf []byte, offset int64, r record) []byte {
	start := len(buf)
	buf = append(buf, make([]byte, headerBytes)...)
	buf = encodeRecord(buf, r)
	payload := buf[start+headerBytes:]
	header := buf[start : start+headerBytes]
	binary.BigEndian.PutUint32(header, magic)
	binary.BigEndian.PutUint32(header[4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(header[8:], crc32.Checksum(payload, castagnoli))
	binary.BigEndian.PutUint32(header[12:], headerChecksum(header, offset))
	return buf
}

func headerChecksum(header []byte, offset int64) uint32 {
	var b [20]byte
	copy(b[:12], header[:12])
	binary.BigEndian.PutUint64(b[12:], uint64(offset))
	return crc32.Checksum(b[:], castagnoli)
}

// validHeader reports whether b starts with the header of a record that was written at offset.
func validHeader(b []byte, offset int64) bool {
	return len(b) >= headerBytes && binary.BigEndian.Uint32(b) == magic && binary.BigEndian.Uint32(b[12:]) == headerChecksum(b, offset)
}

func encodeRecord(buf []byte, r record) []byte {
	kind := byte(0)
	if r.reset {
		kind = 1
	}
	buf = append(buf, kind)
	buf = binary.AppendUvarint(buf, r.base)
	buf = binary.AppendUvarint(buf, r.hardState.Term)
	buf = binary.AppendUvarint(buf, r.hardState.Vote)
	buf = binary.AppendUvarint(buf, uint64(len(r.entries)))
	for _, e := range r.entries {
		buf = binary.AppendUvarint(buf, e.Index)
		buf = binary.AppendUvarint(buf, e.Term)
		buf = append(buf, byte(e.Kind))
		buf = binary.AppendUvarint(buf, uint64(len(e.Data)))
		buf = append(buf, e.Data...)
	}
	return buf
}

// payloadReader decodes the payload of a record; bad is set when the payload is too short or malformed.
type payloadReader struct {
	b   []byte
	bad bool
}

func (r *payloadReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.bad, r.b = true, nil
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *payloadReader) bytes(n uint64) []byte {
	if n > uint64(len(r.b)) {
		r.bad, r.b = true, nil
		return nil
	}
	out := r.b[:n:n]
	r.b = r.b[n:]
	return out
}

func (r *payloadReader) byte() byte {
	if b := r.bytes(1); len(b) == 1 {
		return b[0]
	}
	return 0
}

func decodeRecord(payload []byte) (record, bool) {
	r := payloadReader{b: payload}
	out := record{reset: r.byte() == 1, base: r.uvarint()}
	out.hardState = crlog.HardState{Term: r.uvarint(), Vote: r.uvarint()}
	count := r.uvarint()
	for range count {
		e := crlog.Entry{Index: r.uvarint(), Term: r.uvarint(), Kind: crlog.Kind(r.byte())}
		e.Data = r.bytes(r.uvarint())
		if r.bad {
			return record{}, false
		}
		out.entries = append(out.entries, e)
	}
	return out, !r.bad && len(r.b) == 0
}

// snapshotHeader is the header of a snapshot file; Size is the size of the data that follows.
type snapshotHeader struct {
	Index   uint64        `json:"index"`
	Term    uint64        `json:"term"`
	Members crlog.Members `json:"members"`
	Size    int           `json:"size"`
}

// encodeSnapshot returns the content of a snapshot file: the length of the header, the header as JSON, the data, and a
// checksum of all that.
func encodeSnapshot(s crlog.Snapshot) ([]byte, error) {
	header, err := json.Marshal(snapshotHeader{s.Index, s.Term, s.Members, len(s.Data)})
	if err != nil {
		return nil, damagedError("snapshot head: %v", err)
	}
	out := binary.BigEndian.AppendUint32(nil, uint32(len(header)))
	out = append(append(out, header...), s.Data...)
	return binary.BigEndian.AppendUint32(out, crc32.Checksum(out, castagnoli)), nil
}

func decodeSnapshot(raw []byte) (crlog.Snapshot, error) {
	const sumBytes = 4
	if len(raw) < 2*sumBytes {
		return crlog.Snapshot{}, damagedError("the snapshot is cut off")
	}
	body, sum := raw[:len(raw)-sumBytes], binary.BigEndian.Uint32(raw[len(raw)-sumBytes:])
	if crc32.Checksum(body, castagnoli) != sum {
		return crlog.Snapshot{}, damagedError("the snapshot's checksum differs")
	}
	n := binary.BigEndian.Uint32(body)
	body = body[sumBytes:]
	if uint64(n) > uint64(len(body)) {
		return crlog.Snapshot{}, damagedError("the snapshot's head is cut off")
	}
	var header snapshotHeader
	if err := json.Unmarshal(body[:n], &header); err != nil || header.Size != len(body)-int(n) {
		return crlog.Snapshot{}, damagedError("the snapshot's head is malformed")
	}
	return crlog.Snapshot{Index: header.Index, Term: header.Term, Members: header.Members, Data: body[n:]}, nil
}
