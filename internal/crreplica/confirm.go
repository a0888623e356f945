package crreplica

import (
	"context"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crring"
	"github.com/citronramp/citronramp/pkg/crclock"
)

const (
	// confirmInterval is the time between questions to the leader.
	confirmInterval = 250 * time.Millisecond
	// ConfirmLife is for how long an answer counts, from the question on; some questions may fail in that time.
	ConfirmLife = time.Second
)

// reader is asked whether all that was acknowledged before the question is applied here.
type reader interface {
	ReadIndex(ctx context.Context) (uint64, error)
}

// Confirmation knows how old the state of this member may be. It goes by the time of the last question that was answered, since
// an answer may be late, and by a clock that counts suspension, since the member may sleep after it. Set the exported fields,
// then call Run.
type Confirmation struct {
	Reader reader
	// OnFailure, when set, is called after each question without an answer.
	OnFailure func()

	once  sync.Once
	hurry *crring.Ring[struct{}]
	mu    sync.Mutex
	// asked is the time of the last question that was answered, renewed is closed by the next answer.
	asked   time.Time
	renewed chan struct{}
}

func (c *Confirmation) init() {
	c.once.Do(func() {
		c.hurry = crring.New[struct{}](1)
		c.renewed = make(chan struct{})
	})
}

// Run asks again and again until ctx ends.
func (c *Confirmation) Run(ctx context.Context) {
	c.init()
	tick := time.NewTicker(confirmInterval)
	defer tick.Stop()
	for {
		c.ask(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-c.hurry.C():
		}
	}
}

func (c *Confirmation) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ConfirmLife)
	defer cancel()
	asked := crclock.Now()
	if _, err := c.Reader.ReadIndex(ctx); err != nil {
		if c.OnFailure != nil {
			c.OnFailure()
		}
		return
	}
	c.answered(asked)
}

// answered takes the answer to a question of a time.
func (c *Confirmation) answered(asked time.Time) {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = asked
	close(c.renewed)
	c.renewed = make(chan struct{})
}

// Hurry has the next question asked at once.
func (c *Confirmation) Hurry() {
	c.init()
	c.hurry.Push(struct{}{})
}

// Renewed returns a channel that the next answer closes.
func (c *Confirmation) Renewed() <-chan struct{} {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.renewed
}

// Age returns how old the state may be at a time of crclock, and false when that is not known.
func (c *Confirmation) Age(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.asked), !c.asked.IsZero()
}

// Valid reports whether the state is as young as ConfirmLife.
func (c *Confirmation) Valid(now time.Time) bool { return c.Since(now, time.Time{}) }

// Since reports whether the state is valid and holds all that was acknowledged before a time.
func (c *Confirmation) Since(now, t time.Time) bool {
	age, ok := c.Age(now)
	return ok && age < ConfirmLife && age <= now.Sub(t)
}
