package crquarantine

import "time"

// table returns the entry table with the tracker's limit set.
func (t *Tracker) table() *entryTable {
	t.maxEntries = t.MaxEntries
	return &t.entryTable
}

func (t *Tracker) set(now time.Time, f Fingerprint, s State) { t.table().set(now, f, s, 0) }

// Merge merges the report of another gate.
func (t *Tracker) Merge(now time.Time, r Report) {
	if r.Server != "" && r.Server != t.Server {
		t.updateLease(now, r)
	}
	t.table().merge(now, r.Entries)
}

func (t *Tracker) updateLease(now time.Time, r Report) {
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

// Report returns the state of this gate, with entries sorted by fingerprint.
func (t *Tracker) Report(now time.Time) Report {
	return Report{Server: t.Server, Exclusive: t.exclusive || now.Before(t.reservedUntil), Entries: t.live(now)}
}

// Convict adds a conviction from the configuration.
func (t *Tracker) Convict(now time.Time, f Fingerprint, age time.Duration) {
	if t.Check(now, f) != Convicted && age < ConvictionLifetime {
		t.table().put(f, entry{state: StateConvicted, seq: t.entries[f].seq + 1, since: now.Add(-age)})
	}
}

// Lift ends a conviction or suspicion at an operator's request.
func (t *Tracker) Lift(now time.Time, f Fingerprint) {
	if _, ok := t.entries[f]; ok {
		t.set(now, f, StateCleared)
	}
}

// Expire drops entries past their lifetimes and returns their number.
func (t *Tracker) Expire(now time.Time) int {
	t.dropAbandoned(now)
	n := t.expire(now)
	for server, until := range t.leases {
		if !now.Before(until) {
			delete(t.leases, server)
		}
	}
	return n
}
