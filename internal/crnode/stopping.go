package crnode

import (
	"context"
	"sync"
	"time"

	"github.com/citronramp/citronramp/pkg/crrecord"
)

const (
	// refusalQuietTime is how long a stopping node continues to refuse requests after the last one, so that no request on
	// its way finds a closed connection, which would leave its outcome unknown to the caller.
	refusalQuietTime = 300 * time.Millisecond
	// maxRefusalTime bounds the wait for that quiet time; after 2 s no node sends to a leaving server any more.
	maxRefusalTime = 2 * time.Second
	// maxHandoverTime bounds the wait for replacement record keepers, which are assigned every second.
	maxHandoverTime = 3 * time.Second
)

// awaitHandover waits until no node sends requests to this node and other nodes keep its records.
func (n *Node) awaitHandover(ctx context.Context) {
	waitUntil(ctx, maxRefusalTime, func() bool { return n.requests.sinceLastRefusal(time.Now()) >= refusalQuietTime })
	waitUntil(ctx, maxHandoverTime, func() bool { return n.directory.Control() == "" || !n.keepsRecords() })
}

// keepsRecords reports whether the configuration lists this node as a record keeper.
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

// waitUntil waits until done reports true, limit has passed or ctx ends.
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

// requestTracker counts the requests in a node, so that a planned stop can wait for them.
type requestTracker struct {
	mu       sync.Mutex
	n        int
	stopping bool
	idle     chan struct{}
	// lastRefused is the time of the last refusal since the stop began, or of its beginning.
	lastRefused time.Time
}

// begin counts the start of a request. It reports false when the node is stopping.
func (w *requestTracker) begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopping {
		w.lastRefused = time.Now()
		return false
	}
	w.n++
	return true
}

// end counts the end of a request.
func (w *requestTracker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.n--
	if w.stopping && w.n == 0 {
		close(w.idle)
	}
}

// refuseNew begins a planned stop: new requests are refused.
func (w *requestTracker) refuseNew() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopping {
		return
	}
	w.stopping, w.lastRefused = true, time.Now()
	w.idle = make(chan struct{})
	if w.n == 0 {
		close(w.idle)
	}
}

// sinceLastRefusal returns the time since the last refusal, or since the stop began when there was none.
func (w *requestTracker) sinceLastRefusal(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.lastRefused)
}

// drain refuses new requests and waits for those in flight. It returns how many remained when ctx ended.
func (w *requestTracker) drain(ctx context.Context) int {
	w.refuseNew()
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

// inFlight returns the number of requests in flight.
func (w *requestTracker) inFlight() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.n
}

// isStopping reports whether a planned stop has begun.
func (w *requestTracker) isStopping() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopping
}
