package crconfig

import (
	"slices"
	"sort"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// State is the deterministic state machine behind the replicated log. It has no clock and is not safe for concurrent
// use; the messages that it returns must not be changed.
type State struct {
	version Version // of the last accepted change
	applied Version // of the last log entry
	horizon Version // up to which deleted entries are forgotten
	objects map[string]*object
	// history holds the versions of all changes in ascending order; superseded ones are skipped and removed in time.
	history     []historyItem
	sums        map[string]Digest // digest of the live entries by service
	kinds       map[string]int    // live kinds by service
	services    int
	drained     int
	convictions int
	tombstones  int
	memory      memory
}

// object is one entry, live or deleted, with its last change.
type object struct {
	entry   *crwire.ConfigEntry
	changed *crwire.ConfigChange
	digest  Digest
}

type historyItem struct {
	version Version
	key     string
}

// NewState returns an empty configuration.
func NewState() *State {
	return &State{
		objects: make(map[string]*object),
		sums:    make(map[string]Digest),
		kinds:   make(map[string]int),
		memory:  newMemory(),
	}
}

// Apply applies one log entry and returns a *crwire.ConfigAnswer; empty data is an entry without a change.
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
		return s.run(v, cmd)
	}
	digest, known := s.memory.check(cmd)
	if known != nil {
		return known
	}
	answer := s.run(v, cmd)
	s.memory.add(cmd.CommandId, digest, answer)
	return answer
}

// run executes a command that was not seen before.
func (s *State) run(v Version, cmd *crwire.ConfigCommand) *crwire.ConfigAnswer {
	if cmd.Operator != "" && CheckName(cmd.Operator) != nil {
		return refuse(crcode.BadValue, "", "the operator name may have only a-z, 0-9 and hyphen, at most %d", MaxNameLen)
	}
	t := &transaction{s: s, version: v, cmd: cmd}
	if no := t.change(); no != nil {
		return no
	}
	s.version = v
	s.trim()
	return &crwire.ConfigAnswer{Code: uint32(crcode.OK), Key: t.key, Version: v.Wire()}
}

// refuse returns an answer with an error code.
func refuse(c crcode.Code, key, format string, args ...any) *crwire.ConfigAnswer {
	return &crwire.ConfigAnswer{Code: uint32(c), Key: key, Detail: crcode.New(c, format, args...).Detail}
}

// live returns the object under key unless it is missing or deleted.
func (s *State) live(key string) *object {
	if o := s.objects[key]; o != nil && !o.entry.Deleted {
		return o
	}
	return nil
}

// store replaces the object under its key and keeps the counts and digests.
func (s *State) store(o *object) {
	key := o.entry.Key
	if old := s.objects[key]; old != nil {
		s.count(old, -1)
		s.sums[old.entry.Service] = s.sums[old.entry.Service].Sub(old.digest)
	}
	o.digest = EntryDigest(o.entry)
	s.objects[key] = o
	s.count(o, 1)
	s.sums[o.entry.Service] = s.sums[o.entry.Service].Add(o.digest)
	s.history = append(s.history, historyItem{VersionOf(o.entry.Version), key})
}

func (s *State) count(o *object, n int) {
	if o.entry.Deleted {
		s.tombstones += n
		return
	}
	switch sort, _, _ := strings.Cut(o.entry.Key, "/"); sort {
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

// trim forgets the oldest deleted entries over the bound and superseded history. What it drops depends only on the
// stored objects, so that every replica drops the same.
func (s *State) trim() {
	if s.tombstones > maxTombstones {
		s.dropTombstones(tombstoneBatch)
	}
	if len(s.history) > 2*len(s.objects)+64 {
		s.history = slices.DeleteFunc(s.history, func(h historyItem) bool { return !s.current(h) })
	}
}

func (s *State) dropTombstones(n int) {
	var deleted []Version
	for _, h := range s.history {
		if s.current(h) && s.objects[h.key].entry.Deleted {
			deleted = append(deleted, h.version)
		}
	}
	s.horizon = deleted[n-1]
	for _, h := range s.history {
		if s.horizon.Less(h.version) {
			break
		}
		if o := s.objects[h.key]; o != nil && o.entry.Deleted && s.current(h) {
			s.count(o, -1)
			delete(s.objects, h.key)
		}
	}
}

// current reports whether the history item is the last change of its object.
func (s *State) current(h historyItem) bool {
	o := s.objects[h.key]
	return o != nil && VersionOf(o.entry.Version) == h.version
}

// Version returns the version of the last accepted change.
func (s *State) Version() Version { return s.version }

// Applied returns the position of the last log entry, accepted or not.
func (s *State) Applied() Version { return s.applied }

// Entries returns what changed after since for the given services and for every node, in ascending order of version;
// nil services means all. When since is zero or older than the kept deletions it returns the full view without
// deleted entries and reports full, and the receiver must reset its view.
func (s *State) Entries(since Version, services []string) (entries []*crwire.ConfigEntry, full bool) {
	full = since == Version{} || since.Less(s.horizon)
	start := 0
	if !full {
		start = sort.Search(len(s.history), func(i int) bool { return since.Less(s.history[i].version) })
	}
	wanted := filter(services)
	for _, h := range s.history[start:] {
		if !s.current(h) {
			continue
		}
		e := s.objects[h.key].entry
		if wanted(e.Service) && !(full && e.Deleted) {
			entries = append(entries, e)
		}
	}
	return entries, full
}

// filter returns whether entries of a service belong to the view of the given services.
func filter(services []string) func(string) bool {
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

// Digest returns the digest of the live entries for the given services and for every node; nil services means all.
func (s *State) Digest(services []string) Digest {
	var sum Digest
	wanted := filter(services)
	for name, d := range s.sums {
		if wanted(name) {
			sum = sum.Add(d)
		}
	}
	return sum
}

// Object returns the entry under key with its last change, deleted or not; nil when there is none.
func (s *State) Object(key string) *crwire.ConfigObject {
	o := s.objects[key]
	if o == nil {
		return nil
	}
	return &crwire.ConfigObject{Entry: o.entry, Changed: o.changed}
}

// Objects returns the live objects whose key starts with prefix, in order of key.
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
