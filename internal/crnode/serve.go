package crnode

import (
	"context"
	"errors"
	"hash/crc32"
	"slices"
	"time"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/cradmission"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crlimiter"
	"github.com/citronramp/citronramp/pkg/crrecord"
)

// finishGrace is how long a run that may not be repeated continues after its deadline, so that its answer is stored.
const finishGrace = 10 * time.Second

// handleCall serves a call that another node sent to the backend server beside this node.
func (n *Node) handleCall(ctx context.Context, _ *crwire.Session, req *crwire.CallRequest) (*crwire.CallResponse, error) {
	return n.serveCall(ctx, req), nil
}

// serveCall admits and runs one call of this or another node.
func (n *Node) serveCall(ctx context.Context, req *crwire.CallRequest) *crwire.CallResponse {
	a, elapsed := n.checkAndEnter(ctx, req)
	return n.response(req, a, elapsed)
}

// checkAndEnter makes the checks that need no place at the gate, then sends the call through the gate.
func (n *Node) checkAndEnter(ctx context.Context, req *crwire.CallRequest) (answer, time.Duration) {
	now := time.Now()
	if !n.requests.begin() {
		return refusal(crcode.Stopping, ""), 0
	}
	defer n.requests.end()
	if req.GetTargetIncarnation() != n.Incarnation {
		return refusal(crcode.StaleIncarnation, ""), 0
	}
	if crc32.ChecksumIEEE(req.GetBody()) != req.GetBodyChecksum() {
		return refusal(crcode.MalformedMessage, "the checksum of the body differs"), 0
	}
	ann, serving := n.lease.current(now)
	if !serving || ann.Service != req.GetService() || n.view.Drained(n.Settings.Name) {
		return refusal(crcode.Leaving, ""), 0
	}
	kind, err := n.kind(req.GetService(), req.GetKind())
	if err != nil {
		return refusalFromError(err), 0
	}
	r := &run{
		kind: kind, priority: cradmission.Priority(req.GetPriority()), backend: ann, req: req,
		deadline: n.deadlineIn(time.Duration(req.GetRemainingUs()) * time.Microsecond),
	}
	return n.enter(ctx, r)
}

// run is one call at the gate.
type run struct {
	kind     kindInfo
	priority cradmission.Priority
	deadline deadline
	backend  Announcement
	req      *crwire.CallRequest
	id       crrecord.ID
	reached  []string
	// downstreamWait is the time that the run waited for downstream calls.
	downstreamWait time.Duration
}

// enter waits for a place at the gate and runs the call. It also returns the run time.
func (n *Node) enter(ctx context.Context, r *run) (answer, time.Duration) {
	e := gateRequest{priority: r.priority, kind: r.kind.Name(), deadline: r.deadline.at, downstream: r.req.GetDepth() > 0}
	if r.kind.Repeatable() && r.priority.Class() == cradmission.Ordinary {
		var stop context.CancelCauseFunc
		ctx, stop = context.WithCancelCause(ctx)
		defer stop(nil)
		e.preempt = func() { stop(errPreempted) }
	}
	leave, err := n.gate.enter(ctx, e)
	if err != nil {
		n.Counters.Add("gate_refused", 1)
		return refusalFromError(err), 0
	}
	if !r.kind.Repeatable() {
		// A run that has started continues when its caller disconnects, so that its answer can be replayed to a resend.
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), r.deadline.at.Add(finishGrace))
		defer cancel()
	}
	start := time.Now()
	a := n.runAdmitted(ctx, r)
	if context.Cause(ctx) == errPreempted && a.code != crcode.OK {
		n.Counters.Add("preempted", 1)
		a = answer{code: crcode.Preempted, retryAfter: cradmission.MinRetryAfter}
	}
	elapsed := time.Since(start)
	leave(crlimiter.Sample{Kind: r.kind.Name(), Latency: elapsed, DownstreamTime: r.downstreamWait, Result: limiterResult(a)})
	a.reached = r.reached
	return a, elapsed
}

// errPreempted is the cancellation cause of a run that was stopped for a protected request.
var errPreempted = errors.New("preempted")

