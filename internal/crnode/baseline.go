package crnode

import (
	"context"
	"sync"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crlimiter"
)

// Policy selects the overload control of a node. All policies except Adaptive exist for comparison in benchmarks.
type Policy int

const (
	// Adaptive is the overload control of the product.
	Adaptive Policy = iota
	// NoControl forwards every request and retries at each layer.
	NoControl
	// FixedLimit adds a fixed concurrency limit and a first-in-first-out queue to NoControl.
	FixedLimit
)

// baselineRetries is the number of retries of a failed call at each layer under the baseline policies.
const baselineRetries = 2

// unlimitedGate admits every request immediately.
type unlimitedGate struct{}

func (unlimitedGate) enter(context.Context, gateRequest) (func(crlimiter.Sample), error) {
	return func(crlimiter.Sample) {}, nil
}
func (unlimitedGate) load() gateLoad          { return gateLoad{} }
func (unlimitedGate) tick(time.Time)          {}
func (unlimitedGate) announce(time.Time, int) {}

// fixedGate admits one request per slot; the others wait in order of arrival.
type fixedGate struct {
	maxWait time.Duration

	mu    sync.Mutex
	slots chan struct{}
}

func newFixedGate(slots int, maxWait time.Duration) *fixedGate {
	return &fixedGate{maxWait: maxWait, slots: make(chan struct{}, slots)}
}

func (g *fixedGate) currentSlots() chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slots
}

func (g *fixedGate) enter(ctx context.Context, _ gateRequest) (func(crlimiter.Sample), error) {
	slots := g.currentSlots()
	t := time.NewTimer(g.maxWait)
	defer t.Stop()
	select {
	case slots <- struct{}{}:
		return func(crlimiter.Sample) { <-slots }, nil
	case <-t.C:
		return nil, &crcode.Error{Code: crcode.QueueTimeout, RetryAfter: g.maxWait}
	case <-ctx.Done():
		return nil, crcode.New(crcode.Cancelled, "while waiting for a place")
	}
}

func (g *fixedGate) load() gateLoad {
	slots := g.currentSlots()
	return gateLoad{InFlight: len(slots), Limit: cap(slots)}
}

func (g *fixedGate) tick(time.Time) {}

// announce replaces the limit. Requests in flight return their slots to the limit that admitted them.
func (g *fixedGate) announce(_ time.Time, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if cap(g.slots) != slots {
		g.slots = make(chan struct{}, slots)
	}
}
