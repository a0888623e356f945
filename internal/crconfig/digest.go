package crconfig

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math/bits"

	"github.com/citronramp/citronramp/internal/crwire"
)

// Digest is a 128-bit checksum of the live entries of a view, the sum of their hashes, so that it does not depend on their
// order. The zero value is the digest of an empty view.
type Digest struct {
	Hi, Lo uint64
}

// Add returns the digest of the union of two disjoint views.
func (d Digest) Add(e Digest) Digest {
	lo, carry := bits.Add64(d.Lo, e.Lo, 0)
	hi, _ := bits.Add64(d.Hi, e.Hi, carry)
	return Digest{Hi: hi, Lo: lo}
}

// Sub returns the digest of a view without the entries whose digest is e.
func (d Digest) Sub(e Digest) Digest {
	lo, borrow := bits.Sub64(d.Lo, e.Lo, 0)
	hi, _ := bits.Sub64(d.Hi, e.Hi, borrow)
	return Digest{Hi: hi, Lo: lo}
}

// String formats the digest in hexadecimal.
func (d Digest) String() string { return fmt.Sprintf("%016x%016x", d.Hi, d.Lo) }

// EntryDigest returns the digest of one entry, computed from its key, service, version and value. That of a deleted entry
// is zero.
func EntryDigest(e *crwire.ConfigEntry) Digest {
	if e.GetDeleted() {
		return Digest{}
	}
	value := sha256.Sum256(e.GetValue())
	buf := make([]byte, 0, 128)
	buf = binary.AppendUvarint(buf, uint64(len(e.GetKey())))
	buf = append(buf, e.GetKey()...)
	buf = binary.AppendUvarint(buf, uint64(len(e.GetService())))
	buf = append(buf, e.GetService()...)
	buf = binary.BigEndian.AppendUint64(buf, e.GetVersion().GetEpoch())
	buf = binary.BigEndian.AppendUint64(buf, e.GetVersion().GetIndex())
	buf = append(buf, value[:]...)
	sum := sha256.Sum256(buf)
	return Digest{Hi: binary.BigEndian.Uint64(sum[:8]), Lo: binary.BigEndian.Uint64(sum[8:16])}
}

// ViewDigest returns the digest of a view, the sum over its entries. No key may occur twice.
func ViewDigest(entries []*crwire.ConfigEntry) Digest {
	var d Digest
	for _, e := range entries {
		d = d.Add(EntryDigest(e))
	}
	return d
}
