// Package crpause waits between the steps of a duty, for no longer than the duty lasts.
package crpause

import (
	"context"
	"time"
)

// For waits for d and returns nil, or the error of ctx when that ends before.
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

// Every calls f at once and then at each interval until ctx ends.
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
