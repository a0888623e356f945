package crnode

import (
	"context"
	"sync"
	"time"

	"github.com/citronramp/citronramp/pkg/crrecord"
)

const (
	// stopQuiet is how long a stopping node goes on refusing after the last request, so that none that is on its way
	// meets a closed connection, which would tell its caller nothing.
	stopQuiet = 300 * time.Millisecond
	// stopRefusing bounds that time; nobody sends to a leaving server after 2 s.
	stopRefusing = 2 * time.Second
	// handOverTime bounds the wait for other record keepers: they are assigned every second.
	handOverTime = 3 * time.Second
)

// settle keeps a stopping node there until nobody sends to it and others keep its records.
func (n *Node) settle(ctx context.Context) {
	waitUntil(ctx, stopRefusing, func() bool { return n.work.quiet(time.Now()) >= stopQuiet })
	waitUntil(ctx, handOverTime, func() bool { return n.directory.Control() == "" || !n.keepsRecords() })
}

// keepsRecords reports whether the configuration names this node as a record keeper.
func (n *Node) keepsRecords() bool {
	self := crrecord.Member{Node: n.Settings.Name, Incarnation: n.Incarnation, Address: n.Settings.Inner, Domain: n.Settings.Domain}
	for number := range uint32(crrecord.Groups) {
		g, _ := groups{n.view}.Group(number)
		for _, m := range g.Members {
			if m.Same(self) {
				return true
			}
		}
	}
	return false
}

// waitUntil returns when done reports true, at the latest after limit or when ctx ends.
func waitUntil(ctx context.Context, limit time.Duration, done func() bool) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// workCount counts the requests in a node, so that a planned stop can wait for them.
type workCount struct {
	mu       sync.Mutex
	n        int
	stopping bool
	idle     chan struct{}
	// refused is when the stop began or the last request was refused since.
	refused time.Time
}

// begin counts a request in; it reports false once the node is stopping.
func (w *workCount) begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopping {
		w.refused = time.Now()
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

// refuse begins a planned stop: further requests are refused.
func (w *workCount) refuse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopping {
		return
	}
	w.stopping, w.refused = true, time.Now()
	w.idle = make(chan struct{})
	if w.n == 0 {
		close(w.idle)
	}
}

// quiet returns the time since the stop began or the last request was refused.
func (w *workCount) quiet(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.refused)
}

// stop refuses further requests and waits for those in flight; it reports how many were left when ctx ended.
func (w *workCount) stop(ctx context.Context) int {
	w.refuse()
	w.mu.Lock()
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
