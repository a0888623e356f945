package crbudget

import (
	"sync"
	"time"
)

// futureLimit is how far an id's creation time may lie ahead; a later one could raise the fence and block new ids.
const futureLimit = 5 * time.Second

// HomeCounter counts the arrivals of each request id and what was given to them.
// The home gives ceil(R/2) extra attempts per id. With Fallback set it counts for the record keepers: it gives
// floor(R/2) and counts every arrival, the first one included. Fields are set before use.
type HomeCounter struct {
	Fallback bool
	// Max bounds the ids kept; zero means 65,536.
	Max int
	// TTL is how long an id is kept at least, unless Max forces it out; zero means 2 minutes.
	TTL time.Duration

	mu      sync.Mutex
	current generation
	prior   generation
	fence   int64 // ids created at or before this Unix millisecond may have been forgotten
}

type generation struct {
	entries map[string]*entry
	newest  int64
	started time.Time
}

type entry struct {
	created  int64
	arrivals int
	given    int
	retries  int
}

// Arrive counts an arrival of id, created at the given time, whose kind allows retries extra attempts.
// It grants at most want of what is left. Not ok means that the arrival itself is not allowed: nothing is left to
// pay for it, or the id may have been forgotten, or its creation time is too far ahead.
func (h *HomeCounter) Arrive(now time.Time, id string, created time.Time, retries, want int) (granted int, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(now)
	e := h.find(id)
	if e == nil {
		ms := created.UnixMilli()
		if ms <= h.fence || created.Sub(now) > futureLimit {
			return 0, false
		}
		e = &entry{created: ms}
		h.add(now, id, e)
	}
	cost := 1
	if e.arrivals == 0 && !h.Fallback {
		cost = 0
	}
	left := h.share(retries) - e.given
	if left < cost {
		return 0, false
	}
	e.arrivals++
	e.retries = retries
	granted = min(max(want, 0), left-cost)
	e.given += cost + granted
	return granted, true
}

// Take grants one retry of an id that arrived here, or reports that none is left.
func (h *HomeCounter) Take(now time.Time, id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(now)
	e := h.find(id)
	if e == nil || e.given >= h.share(e.retries) {
		return false
	}
	e.given++
	return true
}

// Return gives back the unused part of a grant; an id that is no longer kept stays closed.
func (h *HomeCounter) Return(id string, left int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.find(id)
	if e == nil {
		return
	}
	// The cost of arrivals is never returned.
	paid := e.arrivals
	if !h.Fallback && paid > 0 {
		paid--
	}
	e.given -= min(max(left, 0), e.given-paid)
}

// Len returns the number of ids kept.
func (h *HomeCounter) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.current.entries) + len(h.prior.entries)
}

// RaiseFence closes all ids created at or before the given time that are not kept. A counter whose ids may have
// arrived at a predecessor without memory starts with the present time plus the 5 s that ids may lie ahead.
func (h *HomeCounter) RaiseFence(created time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fence = max(h.fence, created.UnixMilli())
}

// Fence returns the creation time at or below which unknown ids are refused; the zero time means none.
func (h *HomeCounter) Fence() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fence == 0 {
		return time.Time{}
	}
	return time.UnixMilli(h.fence)
}

func (h *HomeCounter) share(retries int) int {
	retries = max(retries, 0)
	if h.Fallback {
		return retries / 2
	}
	return (retries + 1) / 2
}

func (h *HomeCounter) find(id string) *entry {
	if e := h.current.entries[id]; e != nil {
		return e
	}
	return h.prior.entries[id]
}

func (h *HomeCounter) add(now time.Time, id string, e *entry) {
	limit := h.Max
	if limit == 0 {
		limit = 1 << 16
	}
	if len(h.current.entries) >= max(limit/2, 1) {
		h.drop(now)
	}
	if h.current.entries == nil {
		h.current = generation{entries: make(map[string]*entry), started: now}
	}
	h.current.entries[id] = e
	h.current.newest = max(h.current.newest, e.created)
}

// rotate ends a generation after TTL, so an id is kept for one TTL at least.
func (h *HomeCounter) rotate(now time.Time) {
	ttl := h.TTL
	if ttl == 0 {
		ttl = 2 * time.Minute
	}
	if h.current.entries != nil && now.Sub(h.current.started) >= ttl {
		h.drop(now)
	}
}

// drop forgets the prior generation and raises the fence to its newest id, so that none of its ids counts as new.
func (h *HomeCounter) drop(now time.Time) {
	if len(h.prior.entries) > 0 {
		h.fence = max(h.fence, h.prior.newest)
	}
	h.prior = h.current
	h.current = generation{entries: make(map[string]*entry), started: now}
}
