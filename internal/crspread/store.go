package crspread

import (
	"hash/fnv"
	"maps"
	"slices"
	"sort"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crwire"
)

// maxChanges bounds the changes, tombstones among them, that a store keeps for deltas.
const maxChanges = 4096

// section is the part of a view that belongs to one service.
type section struct {
	entries map[string]*crwire.ConfigEntry
	sum     crconfig.Digest
	// since is the version at which the store began to hold the section; there are no deltas from before it.
	since crconfig.Version
}

// store holds a filtered view and the changes that led to it.
type store struct {
	version  crconfig.Version
	sections map[string]*section
	keys     map[string]*crwire.ConfigEntry
	changes  []*crwire.ConfigEntry
	// floor is the version of the newest change that was dropped.
	floor crconfig.Version
	// all is set on a root, which covers every service.
	all bool
}

func newStore(all bool) *store {
	return &store{
		sections: map[string]*section{"": {entries: map[string]*crwire.ConfigEntry{}}},
		keys:     map[string]*crwire.ConfigEntry{},
		all:      all,
	}
}

// covers reports whether the store holds every entry of the service.
func (s *store) covers(service string) bool {
	_, ok := s.sections[service]
	return ok || s.all
}

// held returns the covered services, sorted, without the common section.
func (s *store) held() []string {
	out := make([]string, 0, len(s.sections))
	for name := range s.sections {
		if name != "" {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// digest returns the digest of the common section and the named services.
func (s *store) digest(services map[string]bool) crconfig.Digest {
	d := s.sum("")
	for name := range services {
		d = d.Add(s.sum(name))
	}
	return d
}

func (s *store) sum(service string) crconfig.Digest {
	if sec := s.sections[service]; sec != nil {
		return sec.sum
	}
	return crconfig.Digest{}
}

// total returns the digest of all that the store holds.
func (s *store) total() crconfig.Digest {
	var d crconfig.Digest
	for _, sec := range s.sections {
		d = d.Add(sec.sum)
	}
	return d
}

// coverage returns the part of one covered service in the sum that heartbeats carry.
func coverage(service string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service))
	return h.Sum64()
}

// matches reports whether the store is what the heartbeat's sender believes.
func (s *store) matches(h *crwire.SpreadHeartbeat) bool {
	var sum uint64
	for name := range s.sections {
		if name != "" {
			sum += coverage(name)
		}
	}
	return sum == h.GetCoverage() && s.total() == crconfig.Digest{Hi: h.GetDigestHi(), Lo: h.GetDigestLo()}
}

// hasDelta reports whether every change of the service after v is still kept.
func (s *store) hasDelta(service string, v crconfig.Version) bool {
	if v.Less(s.floor) {
		return false
	}
	sec := s.sections[service]
	return sec == nil || !v.Less(sec.since)
}

// delta appends the newest change after v of each key whose service passes the filter.
func (s *store) delta(out []*crwire.ConfigEntry, v crconfig.Version, pass func(string) bool) []*crwire.ConfigEntry {
	first := sort.Search(len(s.changes), func(i int) bool {
		return v.Less(crconfig.VersionOf(s.changes[i].GetVersion()))
	})
	at := map[string]int{}
	for _, e := range s.changes[first:] {
		if !pass(e.GetService()) {
			continue
		}
		if i, ok := at[e.GetKey()]; ok {
			out[i] = e
			continue
		}
		at[e.GetKey()] = len(out)
		out = append(out, e)
	}
	return out
}

// live appends the present entries of a service.
func (s *store) live(out []*crwire.ConfigEntry, service string) []*crwire.ConfigEntry {
	if sec := s.sections[service]; sec != nil {
		for _, key := range slices.Sorted(maps.Keys(sec.entries)) {
			out = append(out, sec.entries[key])
		}
	}
	return out
}

// change is a batch in the form that a store applies.
type change struct {
	to       crconfig.Version
	full     bool
	replaced map[string]bool
	// services is the new coverage; nil leaves it as it is.
	services map[string]bool
	entries  []*crwire.ConfigEntry
	digest   crconfig.Digest
}

// keeps reports whether the section of a service survives the change with its entries.
func (c *change) keeps(service string) bool {
	if c.full || c.replaced[service] {
		return false
	}
	return c.services == nil || service == "" || c.services[service]
}

// check reports whether the change leads to its digest; it does not modify the store.
func (s *store) check(c *change) bool {
	var d crconfig.Digest
	for name, sec := range s.sections {
		if c.keeps(name) {
			d = d.Add(sec.sum)
		}
	}
	seen := make(map[string]bool, len(c.entries))
	for _, e := range c.entries {
		if seen[e.GetKey()] {
			return false
		}
		seen[e.GetKey()] = true
		if !s.all && !s.coversAfter(c, e.GetService()) {
			return false
		}
		if old := s.keys[e.GetKey()]; old != nil && c.keeps(old.GetService()) {
			if versionOf(e).Less(versionOf(old)) {
				return false
			}
			d = d.Sub(crconfig.EntryDigest(old))
		}
		d = d.Add(crconfig.EntryDigest(e))
	}
	return d == c.digest
}

// coversAfter reports whether the service is part of the view that the change leads to.
func (s *store) coversAfter(c *change, service string) bool {
	if service == "" {
		return true
	}
	if c.services != nil {
		return c.services[service]
	}
	return s.covers(service)
}

// apply makes the change; check must have passed.
func (s *store) apply(c *change) {
	for name := range s.sections {
		if !c.keeps(name) {
			s.drop(name)
		}
	}
	if c.full {
		s.changes, s.floor = nil, c.to
	}
	s.cover("", c.to)
	for name := range c.replaced {
		if c.services == nil {
			s.cover(name, c.to)
		}
	}
	for name := range c.services {
		s.cover(name, c.to)
	}
	entries := slices.Clone(c.entries)
	slices.SortStableFunc(entries, func(a, b *crwire.ConfigEntry) int {
		return compare(versionOf(a), versionOf(b))
	})
	for _, e := range entries {
		s.put(e, !c.full && !c.replaced[e.GetService()])
	}
	s.version = c.to
	if over := len(s.changes) - maxChanges; over > 0 {
		s.floor = versionOf(s.changes[over-1])
		s.changes = slices.Clone(s.changes[over:])
	}
}

func (s *store) cover(service string, since crconfig.Version) {
	if s.sections[service] == nil {
		s.sections[service] = &section{entries: map[string]*crwire.ConfigEntry{}, since: since}
	}
}

func (s *store) drop(service string) {
	for key := range s.sections[service].entries {
		delete(s.keys, key)
	}
	delete(s.sections, service)
}

// put stores one entry; record keeps it for deltas too.
func (s *store) put(e *crwire.ConfigEntry, record bool) {
	if old := s.keys[e.GetKey()]; old != nil {
		sec := s.sections[old.GetService()]
		sec.sum = sec.sum.Sub(crconfig.EntryDigest(old))
		delete(sec.entries, e.GetKey())
		delete(s.keys, e.GetKey())
	}
	if !e.GetDeleted() {
		if s.all {
			// A root holds every service from its beginning, so its sections have no lower bound of their own.
			s.cover(e.GetService(), crconfig.Version{})
		}
		if sec := s.sections[e.GetService()]; sec != nil {
			sec.entries[e.GetKey()] = e
			sec.sum = sec.sum.Add(crconfig.EntryDigest(e))
			s.keys[e.GetKey()] = e
		}
	}
	if record {
		s.changes = append(s.changes, e)
	}
}

func versionOf(e *crwire.ConfigEntry) crconfig.Version { return crconfig.VersionOf(e.GetVersion()) }

func compare(a, b crconfig.Version) int {
	switch {
	case a.Less(b):
		return -1
	case b.Less(a):
		return 1
	}
	return 0
}
