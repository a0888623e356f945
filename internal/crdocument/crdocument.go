// Package crdocument is the state machine of a configuration that is replaced as a whole: each accepted document names
// the version that it builds on, so that of two changes on the same version one wins.
package crdocument

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// Verdict is the answer to a proposed document.
type Verdict uint32

// The verdicts.
const (
	// Accepted means that the document is the newest version now.
	Accepted Verdict = iota + 1
	// Repeated means that this very document was accepted before.
	Repeated
	// Conflict means that another version than its base is the newest.
	Conflict
	// NotAbove means that its version is not above the newest.
	NotAbove
	// Unreadable means that the log entry could not be decoded.
	Unreadable
)

// String returns the verdict as it stands in logs.
func (v Verdict) String() string {
	switch v {
	case Accepted:
		return "accepted"
	case Repeated:
		return "repeated"
	case Conflict:
		return "conflict"
	case NotAbove:
		return "not_above"
	}
	return "unreadable"
}

// maxAccepted bounds the digests kept for repeated proposals; 66,000 changes a day fill it in three and a half hours,
// far longer than an operator resends.
const maxAccepted = 10_000

// Machine holds the newest document; it is safe for concurrent use.
type Machine struct {
	mu       sync.RWMutex
	current  *crwire.Document
	accepted []*crwire.DocumentDigest
	byDigest map[string]bool
	changed  chan struct{}
}

// New returns a machine that holds no document.
func New() *Machine {
	return &Machine{current: &crwire.Document{}, byDigest: map[string]bool{}, changed: make(chan struct{})}
}

// Encode returns the log entry of a document.
func Encode(d *crwire.Document) ([]byte, error) {
	b, err := proto.Marshal(d)
	if err != nil {
		return nil, crcode.New(crcode.Internal, "document: %v", err)
	}
	return b, nil
}

// Current returns the newest document, of version 0 when there is none, and a channel that closes when it is replaced.
func (m *Machine) Current() (*crwire.Document, <-chan struct{}) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.current, m.changed
}

// Apply decides about one proposed document; it returns a *crwire.DocumentVerdict.
func (m *Machine) Apply(_, _ uint64, data []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := &crwire.Document{}
	verdict := Unreadable
	if err := proto.Unmarshal(data, d); err == nil {
		verdict = m.decide(d)
	}
	if verdict == Accepted {
		m.accept(d)
	}
	return &crwire.DocumentVerdict{Verdict: uint32(verdict), Current: m.current.GetVersion()}
}

func (m *Machine) decide(d *crwire.Document) Verdict {
	switch {
	case m.byDigest[string(digest(d))]:
		return Repeated
	case d.GetBase() != m.current.GetVersion():
		return Conflict
	case d.GetVersion() <= m.current.GetVersion():
		return NotAbove
	}
	return Accepted
}

func (m *Machine) accept(d *crwire.Document) {
	m.current = d
	m.remember(&crwire.DocumentDigest{Version: d.GetVersion(), Digest: digest(d)})
	if over := len(m.accepted) - maxAccepted; over > 0 {
		for _, old := range m.accepted[:over] {
			delete(m.byDigest, string(old.GetDigest()))
		}
		// A copy lets the dropped part be collected.
		m.accepted = slices.Clone(m.accepted[over:])
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Machine) remember(d *crwire.DocumentDigest) {
	m.accepted = append(m.accepted, d)
	m.byDigest[string(d.GetDigest())] = true
}

// digest identifies a document by all that it holds.
func digest(d *crwire.Document) []byte {
	h := sha256.New()
	var head [16]byte
	for i := range 8 {
		head[i] = byte(d.GetVersion() >> (8 * i))
		head[8+i] = byte(d.GetBase() >> (8 * i))
	}
	_, _ = h.Write(head[:])
	_, _ = h.Write(bytes.TrimSpace(d.GetBody()))
	return h.Sum(nil)
}

// Snapshot returns the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return proto.Marshal(&crwire.DocumentState{Current: m.current, Accepted: m.accepted})
}

// Restore replaces the state by a snapshot.
func (m *Machine) Restore(data []byte) error {
	st := &crwire.DocumentState{}
	if err := proto.Unmarshal(data, st); err != nil {
		return crcode.New(crcode.StoreDamaged, "documents: %v", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if st.Current == nil {
		st.Current = &crwire.Document{}
	}
	m.current, m.accepted, m.byDigest = st.Current, nil, map[string]bool{}
	for _, d := range st.GetAccepted() {
		m.remember(d)
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}
