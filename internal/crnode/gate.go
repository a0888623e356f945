package crnode

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/citronramp/citronramp/pkg/cradmission"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crlimiter"
)

// gate admits requests to the backend server beside this node.
type gate interface {
	// enter waits for a place, one unit of the concurrency limit. The returned function releases it. An error means that
	// nothing was run.
	enter(ctx context.Context, e gateRequest) (leave func(crlimiter.Sample), err error)
	// load returns the load that is reported in answers.
	load() gateLoad
	// tick removes expired requests and lowers the admission level when there is no traffic.
	tick(now time.Time)
	// announce applies the number of slots that the backend server announced.
	announce(now time.Time, slots int)
}

// gateRequest is a request for a place at a gate.
type gateRequest struct {
	priority cradmission.Priority
	kind     string
	deadline time.Time
	// downstream is set for a downstream call: refusing it wastes the work done so far for its root request.
	downstream bool
	// preempt, when set, stops the run to free its place for a protected request.
	preempt func()
}

// gateLoad is the load of a gate as reported in answers and in the state dump.
type gateLoad struct {
	InFlight    int
	Limit       int
	Queued      int
	Level       cradmission.Priority
	ServiceTime time.Duration
	Pressure    float64
}

// gateDecision is sent to a waiting request: nil admits it, an error refuses it.
type gateDecision struct{ err error }

// adaptiveGate orders requests by priority, adapts the concurrency limit and refuses requests below an admission level.
type adaptiveGate struct {
	limiter *crlimiter.Limiter
	queue   *cradmission.Queue
	level   *cradmission.Level
	// maxWait bounds the queueing time of an ordinary request that arrives from its entrance.
	maxWait time.Duration

	mu  sync.Mutex
	rnd *rand.Rand
	// running holds the runs in flight that may be preempted.
	running map[*admittedRun]struct{}
	// lastProtected is the time at which the last protected request arrived.
	lastProtected time.Time
}

// admittedRun is a run in flight.
type admittedRun struct {
	start   time.Time
	preempt func()
}

const (
	// preemptSlackDivisor is the divisor of the slack of a protected request that gives the time after which it preempts
	// an ordinary run. Runs that wait for a slow downstream service hold their places for up to a whole deadline; a
	// shorter time would stop runs whose places become free in time anyway.
	preemptSlackDivisor = 2
	// reserveDivisor is the divisor of the concurrency limit that gives the places which a gate under pressure reserves
	// for protected requests, provided that one arrived within protectedTrafficWindow.
	reserveDivisor         = 8
	protectedTrafficWindow = 5 * time.Second
	// minPreemptWait prevents preemption during normal turnover of the places.
	minPreemptWait = 20 * time.Millisecond
)

