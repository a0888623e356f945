package crbudget

import (
	"sync"
	"time"
)

// maxFutureCreation is the maximum time by which the creation time of an id may lie in the future. Later ones are
// refused, since they could raise the fence above the creation times of new ids.
const maxFutureCreation = 5 * time.Second

// RetryCounter counts the arrivals of each request id and the extra attempts granted to it. A request whose kind allows R
// retries has two such counters: the one at its home, the node that created the id, grants ceil(R/2) extra attempts; the
// one at the record keepers, the nodes that store request ids, has Fallback set, grants floor(R/2) and charges every
// arrival, including the first one. Fields are set before use.
type RetryCounter struct {
	Fallback bool
	// Max limits the stored ids; zero means 65,536.
	Max int
	// TTL is the minimum time for which an id is stored unless Max is reached; zero means 2 minutes.
	TTL time.Duration

	mu       sync.Mutex
	current  generation
	previous generation
	fence    int64 // ids created at or before this Unix time in milliseconds may have been evicted
}

type generation struct {
	entries       map[string]*entry
	newestCreated int64
	started       time.Time
}

type entry struct {
	created  int64
	arrivals int
	spent    int
	retries  int
}

// Arrive records an arrival of an id, created at the given time, whose kind allows the given number of retries. It grants up
// to want of the remaining extra attempts. If ok is false the arrival itself is refused: no attempt remains for it, the id
// may have been evicted, or its creation time is too far in the future.
func (h *RetryCounter) Arrive(now time.Time, id string, created time.Time, retries, want int) (granted int, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(now)
	e := h.find(id)
	if e == nil {
		ms := created.UnixMilli()
		if ms <= h.fence || created.Sub(now) > maxFutureCreation {
			return 0, false
		}
		e = &entry{created: ms}
		h.insert(now, id, e)
	}
	cost := 1
	if e.arrivals == 0 && !h.Fallback {
		cost = 0
	}
	remaining := h.allowance(retries) - e.spent
	if remaining < cost {
		return 0, false
	}
	e.arrivals++
	e.retries = retries
	granted = min(max(want, 0), remaining-cost)
	e.spent += cost + granted
	return granted, true
}

// Take grants one retry of an id that has arrived, and reports whether one remained.
func (h *RetryCounter) Take(now time.Time, id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(now)
	e := h.find(id)
	if e == nil || e.spent >= h.allowance(e.retries) {
		return false
	}
	e.spent++
	return true
}

// Return returns the unused part of a grant. It has no effect on an evicted id.
func (h *RetryCounter) Return(id string, unused int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.find(id)
	if e == nil {
		return
	}
	// Attempts charged for arrivals are not returned.
	charged := e.arrivals
	if !h.Fallback && charged > 0 {
		charged--
	}
	e.spent -= min(max(unused, 0), e.spent-charged)
}

// Len returns the number of stored ids.
func (h *RetryCounter) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.current.entries) + len(h.previous.entries)
}

// RaiseFence makes the counter refuse all ids created at or before the given time that it does not store. A counter that
// replaces one whose state is lost starts with a fence at the current time plus the 5 s by which creation times may lie in
// the future.
func (h *RetryCounter) RaiseFence(created time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fence = max(h.fence, created.UnixMilli())
}

// Fence returns the creation time at or before which unknown ids are refused; the zero time means that there is no fence.
func (h *RetryCounter) Fence() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fence == 0 {
		return time.Time{}
	}
	return time.UnixMilli(h.fence)
}

func (h *RetryCounter) allowance(retries int) int {
	retries = max(retries, 0)
	if h.Fallback {
		return retries / 2
	}
	return (retries + 1) / 2
}

func (h *RetryCounter) find(id string) *entry {
	if e := h.current.entries[id]; e != nil {
		return e
	}
	return h.previous.entries[id]
}

func (h *RetryCounter) insert(now time.Time, id string, e *entry) {
	limit := h.Max
	if limit == 0 {
		limit = 1 << 16
	}
	if len(h.current.entries) >= max(limit/2, 1) {
		h.dropPrevious(now)
	}
	if h.current.entries == nil {
		h.current = generation{entries: make(map[string]*entry), started: now}
	}
	h.current.entries[id] = e
	h.current.newestCreated = max(h.current.newestCreated, e.created)
}

// rotate ends the current generation after TTL, so that an id is stored for at least one TTL.
func (h *RetryCounter) rotate(now time.Time) {
	ttl := h.TTL
	if ttl == 0 {
		ttl = 2 * time.Minute
	}
	if h.current.entries != nil && now.Sub(h.current.started) >= ttl {
		h.dropPrevious(now)
	}
}

// dropPrevious evicts the previous generation and raises the fence to its newest id, so that none of its ids counts as new.
func (h *RetryCounter) dropPrevious(now time.Time) {
	if len(h.previous.entries) > 0 {
		h.fence = max(h.fence, h.previous.newestCreated)
	}
	h.previous = h.current
	h.current = generation{entries: make(map[string]*entry), started: now}
}
