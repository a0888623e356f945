package crforward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/internal/crpipeline"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crroute"
	"github.com/citronramp/citronramp/pkg/crrouter"
	"github.com/citronramp/citronramp/pkg/crshed"
)

// Bounds of a request at the entrance.
const (
	// defaultLeft is the time of a client that names none.
	defaultLeft = 30 * time.Second
	// topWorth is above every priority number of a route, so that a smaller number gives a higher rank.
	topWorth = 1 << 16
)

// serveEntrance takes the requests of clients and of the backend server on this instance.
func (n *Node) serveEntrance(w http.ResponseWriter, req *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	now := time.Now()
	if n.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	table := n.table.Load()
	if table == nil {
		n.reject(w, nil, refuse(crcode.NotConfigured, ""), retryUnconfigured)
		return
	}
	path, _, _ := strings.Cut(req.RequestURI, "?")
	route := table.Match(req.Host, path)
	if route == nil {
		n.reject(w, &call{id: req.Header.Get(n.Settings.Headers.RequestID)}, refuse(crcode.UnknownService, "no route"), 0)
		return
	}
	if limit := table.Limits().BodyBytes; limit > 0 {
		if req.ContentLength > limit {
			n.reject(w, &call{id: req.Header.Get(n.Settings.Headers.RequestID)}, refuse(crcode.BodyTooLarge, ""), 0)
			return
		}
		if req.ContentLength < 0 {
			req.Body = http.MaxBytesReader(w, req.Body, limit)
		}
	}
	// The time of a request that waited behind another on its connection began when it came.
	c := n.callOf(req, route, crpipeline.Arrived(req.Context(), now))
	n.serveCall(w, req, c, route, now)
}

// callOf builds the call of a request that arrived at a time.
func (n *Node) callOf(req *http.Request, route *crroute.Route, arrived time.Time) *call {
	names := n.Settings.Headers
	left, ok := milliseconds(req.Header.Get(names.Timeout))
	if !ok {
		left = defaultLeft
	}
	c := &call{
		id: req.Header.Get(names.RequestID), route: route.Name, service: route.Service(rand.Float64()), method: req.Method,
		target: req.RequestURI, host: req.Host, header: req.Header, body: req.Body, length: req.ContentLength,
		deadline: arrived.Add(min(left, route.Timeout)), caller: n.Settings.Service, once: !route.Repeatable(),
		idle: n.gate.idle(), suspended: n.Suspended(),
	}
	c.origin = n.origins.of(route.Name)
	if c.origin == originUnknown {
		n.unlearned.Store(true)
		if c.idle {
			c.origin = originClients
		}
	}
	if c.origin == originClients && n.costs.of(route.Name).cost == nil {
		n.unlearned.Store(true)
	}
	c.worth = uint32(topWorth - min(max(route.Priority, 0), topWorth-1))
	c.due = c.deadline
	if target := arrived.Add(route.Target); route.Target > 0 && target.Before(c.due) {
		c.due = target
	}
	return c
}

func (n *Node) serveCall(w http.ResponseWriter, req *http.Request, c *call, route *crroute.Route, now time.Time) {
	if req.Context().Err() != nil {
		// The client has left while the request waited behind another.
		panic(http.ErrAbortHandler)
	}
	if c.origin == originClients {
		c.rates = n.ratesOf(now, route)
	} else {
		c.rates = n.gate.roots.Rates()
	}
	if r := n.admit(now, c, route); r != nil {
		n.finishBody(w, c)
		n.reject(w, c, r, n.retryIn(now, c, r))
		return
	}
	release, err := n.bodies.keep(c)
	defer release()
	if err == nil {
		err = c.identify()
	}
	if err != nil {
		// The client has gone or cut its body short.
		panic(http.ErrAbortHandler)
	}
	r, tries := n.watched(req.Context(), c, route)
	defer r.end()
	n.logAnswer(c, r, tries, now)
	n.Counters.Observe(requestTime+c.service+"/"+r.ending(), time.Since(now))
	if r.code == crcode.OK {
		n.Counters.Add("answered", 1)
		n.finishBody(w, c)
		writeAnswer(w, r)
		return
	}
	if r.code == crcode.Cancelled || r.code == crcode.CancelledRun {
		panic(http.ErrAbortHandler)
	}
	n.finishBody(w, c)
	n.reject(w, c, r, n.retryIn(time.Now(), c, r))
}