// limiterResult classifies the answer for the concurrency limiter.
func limiterResult(a answer) crlimiter.Result {
	switch a.code {
	case crcode.OK:
		if a.status >= 500 {
			return crlimiter.Failure
		}
		return crlimiter.Success
	case crcode.DeadlineRunning:
		return crlimiter.Timeout
	case crcode.Cancelled, crcode.CancelledRun, crcode.Replayed, crcode.InProgress, crcode.Preempted:
		return crlimiter.Cancelled
	case crcode.ServerRefused:
		if a.detail != "" {
			// A downstream service is overloaded, not this server.
			return crlimiter.Cancelled
		}
		return crlimiter.Refused
	}
	return crlimiter.Failure
}

// runAdmitted runs an admitted call on the backend server. A kind that may not be repeated is claimed first.
func (n *Node) runAdmitted(ctx context.Context, r *run) answer {
	n.admittedCalls.Add(1)
	defer n.admittedCalls.Add(-1)
	// The backend server may have left while the call waited. The answer to its leaving announcement waits for admitted
	// calls.
	if now, serving := n.lease.current(time.Now()); !serving || now.Instance != r.backend.Instance {
		return refusal(crcode.Leaving, "")
	}
	if n.remaining(r.deadline) < minRemainingTime {
		return refusal(crcode.DeadlineExpired, "")
	}
	if r.kind.Repeatable() || n.Policy != Adaptive {
		return n.executeWithQuarantine(ctx, r)
	}
	var err error
	if r.id, err = crrecord.ParseID(r.req.GetRequestId()); err != nil {
		return refusalFromError(err)
	}
	return n.runOnce(ctx, r)
}

// execute sends the request to the backend server and accepts downstream calls of the run until it ends.
func (n *Node) execute(ctx context.Context, r *run) answer {
	e := &execution{
		rootID: r.req.GetRootId(), id: r.req.GetRequestId(), service: r.req.GetService(), kind: r.req.GetKind(), priority: r.priority,
		deadline: r.deadline, holder: holder{address: r.req.GetHolderAddress(), incarnation: r.req.GetHolderIncarnation()},
		depth: int(r.req.GetDepth()),
	}
	e.ctx, e.cancel = context.WithCancel(ctx)
	n.executions.add(e)
	defer n.executions.remove(e)
	runCtx := ctx
	if r.kind.Repeatable() {
		var cancel context.CancelFunc
		runCtx, cancel = context.WithDeadline(ctx, r.deadline.at)
		defer cancel()
	}
	n.Counters.Add("runs", 1)
	a := n.backend.run(runCtx, r.backend.Address, backendRequest{
		id: r.req.GetRequestId(), kind: r.req.GetKind(), contentType: r.req.GetContentType(), body: r.req.GetBody(),
		remaining: n.remaining(r.deadline), token: e.token,
	})
	r.reached, r.downstreamWait = e.reachedServices(), e.downstreamWait()
	return a
}

// response converts an answer into the wire message, with the load of this gate and the known levels of downstream
// services.
func (n *Node) response(req *crwire.CallRequest, a answer, elapsed time.Duration) *crwire.CallResponse {
	load := n.gate.load()
	resp := &crwire.CallResponse{
		RequestId: req.GetRequestId(), Code: uint32(a.code), Detail: a.detail, RetryAfterMs: a.retryAfter.Milliseconds(),
		Status: uint32(a.status), ContentType: a.contentType, Body: a.body, BodyChecksum: crc32.ChecksumIEEE(a.body),
		Reached: a.reached, InFlight: uint32(load.InFlight), Limit: uint32(load.Limit), Queued: uint32(load.Queued), Level: uint64(load.Level),
		ServiceTimeUs: elapsed.Microseconds(),
	}
	for _, l := range n.levels.AppendAnswer(time.Now(), nil) {
		resp.Levels = append(resp.Levels, &crwire.Level{Service: l.Service, Priority: uint64(l.Priority), AgeUs: l.Age.Microseconds()})
	}
	return resp
}

// mayHaveStarted reports whether the backend server may have started the run.
func mayHaveStarted(a answer) bool {
	return !slices.Contains([]crcode.Code{crcode.NoServer, crcode.ServerRefused, crcode.DeadlineExpired, crcode.Quarantined, crcode.BadRequest, crcode.Overloaded}, a.code)
}
