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

// maxReached bounds the list of reached services in one answer.
const maxReached = 16

// holder identifies the node that counts the retries of a root request.
type holder struct {
	address     string
	incarnation string
}

// execution is one run on the backend server beside this node. Downstream calls refer to it by its token.
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
	// openCalls counts the downstream calls in flight. waited is the time during which at least one was in flight.
	openCalls    int
	waitingSince time.Time
	waited       time.Duration
}

// beginDownstreamCall records the start of a downstream call.
func (e *execution) beginDownstreamCall(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.openCalls == 0 {
		e.waitingSince = now
	}
	e.openCalls++
}

// endDownstreamCall records the end of a downstream call.
func (e *execution) endDownstreamCall(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.openCalls--; e.openCalls == 0 {
		e.waited += now.Sub(e.waitingSince)
	}
}

// downstreamWait returns the time that the run has waited for downstream calls.
func (e *execution) downstreamWait() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.waited
}

// addReached records the services that a downstream call reached.
func (e *execution) addReached(services ...string) {
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

// reachedServices returns the services that the run has reached so far.
func (e *execution) reachedServices() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.reached)
}

// nextCall returns the number of the next downstream call of the run, starting at 1.
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

// tokenBytes is the size of a context token; other local processes can't guess a token of this size.
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

// remove ends the run. Downstream calls in flight are cancelled, later ones are refused.
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
