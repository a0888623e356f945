// Package crring provides a bounded queue between goroutines. Items that exceed its size are rejected and counted.
package crring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in-first-out queue for many producers and consumers.
type Ring[T any] struct {
	items    chan T
	overflow atomic.Uint64
}

// New returns a ring for at most size items; size must be positive.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Push adds v and reports true, or counts an overflow and reports false when the ring is full.
func (r *Ring[T]) Push(v T) bool {
	select {
	case r.items <- v:
		return true
	default:
		r.overflow.Add(1)
		return false
	}
}

// Pop waits for the next item; it returns the error of ctx when ctx ends first.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	select {
	case v := <-r.items:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// C returns the channel of queued items for use in a select.
func (r *Ring[T]) C() <-chan T { return r.items }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Overflow returns how many items were rejected since the start.
func (r *Ring[T]) Overflow() uint64 { return r.overflow.Load() }
