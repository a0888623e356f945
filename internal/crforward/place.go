package crforward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/pkg/crbudget"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crquarantine"
	"github.com/citronramp/citronramp/pkg/crroute"
	"github.com/citronramp/citronramp/pkg/crrouter"
)

// Bounds of the sends of one call.
const (
	// maxPlaces is how many gates are asked; gates that refuse cost two short messages each and no server's time.
	maxPlaces = 4
	// fairTime is how many times its usual time a server must have had before its silence speaks against it; less was left
	// because earlier work of the chain was late, or the caller gave up early.
	fairTime = 3
	// hedgeLeast and hedgeMost bound, in usual times, how long a silent server is waited for before a second one is asked: few
	// runs take as long, and what is left of the target decides in between. hedgeFloor keeps short runs from being sent twice
	// for a moment without a processor.
	hedgeLeast = 2
	hedgeMost  = 4
	hedgeFloor = 20 * time.Millisecond
)

// placement is the search for a server that answers one call.
type placement struct {
	node    *Node
	call    *call
	route   *crroute.Route
	service *service
	budget  *crbudget.Ratio

	mu sync.Mutex
	// tried are the servers that were picked, sent counts the sends that reached one.
	tried []string
	sent  int
}

// place sends the call to one server after another until one answers or nothing more is allowed.
func (n *Node) place(ctx context.Context, c *call, route *crroute.Route) (r *reply, tries int) {
	s := n.services.get(c.service)
	p := &placement{node: n, call: c, route: route, service: s, budget: n.budget(s, c)}
	if n.suspects.check(time.Now(), c.prints) == crquarantine.Convicted {
		return n.quarantined(c), 0
	}
	p.budget.Succeeded()
	for tries = 1; ; tries++ {
		server, err := p.pick(time.Now(), !c.once && tries == 1)
		if err != nil {
			if r == nil {
				r = refuse(crcode.Of(err), err.Error())
			}
			return r, tries
		}
		last := r
		if tries == 1 {
			r = p.sendFirst(ctx, server)
		} else {
			r = p.send(ctx, c, server)
		}
		if r.code == crcode.OK && (r.status < 500 || c.once) {
			return r, tries
		}
		if !p.again(ctx, r, tries) {
			return worse(last, r), tries
		}
		r.end()
		if !c.rewind() {
			return r, tries
		}
	}
}

// budget returns the budget of repeats of a call. Where its run makes no calls, none of them is repeated with it.
func (n *Node) budget(s *service, c *call) *crbudget.Ratio {
	costs := n.costs.of(c.route).cost
	if _, own := costs[c.service]; c.origin == originClients && own && len(costs) == 1 {
		return s.leafRetries
	}
	return s.retries
}

