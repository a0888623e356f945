package crforward

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crquarantine"
	"github.com/citronramp/citronramp/pkg/crroute"
	"github.com/citronramp/citronramp/pkg/crrouter"
)

// Limits of the attempts of one call.
const (
	// maxGatesPerCall limits the gates that one call is sent to. A gate that refuses costs two short messages and no
	// server time.
	maxGatesPerCall = 4
	// maxSendsPerCall limits the sends of one call whose servers refuse it without running it. With one refusal in two, five of
	// six calls of a chain are accepted within it, and each send costs a round trip.
	maxSendsPerCall = 6
	// fairTimeFactor is how many times its mean latency a server must have had before a timeout counts against it.
	// With less, earlier work of the call chain was late, or the caller gave up early.
	fairTimeFactor = 3
	// minHedgeFactor and maxHedgeFactor bound the delay before a hedged request, in multiples of the mean latency; few
	// runs take that long, and within these bounds the time left until the target latency decides. minHedgeDelay
	// avoids hedges of short runs during brief stalls for lack of a processor.
	minHedgeFactor = 2
	maxHedgeFactor = 4
	minHedgeDelay  = 20 * time.Millisecond
)

// placement is the selection of a server for one call, over all of its attempts.
type placement struct {
	node    *Node
	call    *call
	route   *crroute.Route
	service *service
	budget  *callBudget

	mu sync.Mutex
	// tried holds the servers that were picked, reached those of them to which the call was sent.
	tried, reached []string
}

// place sends the call to one server after another until one answers or no further attempt is allowed. It returns the
// reply and the number of attempts.
func (n *Node) place(ctx context.Context, c *call, route *crroute.Route) (r *reply, attempts int) {
	s := n.services.get(c.service)
	p := &placement{node: n, call: c, route: route, service: s, budget: n.budget(s, c)}
	if n.suspects.verdict(time.Now(), c.fingerprints) == crquarantine.Convicted {
		return n.quarantineReply(c), 0
	}
	p.budget.recordCall(time.Now())
	for attempts = 1; ; attempts++ {
		server, err := p.pick(time.Now(), !c.nonRepeatable && attempts == 1)
		if err != nil {
			if r == nil {
				r = failureReply(crcode.Of(err), err.Error())
			}
			return r, attempts
		}
		var next *reply
		if attempts == 1 {
			next = p.sendFirst(ctx, server)
		} else {
			next = p.send(ctx, c, server)
		}
		// The reply to report is that of the last attempt, unless it would hide that an earlier one may have run.
		r = replyToReport(r, next)
		if next.code == crcode.OK && (next.status < 500 || c.nonRepeatable) || !p.mayRetry(ctx, next, attempts) {
			return r, attempts
		}
		next.release()
		if !c.rewind() {
			return r, attempts
		}
	}
}

// pick selects a server that was not tried yet. An ejected server that is due for a probe is selected only if probe is
// set.
func (p *placement) pick(now time.Time, probe bool) (crrouter.Server, error) {
	req := crrouter.Request{NoProbe: !probe}
	if p.suspected(now) {
		req.AffinityKey = p.call.fingerprints[allCallers].String()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.reached) >= p.route.MaxAttempts {
		// The servers refused the call, and no further ones may get it.
		req.Among = p.reached
	} else {
		req.Tried = p.tried
	}
	server, err := p.service.router.Pick(now, req)
	if err == nil {
		p.tried = append(p.tried, server.ID)
	}
	return server, err
}

// suspected reports whether the call may crash servers. All such calls of the same content go to the same server.
func (p *placement) suspected(now time.Time) bool {
	return p.node.suspects.verdict(now, p.call.fingerprints) != crquarantine.Free
}

// quarantineReply refuses a call with a fingerprint that has crashed servers.
func (n *Node) quarantineReply(c *call) *reply {
	n.Counters.Add("quarantine_refused", 1)
	return failureReply(crcode.Quarantined, "fingerprint "+c.fingerprints[perCaller].String())
}

