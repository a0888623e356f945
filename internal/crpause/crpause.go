// Package crpause provides waits that end with a context.
package crpause

import (
	"context"
	"time"
)

// For waits for d and returns nil, or returns the error of ctx when ctx ends first.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// Every calls f immediately and then at each interval until ctx ends.
func Every(ctx context.Context, interval time.Duration, f func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