// finishBody closes the connection after an answer that comes before a streamed body is in: what follows would be taken
// for the next request.
func (n *Node) finishBody(w http.ResponseWriter, c *call) {
	if c.kept || c.length == 0 {
		return
	}
	w.Header().Set("Connection", "close")
	// Ends a read of the body that another goroutine may wait in.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
}

// reject answers a request that no server answered.
func (n *Node) reject(w http.ResponseWriter, c *call, r *reply, retryIn time.Duration) {
	n.Counters.Add("failed_"+r.code.String(), 1)
	n.writeFailure(w, c, r, retryIn)
}

// watched places a call and counts it with the calls of the server that makes it. While it is not known who sends the
// requests of its route, a failure may be that of such a call.
func (n *Node) watched(ctx context.Context, c *call, route *crroute.Route) (*reply, int) {
	if c.origin == originClients {
		return n.place(ctx, c, route)
	}
	start := time.Now()
	if c.origin == originServers {
		n.ledger.CallStarted(c.route)
	} else {
		defer n.ledger.Doubtful()()
	}
	r, tries := n.place(ctx, c, route)
	good := answered(r)
	if !good {
		n.callFailed.Store(time.Now().UnixNano())
	}
	if c.origin == originServers {
		n.ledger.CallEnded(c.route, time.Since(start), good, n.costs.of(c.route).cost)
	}
	return r, tries
}

// logChange tells that a server was ejected or returned, with the last answer and the record that decided it.
func (n *Node) logChange(s *service, server string, r *reply, c crrouter.Change) {
	event := crevent.ServerEjected
	switch {
	case c.Returned:
		event = crevent.ServerReturned
	case !c.Ejected:
		return
	}
	n.Log.Emit(time.Now(), crevent.State, event, crevent.KeyService, s.name, crevent.KeyServer, server, crevent.KeyCode, r.code,
		crevent.KeyStatus, r.status, crevent.KeyTook, r.took.Round(time.Millisecond), crevent.KeyShare, c.Errors, crevent.KeyCount, c.Failures)
}

// Bounds of the hint when to come back.
const (
	// retryUnconfigured is the hint of a node that has no configuration yet; one comes within a second of its start.
	retryUnconfigured = 500 * time.Millisecond
	// retryMax bounds what a gate tells of its queue; there is room again long before.
	retryMax = 2 * time.Second
)

// retryIn returns when a refused client should come back: early enough for an answer in time, not before the queue that
// refused it has been worked off, and within a third of the time it has left. One that crashes servers is told when it is let in again.
func (n *Node) retryIn(now time.Time, c *call, r *reply) time.Duration {
	if r.code == crcode.Quarantined {
		return n.suspects.blockedFor(now, c.prints)
	}
	spare := c.due.Sub(now) - n.services.get(c.service).usually(c.route)
	d := max(crshed.ComeBack(spare, jitter), min(r.retryIn, retryMax))
	if left := c.deadline.Sub(now); left > 0 {
		d = min(d, left/3)
	}
	return d
}

// logAnswer tells how a request ended at the entrance.
func (n *Node) logAnswer(c *call, r *reply, tries int, arrived time.Time) {
	now := time.Now()
	class, event := crevent.Failure, crevent.Answered
	switch {
	case answered(r):
		if !n.Log.Sampled(c.id) {
			return
		}
		class = crevent.Routine
	case r.code == crcode.Cancelled || r.code == crcode.CancelledRun:
		event = crevent.Cancelled
	case r.code.Outcome() == crcode.NotRun:
		event = crevent.Rejected
	}
	var version uint64
	if t := n.table.Load(); t != nil {
		version = t.Version()
	}
	n.Log.Emit(now, class, event, crevent.KeyID, c.id, crevent.KeyRoute, c.route, crevent.KeyService, c.service, crevent.KeyCaller, c.caller,
		crevent.KeyCode, r.code, crevent.KeyStatus, r.status, crevent.KeyTry, tries, crevent.KeyTook, now.Sub(arrived).Round(time.Millisecond),
		crevent.KeyLeft, c.deadline.Sub(now).Round(time.Millisecond), crevent.KeyVersion, version, crevent.KeyPrint, c.prints[ofCaller],
		crevent.KeyDetail, r.detail)
}
