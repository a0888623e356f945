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

// Constants of requests at the entrance.
const (
	// defaultTimeout applies to requests without a timeout header.
	defaultTimeout = 30 * time.Second
	// maxImportance is above the largest priority number of a route. It turns priority numbers, of which a smaller one
	// is more important, into importance values.
	maxImportance = 1 << 16
)

// serveEntrance handles requests of clients and calls of the backend server on this instance.
func (n *Node) serveEntrance(w http.ResponseWriter, req *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	now := time.Now()
	if n.stopping.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	table := n.table.Load()
	if table == nil {
		n.reject(w, nil, failureReply(crcode.NotConfigured, ""), notConfiguredRetryAfter)
		return
	}
	path, _, _ := strings.Cut(req.RequestURI, "?")
	route := table.Match(req.Host, path)
	if route == nil {
		n.reject(w, &call{id: req.Header.Get(n.Settings.Headers.RequestID)}, failureReply(crcode.UnknownService, "no route"), 0)
		return
	}
	organisation, refused := n.identify(table, route, req.Header)
	if refused != nil {
		n.reject(w, &call{id: req.Header.Get(n.Settings.Headers.RequestID)}, refused, refused.retryAfter)
		return
	}
	if limit := table.Limits().BodyBytes; limit > 0 {
		if req.ContentLength > limit {
			n.reject(w, &call{id: req.Header.Get(n.Settings.Headers.RequestID)}, failureReply(crcode.BodyTooLarge, ""), 0)
			return
		}
		if req.ContentLength < 0 {
			req.Body = http.MaxBytesReader(w, req.Body, limit)
		}
	}
	// The deadline of a pipelined request counts from its arrival, not from the end of the requests before it.
	c := n.newCall(req, route, crpipeline.ArrivalTime(req.Context(), now))
	c.setOrganisation(table, route, organisation)
	if refused := n.takeQuota(req.Context(), c, organisation, table.Version()); refused != nil {
		n.abandonBody(w, c)
		n.reject(w, c, refused, n.retryAfter(now, c, refused))
		return
	}
	defer n.returnQuota(c)
	n.serveCall(w, req, c, route, now)
}

// newCall builds the call for a request that arrived at the given time.
func (n *Node) newCall(req *http.Request, route *crroute.Route, arrived time.Time) *call {
	headers := n.Settings.Headers
	timeout, ok := parseMilliseconds(req.Header.Get(headers.Timeout))
	if !ok {
		timeout = defaultTimeout
	}
	c := &call{
		id: req.Header.Get(headers.RequestID), route: route.Name, service: route.Service(rand.Float64()), method: req.Method,
		target: req.RequestURI, host: req.Host, header: req.Header, body: req.Body, length: req.ContentLength,
		deadline: arrived.Add(min(timeout, route.Timeout)), caller: n.Settings.Service, nonRepeatable: !route.Repeatable(),
		callerIdle: n.gate.idle(), suspended: n.Suspended(),
	}
	c.origin = n.origins.get(route.Name)
	if c.origin == originUnknown {
		n.hintsNeeded.Store(true)
		if c.callerIdle {
			c.origin = originClients
		}
	}
	if c.origin == originClients && n.costs.get(route.Name).cost == nil {
		n.hintsNeeded.Store(true)
	}
	c.setPriority(route.Priority)
	c.due = c.deadline
	if target := arrived.Add(route.Target); route.Target > 0 && target.Before(c.due) {
		c.due = target
	}
	return c
}

