package crquarantine

import (
	"cmp"
	"slices"
	"time"
)

// entryTable stores the entries of fingerprints.
type entryTable struct {
	// maxEntries is the maximum number of entries; zero means defaultMaxEntries.
	maxEntries int
	entries    map[Fingerprint]entry
	evicted    uint64
}

type entry struct {
	state State
	seq   uint64
	since time.Time
	// crashes is the number of crashes in a row, for StreakTracker. It is below one for a proven request that has credit.
	crashes int
}

func (e entry) lifetime() time.Duration {
	if e.state == StateConvicted {
		return ConvictionLifetime
	}
	return SuspectLifetime
}

// compare orders the entries that two gates have for one fingerprint; the greater one takes precedence.
func (e entry) compare(o entry) int {
	return cmp.Or(cmp.Compare(e.seq, o.seq), cmp.Compare(e.state, o.state), cmp.Compare(e.crashes, o.crashes))
}

// state returns the current state of a fingerprint; StateCleared stands for no entry.
func (b *entryTable) state(now time.Time, f Fingerprint) State {
	e, ok := b.entries[f]
	if !ok || now.Sub(e.since) >= e.lifetime() {
		return StateCleared
	}
	return e.state
}

func sortEntries(s []Entry) {
	slices.SortFunc(s, func(a, b Entry) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
}

func (b *entryTable) export(now time.Time, f Fingerprint) Entry {
	e := b.entries[f]
	return Entry{Fingerprint: f, State: e.state, Seq: e.seq, Age: now.Sub(e.since), Crashes: e.crashes}
}

// live returns all entries within their lifetimes, sorted by fingerprint.
func (b *entryTable) live(now time.Time) []Entry {
	var out []Entry
	for f, e := range b.entries {
		if now.Sub(e.since) < e.lifetime() {
			out = append(out, b.export(now, f))
		}
	}
	sortEntries(out)
	return out
}

func (b *entryTable) set(now time.Time, f Fingerprint, s State, crashes int) {
	b.put(f, entry{state: s, seq: b.entries[f].seq + 1, since: now, crashes: crashes})
}

func (b *entryTable) put(f Fingerprint, e entry) {
	if b.entries == nil {
		b.entries = make(map[Fingerprint]entry)
	}
	limit := b.maxEntries
	if limit <= 0 {
		limit = defaultMaxEntries
	}
	if _, ok := b.entries[f]; !ok && len(b.entries) >= limit {
		b.evict()
	}
	b.entries[f] = e
}

// evict drops the oldest entry of the weakest state.
func (b *entryTable) evict() {
	var (
		oldest Fingerprint
		found  bool
	)
	for f, e := range b.entries {
		o := b.entries[oldest]
		if !found || e.state < o.state || e.state == o.state && e.since.Before(o.since) {
			oldest, found = f, true
		}
	}
	delete(b.entries, oldest)
	b.evicted++
}

// merge replaces entries by newer ones of another gate.
func (b *entryTable) merge(now time.Time, entries []Entry) {
	for _, e := range entries {
		if e.State < StateCleared || e.State > StateConvicted || e.Age < 0 || e.Crashes < -provenCredit || e.Crashes > maxStreak {
			continue
		}
		next := entry{state: e.State, seq: e.Seq, since: now.Add(-e.Age), crashes: e.Crashes}
		if have, ok := b.entries[e.Fingerprint]; ok && next.compare(have) <= 0 {
			continue
		}
		if now.Sub(next.since) < next.lifetime() {
			b.put(e.Fingerprint, next)
		}
	}
}

// expire drops entries past their lifetimes and returns their number.
func (b *entryTable) expire(now time.Time) int {
	n := 0
	for f, e := range b.entries {
		if now.Sub(e.since) >= e.lifetime() {
			delete(b.entries, f)
			n++
		}
	}
	return n
}

// Evicted returns how many entries were evicted because the table was full.
func (b *entryTable) Evicted() uint64 { return b.evicted }
