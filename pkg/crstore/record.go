package crstore

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc32"

	"github.com/citronramp/citronramp/pkg/crlog"
)

// A record is a header of 16 bytes and a payload. The header holds a magic number, the payload's length and checksum,
// and a checksum of these and of the record's place in the file. Since each record is one write that is synced before
// the next, a valid header after a damaged record shows that the record had been synced: that is damage, not a torn
// tail.
const (
	magic       = 0x63726c67
	headerBytes = 16
	// maxRecord bounds a record: uncommitted entries of 16 MiB and one snapshot's trailing entries fit.
	maxRecord = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one write: the start of a segment after the entry at base, or a state with entries.
type record struct {
	reset   bool
	base    uint64
	hard    crlog.HardState
	entries []crlog.Entry
}

func appendRecord(buf []byte, at int64, r record) []byte {
	start := len(buf)
	buf = append(buf, make([]byte, headerBytes)...)
	buf = encodeRecord(buf, r)
	payload := buf[start+headerBytes:]
	h := buf[start : start+headerBytes]
	binary.BigEndian.PutUint32(h, magic)
	binary.BigEndian.PutUint32(h[4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(h[8:], crc32.Checksum(payload, castagnoli))
	binary.BigEndian.PutUint32(h[12:], headerSum(h, at))
	return buf
}

func headerSum(h []byte, at int64) uint32 {
	var b [20]byte
	copy(b[:12], h[:12])
	binary.BigEndian.PutUint64(b[12:], uint64(at))
	return crc32.Checksum(b[:], castagnoli)
}

// validHeader reports whether a header made for the place at stands at the start of b.
func validHeader(b []byte, at int64) bool {
	return len(b) >= headerBytes && binary.BigEndian.Uint32(b) == magic && binary.BigEndian.Uint32(b[12:]) == headerSum(b, at)
}

func encodeRecord(buf []byte, r record) []byte {
	kind := byte(0)
	if r.reset {
		kind = 1
	}
	buf = append(buf, kind)
	buf = binary.AppendUvarint(buf, r.base)
	buf = binary.AppendUvarint(buf, r.hard.Term)
	buf = binary.AppendUvarint(buf, r.hard.Vote)
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

// reader decodes a payload; bad is set once something does not fit.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.bad, r.b = true, nil
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) bytes(n uint64) []byte {
	if n > uint64(len(r.b)) {
		r.bad, r.b = true, nil
		return nil
	}
	out := r.b[:n:n]
	r.b = r.b[n:]
	return out
}

func (r *reader) byte() byte {
	if b := r.bytes(1); len(b) == 1 {
		return b[0]
	}
	return 0
}

func decodeRecord(payload []byte) (record, bool) {
	r := reader{b: payload}
	out := record{reset: r.byte() == 1, base: r.uvarint()}
	out.hard = crlog.HardState{Term: r.uvarint(), Vote: r.uvarint()}
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

// snapshotFile is the head of a snapshot file; the data follow it.
type snapshotFile struct {
	Index   uint64        `json:"index"`
	Term    uint64        `json:"term"`
	Members crlog.Members `json:"members"`
	Size    int           `json:"size"`
}

// encodeSnapshot returns two records in form: the head and the data.
func encodeSnapshot(s crlog.Snapshot) ([]byte, error) {
	head, err := json.Marshal(snapshotFile{s.Index, s.Term, s.Members, len(s.Data)})
	if err != nil {
		return nil, damaged("snapshot head: %v", err)
	}
	out := binary.BigEndian.AppendUint32(nil, uint32(len(head)))
	out = append(append(out, head...), s.Data...)
	return binary.BigEndian.AppendUint32(out, crc32.Checksum(out, castagnoli)), nil
}

func decodeSnapshot(raw []byte) (crlog.Snapshot, error) {
	const sumBytes = 4
	if len(raw) < 2*sumBytes {
		return crlog.Snapshot{}, damaged("the snapshot is cut off")
	}
	body, sum := raw[:len(raw)-sumBytes], binary.BigEndian.Uint32(raw[len(raw)-sumBytes:])
	if crc32.Checksum(body, castagnoli) != sum {
		return crlog.Snapshot{}, damaged("the snapshot's checksum differs")
	}
	n := binary.BigEndian.Uint32(body)
	body = body[sumBytes:]
	if uint64(n) > uint64(len(body)) {
		return crlog.Snapshot{}, damaged("the snapshot's head is cut off")
	}
	var h snapshotFile
	if err := json.Unmarshal(body[:n], &h); err != nil || h.Size != len(body)-int(n) {
		return crlog.Snapshot{}, damaged("the snapshot's head is malformed")
	}
	return crlog.Snapshot{Index: h.Index, Term: h.Term, Members: h.Members, Data: body[n:]}, nil
}
