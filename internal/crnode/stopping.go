package crnode

import (
	"context"
	"sync"
)

// workCount counts the requests in a node, so that a planned stop can wait for them.
type workCount struct {
	mu       sync.Mutex
	n        int
	stopping bool
	idle     chan struct{}
}

// begin counts a request in; it reports false once the node is stopping.
func (w *workCount) begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopping {
		return false
	}
	w.n++
	return true
}

// end counts a request out.
func (w *workCount) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.n--
	if w.stopping && w.n == 0 {
		close(w.idle)
	}
}

// stop refuses further requests and waits for those in flight; it reports how many were left when ctx ended.
func (w *workCount) stop(ctx context.Context) int {
	w.mu.Lock()
	if !w.stopping {
		w.stopping = true
		w.idle = make(chan struct{})
		if w.n == 0 {
			close(w.idle)
		}
	}
	idle := w.idle
	w.mu.Unlock()
	select {
	case <-idle:
		return 0
	case <-ctx.Done():
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.n
	}
}

// count returns the requests in flight.
func (w *workCount) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.n
}

// stops reports whether a planned stop has begun.
func (w *workCount) stops() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopping
}
