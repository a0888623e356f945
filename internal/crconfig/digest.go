package crconfig

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/citronramp/citronramp/internal/crwire"
)

// EntryDigest returns the digest of one entry; a deleted entry has the digest 0, as if it were not there.
func EntryDigest(e *crwire.ConfigEntry) uint64 {
	if e.GetDeleted() {
		return 0
	}
	buf := make([]byte, 0, 64+len(e.GetKey())+len(e.GetService())+len(e.GetValue()))
	buf = binary.AppendUvarint(buf, uint64(len(e.GetKey())))
	buf = append(buf, e.GetKey()...)
	buf = binary.AppendUvarint(buf, uint64(len(e.GetService())))
	buf = append(buf, e.GetService()...)
	buf = binary.BigEndian.AppendUint64(buf, e.GetVersion().GetEpoch())
	buf = binary.BigEndian.AppendUint64(buf, e.GetVersion().GetIndex())
	buf = append(buf, e.GetValue()...)
	sum := sha256.Sum256(buf)
	return binary.BigEndian.Uint64(sum[:8])
}

// Digest returns the digest of a set of entries with distinct keys; their order does not matter.
func Digest(entries []*crwire.ConfigEntry) uint64 {
	var sum uint64
	for _, e := range entries {
		sum += EntryDigest(e)
	}
	return sum
}
