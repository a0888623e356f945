package crconfig

import (
	"slices"
	"time"

	"github.com/citronramp/citronramp/internal/crwire"
)

// Version returns the configuration version in force on this node.
func (v *View) Version() Version { return v.state.Load().version }

// Digest returns the digest of the entries. It equals that of the State for the same services and version.
func (v *View) Digest() Digest { return v.state.Load().digest }

// Refused returns the number of updates that were refused because their version or one of their entries was older than
// that of the view.
func (v *View) Refused() uint64 { return v.refused.Load() }

// Service returns the service, and whether it exists.
func (v *View) Service(name string) (*Service, bool) {
	s := v.state.Load().services[name]
	return s, s != nil && s.config != nil
}

// Services returns the sorted names of all services.
func (v *View) Services() []string {
	state := v.state.Load()
	names := make([]string, 0, len(state.services))
	for name, s := range state.services {
		if s.config != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Kind returns the kind, and whether it exists.
func (v *View) Kind(service, name string) (*Kind, bool) {
	s := v.state.Load().services[service]
	if s == nil {
		return nil, false
	}
	k := s.kinds[name]
	return k, k != nil
}

// Group returns the keeper group with number n, or nil if it is not assigned. The result must not be modified.
func (v *View) Group(n uint32) *crwire.KeeperGroup {
	if n >= MaxGroups {
		return nil
	}
	return v.state.Load().groups[n]
}

// Drained reports whether the backend server of the node is drained by an operator and gets no new work.
func (v *View) Drained(node string) bool { return v.state.Load().drained[node] }

// Convicted reports whether a conviction blocks requests with the fingerprint at the time now.
func (v *View) Convicted(fingerprint string, now time.Time) bool {
	c := v.state.Load().convictions[fingerprint]
	return c != nil && now.UnixMilli() < c.ExpiresMs
}

// Entries returns the entries sorted by key. They must not be modified.
func (v *View) Entries() []*crwire.ConfigEntry {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make([]*crwire.ConfigEntry, 0, len(v.entries))
	for _, e := range v.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, compareEntries)
	return list
}

func compareEntries(a, b *crwire.ConfigEntry) int {
	switch {
	case a.Key < b.Key:
		return -1
	case a.Key > b.Key:
		return 1
	}
	return 0
}
