package crstore

import (
	"encoding/binary"
	"hash/crc32"
	"slices"
	"strconv"
	"strings"

	"github.com/citronramp/citronramp/pkg/crlog"
)

// load reads the latest snapshot and segment of an existing folder and truncates an incomplete last record.
func (s *Store) load() (crlog.State, error) {
	names, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return crlog.State{}, storageError(err)
	}
	number, ok := latest(names, segmentPrefix)
	if !ok {
		return crlog.State{}, damagedError("no segment")
	}
	raw, err := s.fs.ReadFile(s.path(segmentName(number)))
	if err != nil {
		return crlog.State{}, damagedError("%s: %v", segmentName(number), err)
	}
	seg, err := readSegment(raw)
	if err != nil {
		return crlog.State{}, damagedError("%s: %v", segmentName(number), err)
	}
	snap, err := s.loadSnapshot(names)
	if err != nil {
		return crlog.State{}, err
	}
	entries, err := entriesAfter(snap, seg)
	if err != nil {
		return crlog.State{}, err
	}
	st := crlog.State{Hard: seg.hardState, Snapshot: snap, Entries: entries}
	s.hardState = seg.hardState
	if seg.base < snap.Index {
		s.segmentNumber = number
		if err := s.startSegment(snap.Index, seg.hardState, entries); err != nil {
			return crlog.State{}, err
		}
		s.removeOldFiles(snap.Index)
		return st, nil
	}
	if err := s.openSegment(number, seg.validBytes); err != nil {
		return crlog.State{}, err
	}
	if tornBytes := int64(len(raw)) - seg.validBytes; tornBytes > 0 {
		s.logf("%s: %d bytes of an unfinished record are cut off at %d", s.segmentName, tornBytes, seg.validBytes)
		if err := s.segmentFile.Truncate(seg.validBytes); err != nil {
			return crlog.State{}, storageError(err)
		}
	}
	if err := s.syncLoaded(); err != nil {
		return crlog.State{}, err
	}
	s.removeOldFiles(snap.Index)
	return st, nil
}

// syncLoaded makes what was read durable. A process that was killed between a write and its sync leaves content, and names
// of files, that a loss of power would still take away.
func (s *Store) syncLoaded() error {
	if err := s.segmentFile.Sync(); err != nil {
		return syncError(err)
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return syncError(err)
	}
	return nil
}

// latest returns the highest number in the names of the files with a prefix.
func latest(names []string, prefix string) (uint64, bool) {
	var highest uint64
	found := false
	for _, n := range names {
		rest, ok := strings.CutPrefix(n, prefix)
		if !ok {
			continue
		}
		// Temporary files have a suffix, so their names don't parse.
		if v, err := strconv.ParseUint(rest, 16, 64); err == nil && (!found || v > highest) {
			highest, found = v, true
		}
	}
	return highest, found
}

func (s *Store) loadSnapshot(names []string) (crlog.Snapshot, error) {
	index, ok := latest(names, snapshotPrefix)
	if !ok {
		return crlog.Snapshot{}, nil
	}
	raw, err := s.fs.ReadFile(s.path(snapshotName(index)))
	if err != nil {
		return crlog.Snapshot{}, damagedError("%s: %v", snapshotName(index), err)
	}
	snap, err := decodeSnapshot(raw)
	if err != nil {
		return crlog.Snapshot{}, err
	}
	if snap.Index != index {
		return crlog.Snapshot{}, damagedError("%s holds the snapshot of %d", snapshotName(index), snap.Index)
	}
	return snap, nil
}

// segment is the content of a segment file after the entry at base; validBytes is the size of its complete records.
type segment struct {
	base       uint64
	hardState  crlog.HardState
	entries    []crlog.Entry
	validBytes int64
}

// readSegment decodes a segment. An incomplete last record is ignored; any other damage is an error.
func readSegment(raw []byte) (segment, error) {
	var seg segment
	for offset := 0; offset < len(raw); {
		payload, ok := recordPayload(raw, offset)
		if !ok {
			if headerAfter(raw, offset) {
				return segment{}, damagedError("the record at %d is damaged and others follow it", offset)
			}
			break
		}
		r, ok := decodeRecord(payload)
		if !ok || r.reset != (offset == 0) || !seg.applyRecord(r) {
			return segment{}, damagedError("the record at %d does not fit", offset)
		}
		offset += headerBytes + len(payload)
		seg.validBytes = int64(offset)
	}
	if seg.validBytes == 0 {
		// A segment is renamed to its final name only after its first record is synced, so this is damage.
		return segment{}, damagedError("the first record is damaged")
	}
	return seg, nil
}

func recordPayload(raw []byte, offset int) ([]byte, bool) {
	if !validHeader(raw[offset:], int64(offset)) {
		return nil, false
	}
	n := uint64(binary.BigEndian.Uint32(raw[offset+4:]))
	rest := raw[offset+headerBytes:]
	if n > uint64(len(rest)) || crc32.Checksum(rest[:n], castagnoli) != binary.BigEndian.Uint32(raw[offset+8:]) {
		return nil, false
	}
	return rest[:n], true
}

// headerAfter reports whether there is a valid record header after the given offset.
func headerAfter(raw []byte, offset int) bool {
	for i := offset + 1; i+headerBytes <= len(raw); i++ {
		if validHeader(raw[i:], int64(i)) {
			return true
		}
	}
	return false
}

// applyRecord adds the content of a record; its entries replace those from the index of the first one on. It reports
// false when the record does not follow from the ones before.
func (g *segment) applyRecord(r record) bool {
	if r.reset {
		g.base = r.base
		return len(r.entries) == 0
	}
	g.hardState = r.hardState
	for i, e := range r.entries {
		if e.Index <= g.base || e.Index > g.base+uint64(len(g.entries))+1 {
			return false
		}
		if i > 0 && e.Index != r.entries[i-1].Index+1 {
			return false
		}
		g.entries = append(g.entries[:e.Index-g.base-1], e)
	}
	return true
}

// entriesAfter returns the entries of a segment that come after a snapshot. The snapshot is newer than the segment when
// the process stopped between writing the two.
func entriesAfter(snap crlog.Snapshot, seg segment) ([]crlog.Entry, error) {
	last := seg.base + uint64(len(seg.entries))
	switch {
	case seg.base > snap.Index:
		return nil, damagedError("the segment starts after %d, the snapshot ends at %d", seg.base, snap.Index)
	case snap.Index >= last:
		return nil, nil
	case snap.Index > seg.base && seg.entries[snap.Index-seg.base-1].Term != snap.Term:
		// The snapshot of the leader replaced the entries of the segment, since they conflict with it.
		return nil, nil
	}
	return slices.Clone(seg.entries[snap.Index-seg.base:]), nil
}
