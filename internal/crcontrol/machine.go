package crcontrol

import (
	"sync"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crspread"
)

// stateMachine is the replicated configuration to which log entries are applied. It guards the state with a lock, since
// other goroutines than that of the log read it.
type stateMachine struct {
	mu    sync.RWMutex
	state *crconfig.State
	// confirmed reports whether the leader confirmed recently that the applied version is the latest.
	confirmed func() bool
}

func newStateMachine(confirmed func() bool) *stateMachine {
	return &stateMachine{state: crconfig.NewState(), confirmed: confirmed}
}

// Apply applies one log entry.
func (m *stateMachine) Apply(index, term uint64, data []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Apply(index, term, data)
}

// Snapshot returns the encoded configuration.
func (m *stateMachine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Snapshot()
}

// Restore replaces the configuration by a snapshot.
func (m *stateMachine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Restore(data)
}

// read calls f with the state under the read lock. f must not retain the state.
func (m *stateMachine) read(f func(*crconfig.State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f(m.state)
}

// Version returns the version of the last accepted change.
func (m *stateMachine) Version() crconfig.Version {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Version()
}

// Changes returns the entries that changed after version from, for distribution through the configuration tree.
func (m *stateMachine) Changes(from crconfig.Version) crspread.Changes {
	m.mu.RLock()
	defer m.mu.RUnlock()
	entries, full := m.state.Entries(from, nil)
	return crspread.Changes{To: m.state.Version(), Full: full, Entries: entries, Digest: m.state.Digest(nil)}
}

// Confirmed reports whether the leader confirmed recently that the applied version is the latest.
func (m *stateMachine) Confirmed() bool { return m.confirmed() }
