package crforward

import (
	"context"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/internal/crexchange"
	"github.com/citronramp/citronramp/pkg/cradmission"
	"github.com/citronramp/citronramp/pkg/crbudget"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crlimiter"
	"github.com/citronramp/citronramp/pkg/crquarantine"
	"github.com/citronramp/citronramp/pkg/crrouter"
	"github.com/citronramp/citronramp/pkg/crshed"
	"github.com/citronramp/citronramp/pkg/crspeed"
)

// Timings and limits of a gate.
const (
	// serverAnswerSlack is how long after the deadline the gate still waits for the server's own answer.
	serverAnswerSlack = 60 * time.Millisecond
	// maxMissedHeartbeats is how many reports a server may miss before it counts as gone; one may be late by seconds.
	maxMissedHeartbeats = 4
	// connectionRefusedPause is how long a server that refused a connection gets no work. A restarted server reports
	// itself earlier.
	connectionRefusedPause = 250 * time.Millisecond
	// queueLengthPerSlot limits the queue in proportion to the slots; a call further back could not finish in time.
	queueLengthPerSlot = 4
	// serverIdleTimeout limits the idle time of a connection to a server that announces no timeout of its own.
	serverIdleTimeout = 8 * time.Second
	// usableSlotShare is the part of a server's slots that is used. Some servers slow down when nearly full, by more
	// than the last slots gain.
	usableSlotShare = 0.94
	// reportCheckInterval is how often the age of the last report is checked.
	reportCheckInterval = 250 * time.Millisecond
)

// gate controls the admission and concurrency of calls to the backend server of this instance.
type gate struct {
	node *Node

	mu       sync.Mutex
	reg      *registration
	lifetime *lifetime
	limiter  *crlimiter.Limiter
	queue    *cradmission.Queue
	ranks    cradmission.Ranks
	client   *crexchange.Client
	// downUntil is until when the server gets no calls.
	downUntil     time.Time
	reportsMissed bool
	regulator     *crshed.Regulator
	// speed estimates how fast the server works.
	speed *crspeed.Estimator
	// roots holds the admission rates of the client requests that the server runs calls for.
	roots crshed.RootRates
	// repeats counts the runs on the server that are repeats.
	repeats crbudget.Repeats
	origins originClassifier
	// loggedPressure and loggedRefused are the last logged pressure and share of refused runs, at pressureLoggedAt. Only the
	// goroutine that steps the regulator uses them.
	loggedPressure   float64
	loggedRefused    float64
	pressureLoggedAt time.Time
	// refusals estimates the share of runs that the server refuses although it has free slots.
	refusals crshed.Refusals
}

// waiter is the queue entry of a waiting call.
type waiter struct {
	result chan crcode.Code
}

func newGate(n *Node) *gate { return &gate{node: n, regulator: &crshed.Regulator{}} }

// handleReport processes a report of the server. A new lifetime starts with new limits and statistics.
func (g *gate) handleReport(now time.Time, r Report) registrationVerdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	next, verdict := evaluateReport(now, g.node.Settings.Heartbeat, g.reg, r, g.node.departures.has(r))
	recovered := g.reportsMissed
	old := g.reg
	g.reg = next
	switch verdict {
	case reportJoined:
		if old != nil && !g.lifetime.ended {
			g.endLifetimeLocked(now, g.lifetime, old, reasonReplaced)
		}
		g.node.suspects.serverRestarted(now)
		g.startLifetime(r)
	case reportRenewed, reportDrains:
		g.limiter.Announce(now, concurrencyLimit(r.Slots))
		if next.Draining {
			g.refuseQueued(crcode.Leaving)
		}
		if recovered {
			verdict = reportJoined
		}
	case reportStale:
		if recovered && !next.Draining {
			g.reportsMissed = false
			return reportJoined
		}
		return verdict
	case reportRefused:
		return verdict
	}
	g.reportsMissed, g.downUntil = false, time.Time{}
	return verdict
}

// concurrencyLimit returns the concurrency limit for a server with the given slots.
func concurrencyLimit(slots int) int { return max(1, int(float64(slots)*usableSlotShare)) }

// startLifetime sets up a new lifetime of the server and refuses the calls queued for the old one. The caller holds
// the lock.
func (g *gate) startLifetime(r Report) {
	if g.client != nil {
		g.client.Close()
	}
	g.refuseQueued(crcode.Leaving)
	g.refusals.Reset()
	g.lifetime = &lifetime{}
	limit := concurrencyLimit(r.Slots)
	g.limiter = &crlimiter.Limiter{Slots: limit, Min: limit, Max: limit}
	g.speed = &crspeed.Estimator{Slots: r.Slots}
	g.regulator.Start(g.node.board.Pressure(time.Now(), r.Service))
	g.queue = &cradmission.Queue{Length: queueLengthPerSlot * r.Slots, MaxWait: time.Minute}
	g.client = &crexchange.Client{
		Address: r.Address, MaxIdle: r.Slots, IdleTimeout: serverIdleTimeout, ID: g.node.requestID,
		OnDial: func() { g.node.Counters.Add("server_connections", 1) },
	}
}

