package cradmission

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Item is one waiting request. Value is the caller's own; the other fields are read by the queue and must not change
// while the item is queued.
type Item struct {
	Priority Priority
	// Deadline is when the item is useless; the zero time means that only MaxWait bounds it.
	Deadline time.Time
	// Due orders items of the same priority, the earliest first; items without it keep the order of their arrival.
	Due   time.Time
	Value any

	queued time.Time
	seq    uint64
}

// Wait returns how long the item has been queued at now.
func (i *Item) Wait(now time.Time) time.Duration { return now.Sub(i.queued) }

// Queue is a bounded priority queue. Ordinary items hold at most OrdinaryShare of its places.
// Fields are set before use; zero fields mean 256 places, 1 s and 0.8.
type Queue struct {
	Length        int
	MaxWait       time.Duration
	OrdinaryShare float64

	mu      sync.Mutex
	items   []*Item // ascending by priority, the later one first among equals
	seq     uint64
	expired []*Item // removed by Push or Pop, returned by the next Expire
}

// Push queues it, or refuses the lowest item when there is no place: refused is nil, a displaced item, or it itself.
// The caller answers the refused item at once.
func (q *Queue) Push(now time.Time, it *Item) (refused *Item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	it.queued = now
	q.seq++
	it.seq = q.seq
	if q.full(it.Priority.Class()) {
		q.sweep(now)
	}
	if q.full(it.Priority.Class()) {
		lowest := q.items[0]
		if !lowest.before(it) {
			return it
		}
		q.items = slices.Delete(q.items, 0, 1)
		refused = lowest
	}
	at, _ := slices.BinarySearchFunc(q.items, it, compare)
	q.items = slices.Insert(q.items, at, it)
	return refused
}

// Pop removes the highest item that is still in time.
func (q *Queue) Pop(now time.Time) (*Item, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for n := len(q.items); n > 0; n = len(q.items) {
		it := q.items[n-1]
		q.items[n-1] = nil
		q.items = q.items[:n-1]
		if !q.late(it, now) {
			return it, true
		}
		q.expired = append(q.expired, it)
	}
	return nil, false
}

// Expire removes and returns all items whose time is over, those that Push and Pop met included.
func (q *Queue) Expire(now time.Time) []*Item {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sweep(now)
	out := q.expired
	q.expired = nil
	return out
}

// Remove takes a cancelled item out and reports whether it was still waiting.
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

// Ahead returns how many waiting items would run before a new one of priority p that is due at the time.
func (q *Queue) Ahead(p Priority, due time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	at, _ := slices.BinarySearchFunc(q.items, &Item{Priority: p, Due: due, seq: math.MaxUint64}, compare)
	return len(q.items) - at
}

// full reports whether an item of class c needs another's place. Ordinary items stand first, so the lowest of the
// queue is always the one to displace.
func (q *Queue) full(c Class) bool {
	length, limit := bounds(q.Length, 256, q.OrdinaryShare)
	if len(q.items) >= length {
		return true
	}
	if c == Protected {
		return false
	}
	return len(q.items) >= limit && q.items[limit-1].Priority.Class() == Ordinary
}

func (q *Queue) late(it *Item, now time.Time) bool {
	wait := q.MaxWait
	if wait == 0 {
		wait = time.Second
	}
	return it.Wait(now) >= wait || (!it.Deadline.IsZero() && !now.Before(it.Deadline))
}

func (q *Queue) sweep(now time.Time) {
	kept := q.items[:0]
	for _, it := range q.items {
		if q.late(it, now) {
			q.expired = append(q.expired, it)
		} else {
			kept = append(kept, it)
		}
	}
	clear(q.items[len(kept):])
	q.items = kept
}

func (i *Item) before(o *Item) bool { return compare(i, o) < 0 }

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
