package crforward

import (
	"context"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/internal/crexchange"
	"github.com/citronramp/citronramp/pkg/cradmission"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crlimiter"
	"github.com/citronramp/citronramp/pkg/crquarantine"
	"github.com/citronramp/citronramp/pkg/crrouter"
	"github.com/citronramp/citronramp/pkg/crshed"
)

// Times of a gate.
const (
	// serverSlack is how long after the deadline a server's own answer is still waited for.
	serverSlack = 60 * time.Millisecond
	// heartbeatsMissed is how many reports a server may miss before it counts as gone; one may come seconds late.
	heartbeatsMissed = 4
	// downFor is how long a server that refused a connection gets no work; a started server reports itself earlier.
	downFor = 250 * time.Millisecond
	// queuePerSlot bounds the queue by the slots; what waits longer than that cannot be in time.
	queuePerSlot = 4
	// maxServerIdle bounds the idle time of a connection to the server when it names none itself.
	maxServerIdle = 8 * time.Second
	// slotShare is the part of a server's slots that is used: some servers slow down when they are nearly full, by more
	// than the last slots bring.
	slotShare = 0.94
	// watchInterval is the time between looks at the age of the last report.
	watchInterval = 250 * time.Millisecond
)

// gate lets requests run on the backend server of this instance.
type gate struct {
	node *Node

	mu      sync.Mutex
	reg     *registration
	life    *lifetime
	limiter *crlimiter.Limiter
	queue   *cradmission.Queue
	ranks   cradmission.Ranks
	client  *crexchange.Client
	// downUntil ends the time in which the server is not tried.
	downUntil time.Time
	missed    bool
	regulator *crshed.Regulator
	// roots is what was let in when the requests were that the server runs for.
	roots   crshed.Roots
	origins origins
	// told is the pressure on the last line, at toldAt; both belong to the goroutine that steps.
	told   float64
	toldAt time.Time
}

// waiter is a queued call.
type waiter struct {
	granted chan crcode.Code
}

func newGate(n *Node) *gate { return &gate{node: n, regulator: &crshed.Regulator{}} }

// report takes a report of the server; a new lifetime starts with nothing known.
func (g *gate) report(now time.Time, r Report) registrationVerdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	next, verdict := judgeReport(now, g.node.Settings.Heartbeat, g.reg, r, g.node.departed.has(r))
	back := g.missed
	old := g.reg
	g.reg = next
	switch verdict {
	case reportJoined:
		if old != nil && !g.life.over {
			g.endLocked(now, g.life, old, reasonReplaced)
		}
		g.node.suspects.restarted(now)
		g.renew(r)
	case reportRenewed, reportDrains:
		g.limiter.Announce(now, limitOf(r.Slots))
		if next.Draining {
			g.empty(crcode.Leaving)
		}
		if back {
			verdict = reportJoined
		}
	case reportStale:
		if back && !next.Draining {
			g.missed = false
			return reportJoined
		}
		return verdict
	case reportRefused:
		return verdict
	}
	g.missed, g.downUntil = false, time.Time{}
	return verdict
}

// limitOf returns how many runs a server with the slots gets at once.
func limitOf(slots int) int { return max(1, int(float64(slots)*slotShare)) }

// renew makes the parts for a new lifetime; calls that wait for the old one are refused. The lock is held.
func (g *gate) renew(r Report) {
	if g.client != nil {
		g.client.Close()
	}
	g.empty(crcode.Leaving)
	g.life = &lifetime{}
	limit := limitOf(r.Slots)
	g.limiter = &crlimiter.Limiter{Slots: limit, Min: limit, Max: limit}
	g.regulator.Start(g.node.board.Pressure(time.Now(), r.Service))
	g.queue = &cradmission.Queue{Length: queuePerSlot * r.Slots, MaxWait: time.Minute}
	g.client = &crexchange.Client{
		Address: r.Address, MaxIdle: r.Slots, IdleTimeout: maxServerIdle, ID: g.node.requestID,
		OnDial: func() { g.node.Counters.Add("server_connections", 1) },
	}
}

// empty refuses everything that waits. The lock is held.
func (g *gate) empty(code crcode.Code) {
	if g.queue == nil {
		return
	}
	now := time.Now()
	for {
		it, ok := g.queue.Pop(now)
		if !ok {
			break
		}
		it.Value.(*waiter).granted <- code
	}
	for _, it := range g.queue.Expire(now) {
		it.Value.(*waiter).granted <- crcode.QueueTimeout
	}
}

