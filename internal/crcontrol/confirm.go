package crcontrol

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// confirmInterval is how often an instance confirms that it has applied all that is committed.
	confirmInterval = 250 * time.Millisecond
	// confirmLife is how long a confirmation counts.
	confirmLife = time.Second
)

// confirmation remembers when the leader last confirmed the applied version.
type confirmation struct {
	base time.Time
	// at is the start of the last successful read index, as time since base; 0 means none.
	at atomic.Int64
}

func newConfirmation() *confirmation { return &confirmation{base: time.Now()} }

// valid reports whether the last confirmation still counts.
func (c *confirmation) valid() bool {
	age, ok := c.age()
	return ok && age < confirmLife
}

// age returns the time since the last confirmation, and false when there was none.
func (c *confirmation) age() (time.Duration, bool) {
	at := c.at.Load()
	return time.Since(c.base) - time.Duration(at), at > 0
}

// confirmLoop asks the leader for a read index again and again.
func (c *Control) confirmLoop(ctx context.Context) {
	t := time.NewTicker(confirmInterval)
	defer t.Stop()
	for {
		start := time.Since(c.confirm.base)
		askCtx, cancel := context.WithTimeout(ctx, confirmLife)
		_, err := c.replica.ReadIndex(askCtx)
		cancel()
		if err == nil {
			c.confirm.at.Store(int64(start))
		} else {
			c.Counters.Add("confirmations_failed", 1)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
