package crdocument

import (
	"slices"
	"sync"

	"github.com/citronramp/citronramp/internal/crwire"
)

// maxReferences is the number of recent documents that are kept as references. Receivers with an older version get
// the whole document.
const maxReferences = 4

// PackCache packs each document once for all receivers that hold the same version. It is safe for concurrent use.
type PackCache struct {
	mu sync.Mutex
	// recent holds the last documents in ascending order of version; packed holds the newest document by the version
	// of the reference that it is packed with.
	recent []*crwire.Document
	packed map[uint64]*crwire.PackedDocument
}

// Packed returns document d packed for a receiver that holds version have. The whole document is packed when that
// version is not kept.
func (s *PackCache) Packed(have uint64, d *crwire.Document) (*crwire.PackedDocument, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(d)
	reference := s.find(have)
	if p := s.packed[reference.GetVersion()]; p.GetVersion() == d.GetVersion() {
		return p, nil
	}
	p, err := Pack(reference, d)
	if err != nil {
		return nil, err
	}
	if s.recent[len(s.recent)-1].GetVersion() == d.GetVersion() {
		s.packed[reference.GetVersion()] = p
	}
	return p, nil
}

// add stores a document if it is newer than all others. The caller holds the lock.
func (s *PackCache) add(d *crwire.Document) {
	if n := len(s.recent); n > 0 && s.recent[n-1].GetVersion() >= d.GetVersion() {
		return
	}
	s.recent = append(s.recent, d)
	s.recent = slices.Delete(s.recent, 0, max(0, len(s.recent)-maxReferences))
	s.packed = map[uint64]*crwire.PackedDocument{}
}

// find returns the document of a version, nil when it is not kept. The caller holds the lock.
func (s *PackCache) find(version uint64) *crwire.Document {
	for _, d := range s.recent {
		if d.GetVersion() == version {
			return d
		}
	}
	return nil
}
