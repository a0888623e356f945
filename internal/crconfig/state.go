package crconfig

import (
	"slices"
	"sort"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// State is the state machine to which the consensus log is applied. It is deterministic and reads no clock, so that all
// replicas reach the same state. It is not safe for concurrent use, and the messages that it returns must not be modified.
type State struct {
	version Version // of the last accepted change
	applied Version // of the last log entry
	horizon Version // tombstones up to this version have been dropped
	objects map[string]*object
	// history lists the changes in ascending order of version. Changes superseded by a later one of the same object are
	// skipped by readers and removed by trim.
	history      []historyEntry
	digests      map[string]Digest // digest of the live entries by service
	kinds        map[string]int    // live kinds by service
	services     int
	drained      int
	convictions  int
	tombstones   int
	commandCache commandCache
}

// object is one entry, live or a tombstone, with its last change.
type object struct {
	entry   *crwire.ConfigEntry
	changed *crwire.ConfigChange
	digest  Digest
}

// historyEntry is one change of the object under key.
type historyEntry struct {
	version Version
	key     string
}

// NewState returns an empty configuration.
func NewState() *State {
	return &State{
		objects:      make(map[string]*object),
		digests:      make(map[string]Digest),
		kinds:        make(map[string]int),
		commandCache: newCommandCache(),
	}
}

// Apply applies one log entry and returns a *crwire.ConfigAnswer. Entries must come in ascending order of index, with terms
// that do not decrease; empty data is an entry without a change.
func (s *State) Apply(index, term uint64, data []byte) any {
	v := Version{Epoch: term, Index: index}
	if index <= s.applied.Index || term < s.applied.Epoch {
		return refuse(crcode.Internal, "", "log entry %s does not follow %s", v, s.applied)
	}
	s.applied = v
	if len(data) == 0 {
		return &crwire.ConfigAnswer{Code: uint32(crcode.OK)}
	}
	cmd := new(crwire.ConfigCommand)
	if err := proto.Unmarshal(data, cmd); err != nil {
		return refuse(crcode.MalformedMessage, "", "the log entry %s is not a configuration command", v)
	}
	if cmd.CommandId == "" {
		return s.execute(v, cmd)
	}
	digest, known := s.commandCache.check(cmd)
	if known != nil {
		return known
	}
	answer := s.execute(v, cmd)
	s.commandCache.add(cmd.CommandId, digest, answer)
	return answer
}

// execute executes a command whose id is not in the command cache.
func (s *State) execute(v Version, cmd *crwire.ConfigCommand) *crwire.ConfigAnswer {
	if cmd.Operator != "" && CheckName(cmd.Operator) != nil {
		return refuse(crcode.BadValue, "", "the operator name may have only a-z, 0-9 and hyphen, at most %d", MaxNameLen)
	}
	t := &transaction{state: s, version: v, cmd: cmd}
	if refused := t.change(); refused != nil {
		return refused
	}
	s.version = v
	s.trim()
	return &crwire.ConfigAnswer{Code: uint32(crcode.OK), Key: t.key, Version: v.Proto()}
}

// refuse returns an answer that refuses the command with an error code.
func refuse(c crcode.Code, key, format string, args ...any) *crwire.ConfigAnswer {
	return &crwire.ConfigAnswer{Code: uint32(c), Key: key, Detail: crcode.New(c, format, args...).Detail}
}

// liveObject returns the object under key, or nil if it is missing or deleted.
func (s *State) liveObject(key string) *object {
	if o := s.objects[key]; o != nil && !o.entry.Deleted {
		return o
	}
	return nil
}

// store replaces the object under its key and updates the counts, digests and history.
func (s *State) store(o *object) {
	key := o.entry.Key
	if old := s.objects[key]; old != nil {
		s.count(old, -1)
		s.digests[old.entry.Service] = s.digests[old.entry.Service].Sub(old.digest)
	}
	o.digest = EntryDigest(o.entry)
	s.objects[key] = o
	s.count(o, 1)
	s.digests[o.entry.Service] = s.digests[o.entry.Service].Add(o.digest)
	s.history = append(s.history, historyEntry{VersionFromProto(o.entry.Version), key})
}

// count adds n to the count of objects of the type of o.
func (s *State) count(o *object, n int) {
	if o.entry.Deleted {
		s.tombstones += n
		return
	}
	switch objectType, _, _ := strings.Cut(o.entry.Key, "/"); objectType {
	case "service":
		s.services += n
	case "kind":
		s.kinds[o.entry.Service] += n
		if s.kinds[o.entry.Service] == 0 {
			delete(s.kinds, o.entry.Service)
		}
	case "server":
		s.drained += n
	case "conviction":
		s.convictions += n
	}
}

// trim drops the oldest tombstones over the limit and superseded history entries. Which tombstones it drops depends only
// on the stored objects, so that all replicas drop the same ones.
func (s *State) trim() {
	if s.tombstones > maxTombstones {
		s.dropTombstones(tombstoneBatch)
	}
	if len(s.history) > 2*len(s.objects)+64 {
		s.history = slices.DeleteFunc(s.history, func(h historyEntry) bool { return !s.isCurrent(h) })
	}
}

// dropTombstones drops the n oldest tombstones and moves the horizon to the last of them.
func (s *State) dropTombstones(n int) {
	var deleted []Version
	for _, h := range s.history {
		if s.isCurrent(h) && s.objects[h.key].entry.Deleted {
			deleted = append(deleted, h.version)
		}
	}
	s.horizon = deleted[n-1]
	for _, h := range s.history {
		if s.horizon.Less(h.version) {
			break
		}
		if o := s.objects[h.key]; o != nil && o.entry.Deleted && s.isCurrent(h) {
			s.count(o, -1)
			delete(s.objects, h.key)
		}
	}
}

// isCurrent reports whether h is the last change of its object.
func (s *State) isCurrent(h historyEntry) bool {
	o := s.objects[h.key]
	return o != nil && VersionFromProto(o.entry.Version) == h.version
}

// Version returns the version of the last accepted change.
func (s *State) Version() Version { return s.version }

// Applied returns term and index of the last applied log entry, whether its command was accepted or not.
func (s *State) Applied() Version { return s.applied }

// Entries returns the entries changed after version since, in ascending order of version: those of the given services (nil
// means all) and those that belong to no service. If since is zero or older than the last dropped tombstone, it returns all
// live entries and reports full, and the receiver must replace its view.
func (s *State) Entries(since Version, services []string) (entries []*crwire.ConfigEntry, full bool) {
	full = since == Version{} || since.Less(s.horizon)
	start := 0
	if !full {
		start = sort.Search(len(s.history), func(i int) bool { return since.Less(s.history[i].version) })
	}
	included := serviceFilter(services)
	for _, h := range s.history[start:] {
		if !s.isCurrent(h) {
			continue
		}
		e := s.objects[h.key].entry
		if included(e.Service) && !(full && e.Deleted) {
			entries = append(entries, e)
		}
	}
	return entries, full
}

// serviceFilter returns a function that reports whether the entries of a service are included for the given services (nil
// means all). Entries without a service are always included.
func serviceFilter(services []string) func(string) bool {
	if services == nil {
		return func(string) bool { return true }
	}
	set := make(map[string]bool, len(services)+1)
	set[""] = true
	for _, name := range services {
		set[name] = true
	}
	return func(name string) bool { return set[name] }
}

// Digest returns the digest of the live entries of the given services (nil means all) and of those that belong to no
// service.
func (s *State) Digest(services []string) Digest {
	var sum Digest
	included := serviceFilter(services)
	for name, d := range s.digests {
		if included(name) {
			sum = sum.Add(d)
		}
	}
	return sum
}

// Object returns the entry under key, live or a tombstone, with its last change; nil if there is none.
func (s *State) Object(key string) *crwire.ConfigObject {
	o := s.objects[key]
	if o == nil {
		return nil
	}
	return &crwire.ConfigObject{Entry: o.entry, Changed: o.changed}
}

// Objects returns the live objects whose key starts with prefix, sorted by key.
func (s *State) Objects(prefix string) []*crwire.ConfigObject {
	var list []*crwire.ConfigObject
	for key, o := range s.objects {
		if !o.entry.Deleted && strings.HasPrefix(key, prefix) {
			list = append(list, &crwire.ConfigObject{Entry: o.entry, Changed: o.changed})
		}
	}
	slices.SortFunc(list, func(a, b *crwire.ConfigObject) int { return strings.Compare(a.Entry.Key, b.Entry.Key) })
	return list
}
