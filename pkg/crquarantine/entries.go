package crquarantine

import (
	"slices"
	"time"
)

func sortEntries(s []Entry) {
	slices.SortFunc(s, func(a, b Entry) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
}

func (t *Tracker) export(now time.Time, f Fingerprint) Entry {
	e := t.entries[f]
	return Entry{Fingerprint: f, State: e.state, Seq: e.seq, Age: now.Sub(e.since)}
}

func (t *Tracker) set(now time.Time, f Fingerprint, s State) {
	t.put(f, entry{state: s, seq: t.entries[f].seq + 1, since: now})
}

func (t *Tracker) put(f Fingerprint, e entry) {
	if t.entries == nil {
		t.entries = make(map[Fingerprint]entry)
	}
	limit := t.MaxEntries
	if limit <= 0 {
		limit = defaultMaxEntries
	}
	if _, ok := t.entries[f]; !ok && len(t.entries) >= limit {
		t.evict()
	}
	t.entries[f] = e
}

// evict drops the oldest entry of the weakest state.
func (t *Tracker) evict() {
	var (
		oldest Fingerprint
		found  bool
	)
	for f, e := range t.entries {
		o := t.entries[oldest]
		if !found || e.state < o.state || e.state == o.state && e.since.Before(o.since) {
			oldest, found = f, true
		}
	}
	delete(t.entries, oldest)
	t.evicted++
}

// Merge takes over what another gate reports.
func (t *Tracker) Merge(now time.Time, r Report) {
	if r.Server != "" && r.Server != t.Server {
		t.lease(now, r)
	}
	for _, e := range r.Entries {
		have, ok := t.entries[e.Fingerprint]
		if ok && (e.Seq < have.seq || e.Seq == have.seq && e.State <= have.state) {
			continue
		}
		if e.State < Cleared || e.State > Sentenced || e.Age < 0 {
			continue
		}
		next := entry{state: e.State, seq: e.Seq, since: now.Add(-e.Age)}
		if now.Sub(next.since) < next.lifetime() {
			t.put(e.Fingerprint, next)
		}
	}
}

func (t *Tracker) lease(now time.Time, r Report) {
	if !r.Exclusive {
		delete(t.leases, r.Server)
		return
	}
	if t.leases == nil {
		t.leases = make(map[string]time.Time)
	}
	if _, ok := t.leases[r.Server]; ok || len(t.leases) < defaultMaxEntries {
		t.leases[r.Server] = now.Add(leaseTime)
	}
}

// Report returns everything that this gate knows, in order of fingerprints.
func (t *Tracker) Report(now time.Time) Report {
	r := Report{Server: t.Server, Exclusive: t.exclusive || now.Before(t.reserved)}
	for f, e := range t.entries {
		if now.Sub(e.since) < e.lifetime() {
			r.Entries = append(r.Entries, t.export(now, f))
		}
	}
	sortEntries(r.Entries)
	return r
}

// Convict takes over a conviction from the configuration.
func (t *Tracker) Convict(now time.Time, f Fingerprint, age time.Duration) {
	if t.Check(now, f) != Convicted && age < ConvictionLifetime {
		t.put(f, entry{state: Sentenced, seq: t.entries[f].seq + 1, since: now.Add(-age)})
	}
}

// Lift ends a conviction or suspicion at an operator's word.
func (t *Tracker) Lift(now time.Time, f Fingerprint) {
	if _, ok := t.entries[f]; ok {
		t.set(now, f, Cleared)
	}
}

// Expire drops entries past their lifetime and returns how many.
func (t *Tracker) Expire(now time.Time) int {
	t.forget(now)
	n := 0
	for f, e := range t.entries {
		if now.Sub(e.since) >= e.lifetime() {
			delete(t.entries, f)
			n++
		}
	}
	for server, until := range t.leases {
		if !now.Before(until) {
			delete(t.leases, server)
		}
	}
	return n
}

// Evicted returns how many entries gave way to the bound.
func (t *Tracker) Evicted() uint64 { return t.evicted }
