package crdirectory

import (
	"cmp"
	"hash/maphash"
	"maps"
	"slices"
	"time"

	"github.com/citronramp/citronramp/internal/crwire"
)

// rendezvousScore is the rendezvous hash of a name for a caller, FNV-1a with a finalizer. It is the same on every
// control instance.
func rendezvousScore(caller, name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(caller) {
		h = (h ^ uint64(caller[i])) * 1099511628211
	}
	h = (h ^ 0xff) * 1099511628211
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	// The finalizer of splitmix64 gives different scores to names that differ only in their last character.
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// scoredEntry is an entry with its score for one caller.
type scoredEntry struct {
	*crwire.DirectoryEntry
	score uint64
}

// pickAcrossDomains picks at most size entries for a caller, round robin over the failure domains and by descending
// score within a domain. The caller's own domain comes first and has two turns in each round. Replacing an entry
// changes only the picks of callers that had it, except where a domain has no more entries.
func pickAcrossDomains(caller, domain string, entries []*crwire.DirectoryEntry, size int) []*crwire.DirectoryEntry {
	groups := map[string][]scoredEntry{}
	for _, e := range entries {
		groups[e.GetDomain()] = append(groups[e.GetDomain()], scoredEntry{e, rendezvousScore(caller, e.GetNode())})
	}
	domains := slices.SortedFunc(maps.Keys(groups), func(a, b string) int {
		if own := a == domain; own != (b == domain) {
			return map[bool]int{true: -1, false: 1}[own]
		}
		return cmp.Or(cmp.Compare(rendezvousScore(caller, b), rendezvousScore(caller, a)), cmp.Compare(a, b))
	})
	for _, g := range groups {
		slices.SortFunc(g, func(a, b scoredEntry) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.GetNode(), b.GetNode()))
		})
	}
	size = min(size, len(entries))
	out := make([]*crwire.DirectoryEntry, 0, size)
	for len(out) < size {
		for _, d := range domains {
			turns := 1
			if d == domain {
				turns = 2
			}
			for ; turns > 0 && len(groups[d]) > 0 && len(out) < size; turns-- {
				out = append(out, groups[d][0].DirectoryEntry)
				groups[d] = groups[d][1:]
			}
		}
	}
	return out
}

// Subset returns the servers of a service that a calling node receives. Suspect servers are included; the outlier
// ejection of the caller decides whether they are used.
func (c *Core) Subset(caller, domain, service string) []*crwire.DirectoryEntry {
	entries := make([]*crwire.DirectoryEntry, 0, len(c.services[service]))
	for _, r := range c.services[service] {
		if r.GetState() == Serving {
			entries = append(entries, r.DirectoryEntry)
		}
	}
	return pickAcrossDomains(caller, domain, entries, SubsetSize)
}

// refreshEntrances chooses the candidates for entrances every entrancesInterval, so that a pick does not search the
// whole directory.
func (c *Core) refreshEntrances(now time.Time) {
	if !c.entrancesAt.IsZero() && now.Sub(c.entrancesAt) < entrancesInterval {
		return
	}
	c.entrancesAt = now
	byDomain := map[string][]scoredEntry{}
	for _, r := range c.records {
		if r.GetEntrance() != "" && r.GetState() != Leaving && !r.GetSuspect() {
			byDomain[r.GetDomain()] = append(byDomain[r.GetDomain()], scoredEntry{r.DirectoryEntry, rendezvousScore(c.cfg.Name, r.GetNode())})
		}
	}
	c.entranceCandidates = c.entranceCandidates[:0:0]
	for _, g := range byDomain {
		slices.SortFunc(g, func(a, b scoredEntry) int { return cmp.Compare(b.score, a.score) })
		for _, e := range g[:min(len(g), entrancesPerDomain)] {
			c.entranceCandidates = append(c.entranceCandidates, e.DirectoryEntry)
		}
	}
}

// Entrances returns addresses for external callers in several failure domains. The calling node passes them on to its
// callers.
func (c *Core) Entrances(caller, domain string) []string {
	entries := make([]*crwire.DirectoryEntry, 0, len(c.entranceCandidates))
	for _, e := range c.entranceCandidates {
		// An entry may have left since the last refresh.
		if c.records[e.GetNode()] != nil && e.GetNode() != caller {
			entries = append(entries, e)
		}
	}
	var out []string
	for _, e := range pickAcrossDomains(caller, domain, entries, EntranceCount) {
		out = append(out, e.GetEntrance())
	}
	return out
}

var digestSeed = maphash.MakeSeed()

// entryDigest returns a process-local digest of the fields that are sent to watchers. The load is left out, because a
// changed load alone causes no update.
func entryDigest(e *crwire.DirectoryEntry) uint64 {
	var h maphash.Hash
	h.SetSeed(digestSeed)
	for _, s := range []string{e.GetIncarnation(), e.GetInstance(), e.GetAddress(), e.GetDomain(), e.GetRegion()} {
		_, _ = h.WriteString(s)
		_ = h.WriteByte(0)
	}
	maphash.WriteComparable(&h, [5]uint32{e.GetSlots(), e.GetConnections(), e.GetState(), b2u(e.GetSuspect()), uint32(e.GetGeneration())})
	return h.Sum64()
}

func b2u(b bool) uint32 {
	if b {
		return 1
	}
	return 0
}

// SubsetDigest returns a digest of a subset, by which a watcher reports the subset that it holds. 0 means none.
func SubsetDigest(entries []*crwire.DirectoryEntry) uint64 {
	sum := uint64(len(entries))
	for _, e := range entries {
		sum += rendezvousScore(e.GetNode()+"\x00"+e.GetIncarnation()+"\x00"+e.GetInstance(), e.GetAddress()) + uint64(e.GetState())<<1 + uint64(b2u(e.GetSuspect()))
	}
	return sum
}
