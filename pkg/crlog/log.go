package crlog

// memLog is the part of the log after the compacted prefix; base and baseTerm name the entry before it.
type memLog struct {
	base, baseTerm uint64
	entries        []Entry
	bytes          int
	// stored is the last index that the caller has stored durably.
	stored   uint64
	snapshot Snapshot
}

func (l *memLog) reset(s Snapshot) {
	*l = memLog{base: s.Index, baseTerm: s.Term, stored: s.Index, snapshot: s}
}

func (l *memLog) last() uint64 { return l.base + uint64(len(l.entries)) }

// term returns the term of the entry at index, 0 when it is not in memory.
func (l *memLog) term(index uint64) uint64 {
	switch {
	case index == l.base:
		return l.baseTerm
	case index < l.base || index > l.last():
		return 0
	}
	return l.entries[index-l.base-1].Term
}

func (l *memLog) append(e Entry) {
	l.entries = append(l.entries, e)
	l.bytes += len(e.Data)
}

// truncate drops the entries from index on.
func (l *memLog) truncate(index uint64) {
	for _, e := range l.entries[index-l.base-1:] {
		l.bytes -= len(e.Data)
	}
	// The capacity is cut too, so that later appends don't write over slices that were handed out.
	keep := int(index - l.base - 1)
	l.entries = l.entries[:keep:keep]
	l.stored = min(l.stored, index-1)
}

// slice returns the entries from lo to hi, at most about limit bytes when limit is positive and at least one.
func (l *memLog) slice(lo, hi uint64, limit int) []Entry {
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

// entryOverhead is an upper bound of an entry's header in a message.
const entryOverhead = 32

// compact drops the entries up to index.
func (l *memLog) compact(index uint64) {
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

// upToDate reports whether a log that ends with the given entry is at least as complete as this one.
func (l *memLog) upToDate(index, term uint64) bool {
	own := l.term(l.last())
	return term > own || term == own && index >= l.last()
}
