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

// gate decides which requests reach the backend server beside this node, and when.
type gate interface {
	// enter waits for a place; the returned function gives it back. A refusal means that nothing was run.
	enter(ctx context.Context, e entry) (leave func(crlimiter.Sample), err error)
	// feedback returns the load for answers.
	feedback() crFeedback
	// tick removes expired requests and lets the level fall when there is no traffic.
	tick(now time.Time)
	// announce takes the slots that the backend server announced.
	announce(now time.Time, slots int)
}

// entry is a request that wants a place at a gate.
type entry struct {
	priority cradmission.Priority
	kind     string
	deadline time.Time
	// invested is set for a deeper call: refusing it wastes the work that was done above.
	invested bool
	// preempt, when set, stops the run to make room for a protected request.
	preempt func()
}

// crFeedback is the load of a gate as it stands on answers and in the dump.
type crFeedback struct {
	InFlight    int
	Limit       int
	Queued      int
	Level       cradmission.Priority
	ServiceTime time.Duration
	Pressure    float64
}

// verdict is what a waiting request is told: run, or the refusal.
type verdict struct{ err error }

// adaptiveGate orders requests by priority, adapts the concurrency limit and sheds below a level.
type adaptiveGate struct {
	limiter *crlimiter.Limiter
	queue   *cradmission.Queue
	level   *cradmission.Level
	// maxWait bounds the time in the queue of an ordinary request that comes from its entrance.
	maxWait time.Duration

	mu  sync.Mutex
	rnd *rand.Rand
	// running holds the runs in flight that may be preempted.
	running map[*admitted]struct{}
	// lastProtected is when a protected request last came.
	lastProtected time.Time
}

// admitted is a run in flight.
type admitted struct {
	start   time.Time
	preempt func()
}

const (
	// preemptPart is the part of its slack that a protected request waits before an ordinary run makes room for it. Runs
	// that wait for a slow deeper service hold their places for up to a whole deadline; a shorter patience would stop runs
	// whose places become free in time anyway.
	preemptPart = 2
	// reservePart is the part of the places that a gate under pressure keeps for protected requests, while some came within
	// protectedTraffic.
	reservePart      = 8
	protectedTraffic = 5 * time.Second
	// minPatience keeps ordinary turnover from being taken for a blocked server.
	minPatience = 20 * time.Millisecond
)

func newAdaptiveGate(slots, queueLength int, maxWait time.Duration) *adaptiveGate {
	return &adaptiveGate{
		limiter: &crlimiter.Limiter{Slots: slots},
		queue:   &cradmission.Queue{Length: queueLength, MaxWait: maxDeadline},
		level:   &cradmission.Level{},
		maxWait: maxWait,
		running: make(map[*admitted]struct{}),
		rnd:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

func (g *adaptiveGate) enter(ctx context.Context, e entry) (func(crlimiter.Sample), error) {
	now := time.Now()
	if !g.level.Arrive(now, e.priority) && !e.invested {
		return nil, g.overloaded(e.priority, "below the level of this server")
	}
	if need := g.limiter.Expected(e.kind, g.queue.Ahead(e.priority, time.Time{})); now.Add(need).After(e.deadline) {
		if now.Before(e.deadline) {
			// The wait was refused, not spent; the level must see it all the same.
			g.level.Waited(now, g.maxWait)
		}
		return nil, crcode.New(crcode.DeadlineExpired, "%s left, %s expected", e.deadline.Sub(now).Round(time.Millisecond), need.Round(time.Millisecond))
	}
	item := &cradmission.Item{Priority: e.priority, Deadline: g.waitUntil(now, e), Value: make(chan verdict, 1)}
	g.mu.Lock()
	if e.priority.Class() == cradmission.Protected {
		g.lastProtected = now
	}
	refused := g.queue.Push(now, item)
	g.admit(now)
	g.mu.Unlock()
	if refused != nil {
		answerItem(refused, verdict{g.overloaded(refused.Priority, "the queue is full")})
	}
	return g.wait(ctx, item, now, e)
}

// waitUntil bounds the wait in the queue. An ordinary request that has cost nothing yet is refused soon, so that its
// caller can go elsewhere; the others wait as long as they can still be run in time.
func (g *adaptiveGate) waitUntil(now time.Time, e entry) time.Time {
	last := e.deadline.Add(-g.limiter.RunTime(e.kind))
	if e.invested || e.priority.Class() == cradmission.Protected {
		return last
	}
	return earlier(last, now.Add(g.maxWait))
}

func answerItem(it *cradmission.Item, v verdict) {
	if ch, ok := it.Value.(chan verdict); ok {
		ch <- v
	}
}

// admit starts waiting requests while there are places; the caller holds the lock.
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
		g.level.Occupied(now, g.limiter.InFlight(), g.limiter.Limit())
		g.level.Waited(now, it.Wait(now))
		answerItem(it, verdict{})
	}
}

