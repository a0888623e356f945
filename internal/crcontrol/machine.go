package crcontrol

import (
	"sync"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crspread"
)

// machine is the configuration that the log is applied to, safe for the readers beside the log's own goroutine.
type machine struct {
	mu    sync.RWMutex
	state *crconfig.State
	// confirmed reports whether the leader confirms the applied version at present.
	confirmed func() bool
}

func newMachine(confirmed func() bool) *machine {
	return &machine{state: crconfig.NewState(), confirmed: confirmed}
}

// Apply applies one log entry.
func (m *machine) Apply(index, term uint64, data []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Apply(index, term, data)
}

// Snapshot returns the whole configuration.
func (m *machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Snapshot()
}

// Restore replaces the configuration by a snapshot.
func (m *machine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Restore(data)
}

// read calls f with the state, which f must not keep.
func (m *machine) read(f func(*crconfig.State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f(m.state)
}

// Version returns the version of the last accepted change.
func (m *machine) Version() crconfig.Version {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Version()
}

// Changes returns the entries after a version for the configuration tree.
func (m *machine) Changes(from crconfig.Version) crspread.Changes {
	m.mu.RLock()
	defer m.mu.RUnlock()
	entries, full := m.state.Entries(from, nil)
	return crspread.Changes{To: m.state.Version(), Full: full, Entries: entries, Digest: m.state.Digest(nil)}
}

// Confirmed reports whether the version is confirmed by the leader at present.
func (m *machine) Confirmed() bool { return m.confirmed() }