// send sends the call to one server and records the latency, load and cost from its answer.
func (p *placement) send(ctx context.Context, c *call, server crrouter.Server) *reply {
	n, s, now := p.node, p.service, time.Now()
	tokenDone := c.quota.attempt()
	r := n.sendToGate(ctx, s.address(server.ID), c)
	tokenDone(reachedServer(r))
	c.countedAsDemand = c.countedAsDemand || countsAsDemand(r)
	took := time.Since(now)
	s.recordSpeed(server.ID, c, r)
	n.logEjection(s, server.ID, r, s.router.Done(time.Now(), server.ID, routerResult(r, took, s.meanLatency(c.route))))
	if succeeded(r) {
		s.recordLatency(c.route, took)
	}
	n.applyFeedback(time.Now(), server.ID, c, r)
	if reachedServer(r) {
		p.recordReached(server.ID)
	}
	return r
}

func (p *placement) recordReached(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Contains(p.reached, server) {
		p.reached = append(p.reached, server)
	}
}

// sendFirst sends the call to its first server, and also to a second one if the first does not answer within the hedge
// delay.
func (p *placement) sendFirst(ctx context.Context, server crrouter.Server) *reply {
	wait, ok := p.hedgeDelay(time.Now())
	if !ok {
		return p.send(ctx, p.call, server)
	}
	copied := *p.call
	ctx1, cancel1 := context.WithCancel(ctx)
	ctx2, cancel2 := context.WithCancel(ctx)
	second := make(chan *reply, 1)
	timer := time.AfterFunc(wait, func() {
		r := p.hedge(ctx2, &copied)
		if succeeded(r) {
			cancel1()
		}
		second <- r
	})
	r := p.send(ctx1, p.call, server)
	if timer.Stop() {
		cancel2()
		return r.onRelease(cancel1)
	}
	if succeeded(r) {
		cancel2()
		go func() {
			if late := <-second; late != nil {
				late.release()
			}
		}()
		return r.onRelease(cancel1)
	}
	other := <-second
	switch {
	case other == nil:
		cancel2()
		return r.onRelease(cancel1)
	case succeeded(other) || replyToReport(other, r) == other:
		r.release()
		cancel1()
		return other.onRelease(cancel2)
	}
	other.release()
	cancel2()
	return r.onRelease(cancel1)
}

// hedgeDelay returns how long to wait for the first server before the hedged request, and false if none is allowed.
func (p *placement) hedgeDelay(now time.Time) (time.Duration, bool) {
	c, usual := p.call, p.service.meanLatency(p.call.route)
	if p.suspected(now) || c.nonRepeatable || p.route.MaxAttempts < 2 || usual == 0 ||
		c.length != 0 && !c.bodyBuffered || p.node.pathOverloaded(now, c) {
		return 0, false
	}
	spare := c.due.Sub(now) - usual
	wait := max(min(max(spare, minHedgeFactor*usual), maxHedgeFactor*usual), minHedgeDelay)
	return wait, now.Add(wait + usual).Before(c.deadline)
}

// hedge sends a copy of the call to a second server. It returns nil if the copy was not sent.
func (p *placement) hedge(ctx context.Context, c *call) *reply {
	now := time.Now()
	if ctx.Err() != nil || !c.rewind() || !c.quota.reserve() || !p.budget.Allow(now) {
		return nil
	}
	server, err := p.pick(now, false)
	if err != nil {
		return nil
	}
	c.repeat = true
	p.node.Counters.Add("hedged", 1)
	p.node.Log.Emit(now, crevent.Failure, crevent.SentAgain, crevent.KeyID, c.id, crevent.KeyService, c.service, crevent.KeyServer, server.ID,
		crevent.KeyReason, "silent", crevent.KeyLeft, c.deadline.Sub(now).Round(time.Millisecond))
	return p.send(ctx, c, server)
}

// succeeded reports whether a server answered with a status below 500.
func succeeded(r *reply) bool { return r != nil && r.code == crcode.OK && r.status < 500 }

// reachedServer reports whether the call arrived at a server.
func reachedServer(r *reply) bool {
	return r.code == crcode.OK || r.code == crcode.ServerRefused || r.code.Outcome() != crcode.NotRun
}

// countsAsDemand reports whether the gate has counted the call as demand for its server.
func countsAsDemand(r *reply) bool {
	switch r.code {
	case crcode.NoServer, crcode.StaleIncarnation, crcode.Leaving, crcode.Stopping:
		return false
	}
	return true
}