// lowestProtected is the least priority of the protected class.
const lowestProtected cradmission.Priority = 1 << 63

// reserve returns the places that ordinary requests leave free: none while there is no pressure or no protected traffic,
// so that they use all capacity that is left over.
func (g *adaptiveGate) reserve(now time.Time) int {
	if g.level.Current() == 0 || now.Sub(g.lastProtected) > protectedTraffic {
		return 0
	}
	return g.limiter.Limit() / reservePart
}

func (g *adaptiveGate) wait(ctx context.Context, item *cradmission.Item, queued time.Time, e entry) (func(crlimiter.Sample), error) {
	ch, _ := item.Value.(chan verdict)
	patience := max(item.Deadline.Sub(queued)/preemptPart, minPatience)
	impatient := time.NewTimer(patience)
	defer impatient.Stop()
	for {
		select {
		case v := <-ch:
			return g.entered(v, queued, e)
		case <-impatient.C:
			if e.priority.Class() == cradmission.Protected {
				g.preempt()
			}
			impatient.Reset(patience)
			continue
		case <-ctx.Done():
		}
		return nil, g.gaveUp(item, ch, queued, e)
	}
}

// gaveUp takes an item out of the queue; a place that was granted at the same moment is given back.
func (g *adaptiveGate) gaveUp(item *cradmission.Item, ch chan verdict, queued time.Time, e entry) error {
	g.mu.Lock()
	waiting := g.queue.Remove(item)
	g.mu.Unlock()
	if !waiting {
		if leave, err := g.entered(<-ch, queued, e); err == nil {
			leave(crlimiter.Sample{Result: crlimiter.Cancelled})
		}
	}
	return crcode.New(crcode.Cancelled, "while waiting for a place")
}

// preempt stops the run that started last, since the least work is lost with it; its place goes to the first of the queue.
func (g *adaptiveGate) preempt() {
	g.mu.Lock()
	defer g.mu.Unlock()
	var last *admitted
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

func (g *adaptiveGate) entered(v verdict, queued time.Time, e entry) (func(crlimiter.Sample), error) {
	if v.err != nil {
		return nil, v.err
	}
	start := time.Now()
	wait := start.Sub(queued)
	r := &admitted{start: start, preempt: e.preempt}
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
		g.level.Occupied(now, g.limiter.InFlight(), g.limiter.Limit())
		g.limiter.Release(now, s)
		g.level.Completed(now)
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
		g.level.Waited(now, it.Wait(now))
		answerItem(it, verdict{&crcode.Error{Code: crcode.QueueTimeout, RetryAfter: g.maxWait}})
	}
	g.level.Tick(now)
}

func (g *adaptiveGate) announce(now time.Time, slots int) { g.limiter.Announce(now, slots) }

func (g *adaptiveGate) feedback() crFeedback {
	return crFeedback{
		InFlight: g.limiter.InFlight(), Limit: g.limiter.Limit(), Queued: g.queue.Len(), Level: g.level.Current(),
		ServiceTime: g.limiter.ServiceTime(), Pressure: g.level.Pressure(),
	}
}