// pick chooses a server that was not tried yet; an ejected one that is due for a probe only if probe is set.
func (p *placement) pick(now time.Time, probe bool) (crrouter.Server, error) {
	req := crrouter.Request{NoProbe: !probe}
	if p.suspect(now) {
		req.Home = p.call.prints[ofAll].String()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	req.Tried = p.tried
	server, err := p.service.router.Pick(now, req)
	if err == nil {
		p.tried = append(p.tried, server.ID)
	}
	return server, err
}

// suspect reports whether the call may crash servers, so that it goes to one of them at a time.
func (p *placement) suspect(now time.Time) bool {
	return p.node.suspects.check(now, p.call.prints) != crquarantine.Free
}

// quarantined refuses a call that has crashed servers.
func (n *Node) quarantined(c *call) *reply {
	n.Counters.Add("quarantine_refused", 1)
	return refuse(crcode.Quarantined, "fingerprint "+c.prints[ofCaller].String())
}

// send sends the call to one server and takes what its answer tells.
func (p *placement) send(ctx context.Context, c *call, server crrouter.Server) *reply {
	n, s, now := p.node, p.service, time.Now()
	r := n.send(ctx, s.address(server.ID), c)
	c.counted = c.counted || asked(r)
	took := time.Since(now)
	n.logChange(s, server.ID, r, s.router.Done(time.Now(), server.ID, routerResult(r, took, s.usually(c.route))))
	if answered(r) {
		s.answered(c.route, took)
	}
	n.learn(time.Now(), server.ID, c, r)
	if reached(r) {
		p.mu.Lock()
		p.sent++
		p.mu.Unlock()
	}
	return r
}

// sendFirst sends the call to its first server, and to a second one beside it when the first stays silent for long.
func (p *placement) sendFirst(ctx context.Context, server crrouter.Server) *reply {
	wait, ok := p.hedgeAfter(time.Now())
	if !ok {
		return p.send(ctx, p.call, server)
	}
	copied := *p.call
	ctx1, cancel1 := context.WithCancel(ctx)
	ctx2, cancel2 := context.WithCancel(ctx)
	second := make(chan *reply, 1)
	timer := time.AfterFunc(wait, func() {
		r := p.hedge(ctx2, &copied)
		if answered(r) {
			cancel1()
		}
		second <- r
	})
	r := p.send(ctx1, p.call, server)
	if timer.Stop() {
		cancel2()
		return r.endWith(cancel1)
	}
	if answered(r) {
		cancel2()
		go func() {
			if late := <-second; late != nil {
				late.end()
			}
		}()
		return r.endWith(cancel1)
	}
	other := <-second
	switch {
	case other == nil:
		cancel2()
		return r.endWith(cancel1)
	case answered(other) || worse(other, r) == other:
		r.end()
		cancel1()
		return other.endWith(cancel2)
	}
	other.end()
	cancel2()
	return r.endWith(cancel1)
}

// hedgeAfter returns how long the first server may stay silent, and false when no other one may be asked beside it.
func (p *placement) hedgeAfter(now time.Time) (time.Duration, bool) {
	c, usual := p.call, p.service.usually(p.call.route)
	if p.suspect(now) || c.once || p.route.MaxAttempts < 2 || usual == 0 || c.length != 0 && !c.kept || p.node.pressed(now, c) {
		return 0, false
	}
	spare := c.due.Sub(now) - usual
	wait := max(min(max(spare, hedgeLeast*usual), hedgeMost*usual), hedgeFloor)
	return wait, now.Add(wait + usual).Before(c.deadline)
}

// hedge sends a copy of the call to a second server; nil means that it was not sent.
func (p *placement) hedge(ctx context.Context, c *call) *reply {
	now := time.Now()
	if ctx.Err() != nil || !c.rewind() || !p.budget.Allow(now) {
		return nil
	}
	server, err := p.pick(now, false)
	if err != nil {
		return nil
	}
	p.node.Counters.Add("hedged", 1)
	p.node.Log.Emit(now, crevent.Failure, crevent.SentAgain, crevent.KeyID, c.id, crevent.KeyService, c.service, crevent.KeyServer, server.ID,
		crevent.KeyReason, "silent", crevent.KeyLeft, c.deadline.Sub(now).Round(time.Millisecond))
	return p.send(ctx, c, server)
}

// answered reports whether a server answered without a failure.
func answered(r *reply) bool { return r != nil && r.code == crcode.OK && r.status < 500 }

// reached reports whether the call arrived at a server.
func reached(r *reply) bool {
	return r.code == crcode.OK || r.code == crcode.ServerRefused || r.code.Outcome() != crcode.NotRun
}

// asked reports whether the gate counts the call as work that its server is asked for.
func asked(r *reply) bool {
	switch r.code {
	case crcode.NoServer, crcode.StaleIncarnation, crcode.Leaving, crcode.Stopping:
		return false
	}
	return true
}

// again decides whether the call is sent to a further server; it counts repeats that reach servers.
func (p *placement) again(ctx context.Context, r *reply, tries int) bool {
	c, now := p.call, time.Now()
	p.mu.Lock()
	sent := p.sent
	p.mu.Unlock()
	switch {
	case ctx.Err() != nil || tries >= maxPlaces || !now.Before(c.deadline):
		return false
	case c.length != 0 && !c.kept:
		return false
	case c.once && r.code.Outcome() != crcode.NotRun:
		return false
	case r.code == crcode.Quarantined || p.node.suspects.check(now, c.prints) == crquarantine.Convicted:
		return false
	case r.code == crcode.DeadlineExpired || r.code == crcode.QueueTimeout:
		return false
	case c.deadline.Sub(now) < p.service.usually(c.route):
		return false
	case r.excused:
		// What failed is deeper down, and another server's calls end there as well.
		return false
	case sent == 0:
		// No server has seen the call, so another gate costs no repeat.
		return true
	case sent >= p.route.MaxAttempts:
		return false
	}
	if !p.budget.Allow(now) {
		p.node.Counters.Add("retries_denied", 1)
		return false
	}
	p.node.Counters.Add("retries", 1)
	p.node.Log.Emit(now, crevent.Failure, crevent.SentAgain, crevent.KeyID, c.id, crevent.KeyService, c.service, crevent.KeyTry, tries,
		crevent.KeyCode, r.code, crevent.KeyStatus, r.status, crevent.KeyLeft, c.deadline.Sub(now).Round(time.Millisecond))
	return true
}

// worse returns the end to report after several sends: a later refusal must not hide that an earlier send may have run.
func worse(earlier, last *reply) *reply {
	if earlier != nil && last.code != crcode.OK && last.code.Outcome() == crcode.NotRun && earlier.code.Outcome() != crcode.NotRun {
		return earlier
	}
	return last
}

// routerResult tells the router how a send ended that took a time, where good answers usually take another.
func routerResult(r *reply, took, usual time.Duration) crrouter.Result {
	res := crrouter.Result{Latency: took, Feedback: r.load}
	timedOut := r.code == crcode.DeadlineRunning || r.code == crcode.OK && r.status == http.StatusGatewayTimeout
	// A caller that gives up cancels the send before its deadline, so a silent server hardly ever meets that.
	cancelled := r.code == crcode.Cancelled || r.code == crcode.CancelledRun
	if r.took > 0 {
		res.Latency = r.took
	}
	switch {
	case answered(r):
		res.Kind = crrouter.OK
	case r.excused || timedOut && took < fairTime*usual:
		res.Kind = crrouter.Refused
	case timedOut || cancelled && usual > 0 && took >= fairTime*usual:
		res.Kind = crrouter.TimedOut
	case r.code == crcode.OK:
		res.Kind = crrouter.Failed
	case cancelled:
		res.Kind = crrouter.Cancelled
	case r.code == crcode.NoServer || r.code == crcode.StaleIncarnation:
		res.Kind = crrouter.Unreachable
	case r.code == crcode.ServerRefused:
		// The gate sends a server no more than it has slots for, so one that refuses is at fault.
		res.Kind = crrouter.Failed
	case r.code == crcode.Leaving || r.code == crcode.Stopping:
		res.Kind = crrouter.Leaving
	case r.code.Outcome() == crcode.NotRun:
		res.Kind = crrouter.Refused
	default:
		res.Kind = crrouter.Failed
	}
	return res
}