// refuseQueued refuses all queued calls. The caller holds the lock.
func (g *gate) refuseQueued(code crcode.Code) {
	if g.queue == nil {
		return
	}
	now := time.Now()
	for {
		it, ok := g.queue.Pop(now)
		if !ok {
			break
		}
		it.Value.(*waiter).result <- code
	}
	for _, it := range g.queue.Expire(now) {
		it.Value.(*waiter).result <- crcode.QueueTimeout
	}
}

// leaveResult is the effect of a server's announcement that it leaves.
type leaveResult uint8

const (
	// leaveNoChange means that the gate sends that server no calls already.
	leaveNoChange leaveResult = iota
	leaveAccepted
	// leaveRefused means that the announcement is of an earlier lifetime than the registered one.
	leaveRefused
)

// markDraining processes a server's announcement that it leaves.
func (g *gate) markDraining(id string, born time.Time) leaveResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.reg == nil || g.reg.ID != id || g.reg.Draining:
		return leaveNoChange
	case born.UnixMilli() > 0 && born.UnixMilli() < g.reg.Born.UnixMilli():
		return leaveRefused
	}
	next := *g.reg
	next.Draining = true
	g.reg = &next
	g.refuseQueued(crcode.Leaving)
	return leaveAccepted
}

// registered returns the registered server, unless its reports are overdue.
func (g *gate) registered() (registration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reg == nil || g.reportsMissed {
		return registration{}, false
	}
	return *g.reg, true
}

// watchReports marks the server as gone when its reports stop.
func (g *gate) watchReports(ctx context.Context) {
	tick := time.NewTicker(reportCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			g.mu.Lock()
			silent := g.reg != nil && !g.reportsMissed && now.Sub(g.reg.lastReport) > maxMissedHeartbeats*g.node.Settings.Heartbeat
			if silent {
				g.reportsMissed = true
				g.refuseQueued(crcode.NoServer)
			}
			g.mu.Unlock()
			if silent {
				g.node.Log.Emit(now, crevent.State, crevent.ServerGone, crevent.KeyReason, "reports_missed")
				g.node.announce()
			}
		}
	}
}

// grant is the permission of one call to run, with the server, client and limiter that it uses.
type grant struct {
	reg      registration
	lifetime *lifetime
	client   *crexchange.Client
	limiter  *crlimiter.Limiter
	speed    *crspeed.Estimator
	tracked  trackedRun
}

// admit waits until the call may run, in which case the code is OK. A call that may crash the server does not run
// beside others with the same fingerprint.
func (g *gate) admit(ctx context.Context, c *call) (grant, crcode.Code) {
	suspects := &g.node.suspects
	for {
		if suspects.verdict(time.Now(), c.fingerprints) == crquarantine.Convicted {
			return grant{}, crcode.Quarantined
		}
		gr, code := g.waitForSlot(ctx, c)
		if code != crcode.OK {
			return gr, code
		}
		run, admission, runEnded := suspects.startRun(time.Now(), c.fingerprints)
		if admission == crquarantine.Admitted {
			gr.tracked = run
			return gr, crcode.OK
		}
		g.release(gr, crlimiter.Sample{Result: crlimiter.Cancelled})
		switch admission {
		case crquarantine.Refused:
			return gr, crcode.Quarantined
		case crquarantine.UseOtherServer:
			return gr, crcode.Suspected
		}
		g.node.Counters.Add("suspect_waits", 1)
		if code := waitForRunEnd(ctx, c, runEnded); code != crcode.OK {
			return gr, code
		}
	}
}

// waitForRunEnd waits until a run ends, for suspectPollInterval at most.
func waitForRunEnd(ctx context.Context, c *call, runEnded <-chan struct{}) crcode.Code {
	now := time.Now()
	if !now.Before(c.deadline) {
		return crcode.QueueTimeout
	}
	timer := time.NewTimer(min(c.deadline.Sub(now), suspectPollInterval))
	defer timer.Stop()
	select {
	case <-runEnded:
	case <-timer.C:
	case <-ctx.Done():
		return crcode.Cancelled
	}
	return crcode.OK
}

