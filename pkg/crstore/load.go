package crstore

import (
	"encoding/binary"
	"hash/crc32"
	"slices"
	"strconv"
	"strings"

	"github.com/citronramp/citronramp/pkg/crlog"
)

// load reads the latest snapshot and segment of an existing folder.
func (s *Store) load() (crlog.State, error) {
	names, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return crlog.State{}, coded(err)
	}
	number, ok := latest(names, segmentPrefix)
	if !ok {
		return crlog.State{}, damaged("no segment")
	}
	raw, err := s.fs.ReadFile(s.path(segmentName(number)))
	if err != nil {
		return crlog.State{}, damaged("%s: %v", segmentName(number), err)
	}
	seg, err := readSegment(raw)
	if err != nil {
		return crlog.State{}, damaged("%s: %v", segmentName(number), err)
	}
	snap, err := s.loadSnapshot(names)
	if err != nil {
		return crlog.State{}, err
	}
	entries, err := follow(snap, seg)
	if err != nil {
		return crlog.State{}, err
	}
	st := crlog.State{Hard: seg.hard, Snapshot: snap, Entries: entries}
	s.hard = seg.hard
	if seg.base < snap.Index {
		s.number = number
		if err := s.startSegment(snap.Index, seg.hard, entries); err != nil {
			return crlog.State{}, err
		}
		s.clean(snap.Index)
		return st, nil
	}
	if err := s.use(number, seg.size); err != nil {
		return crlog.State{}, err
	}
	if torn := int64(len(raw)) - seg.size; torn > 0 {
		s.report("%s: %d bytes of an unfinished record are cut off at %d", s.segment, torn, seg.size)
		if err := s.file.Truncate(seg.size); err != nil {
			return crlog.State{}, coded(err)
		}
		if err := s.file.Sync(); err != nil {
			return crlog.State{}, syncFailed(err)
		}
	}
	s.clean(snap.Index)
	return st, nil
}

// latest returns the highest number among the files with a prefix.
func latest(names []string, prefix string) (uint64, bool) {
	var best uint64
	found := false
	for _, n := range names {
		rest, ok := strings.CutPrefix(n, prefix)
		if !ok {
			continue
		}
		// Files that are not whole yet have a suffix and don't parse.
		if v, err := strconv.ParseUint(rest, 16, 64); err == nil && (!found || v > best) {
			best, found = v, true
		}
	}
	return best, found
}

func (s *Store) loadSnapshot(names []string) (crlog.Snapshot, error) {
	index, ok := latest(names, snapshotPrefix)
	if !ok {
		return crlog.Snapshot{}, nil
	}
	raw, err := s.fs.ReadFile(s.path(snapshotName(index)))
	if err != nil {
		return crlog.Snapshot{}, damaged("%s: %v", snapshotName(index), err)
	}
	snap, err := decodeSnapshot(raw)
	if err != nil {
		return crlog.Snapshot{}, err
	}
	if snap.Index != index {
		return crlog.Snapshot{}, damaged("%s holds the snapshot of %d", snapshotName(index), snap.Index)
	}
	return snap, nil
}

// segment is the content of a segment file; size is the length of its whole records.
type segment struct {
	base    uint64
	hard    crlog.HardState
	entries []crlog.Entry
	size    int64
}

// readSegment decodes a segment up to a torn tail; any other damage is an error.
func readSegment(raw []byte) (segment, error) {
	var seg segment
	for at := 0; at < len(raw); {
		payload, ok := payloadAt(raw, at)
		if !ok {
			if headerAfter(raw, at) {
				return segment{}, damaged("the record at %d is damaged and others follow it", at)
			}
			break
		}
		r, ok := decodeRecord(payload)
		if !ok || r.reset != (at == 0) || !seg.add(r) {
			return segment{}, damaged("the record at %d does not fit", at)
		}
		at += headerBytes + len(payload)
		seg.size = int64(at)
	}
	if seg.size == 0 {
		// A segment gets its name only after its first record is synced.
		return segment{}, damaged("the first record is damaged")
	}
	return seg, nil
}

func payloadAt(raw []byte, at int) ([]byte, bool) {
	if !validHeader(raw[at:], int64(at)) {
		return nil, false
	}
	n := uint64(binary.BigEndian.Uint32(raw[at+4:]))
	rest := raw[at+headerBytes:]
	if n > uint64(len(rest)) || crc32.Checksum(rest[:n], castagnoli) != binary.BigEndian.Uint32(raw[at+8:]) {
		return nil, false
	}
	return rest[:n], true
}

// headerAfter reports whether a valid header stands after the given place.
func headerAfter(raw []byte, at int) bool {
	for i := at + 1; i+headerBytes <= len(raw); i++ {
		if validHeader(raw[i:], int64(i)) {
			return true
		}
	}
	return false
}

// add takes over a record; entries replace those from the first one's index on.
func (g *segment) add(r record) bool {
	if r.reset {
		g.base = r.base
		return len(r.entries) == 0
	}
	g.hard = r.hard
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

// follow returns the entries of a segment that come after a snapshot. The snapshot is newer than the segment when the
// process stopped between storing the two.
func follow(snap crlog.Snapshot, seg segment) ([]crlog.Entry, error) {
	last := seg.base + uint64(len(seg.entries))
	switch {
	case seg.base > snap.Index:
		return nil, damaged("the segment starts after %d, the snapshot ends at %d", seg.base, snap.Index)
	case snap.Index >= last:
		return nil, nil
	case snap.Index > seg.base && seg.entries[snap.Index-seg.base-1].Term != snap.Term:
		// The leader's snapshot replaced entries of another history.
		return nil, nil
	}
	return slices.Clone(seg.entries[snap.Index-seg.base:]), nil
}