// mayRetry decides whether the call is sent to a further server. It takes retries that follow an attempt which reached
// a server from the retry budget.
func (p *placement) mayRetry(ctx context.Context, r *reply, attempts int) bool {
	c, now := p.call, time.Now()
	p.mu.Lock()
	reached := len(p.reached)
	p.mu.Unlock()
	switch {
	case ctx.Err() != nil || !now.Before(c.deadline) || attempts >= maxSendsPerCall:
		return false
	case attempts >= maxGatesPerCall && r.code != crcode.ServerRefused:
		return false
	case c.length != 0 && !c.bodyBuffered:
		return false
	case c.nonRepeatable && r.code.Outcome() != crcode.NotRun:
		return false
	case r.code == crcode.Quarantined || p.node.suspects.verdict(now, c.fingerprints) == crquarantine.Convicted:
		return false
	case r.code == crcode.DeadlineExpired || r.code == crcode.QueueTimeout:
		return false
	case c.deadline.Sub(now) < p.service.meanLatency(c.route):
		return false
	case r.downstreamFailed:
		// A downstream service failed, and calls of another server would fail there too.
		return false
	case reached == 0:
		// No server has received the call, so another gate does not count as a retry.
		return true
	case reached >= p.route.MaxAttempts && r.code != crcode.ServerRefused:
		// A server that refused the call has not run it, so that it may get the call once more.
		return false
	}
	if !c.quota.reserve() {
		return false
	}
	if !p.budget.Allow(now) {
		p.node.Counters.Add("retries_denied", 1)
		return false
	}
	c.repeat = true
	p.node.Counters.Add("retries", 1)
	p.node.Log.Emit(now, crevent.Failure, crevent.SentAgain, crevent.KeyID, c.id, crevent.KeyService, c.service, crevent.KeyTry, attempts,
		crevent.KeyCode, r.code, crevent.KeyStatus, r.status, crevent.KeyLeft, c.deadline.Sub(now).Round(time.Millisecond))
	return true
}

// replyToReport returns the reply to report after several attempts. A later refusal must not hide that an earlier
// attempt may have run.
func replyToReport(earlier, last *reply) *reply {
	if earlier != nil && last.code != crcode.OK && last.code.Outcome() == crcode.NotRun && earlier.code.Outcome() != crcode.NotRun {
		return earlier
	}
	return last
}

// routerResult classifies an attempt for the router: took is its duration, usual the mean latency of the route.
func routerResult(r *reply, took, usual time.Duration) crrouter.Result {
	res := crrouter.Result{Latency: took, Feedback: r.load}
	timedOut := r.code == crcode.DeadlineRunning || r.code == crcode.OK && r.status == http.StatusGatewayTimeout
	// When a caller gives up, the attempt is cancelled before its deadline, so that an unresponsive server rarely
	// shows as a timeout.
	cancelled := r.code == crcode.Cancelled || r.code == crcode.CancelledRun
	if r.took > 0 {
		res.Latency = r.took
	}
	switch {
	case succeeded(r):
		res.Outcome = crrouter.OK
	case r.downstreamFailed || timedOut && took < fairTimeFactor*usual:
		res.Outcome = crrouter.Refused
	case timedOut || cancelled && usual > 0 && took >= fairTimeFactor*usual:
		res.Outcome = crrouter.TimedOut
	case r.code == crcode.OK:
		res.Outcome = crrouter.Failed
	case cancelled:
		res.Outcome = crrouter.Cancelled
	case r.code == crcode.NoServer || r.code == crcode.StaleIncarnation:
		res.Outcome = crrouter.Unreachable
	case r.code == crcode.ServerRefused && r.speed != nil && r.speed.Acceptance >= refusingAcceptance:
		res.Outcome = crrouter.Refused
	case r.code == crcode.ServerRefused:
		// The gate never exceeds the server's slots, so a server that refuses is at fault.
		res.Outcome = crrouter.Failed
	case r.code == crcode.Leaving || r.code == crcode.Stopping:
		res.Outcome = crrouter.Leaving
	case r.code.Outcome() == crcode.NotRun:
		res.Outcome = crrouter.Refused
	default:
		res.Outcome = crrouter.Failed
	}
	return res
}