// waitForSlot waits in the queue until a slot is free, in which case the code is OK.
func (g *gate) waitForSlot(ctx context.Context, c *call) (grant, crcode.Code) {
	now := time.Now()
	g.mu.Lock()
	if code := g.refusalCode(now, c); code != crcode.OK {
		g.mu.Unlock()
		return grant{}, code
	}
	gr := grant{reg: *g.reg, lifetime: g.lifetime, client: g.client, limiter: g.limiter, speed: g.speed}
	expectedRun := g.expectedRun(now, c.route)
	if !c.countedAsDemand {
		c.countedAsDemand = true
		g.regulator.RecordArrival(expectedRun, c.rates.Of(c.service))
	}
	if g.queue.Len() == 0 && g.limiter.Acquire(now) {
		g.updateRegulator(now)
		g.mu.Unlock()
		return gr, crcode.OK
	}
	left := c.deadline.Sub(now)
	rank, due := g.ranks.RankWithin(now, senderOf[c.origin], c.kindImportance(), c.importance), c.due.Add(-expectedRun)
	if expected := g.limiter.Expected(c.route, g.queue.Ahead(rank, due)); expected > left {
		g.mu.Unlock()
		return gr, crcode.Overloaded
	}
	w := &waiter{result: make(chan crcode.Code, 1)}
	it := &cradmission.Item{Priority: rank, Due: due, Deadline: c.deadline.Add(-expectedRun), Value: w}
	if refused := g.queue.Push(now, it); refused != nil {
		refused.Value.(*waiter).result <- crcode.Overloaded
	}
	queue := g.queue
	g.updateRegulator(now)
	g.mu.Unlock()
	timer := time.NewTimer(it.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case code := <-w.result:
		return gr, code
	case <-ctx.Done():
	case <-timer.C:
	}
	if queue.Remove(it) {
		if ctx.Err() != nil {
			return gr, crcode.Cancelled
		}
		return gr, crcode.QueueTimeout
	}
	// The slot was granted, or the item refused, at the same moment as the timer or ctx fired.
	select {
	case code := <-w.result:
		if code == crcode.OK && ctx.Err() != nil {
			g.release(gr, crlimiter.Sample{Result: crlimiter.Cancelled})
			return gr, crcode.Cancelled
		}
		return gr, code
	case <-time.After(time.Second):
		// Expire removed the item without a result; no slot was granted.
		return gr, crcode.QueueTimeout
	}
}

// refusalCode returns why no call may run now, OK if calls may. The caller holds the lock.
func (g *gate) refusalCode(now time.Time, c *call) crcode.Code {
	switch {
	case g.node.gateClosed.Load():
		return crcode.Stopping
	case g.reg == nil || g.reportsMissed || now.Before(g.downUntil):
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

// release returns the slot and grants it to the next queued call.
func (g *gate) release(gr grant, s crlimiter.Sample) {
	now := time.Now()
	gr.limiter.Release(now, s)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limiter != gr.limiter {
		return
	}
	g.grantQueued(now)
}

func (g *gate) grantQueued(now time.Time) {
	for g.queue.Len() > 0 && g.limiter.Acquire(now) {
		it, ok := g.queue.Pop(now)
		if !ok {
			g.limiter.Release(now, crlimiter.Sample{Result: crlimiter.Cancelled})
			break
		}
		it.Value.(*waiter).result <- crcode.OK
	}
	for _, it := range g.queue.Expire(now) {
		it.Value.(*waiter).result <- crcode.QueueTimeout
	}
	g.updateRegulator(now)
}

// updateRegulator reports the current load to the regulator. The caller holds the lock.
func (g *gate) updateRegulator(now time.Time) {
	g.regulator.RecordOccupancy(now, g.limiter.InFlight(), g.queue.Len(), g.limiter.Limit())
}

// idle reports whether the server runs nothing, and therefore makes no calls.
func (g *gate) idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter == nil || g.limiter.InFlight() == 0
}

// feedback returns the load of this gate as reported in answers.
func (g *gate) feedback() *crrouter.Feedback {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limiter == nil {
		return nil
	}
	return &crrouter.Feedback{InFlight: g.limiter.InFlight(), Limit: g.limiter.Limit(), Queued: g.queue.Len()}
}

// handleCall runs the call on the server; ctx ends when the caller disconnects.
func (g *gate) handleCall(ctx context.Context, c *call) *reply {
	start := time.Now()
	c.origin = g.origins.observe(start, c.route, c.caller, c.callerIdle, g.node.services.serverCounts())
	code := crcode.Stopping
	var gr grant
	if g.node.admitStopping(start, c) == nil {
		gr, code = g.admit(ctx, c)
	}
	waited := time.Since(start)
	if code != crcode.OK {
		r := failureReply(code, "")
		r.origin = c.origin
		r.waited = waited
		g.report(time.Now(), c, r)
		r.retryAfter = g.queueDrainTime()
		return r
	}
	g.node.ledger.RunStarted(c.route)
	started := time.Now()
	g.roots.RunStarted(c.rates)
	g.repeats.RunStarted(c.route, c.repeat)
	r := g.forward(ctx, c, gr, waited)
	g.roots.RunEnded(c.rates)
	g.repeats.RunEnded(c.route, c.repeat)
	g.node.Counters.Observe(waitTime+c.service, waited)
	g.node.Counters.Observe(runTime+c.service, r.took)
	r.downstreamFailed = r.code == crcode.OK && r.status >= 500 && g.node.callFailedSince(started)
	g.node.ledger.RunEnded(c.route, r.took, succeeded(r))
	r.origin = c.origin
	r.waited = waited
	g.report(time.Now(), c, r)
	return r
}

// queueDrainTime returns when the gate expects to have worked off its queue.
func (g *gate) queueDrainTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limiter == nil {
		return 0
	}
	return g.limiter.Expected("", g.queue.Len())
}
