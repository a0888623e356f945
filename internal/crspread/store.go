package crspread

import (
	"hash/fnv"
	"maps"
	"slices"
	"sort"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crwire"
)

// maxChanges bounds the number of changes, including tombstones, that a store keeps to build deltas.
const maxChanges = 4096

// section holds the entries of one service; the section "" holds the entries common to all services.
type section struct {
	entries map[string]*crwire.ConfigEntry
	digest  crconfig.Digest
	// since is the version at which the store started to hold the section; there are no deltas from earlier versions.
	since crconfig.Version
}

// store holds the entries of the covered services and the most recent changes to them.
type store struct {
	version  crconfig.Version
	sections map[string]*section
	byKey    map[string]*crwire.ConfigEntry
	changes  []*crwire.ConfigEntry
	// droppedThrough is the version of the newest change that is no longer kept for deltas.
	droppedThrough crconfig.Version
	// coversAll is set on a root, which covers every service.
	coversAll bool
}

func newStore(all bool) *store {
	return &store{
		sections:  map[string]*section{"": {entries: map[string]*crwire.ConfigEntry{}}},
		byKey:     map[string]*crwire.ConfigEntry{},
		coversAll: all,
	}
}

// covers reports whether the store holds every entry of the service.
func (s *store) covers(service string) bool {
	_, ok := s.sections[service]
	return ok || s.coversAll
}

