// Package crdocument implements the replicated state machine of a configuration that is replaced as a whole. Each
// document names the version that it is based on, so that of two concurrent changes of one version only the first is
// accepted.
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

// Verdict is the result of a proposed document.
type Verdict uint32

// Verdicts on a proposed document.
const (
	// Accepted means that the document is now the newest version.
	Accepted Verdict = iota + 1
	// Repeated means that the same document was accepted before.
	Repeated
	// Conflict means that the base of the document is not the newest version.
	Conflict
	// NotAbove means that the version of the document is not higher than the newest.
	NotAbove
	// Unreadable means that the log entry could not be decoded.
	Unreadable
)

// String returns the name of the verdict in event logs.
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

// maxAcceptedDigests bounds the digests that are kept to recognise repeated proposals. At 66,000 changes a day they
// cover three and a half hours, far longer than an operator retries.
const maxAcceptedDigests = 10_000

// Machine is the state machine that holds the newest document. It is safe for concurrent use.
type Machine struct {
	mu              sync.RWMutex
	current         *crwire.Document
	acceptedDigests []*crwire.DocumentDigest
	byDigest        map[string]bool
	changed         chan struct{}
}

// New returns a Machine without a document.
func New() *Machine {
	return &Machine{current: &crwire.Document{}, byDigest: map[string]bool{}, changed: make(chan struct{})}
}

// Encode returns the log entry that proposes a document.
func Encode(d *crwire.Document) ([]byte, error) {
	b, err := proto.Marshal(d)
	if err != nil {
		return nil, crcode.New(crcode.Internal, "document: %v", err)
	}
	return b, nil
}

// Current returns the newest document, with version 0 when there is none, and a channel that is closed when it is
// replaced.
func (m *Machine) Current() (*crwire.Document, <-chan struct{}) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.current, m.changed
}

// Apply applies the log entry of a proposed document and returns the verdict as a *crwire.DocumentVerdict.
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
	if over := len(m.acceptedDigests) - maxAcceptedDigests; over > 0 {
		for _, old := range m.acceptedDigests[:over] {
			delete(m.byDigest, string(old.GetDigest()))
		}
		// The copy lets the garbage collector free the dropped part.
		m.acceptedDigests = slices.Clone(m.acceptedDigests[over:])
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Machine) remember(d *crwire.DocumentDigest) {
	m.acceptedDigests = append(m.acceptedDigests, d)
	m.byDigest[string(d.GetDigest())] = true
}

// digest returns a hash of the version, base and body of a document.
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

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return proto.Marshal(&crwire.DocumentState{Current: m.current, Accepted: m.acceptedDigests})
}

// Restore replaces the state by that of a snapshot.
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
	m.current, m.acceptedDigests, m.byDigest = st.Current, nil, map[string]bool{}
	for _, d := range st.GetAccepted() {
		m.remember(d)
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}