// leaveVerdict is what the word of a server that it leaves changes.
type leaveVerdict uint8

const (
	// leaveKnown is no news: the gate sends that server nothing.
	leaveKnown leaveVerdict = iota
	leaveTaken
	// leaveRefused is about an earlier lifetime of the server that the gate works for.
	leaveRefused
)

// leave takes the word of a server that it leaves.
func (g *gate) leave(id string, born time.Time) leaveVerdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.reg == nil || g.reg.ID != id || g.reg.Draining:
		return leaveKnown
	case born.UnixMilli() > 0 && born.UnixMilli() < g.reg.Born.UnixMilli():
		return leaveRefused
	}
	next := *g.reg
	next.Draining = true
	g.reg = &next
	g.empty(crcode.Leaving)
	return leaveTaken
}

// registered returns the server that the gate works for, unless it has missed its reports.
func (g *gate) registered() (registration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reg == nil || g.missed {
		return registration{}, false
	}
	return *g.reg, true
}

// watch ends the registration of a server that no longer reports.
func (g *gate) watch(ctx context.Context) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			g.mu.Lock()
			gone := g.reg != nil && !g.missed && now.Sub(g.reg.heard) > heartbeatsMissed*g.node.Settings.Heartbeat
			if gone {
				g.missed = true
				g.empty(crcode.NoServer)
			}
			g.mu.Unlock()
			if gone {
				g.node.Log.Emit(now, crevent.State, crevent.ServerGone, crevent.KeyReason, "reports_missed")
				g.node.announce()
			}
		}
	}
}

// lane is what one admitted call uses.
type lane struct {
	reg     registration
	life    *lifetime
	client  *crexchange.Client
	limiter *crlimiter.Limiter
	run     watchedRun
}

// enter waits until the call may run; the code is OK then. One that may crash the server waits for others like it.
func (g *gate) enter(ctx context.Context, c *call) (lane, crcode.Code) {
	suspects := &g.node.suspects
	for {
		if suspects.check(time.Now(), c.prints) == crquarantine.Convicted {
			return lane{}, crcode.Quarantined
		}
		l, code := g.admit(ctx, c)
		if code != crcode.OK {
			return l, code
		}
		run, admission, changed := suspects.start(time.Now(), c.prints)
		if admission == crquarantine.Admitted {
			l.run = run
			return l, crcode.OK
		}
		g.release(l, crlimiter.Sample{Result: crlimiter.Cancelled})
		switch admission {
		case crquarantine.Refused:
			return l, crcode.Quarantined
		case crquarantine.Elsewhere:
			return l, crcode.Suspected
		}
		g.node.Counters.Add("suspect_waits", 1)
		if code := waitSuspect(ctx, c, changed); code != crcode.OK {
			return l, code
		}
	}
}

// waitSuspect waits until a run has ended, for a short time at most.
func waitSuspect(ctx context.Context, c *call, changed <-chan struct{}) crcode.Code {
	now := time.Now()
	if !now.Before(c.deadline) {
		return crcode.QueueTimeout
	}
	timer := time.NewTimer(min(c.deadline.Sub(now), suspectWait))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return crcode.Cancelled
	}
	return crcode.OK
}

// admit waits until the call may run; the code is OK then.
func (g *gate) admit(ctx context.Context, c *call) (lane, crcode.Code) {
	now := time.Now()
	g.mu.Lock()
	if code := g.closed(now, c); code != crcode.OK {
		g.mu.Unlock()
		return lane{}, code
	}
	l := lane{reg: *g.reg, life: g.life, client: g.client, limiter: g.limiter}
	takes := g.limiter.RunTime(c.route)
	if !c.counted {
		c.counted = true
		g.regulator.Arrived(takes, c.rates.Of(c.service))
	}
	if g.queue.Len() == 0 && g.limiter.Acquire(now) {
		g.occupied(now)
		g.mu.Unlock()
		return l, crcode.OK
	}
	left := c.deadline.Sub(now)
	rank, due := g.ranks.Rank(now, senders[c.origin], c.worth), c.due.Add(-takes)
	if expected := g.limiter.Expected(c.route, g.queue.Ahead(rank, due)); expected > left {
		g.mu.Unlock()
		return l, crcode.Overloaded
	}
	w := &waiter{granted: make(chan crcode.Code, 1)}
	it := &cradmission.Item{Priority: rank, Due: due, Deadline: c.deadline.Add(-takes), Value: w}
	if refused := g.queue.Push(now, it); refused != nil {
		refused.Value.(*waiter).granted <- crcode.Overloaded
	}
	queue := g.queue
	g.occupied(now)
	g.mu.Unlock()
	timer := time.NewTimer(it.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case code := <-w.granted:
		return l, code
	case <-ctx.Done():
	case <-timer.C:
	}
	if queue.Remove(it) {
		if ctx.Err() != nil {
			return l, crcode.Cancelled
		}
		return l, crcode.QueueTimeout
	}
	// The place was given, or the item refused, at the same moment.
	select {
	case code := <-w.granted:
		if code == crcode.OK && ctx.Err() != nil {
			g.release(l, crlimiter.Sample{Result: crlimiter.Cancelled})
			return l, crcode.Cancelled
		}
		return l, code
	case <-time.After(time.Second):
		// Expire took the item without an answer; nothing was given.
		return l, crcode.QueueTimeout
	}
}

