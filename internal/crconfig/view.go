package crconfig

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// View is the configuration on one node. Reads take no lock, except Entries; writers are serialized by a mutex and publish
// a new immutable state.
type View struct {
	mu      sync.Mutex
	entries map[string]*crwire.ConfigEntry // guarded by mu
	state   atomic.Pointer[viewState]
	refused atomic.Uint64
}

// viewState is one state of a view. It is immutable once published.
type viewState struct {
	version     Version
	digest      Digest
	services    map[string]*Service
	groups      []*crwire.KeeperGroup
	drained     map[string]bool
	convictions map[string]*crwire.Conviction
}

// Service is a service with its request kinds.
type Service struct {
	config *crwire.ServiceConfig // nil if the view has only kinds of the service
	kinds  map[string]*Kind
}

// Name returns the name of the service.
func (s *Service) Name() string { return s.config.GetName() }

// Owner returns the name of the team that owns the service; it may be empty.
func (s *Service) Owner() string { return s.config.GetOwner() }

// Kinds returns the kinds of the service sorted by name.
func (s *Service) Kinds() []*Kind {
	list := make([]*Kind, 0, len(s.kinds))
	for _, k := range s.kinds {
		list = append(list, k)
	}
	slices.SortFunc(list, func(a, b *Kind) int { return strings.Compare(a.Name(), b.Name()) })
	return list
}

// Kind is one request kind of a service.
type Kind struct{ config *crwire.KindConfig }

// Service returns the name of the kind's service.
func (k *Kind) Service() string { return k.config.Service }

// Name returns the name of the kind.
func (k *Kind) Name() string { return k.config.Name }

// Protected reports whether the class of the kind is protected; otherwise it is ordinary.
func (k *Kind) Protected() bool { return k.config.Protected }

// Worth returns the value of one complete answer, by which requests are compared when load is shed.
func (k *Kind) Worth() uint32 { return k.config.Worth }

// Repeatable reports whether a request of this kind may be executed more than once.
func (k *Kind) Repeatable() bool { return k.config.Repeatable }

// Deadline returns the default deadline of a request whose caller sets none.
func (k *Kind) Deadline() time.Duration { return time.Duration(k.config.DeadlineMs) * time.Millisecond }

// Retries returns the limit on additional attempts for a request over its whole call graph.
func (k *Kind) Retries() int { return int(k.config.Retries) }

// NewView returns an empty view at version 0.0.
func NewView() *View {
	v := &View{entries: make(map[string]*crwire.ConfigEntry)}
	v.state.Store(emptyView())
	return v
}

func emptyView() *viewState {
	return &viewState{
		services:    make(map[string]*Service),
		groups:      make([]*crwire.KeeperGroup, MaxGroups),
		drained:     make(map[string]bool),
		convictions: make(map[string]*crwire.Conviction),
	}
}

// ApplyEntries applies a delta that brings the view to version. A delta to an older version than that of the view is
// refused and counted. A delta to the same version adds entries, as after new subscriptions. Entries older than the held
// ones of the same key are skipped. On error the view is unchanged.
func (v *View) ApplyEntries(version Version, entries []*crwire.ConfigEntry) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.state.Load()
	if err := v.checkOffer(old, version, entries); err != nil {
		return err
	}
	next := &viewState{
		version: version, digest: old.digest, services: old.services, groups: old.groups,
		drained: old.drained, convictions: old.convictions,
	}
	e := &viewEditor{viewState: next, copied: make(map[string]bool)}
	for _, entry := range entries {
		held := v.entries[entry.Key]
		if held != nil && VersionFromProto(entry.Version).Less(VersionFromProto(held.Version)) {
			continue
		}
		if held != nil {
			next.digest = next.digest.Sub(EntryDigest(held))
		}
		if err := e.apply(entry); err != nil {
			return err
		}
		next.digest = next.digest.Add(EntryDigest(entry))
		if entry.Deleted {
			delete(v.entries, entry.Key)
		} else {
			v.entries[entry.Key] = entry
		}
	}
	v.state.Store(next)
	return nil
}

