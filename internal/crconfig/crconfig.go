// Package crconfig holds the replicated configuration: State, the state machine to which the entries of the consensus log
// are applied, and View, the copy that a node reads.
package crconfig

import (
	"fmt"

	"github.com/citronramp/citronramp/internal/crwire"
)

// Version identifies and orders configurations. Within a process the current version never decreases.
type Version struct {
	// Epoch is the term of the log entry with the change.
	Epoch uint64
	// Index is the index of the log entry with the change.
	Index uint64
}

// Less reports whether v is older than w.
func (v Version) Less(w Version) bool {
	return v.Epoch < w.Epoch || v.Epoch == w.Epoch && v.Index < w.Index
}

// String formats the version as EPOCH.INDEX.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Epoch, v.Index) }

// MarshalText formats the version as EPOCH.INDEX, so that it is a string in JSON.
func (v Version) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText parses a version written as EPOCH.INDEX.
func (v *Version) UnmarshalText(text []byte) (err error) {
	*v, err = ParseVersion(string(text))
	return err
}

// Proto converts the version to its protobuf message.
func (v Version) Proto() *crwire.ConfigVersion {
	return &crwire.ConfigVersion{Epoch: v.Epoch, Index: v.Index}
}

// VersionFromProto converts a protobuf message to a version; a nil message is the zero version.
func VersionFromProto(m *crwire.ConfigVersion) Version {
	return Version{Epoch: m.GetEpoch(), Index: m.GetIndex()}
}
