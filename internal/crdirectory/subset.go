package crdirectory

import (
	"cmp"
	"hash/maphash"
	"maps"
	"slices"
	"time"

	"github.com/citronramp/citronramp/internal/crwire"
)

// score is the rendezvous weight of a name for a caller; it is the same on every control instance.
func score(caller, name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(caller) {
		h = (h ^ uint64(caller[i])) * 1099511628211
	}
	h = (h ^ 0xff) * 1099511628211
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	// The finalizer of splitmix64 spreads names that differ only in their last character.
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// scored is an entry with its weight for one caller.
type scored struct {
	*crwire.DirectoryEntry
	weight uint64
}

// spread picks at most size entries for a caller, each domain's heaviest first, one domain after the other; the
// caller's own domain comes first and has two turns in each round. An entry that is replaced only changes the picks of
// callers that had it, but for those where a domain runs out.
func spread(caller, domain string, entries []*crwire.DirectoryEntry, size int) []*crwire.DirectoryEntry {
	groups := map[string][]scored{}
	for _, e := range entries {
		groups[e.GetDomain()] = append(groups[e.GetDomain()], scored{e, score(caller, e.GetNode())})
	}
	domains := slices.SortedFunc(maps.Keys(groups), func(a, b string) int {
		if own := a == domain; own != (b == domain) {
			return map[bool]int{true: -1, false: 1}[own]
		}
		return cmp.Or(cmp.Compare(score(caller, b), score(caller, a)), cmp.Compare(a, b))
	})
	for _, g := range groups {
		slices.SortFunc(g, func(a, b scored) int {
			return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.GetNode(), b.GetNode()))
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

// Subset returns the servers of a service that a caller node is given, suspects included: whether they answer is up to
// the caller's ejection.
func (c *Core) Subset(caller, domain, service string) []*crwire.DirectoryEntry {
	entries := make([]*crwire.DirectoryEntry, 0, len(c.services[service]))
	for _, r := range c.services[service] {
		if r.GetState() == Serving {
			entries = append(entries, r.DirectoryEntry)
		}
	}
	return spread(caller, domain, entries, SubsetSize)
}

// refreshEntrances chooses, every entrancesInterval, the entries that entrances are picked from, so that a pick does not
// go through the whole directory.
func (c *Core) refreshEntrances(now time.Time) {
	if !c.entrancesAt.IsZero() && now.Sub(c.entrancesAt) < entrancesInterval {
		return
	}
	c.entrancesAt = now
	byDomain := map[string][]scored{}
	for _, r := range c.records {
		if r.GetEntrance() != "" && r.GetState() != Leaving && !r.GetSuspect() {
			byDomain[r.GetDomain()] = append(byDomain[r.GetDomain()], scored{r.DirectoryEntry, score(c.cfg.Name, r.GetNode())})
		}
	}
	c.entrances = c.entrances[:0:0]
	for _, g := range byDomain {
		slices.SortFunc(g, func(a, b scored) int { return cmp.Compare(b.weight, a.weight) })
		for _, e := range g[:min(len(g), entrancesPerDomain)] {
			c.entrances = append(c.entrances, e.DirectoryEntry)
		}
	}
}

// Entrances returns addresses for external callers in several failure domains, for the node that tells them.
func (c *Core) Entrances(caller, domain string) []string {
	entries := make([]*crwire.DirectoryEntry, 0, len(c.entrances))
	for _, e := range c.entrances {
		// An entry may have left since the last refresh.
		if c.records[e.GetNode()] != nil && e.GetNode() != caller {
			entries = append(entries, e)
		}
	}
	var out []string
	for _, e := range spread(caller, domain, entries, EntranceCount) {
		out = append(out, e.GetEntrance())
	}
	return out
}

var digestSeed = maphash.MakeSeed()

// shape returns a process-local digest of what a watcher must know of an entry; the load alone is not worth an update.
func shape(e *crwire.DirectoryEntry) uint64 {
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

// SubsetDigest returns the digest by which a watcher tells the subset that it holds; 0 means none.
func SubsetDigest(entries []*crwire.DirectoryEntry) uint64 {
	sum := uint64(len(entries))
	for _, e := range entries {
		sum += score(e.GetNode()+"\x00"+e.GetIncarnation()+"\x00"+e.GetInstance(), e.GetAddress()) + uint64(e.GetState())<<1 + uint64(b2u(e.GetSuspect()))
	}
	return sum
}