// Reset replaces the whole view. It is refused and counted if version is older than that of the view, or if an entry is
// older than the held one of the same key.
func (v *View) Reset(version Version, entries []*crwire.ConfigEntry) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.state.Load()
	if err := v.checkOffer(old, version, entries); err != nil {
		return err
	}
	next := emptyView()
	next.version = version
	held := make(map[string]*crwire.ConfigEntry, len(entries))
	e := &viewEditor{viewState: next, copied: map[string]bool{"services": true, "groups": true, "drained": true, "convictions": true}}
	for _, entry := range entries {
		if h := v.entries[entry.Key]; h != nil && VersionFromProto(entry.Version).Less(VersionFromProto(h.Version)) {
			v.refused.Add(1)
			return crcode.New(crcode.VersionConflict, "%s was offered at version %s but is held at %s", entry.Key, VersionFromProto(entry.Version), VersionFromProto(h.Version))
		}
		if held[entry.Key] != nil {
			return malformedEntry(entry, "it stands twice in a full view")
		}
		if entry.Deleted {
			continue
		}
		if err := e.apply(entry); err != nil {
			return err
		}
		held[entry.Key] = entry
		next.digest = next.digest.Add(EntryDigest(entry))
	}
	v.entries = held
	v.state.Store(next)
	return nil
}

// checkOffer refuses a version older than that of the view, and entries that are malformed or newer than version.
func (v *View) checkOffer(old *viewState, version Version, entries []*crwire.ConfigEntry) error {
	if version.Less(old.version) {
		v.refused.Add(1)
		return crcode.New(crcode.VersionConflict, "version %s was offered but %s is in force", version, old.version)
	}
	for _, e := range entries {
		if _, err := decode(e); err != nil {
			return err
		}
		if ev := VersionFromProto(e.Version); version.Less(ev) {
			return malformedEntry(e, "it has version "+ev.String()+", above the offered "+version.String())
		}
	}
	return nil
}

// viewEditor builds the next state of a view. It copies each part of the published state before it changes that part for
// the first time.
type viewEditor struct {
	*viewState
	copied map[string]bool // parts that were copied already
}

// markCopied marks the part as copied and reports whether the caller has to copy it.
func (e *viewEditor) markCopied(part string) bool {
	if e.copied[part] {
		return false
	}
	e.copied[part] = true
	return true
}

// apply applies one entry to the part of the view that it belongs to.
func (e *viewEditor) apply(entry *crwire.ConfigEntry) error {
	m, err := decode(entry)
	if err != nil {
		return err
	}
	part, rest, _ := strings.Cut(entry.Key, "/")
	switch part {
	case "service":
		s := e.service(rest)
		s.config, _ = m.(*crwire.ServiceConfig)
		e.prune(rest)
	case "kind":
		service, name, _ := strings.Cut(rest, "/")
		s := e.service(service)
		delete(s.kinds, name)
		if k, ok := m.(*crwire.KindConfig); ok {
			s.kinds[name] = &Kind{k}
		}
		e.prune(service)
	case "server":
		if e.markCopied("drained") {
			e.drained = cloneMap(e.drained)
		}
		delete(e.drained, rest)
		if s, ok := m.(*crwire.ServerConfig); ok && s.Drained {
			e.drained[rest] = true
		}
	case "group":
		return e.setGroup(entry, m)
	case "conviction":
		if e.markCopied("convictions") {
			e.convictions = cloneMap(e.convictions)
		}
		delete(e.convictions, rest)
		if c, ok := m.(*crwire.Conviction); ok {
			e.convictions[rest] = c
		}
	}
	return nil
}

func (e *viewEditor) setGroup(entry *crwire.ConfigEntry, m proto.Message) error {
	n, ok := groupNumber(entry.Key)
	if !ok {
		return malformedEntry(entry, "its number is not allowed")
	}
	if e.markCopied("groups") {
		e.groups = slices.Clone(e.groups)
	}
	e.groups[n], _ = m.(*crwire.KeeperGroup)
	return nil
}

// service returns a copy of the service that the caller may change; a missing service is created.
func (e *viewEditor) service(name string) *Service {
	if e.markCopied("services") {
		e.services = cloneMap(e.services)
	}
	s := e.services[name]
	if s == nil {
		s = &Service{kinds: make(map[string]*Kind)}
		e.copied["service/"+name] = true
	} else if e.markCopied("service/" + name) {
		s = &Service{config: s.config, kinds: cloneMap(s.kinds)}
	}
	e.services[name] = s
	return s
}

// prune removes the service if it has neither an entry of its own nor kinds.
func (e *viewEditor) prune(name string) {
	if s := e.services[name]; s.config == nil && len(s.kinds) == 0 {
		delete(e.services, name)
	}
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	c := make(map[K]V, len(m)+1)
	for k, v := range m {
		c[k] = v
	}
	return c
}
