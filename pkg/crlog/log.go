package crlog

// memoryLog is the part of the log after the compacted prefix; base and baseTerm are the index and term of the entry
// before it.
type memoryLog struct {
	base, baseTerm uint64
	entries        []Entry
	bytes          int
	// stored is the index of the last entry that the caller has stored durably.
	stored   uint64
	snapshot Snapshot
}

func (l *memoryLog) reset(s Snapshot) {
	*l = memoryLog{base: s.Index, baseTerm: s.Term, stored: s.Index, snapshot: s}
}

func (l *memoryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

// term returns the term of the entry at index, or 0 when the entry is not in memory.
func (l *memoryLog) term(index uint64) uint64 {
	switch {
	case index == l.base:
		return l.baseTerm
	case index < l.base || index > l.last():
		return 0
	}
	return l.entries[index-l.base-1].Term
}

func (l *memoryLog) append(e Entry) {
	l.entries = append(l.entries, e)
	l.bytes += len(e.Data)
}

// truncate removes the entries from index on.
func (l *memoryLog) truncate(index uint64) {
	for _, e := range l.entries[index-l.base-1:] {
		l.bytes -= len(e.Data)
	}
	// The capacity is reduced too, so that later appends don't overwrite slices that slice has returned.
	keep := int(index - l.base - 1)
	l.entries = l.entries[:keep:keep]
	l.stored = min(l.stored, index-1)
}

// slice returns the entries from lo to hi. With a positive limit it stops after about limit bytes, but returns at least
// one entry.
func (l *memoryLog) slice(lo, hi uint64, limit int) []Entry {
	lo = max(lo, l.base+1)
	if lo > hi {
		return nil
	}
	out := l.entries[lo-l.base-1 : hi-l.base : hi-l.base]
	if limit <= 0 {
		return out
	}
	size := 0
	for i, e := range out {
		size += len(e.Data) + entryOverhead
		if size > limit && i > 0 {
			return out[:i:i]
		}
	}
	return out
}

// entryOverhead is an upper bound of the bytes that an entry takes in a message besides its data.
const entryOverhead = 32

// compact removes the entries up to index.
func (l *memoryLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	for _, e := range l.entries[:index-l.base] {
		l.bytes -= len(e.Data)
	}
	term := l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, term
}

// upToDate reports whether a log whose last entry has the given index and term is at least as complete as this one.
func (l *memoryLog) upToDate(index, term uint64) bool {
	ownTerm := l.term(l.last())
	return term > ownTerm || term == ownTerm && index >= l.last()
}
