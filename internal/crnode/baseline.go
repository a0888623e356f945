package crnode

import (
	"context"
	"sync"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crlimiter"
)

// Policy is how a node treats load; all but Adaptive exist to measure against.
type Policy int

const (
	// Adaptive is the product.
	Adaptive Policy = iota
	// NoControl passes every request on and retries at each layer.
	NoControl
	// FixedLimit adds a fixed concurrency limit and a first-in-first-out queue to NoControl.
	FixedLimit
)

// baselineRetries is how often each layer sends a failed call again under the baselines.
const baselineRetries = 2

// openGate lets every request in at once.
type openGate struct{}

func (openGate) enter(context.Context, entry) (func(crlimiter.Sample), error) {
	return func(crlimiter.Sample) {}, nil
}
func (openGate) feedback() crFeedback    { return crFeedback{} }
func (openGate) tick(time.Time)          {}
func (openGate) announce(time.Time, int) {}

// fixedGate admits as many requests as there are slots and lets the others wait in order of arrival.
type fixedGate struct {
	maxWait time.Duration

	mu    sync.Mutex
	slots chan struct{}
}

func newFixedGate(slots int, maxWait time.Duration) *fixedGate {
	return &fixedGate{maxWait: maxWait, slots: make(chan struct{}, slots)}
}

func (g *fixedGate) current() chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slots
}

func (g *fixedGate) enter(ctx context.Context, _ entry) (func(crlimiter.Sample), error) {
	slots := g.current()
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

func (g *fixedGate) feedback() crFeedback {
	slots := g.current()
	return crFeedback{InFlight: len(slots), Limit: cap(slots)}
}

func (g *fixedGate) tick(time.Time) {}

// announce replaces the limit; requests in flight give their places back to the limit that they came from.
func (g *fixedGate) announce(_ time.Time, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if cap(g.slots) != slots {
		g.slots = make(chan struct{}, slots)
	}
}
