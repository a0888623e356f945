package cradmission

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Item is one waiting request. Value is for the caller's use; the queue reads the other fields, which must not change while
// the item is queued.
type Item struct {
	Priority Priority
	// Deadline is the time from which the item is useless; with the zero time only Queue.MaxWait limits its wait.
	Deadline time.Time
	// Due orders items of the same priority, the earliest first; items with equal values stay in order of arrival.
	Due   time.Time
	Value any

	queued time.Time
	seq    uint64
}

// Wait returns how long the item has been queued at now.
func (i *Item) Wait(now time.Time) time.Duration { return now.Sub(i.queued) }

// Queue is a bounded priority queue. Ordinary items take at most OrdinaryShare of its places.
// Fields are set before use; zero values mean 256 places, a maximum wait of 1 s and a share of 0.8.
type Queue struct {
	Length        int
	MaxWait       time.Duration
	OrdinaryShare float64

	mu      sync.Mutex
	items   []*Item // ascending by priority; among equals the one that runs later comes first
	seq     uint64
	expired []*Item // expired items that Push or Pop removed; the next Expire returns them
}

// Push queues the item. If the queue is full it refuses the lowest item, which is a queued one or the new one, and returns
// it; the caller must answer it. Otherwise refused is nil.
func (q *Queue) Push(now time.Time, it *Item) (refused *Item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	it.queued = now
	q.seq++
	it.seq = q.seq
	if q.full(it.Priority.Class()) {
		q.removeExpired(now)
	}
	if q.full(it.Priority.Class()) {
		lowest := q.items[0]
		if !lowest.lowerThan(it) {
			return it
		}
		q.items = slices.Delete(q.items, 0, 1)
		refused = lowest
	}
	at, _ := slices.BinarySearchFunc(q.items, it, compare)
	q.items = slices.Insert(q.items, at, it)
	return refused
}

// Pop removes and returns the highest item that has not expired.
func (q *Queue) Pop(now time.Time) (*Item, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for n := len(q.items); n > 0; n = len(q.items) {
		it := q.items[n-1]
		q.items[n-1] = nil
		q.items = q.items[:n-1]
		if !q.isExpired(it, now) {
			return it, true
		}
		q.expired = append(q.expired, it)
	}
	return nil, false
}

// Expire removes and returns all expired items, including those that Push and Pop found.
func (q *Queue) Expire(now time.Time) []*Item {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.removeExpired(now)
	out := q.expired
	q.expired = nil
	return out
}

// Remove removes a cancelled item and reports whether it was still waiting.
func (q *Queue) Remove(it *Item) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.expired, it); i >= 0 {
		q.expired = slices.Delete(q.expired, i, i+1)
		return true
	}
	at, found := slices.BinarySearchFunc(q.items, it, compare)
	if !found || q.items[at] != it {
		return false
	}
	q.items = slices.Delete(q.items, at, at+1)
	return true
}

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}

// Ahead returns the number of waiting items that would run before a new one of priority p with the due time.
func (q *Queue) Ahead(p Priority, due time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	at, _ := slices.BinarySearchFunc(q.items, &Item{Priority: p, Due: due, seq: math.MaxUint64}, compare)
	return len(q.items) - at
}

// full reports whether a new item of class c must displace another one. Ordinary items come first in the queue, so the first
// item is always the one to displace.
func (q *Queue) full(c Class) bool {
	length, limit := classLimits(q.Length, 256, q.OrdinaryShare)
	if len(q.items) >= length {
		return true
	}
	if c == Protected {
		return false
	}
	return len(q.items) >= limit && q.items[limit-1].Priority.Class() == Ordinary
}

func (q *Queue) isExpired(it *Item, now time.Time) bool {
	wait := q.MaxWait
	if wait == 0 {
		wait = time.Second
	}
	return it.Wait(now) >= wait || (!it.Deadline.IsZero() && !now.Before(it.Deadline))
}

func (q *Queue) removeExpired(now time.Time) {
	kept := q.items[:0]
	for _, it := range q.items {
		if q.isExpired(it, now) {
			q.expired = append(q.expired, it)
		} else {
			kept = append(kept, it)
		}
	}
	clear(q.items[len(kept):])
	q.items = kept
}

func (i *Item) lowerThan(o *Item) bool { return compare(i, o) < 0 }

func compare(a, b *Item) int {
	switch {
	case a.Priority < b.Priority:
		return -1
	case a.Priority > b.Priority:
		return 1
	case !a.Due.Equal(b.Due):
		return b.Due.Compare(a.Due)
	case a.seq > b.seq:
		return -1
	case a.seq < b.seq:
		return 1
	}
	return 0
}
