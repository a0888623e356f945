package crnode

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"github.com/citronramp/citronramp/pkg/cradmission"
)

// maxReached bounds the list of services that one answer names.
const maxReached = 16

// holder names the entrance that counts the retries of a root request.
type holder struct {
	address     string
	incarnation string
}

// execution is one run on the backend server beside this node; deeper calls name it by its token.
type execution struct {
	token    string
	id       string
	rootID   string
	service  string
	kind     string
	priority cradmission.Priority
	deadline deadline
	holder   holder
	depth    int
	ctx      context.Context
	cancel   context.CancelFunc

	mu      sync.Mutex
	reached []string
	calls   int
	// open counts deeper calls under way; elsewhere is the time during which there was at least one.
	open      int
	since     time.Time
	elsewhere time.Duration
}

// callBegins counts a deeper call in.
func (e *execution) callBegins(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.open == 0 {
		e.since = now
	}
	e.open++
}

// callEnds counts a deeper call out.
func (e *execution) callEnds(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.open--; e.open == 0 {
		e.elsewhere += now.Sub(e.since)
	}
}

// timeElsewhere returns the time that the run has waited for deeper calls.
func (e *execution) timeElsewhere() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.elsewhere
}

// reach notes the services that a deeper call went through.
func (e *execution) reach(services ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range services {
		if len(e.reached) >= maxReached {
			return
		}
		if !slices.Contains(e.reached, s) {
			e.reached = append(e.reached, s)
		}
	}
}

// services returns what the run has reached so far.
func (e *execution) services() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.reached)
}

// nextCall numbers the deeper calls of the run.
func (e *execution) nextCall() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls++
	return e.calls
}

// executions is the table of runs on the backend server beside this node.
type executions struct {
	mu    sync.Mutex
	table map[string]*execution
}

// tokenBytes makes a context token impossible to guess for other local processes.
const tokenBytes = 12

func (x *executions) add(e *execution) {
	var b [tokenBytes]byte
	_, _ = rand.Read(b[:])
	e.token = hex.EncodeToString(b[:])
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.table == nil {
		x.table = make(map[string]*execution)
	}
	x.table[e.token] = e
}

// remove ends the run for deeper calls: those in flight are cancelled, later ones are refused.
func (x *executions) remove(e *execution) {
	x.mu.Lock()
	delete(x.table, e.token)
	x.mu.Unlock()
	e.cancel()
}

func (x *executions) find(token string) (*execution, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e, ok := x.table[token]
	return e, ok
}

func (x *executions) len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.table)
}
