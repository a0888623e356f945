package crconfig

import (
	"crypto/sha256"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

const (
	// MaxSnapshotBytes bounds the size of a snapshot. With every count at its limit a snapshot is estimated at 90 MB,
	// most of it 262,144 kinds of 250 bytes each.
	MaxSnapshotBytes = 128 << 20
	// maxObjects bounds the stored entries including tombstones.
	maxObjects = MaxServices*(1+MaxKinds) + MaxDrainedServers + MaxGroups + MaxConvictions + maxTombstones
)

// Snapshot encodes the whole state. Equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	m := &crwire.ConfigSnapshot{
		Version: s.version.Proto(), Applied: s.applied.Proto(), Horizon: s.horizon.Proto(), FenceMs: s.commandCache.fence,
		Objects:  make([]*crwire.ConfigObject, 0, len(s.objects)),
		Commands: make([]*crwire.RememberedCommand, 0, len(s.commandCache.byID)),
	}
	for _, o := range s.objects {
		m.Objects = append(m.Objects, &crwire.ConfigObject{Entry: o.entry, Changed: o.changed})
	}
	slices.SortFunc(m.Objects, compareObjects)
	for _, r := range s.commandCache.byID {
		m.Commands = append(m.Commands, &crwire.RememberedCommand{Id: r.id, Digest: r.digest[:], Answer: r.answer})
	}
	slices.SortFunc(m.Commands, func(a, b *crwire.RememberedCommand) int { return strings.Compare(a.Id, b.Id) })
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, crcode.New(crcode.Internal, "the configuration cannot be encoded: %v", err)
	}
	if len(data) > MaxSnapshotBytes {
		return nil, crcode.New(crcode.MessageTooLarge, "the snapshot has %d bytes, over the bound of %d", len(data), MaxSnapshotBytes)
	}
	return data, nil
}

// compareObjects orders objects by version, then by key.
func compareObjects(a, b *crwire.ConfigObject) int {
	va, vb := VersionFromProto(a.GetEntry().GetVersion()), VersionFromProto(b.GetEntry().GetVersion())
	switch {
	case va.Less(vb):
		return -1
	case vb.Less(va):
		return 1
	}
	return strings.Compare(a.GetEntry().GetKey(), b.GetEntry().GetKey())
}

// Restore replaces the state by a snapshot. On error the state is unchanged.
func (s *State) Restore(data []byte) error {
	if len(data) > MaxSnapshotBytes {
		return crcode.New(crcode.MessageTooLarge, "the snapshot has %d bytes, over the bound of %d", len(data), MaxSnapshotBytes)
	}
	m := new(crwire.ConfigSnapshot)
	if err := proto.Unmarshal(data, m); err != nil {
		return damagedSnapshot("it cannot be decoded")
	}
	r := NewState()
	r.version, r.applied, r.horizon = VersionFromProto(m.Version), VersionFromProto(m.Applied), VersionFromProto(m.Horizon)
	if r.applied.Less(r.version) || r.version.Less(r.horizon) {
		return damagedSnapshot("its versions are out of order")
	}
	if err := r.restoreObjects(m.Objects); err != nil {
		return err
	}
	if err := r.commandCache.restore(m); err != nil {
		return err
	}
	*s = *r
	return nil
}

func damagedSnapshot(format string, args ...any) error {
	return crcode.New(crcode.MalformedMessage, "the snapshot is damaged: "+format, args...)
}

func (s *State) restoreObjects(objects []*crwire.ConfigObject) error {
	if len(objects) > maxObjects {
		return damagedSnapshot("it has %d objects, over the bound of %d", len(objects), maxObjects)
	}
	for i, o := range objects {
		e := o.GetEntry()
		v := VersionFromProto(e.GetVersion())
		switch {
		case v == Version{} || s.version.Less(v):
			return damagedSnapshot("%q has version %s", e.GetKey(), v)
		case i > 0 && compareObjects(objects[i-1], o) >= 0:
			return damagedSnapshot("%q is out of order", e.GetKey())
		case s.objects[e.GetKey()] != nil:
			return damagedSnapshot("%q stands twice", e.GetKey())
		}
		if _, err := decode(e); err != nil {
			return damagedSnapshot("%v", err)
		}
		changed := o.Changed
		if changed == nil {
			changed = new(crwire.ConfigChange)
		}
		s.store(&object{entry: e, changed: changed})
	}
	return s.checkCounts()
}

// checkCounts checks that no limit is exceeded and that the service of every kind exists.
func (s *State) checkCounts() error {
	if s.services > MaxServices || s.drained > MaxDrainedServers || s.convictions > MaxConvictions || s.tombstones > maxTombstones {
		return damagedSnapshot("it has more objects than allowed")
	}
	for service, n := range s.kinds {
		if n > MaxKinds {
			return damagedSnapshot("service %s has %d kinds", service, n)
		}
		if s.liveObject(ServiceKey(service)) == nil {
			return damagedSnapshot("the service %s of a kind is missing", service)
		}
	}
	return nil
}

func (m *commandCache) restore(snap *crwire.ConfigSnapshot) error {
	if len(snap.Commands) > MaxCommandIDs {
		return damagedSnapshot("it has %d command ids, over the bound of %d", len(snap.Commands), MaxCommandIDs)
	}
	m.fence = snap.FenceMs
	for _, c := range snap.Commands {
		if _, err := ParseCommandID(c.GetId()); err != nil || len(c.Digest) != sha256.Size || c.Answer == nil || m.byID[c.Id] != nil {
			return damagedSnapshot("the command id %q is malformed or stands twice", c.GetId())
		}
		m.add(c.Id, [sha256.Size]byte(c.Digest), c.Answer)
	}
	return nil
}