func (n *Node) serveCall(w http.ResponseWriter, req *http.Request, c *call, route *crroute.Route, now time.Time) {
	if req.Context().Err() != nil {
		// The client left while the request was queued behind another on its connection.
		panic(http.ErrAbortHandler)
	}
	if c.origin == originClients {
		c.rates = n.admissionRates(now, route)
	} else {
		c.rates = n.gate.roots.Rates()
	}
	r := n.admitStopping(now, c)
	if r == nil {
		r = n.admit(now, c, route)
	}
	if r != nil {
		n.abandonBody(w, c)
		n.reject(w, c, r, n.retryAfter(now, c, r))
		return
	}
	release, err := n.bodyBudget.buffer(c)
	defer release()
	if err == nil {
		err = c.setFingerprints()
	}
	if err != nil {
		// The client closed the connection or sent less than the announced body.
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	stopWaiting := context.AfterFunc(n.untilGivenUp, cancel)
	defer stopWaiting()
	r, attempts := n.placeTracked(ctx, c, route)
	if ctx.Err() != nil && req.Context().Err() == nil && isCancelled(r) {
		r = givenUpReply(r)
	}
	defer r.release()
	n.logAnswer(c, r, attempts, now)
	n.Counters.Observe(requestTime+c.service+"/"+r.outcomeName(), time.Since(now))
	if r.code == crcode.OK {
		n.Counters.Add("answered", 1)
		n.abandonBody(w, c)
		writeAnswer(w, r)
		return
	}
	if isCancelled(r) {
		panic(http.ErrAbortHandler)
	}
	n.abandonBody(w, c)
	n.reject(w, c, r, n.retryAfter(time.Now(), c, r))
}

// admitStopping refuses a call, at the entrance or the gate, that cannot be answered before the node stops.
func (n *Node) admitStopping(now time.Time, c *call) *reply {
	s := n.stopping.Load()
	if s.limit(now, c, n.services.get(c.service).meanLatency(c.route)) {
		return nil
	}
	return s.refusal(now)
}

func isCancelled(r *reply) bool { return r.code == crcode.Cancelled || r.code == crcode.CancelledRun }

// abandonBody makes the connection close after an answer that precedes the end of a streamed body. Otherwise the rest
// of the body would be parsed as the next request.
func (n *Node) abandonBody(w http.ResponseWriter, c *call) {
	if c.bodyBuffered || c.length == 0 {
		return
	}
	w.Header().Set("Connection", "close")
	// Unblocks a read of the body in another goroutine.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
}

// reject answers a request for which there is no server answer, and counts it.
func (n *Node) reject(w http.ResponseWriter, c *call, r *reply, retryAfter time.Duration) {
	n.Counters.Add("failed_"+r.code.String(), 1)
	n.writeFailure(w, c, r, retryAfter)
}

// placeTracked places a call and attributes it to the backend server that makes it. While the origin of the route is
// unknown, the call may be one of the server or of a client, and a failure counts as a failed call of the server.
func (n *Node) placeTracked(ctx context.Context, c *call, route *crroute.Route) (*reply, int) {
	if c.origin == originClients {
		return n.place(ctx, c, route)
	}
	start := time.Now()
	if c.origin == originServers {
		n.ledger.CallStarted(c.route)
	} else {
		defer n.ledger.RecordUnattributed()()
	}
	r, attempts := n.place(ctx, c, route)
	ok := succeeded(r)
	if !ok {
		n.lastCallFailure.Store(time.Now().UnixNano())
	}
	if c.origin == originServers {
		n.ledger.CallEnded(c.route, time.Since(start), ok, n.costs.get(c.route).cost)
	}
	return r, attempts
}

// logEjection logs that the router ejected or restored a server, with the last answer and the statistics of the
// decision.
func (n *Node) logEjection(s *service, server string, r *reply, c crrouter.EjectionChange) {
	event := crevent.ServerEjected
	switch {
	case c.Returned:
		event = crevent.ServerReturned
	case !c.Ejected:
		return
	}
	n.Log.Emit(time.Now(), crevent.State, event, crevent.KeyService, s.name, crevent.KeyServer, server, crevent.KeyCode, r.code,
		crevent.KeyStatus, r.status, crevent.KeyTook, r.took.Round(time.Millisecond), crevent.KeyShare, c.ErrorRate, crevent.KeyCount, c.Failures)
}

// Limits of the retry-after time.
const (
	// notConfiguredRetryAfter is for a node without a configuration; it receives one within a second of its start.
	notConfiguredRetryAfter = 500 * time.Millisecond
	// maxQueueRetryAfter limits the queue drain time that a gate reports; capacity is free again well before that.
	maxQueueRetryAfter = 2 * time.Second
)

// retryAfter returns when a refused client should retry: early enough for an answer by the target latency, not before
// the queue that refused the request has drained, and within a third of its remaining time. For a quarantined request
// it is the remaining time of the quarantine, and for one over the quota the time until tokens return.
func (n *Node) retryAfter(now time.Time, c *call, r *reply) time.Duration {
	if r.code == crcode.Quarantined {
		return n.suspects.blockedFor(now, c.fingerprints)
	}
	if r.code == crcode.QuotaExceeded {
		return r.retryAfter
	}
	spare := c.due.Sub(now) - n.services.get(c.service).meanLatency(c.route)
	d := max(crshed.RetryDelay(spare, jitter), min(r.retryAfter, maxQueueRetryAfter))
	if left := c.deadline.Sub(now); left > 0 {
		d = min(d, left/3)
	}
	return d
}

// logAnswer logs the outcome of a request at the entrance. Successful requests are sampled.
func (n *Node) logAnswer(c *call, r *reply, attempts int, arrived time.Time) {
	now := time.Now()
	class, event := crevent.Failure, crevent.Answered
	switch {
	case succeeded(r):
		if !n.Log.Sampled(c.id) {
			return
		}
		class = crevent.Routine
	case isCancelled(r):
		event = crevent.Cancelled
	case r.code.Outcome() == crcode.NotRun:
		event = crevent.Rejected
	}
	var version uint64
	if t := n.table.Load(); t != nil {
		version = t.Version()
	}
	n.Log.Emit(now, class, event, crevent.KeyID, c.id, crevent.KeyRoute, c.route, crevent.KeyService, c.service, crevent.KeyCaller, c.caller,
		crevent.KeyCode, r.code, crevent.KeyStatus, r.status, crevent.KeyTry, attempts, crevent.KeyTook, now.Sub(arrived).Round(time.Millisecond),
		crevent.KeyLeft, c.deadline.Sub(now).Round(time.Millisecond), crevent.KeyVersion, version, crevent.KeyFingerprint, c.fingerprints[perCaller],
		crevent.KeyDetail, r.detail)
}