// closed tells why no call may run now; OK means that calls may. The lock is held.
func (g *gate) closed(now time.Time, c *call) crcode.Code {
	switch {
	case g.node.closed.Load():
		return crcode.Stopping
	case g.reg == nil || g.missed || now.Before(g.downUntil):
		return crcode.NoServer
	case c.service != g.reg.Service:
		return crcode.StaleIncarnation
	case g.reg.Draining:
		return crcode.Leaving
	case !now.Before(c.deadline):
		return crcode.DeadlineExpired
	}
	return crcode.OK
}

// release gives a place back and grants it to the next call in the queue.
func (g *gate) release(l lane, s crlimiter.Sample) {
	now := time.Now()
	l.limiter.Release(now, s)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limiter != l.limiter {
		return
	}
	g.grant(now)
}

func (g *gate) grant(now time.Time) {
	for g.queue.Len() > 0 && g.limiter.Acquire(now) {
		it, ok := g.queue.Pop(now)
		if !ok {
			g.limiter.Release(now, crlimiter.Sample{Result: crlimiter.Cancelled})
			break
		}
		it.Value.(*waiter).granted <- crcode.OK
	}
	for _, it := range g.queue.Expire(now) {
		it.Value.(*waiter).granted <- crcode.QueueTimeout
	}
	g.occupied(now)
}

// occupied tells the regulator of the present load. The lock is held.
func (g *gate) occupied(now time.Time) {
	g.regulator.Occupied(now, g.limiter.InFlight(), g.queue.Len(), g.limiter.Limit())
}

// idle reports whether nothing runs on the server, which then makes no calls.
func (g *gate) idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter == nil || g.limiter.InFlight() == 0
}

// load returns what answers tell of this gate.
func (g *gate) load() *crrouter.Feedback {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limiter == nil {
		return nil
	}
	return &crrouter.Feedback{InFlight: g.limiter.InFlight(), Limit: g.limiter.Limit(), Queued: g.queue.Len()}
}

// do runs the call on the server; ctx ends when the caller has left.
func (g *gate) do(ctx context.Context, c *call) *reply {
	start := time.Now()
	c.origin = g.origins.count(start, c.route, c.caller, c.idle, g.node.services.withServers())
	l, code := g.enter(ctx, c)
	waited := time.Since(start)
	if code != crcode.OK {
		r := refuse(code, "")
		r.origin = c.origin
		r.waited, r.load, r.pressure = waited, g.load(), g.regulator.Pressure()
		r.retryIn = g.roomIn()
		return r
	}
	g.node.ledger.Started(c.route)
	started := time.Now()
	g.roots.Began(c.rates)
	r := g.exchange(ctx, c, l, waited)
	g.roots.Ended(c.rates)
	g.node.Counters.Observe(waitTime+c.service, waited)
	g.node.Counters.Observe(runTime+c.service, r.took)
	r.excused = r.code == crcode.OK && r.status >= 500 && g.node.callFailedSince(started)
	g.node.ledger.Ended(c.route, r.took, answered(r))
	r.origin = c.origin
	r.waited, r.load, r.pressure = waited, g.load(), g.regulator.Pressure()
	return r
}

// roomIn returns when the gate expects to have worked off its queue.
func (g *gate) roomIn() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limiter == nil {
		return 0
	}
	return g.limiter.Expected("", g.queue.Len())
}
