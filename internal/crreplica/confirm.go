package crreplica

import (
	"context"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crring"
	"github.com/citronramp/citronramp/pkg/crclock"
)

const (
	// confirmInterval is the interval of confirmation requests to the leader.
	confirmInterval = 250 * time.Millisecond
	// ConfirmationTTL is how long a confirmation is valid, from the time of its request. It spans several requests, so
	// that some of them may fail.
	ConfirmationTTL = time.Second
)

// readIndexer returns once all that was acknowledged before the call is applied to the state of this member.
type readIndexer interface {
	ReadIndex(ctx context.Context) (uint64, error)
}

// Confirmation tracks how old the state of this member may be: it regularly requests a confirmation that the state is
// current. The age counts from the time of the request, since an answer may be late, on a clock that counts suspension,
// since the machine may be suspended after the answer. Set the exported fields, then call Run.
type Confirmation struct {
	Reader readIndexer
	// OnFailure, when set, is called after each failed request.
	OnFailure func()

	once sync.Once
	wake *crring.Ring[struct{}]
	mu   sync.Mutex
	// confirmedAt is the time of the last request that was answered; renewed is closed by the next answer.
	confirmedAt time.Time
	renewed     chan struct{}
}

func (c *Confirmation) init() {
	c.once.Do(func() {
		c.wake = crring.New[struct{}](1)
		c.renewed = make(chan struct{})
	})
}

// Run requests confirmations periodically until ctx ends.
func (c *Confirmation) Run(ctx context.Context) {
	c.init()
	tick := time.NewTicker(confirmInterval)
	defer tick.Stop()
	for {
		c.requestConfirmation(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-c.wake.C():
		}
	}
}

func (c *Confirmation) requestConfirmation(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ConfirmationTTL)
	defer cancel()
	requestedAt := crclock.Now()
	if _, err := c.Reader.ReadIndex(ctx); err != nil {
		if c.OnFailure != nil {
			c.OnFailure()
		}
		return
	}
	c.recordConfirmation(requestedAt)
}

// recordConfirmation records the answer to the request sent at requestedAt.
func (c *Confirmation) recordConfirmation(requestedAt time.Time) {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmedAt = requestedAt
	close(c.renewed)
	c.renewed = make(chan struct{})
}

// RequestNow triggers the next request without waiting for the interval.
func (c *Confirmation) RequestNow() {
	c.init()
	c.wake.Push(struct{}{})
}

// Renewed returns a channel that is closed by the next answer.
func (c *Confirmation) Renewed() <-chan struct{} {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.renewed
}

// Age returns the maximum age of the state at now, a time of crclock; it reports false when no request was answered yet.
func (c *Confirmation) Age(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.confirmedAt), !c.confirmedAt.IsZero()
}

// Valid reports whether the state at now is younger than ConfirmationTTL.
func (c *Confirmation) Valid(now time.Time) bool { return c.ConfirmedSince(now, time.Time{}) }

// ConfirmedSince reports whether the state at now is valid and includes all that was acknowledged before t.
func (c *Confirmation) ConfirmedSince(now, t time.Time) bool {
	age, ok := c.Age(now)
	return ok && age < ConfirmationTTL && age <= now.Sub(t)
}
