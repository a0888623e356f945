package crdocument

import (
	"slices"
	"sync"

	"github.com/citronramp/citronramp/internal/crwire"
)

// shelved is how many documents a shelf keeps as references: receivers that lag further get the whole document.
const shelved = 4

// Shelf packs documents once for all receivers. It is safe for concurrent use.
type Shelf struct {
	mu sync.Mutex
	// recent are the last documents in the order of their versions, packed holds the newest by reference.
	recent []*crwire.Document
	packed map[uint64]*crwire.PackedDocument
}

// Packed returns a document packed for a receiver that holds the document of a version.
func (s *Shelf) Packed(have uint64, d *crwire.Document) (*crwire.PackedDocument, error) {
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

// add takes a document that is newer than all; the lock is held.
func (s *Shelf) add(d *crwire.Document) {
	if n := len(s.recent); n > 0 && s.recent[n-1].GetVersion() >= d.GetVersion() {
		return
	}
	s.recent = append(s.recent, d)
	s.recent = slices.Delete(s.recent, 0, max(0, len(s.recent)-shelved))
	s.packed = map[uint64]*crwire.PackedDocument{}
}

// find returns the document of a version, nil when it is not kept; the lock is held.
func (s *Shelf) find(version uint64) *crwire.Document {
	for _, d := range s.recent {
		if d.GetVersion() == version {
			return d
		}
	}
	return nil
}