// coveredServices returns the covered services, sorted, without the common section.
func (s *store) coveredServices() []string {
	out := make([]string, 0, len(s.sections))
	for name := range s.sections {
		if name != "" {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// digest returns the digest of the common section and the sections of the given services.
func (s *store) digest(services map[string]bool) crconfig.Digest {
	d := s.sectionDigest("")
	for name := range services {
		d = d.Add(s.sectionDigest(name))
	}
	return d
}

func (s *store) sectionDigest(service string) crconfig.Digest {
	if sec := s.sections[service]; sec != nil {
		return sec.digest
	}
	return crconfig.Digest{}
}

// totalDigest returns the digest of all entries in the store.
func (s *store) totalDigest() crconfig.Digest {
	var d crconfig.Digest
	for _, sec := range s.sections {
		d = d.Add(sec.digest)
	}
	return d
}

// coverageHash returns the hash of a service's name; heartbeats carry the sum over the covered services.
func coverageHash(service string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service))
	return h.Sum64()
}

// matches reports whether the store has the coverage and digest that the heartbeat's sender expects.
func (s *store) matches(h *crwire.SpreadHeartbeat) bool {
	var sum uint64
	for name := range s.sections {
		if name != "" {
			sum += coverageHash(name)
		}
	}
	return sum == h.GetCoverage() && s.totalDigest() == crconfig.Digest{Hi: h.GetDigestHi(), Lo: h.GetDigestLo()}
}

// hasDelta reports whether the store still keeps every change of the service after v.
func (s *store) hasDelta(service string, v crconfig.Version) bool {
	if v.Less(s.droppedThrough) {
		return false
	}
	sec := s.sections[service]
	return sec == nil || !v.Less(sec.since)
}

// appendDelta appends, for each key whose service passes the filter, the newest change after v.
func (s *store) appendDelta(out []*crwire.ConfigEntry, v crconfig.Version, include func(string) bool) []*crwire.ConfigEntry {
	first := sort.Search(len(s.changes), func(i int) bool {
		return v.Less(crconfig.VersionFromProto(s.changes[i].GetVersion()))
	})
	position := map[string]int{}
	for _, e := range s.changes[first:] {
		if !include(e.GetService()) {
			continue
		}
		if i, ok := position[e.GetKey()]; ok {
			out[i] = e
			continue
		}
		position[e.GetKey()] = len(out)
		out = append(out, e)
	}
	return out
}

// appendEntries appends the current entries of a service.
func (s *store) appendEntries(out []*crwire.ConfigEntry, service string) []*crwire.ConfigEntry {
	if sec := s.sections[service]; sec != nil {
		for _, key := range slices.Sorted(maps.Keys(sec.entries)) {
			out = append(out, sec.entries[key])
		}
	}
	return out
}

// change is a complete batch in the form that a store applies.
type change struct {
	to       crconfig.Version
	full     bool
	replaced map[string]bool
	// services is the new set of covered services; nil leaves the set unchanged.
	services map[string]bool
	entries  []*crwire.ConfigEntry
	digest   crconfig.Digest
}

// keepsSection reports whether the change leaves the existing entries of a service in place.
func (c *change) keepsSection(service string) bool {
	if c.full || c.replaced[service] {
		return false
	}
	return c.services == nil || service == "" || c.services[service]
}

// check reports whether the change is valid and applying it gives its digest; it doesn't modify the store.
func (s *store) check(c *change) bool {
	var d crconfig.Digest
	for name, sec := range s.sections {
		if c.keepsSection(name) {
			d = d.Add(sec.digest)
		}
	}
	seen := make(map[string]bool, len(c.entries))
	for _, e := range c.entries {
		if seen[e.GetKey()] {
			return false
		}
		seen[e.GetKey()] = true
		if !s.coversAll && !s.coveredAfter(c, e.GetService()) {
			return false
		}
		if old := s.byKey[e.GetKey()]; old != nil && c.keepsSection(old.GetService()) {
			if versionOf(e).Less(versionOf(old)) {
				return false
			}
			d = d.Sub(crconfig.EntryDigest(old))
		}
		d = d.Add(crconfig.EntryDigest(e))
	}
	return d == c.digest
}

// coveredAfter reports whether the store covers the service after the change.
func (s *store) coveredAfter(c *change, service string) bool {
	if service == "" {
		return true
	}
	if c.services != nil {
		return c.services[service]
	}
	return s.covers(service)
}

// apply applies the change; check must have returned true.
func (s *store) apply(c *change) {
	for name := range s.sections {
		if !c.keepsSection(name) {
			s.dropSection(name)
		}
	}
	if c.full {
		s.changes, s.droppedThrough = nil, c.to
	}
	s.addSection("", c.to)
	for name := range c.replaced {
		if c.services == nil {
			s.addSection(name, c.to)
		}
	}
	for name := range c.services {
		s.addSection(name, c.to)
	}
	entries := slices.Clone(c.entries)
	slices.SortStableFunc(entries, func(a, b *crwire.ConfigEntry) int {
		return compare(versionOf(a), versionOf(b))
	})
	for _, e := range entries {
		s.put(e, !c.full && !c.replaced[e.GetService()])
	}
	s.version = c.to
	if excess := len(s.changes) - maxChanges; excess > 0 {
		s.droppedThrough = versionOf(s.changes[excess-1])
		s.changes = slices.Clone(s.changes[excess:])
	}
}

func (s *store) addSection(service string, since crconfig.Version) {
	if s.sections[service] == nil {
		s.sections[service] = &section{entries: map[string]*crwire.ConfigEntry{}, since: since}
	}
}

func (s *store) dropSection(service string) {
	for key := range s.sections[service].entries {
		delete(s.byKey, key)
	}
	delete(s.sections, service)
}

// put stores or deletes one entry; with record it also keeps the change for deltas.
func (s *store) put(e *crwire.ConfigEntry, record bool) {
	if old := s.byKey[e.GetKey()]; old != nil {
		sec := s.sections[old.GetService()]
		sec.digest = sec.digest.Sub(crconfig.EntryDigest(old))
		delete(sec.entries, e.GetKey())
		delete(s.byKey, e.GetKey())
	}
	if !e.GetDeleted() {
		if s.coversAll {
			// A root has held every service from the start, so its sections have no lower bound for deltas.
			s.addSection(e.GetService(), crconfig.Version{})
		}
		if sec := s.sections[e.GetService()]; sec != nil {
			sec.entries[e.GetKey()] = e
			sec.digest = sec.digest.Add(crconfig.EntryDigest(e))
			s.byKey[e.GetKey()] = e
		}
	}
	if record {
		s.changes = append(s.changes, e)
	}
}

func versionOf(e *crwire.ConfigEntry) crconfig.Version {
	return crconfig.VersionFromProto(e.GetVersion())
}

func compare(a, b crconfig.Version) int {
	switch {
	case a.Less(b):
		return -1
	case b.Less(a):
		return 1
	}
	return 0
}
