// Package crconfig is the configuration: the state machine that the replicated log feeds, and the view of it that a
// node reads.
package crconfig

import (
	"fmt"

	"github.com/citronramp/citronramp/internal/crwire"
)

// Version orders configurations; it only ever rises on a process.
type Version struct {
	// Epoch is the log term of the entry.
	Epoch uint64
	// Index is the log index of the entry.
	Index uint64
}

// Less reports whether v is older than w.
func (v Version) Less(w Version) bool {
	return v.Epoch < w.Epoch || v.Epoch == w.Epoch && v.Index < w.Index
}

// String returns the version as EPOCH.INDEX.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Epoch, v.Index) }

// MarshalText returns the version as EPOCH.INDEX, so that JSON holds it as a string.
func (v Version) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText reads EPOCH.INDEX.
func (v *Version) UnmarshalText(text []byte) (err error) {
	*v, err = ParseVersion(string(text))
	return err
}

// Wire returns the version as a message.
func (v Version) Wire() *crwire.ConfigVersion {
	return &crwire.ConfigVersion{Epoch: v.Epoch, Index: v.Index}
}

// VersionOf returns the version that a message holds; a nil message is the zero version.
func VersionOf(m *crwire.ConfigVersion) Version {
	return Version{Epoch: m.GetEpoch(), Index: m.GetIndex()}
}