func newAdaptiveGate(slots, queueLength int, maxWait time.Duration) *adaptiveGate {
	return &adaptiveGate{
		limiter: &crlimiter.Limiter{Slots: slots},
		queue:   &cradmission.Queue{Length: queueLength, MaxWait: maxDeadline},
		level:   &cradmission.Level{},
		maxWait: maxWait,
		running: make(map[*admittedRun]struct{}),
		rnd:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

func (g *adaptiveGate) enter(ctx context.Context, e gateRequest) (func(crlimiter.Sample), error) {
	now := time.Now()
	if !g.level.Arrive(now, e.priority) && !e.downstream {
		return nil, g.overloaded(e.priority, "below the level of this server")
	}
	if need := g.limiter.Expected(e.kind, g.queue.Ahead(e.priority, time.Time{})); now.Add(need).After(e.deadline) {
		if now.Before(e.deadline) {
			// The wait was refused instead of spent; it still counts as queue delay for the admission level.
			g.level.RecordWait(now, g.maxWait)
		}
		return nil, crcode.New(crcode.DeadlineExpired, "%s left, %s expected", e.deadline.Sub(now).Round(time.Millisecond), need.Round(time.Millisecond))
	}
	item := &cradmission.Item{Priority: e.priority, Deadline: g.waitUntil(now, e), Value: make(chan gateDecision, 1)}
	g.mu.Lock()
	if e.priority.Class() == cradmission.Protected {
		g.lastProtected = now
	}
	refused := g.queue.Push(now, item)
	g.admit(now)
	g.mu.Unlock()
	if refused != nil {
		sendDecision(refused, gateDecision{g.overloaded(refused.Priority, "the queue is full")})
	}
	return g.wait(ctx, item, now, e)
}

// waitUntil returns the time at which the wait in the queue ends. An ordinary root request, for which no work was done
// yet, is refused early, so that its caller can try another server. Other requests wait as long as they can still run
// before their deadline.
func (g *adaptiveGate) waitUntil(now time.Time, e gateRequest) time.Time {
	last := e.deadline.Add(-g.limiter.RunTime(e.kind))
	if e.downstream || e.priority.Class() == cradmission.Protected {
		return last
	}
	return earlier(last, now.Add(g.maxWait))
}

func sendDecision(it *cradmission.Item, v gateDecision) {
	if ch, ok := it.Value.(chan gateDecision); ok {
		ch <- v
	}
}

// admit starts waiting requests while places are free. The caller holds the lock.
func (g *adaptiveGate) admit(now time.Time) {
	for {
		free := g.limiter.Limit() - g.limiter.InFlight()
		if free <= 0 || free <= g.reserve(now) && g.queue.Ahead(lowestProtected, time.Time{}) == 0 {
			return
		}
		it, ok := g.queue.Pop(now)
		if !ok {
			return
		}
		g.limiter.Acquire(now)
		g.level.RecordOccupancy(now, g.limiter.InFlight(), g.limiter.Limit())
		g.level.RecordWait(now, it.Wait(now))
		sendDecision(it, gateDecision{})
	}
}

// lowestProtected is the lowest priority of the protected class.
const lowestProtected cradmission.Priority = 1 << 63

// reserve returns the number of places that ordinary requests must leave free. It is 0 without pressure or without
// protected traffic, so that ordinary requests can use all of the capacity.
func (g *adaptiveGate) reserve(now time.Time) int {
	if g.level.Current() == 0 || now.Sub(g.lastProtected) > protectedTrafficWindow {
		return 0
	}
	return g.limiter.Limit() / reserveDivisor
}

func (g *adaptiveGate) wait(ctx context.Context, item *cradmission.Item, queued time.Time, e gateRequest) (func(crlimiter.Sample), error) {
	ch, _ := item.Value.(chan gateDecision)
	preemptAfter := max(item.Deadline.Sub(queued)/preemptSlackDivisor, minPreemptWait)
	preemptTimer := time.NewTimer(preemptAfter)
	defer preemptTimer.Stop()
	for {
		select {
		case v := <-ch:
			return g.startRun(v, queued, e)
		case <-preemptTimer.C:
			if e.priority.Class() == cradmission.Protected {
				g.preempt()
			}
			preemptTimer.Reset(preemptAfter)
			continue
		case <-ctx.Done():
		}
		return nil, g.abandonWait(item, ch, queued, e)
	}
}

// abandonWait removes an item from the queue. A place that was granted concurrently is released.
func (g *adaptiveGate) abandonWait(item *cradmission.Item, ch chan gateDecision, queued time.Time, e gateRequest) error {
	g.mu.Lock()
	waiting := g.queue.Remove(item)
	g.mu.Unlock()
	if !waiting {
		if leave, err := g.startRun(<-ch, queued, e); err == nil {
			leave(crlimiter.Sample{Result: crlimiter.Cancelled})
		}
	}
	return crcode.New(crcode.Cancelled, "while waiting for a place")
}

// preempt stops the run that started last, which loses the least work. Its place is given to the head of the queue.
func (g *adaptiveGate) preempt() {
	g.mu.Lock()
	defer g.mu.Unlock()
	var last *admittedRun
	for r := range g.running {
		if last == nil || r.start.After(last.start) {
			last = r
		}
	}
	if last != nil {
		delete(g.running, last)
		last.preempt()
	}
}

func (g *adaptiveGate) startRun(v gateDecision, queued time.Time, e gateRequest) (func(crlimiter.Sample), error) {
	if v.err != nil {
		return nil, v.err
	}
	start := time.Now()
	wait := start.Sub(queued)
	r := &admittedRun{start: start, preempt: e.preempt}
	if e.preempt != nil {
		g.mu.Lock()
		g.running[r] = struct{}{}
		g.mu.Unlock()
	}
	return func(s crlimiter.Sample) {
		s.Queued = wait
		now := time.Now()
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.running, r)
		g.level.RecordOccupancy(now, g.limiter.InFlight(), g.limiter.Limit())
		g.limiter.Release(now, s)
		g.level.RecordCompletion(now)
		g.admit(now)
	}, nil
}

func (g *adaptiveGate) overloaded(p cradmission.Priority, detail string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &crcode.Error{
		Code: crcode.Overloaded, Detail: detail,
		RetryAfter: cradmission.RetryAfter(p, g.level.Current(), g.level.Pressure(), g.rnd),
	}
}

func (g *adaptiveGate) tick(now time.Time) {
	g.mu.Lock()
	expired := g.queue.Expire(now)
	g.admit(now)
	g.mu.Unlock()
	for _, it := range expired {
		g.level.RecordWait(now, it.Wait(now))
		sendDecision(it, gateDecision{&crcode.Error{Code: crcode.QueueTimeout, RetryAfter: g.maxWait}})
	}
	g.level.Tick(now)
}

func (g *adaptiveGate) announce(now time.Time, slots int) { g.limiter.Announce(now, slots) }

func (g *adaptiveGate) load() gateLoad {
	return gateLoad{
		InFlight: g.limiter.InFlight(), Limit: g.limiter.Limit(), Queued: g.queue.Len(), Level: g.level.Current(),
		ServiceTime: g.limiter.ServiceTime(), Pressure: g.level.Pressure(),
	}
}
