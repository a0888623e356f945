package crnode

import (
	"context"
	"hash/crc32"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/citronramp/citronramp/internal/crpause"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/cradmission"
	"github.com/citronramp/citronramp/pkg/crbudget"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crrouter"
)

// Wire methods for calls between nodes.
const (
	methodCall   = "call"
	methodTake   = "retry.take"
	methodArrive = "retry.arrive"
)

// claimBackoff is added to the back-off after a failed claim.
const claimBackoff = 120 * time.Millisecond

// minRemainingTime is the least remaining time with which a call is sent.
const minRemainingTime = time.Millisecond

// outboundCall is one call to a service, made for an outside caller or for the backend server beside this node.
type outboundCall struct {
	id          string
	rootID      string
	kind        kindInfo
	priority    cradmission.Priority
	deadline    deadline
	holder      holder
	depth       int
	contentType string
	body        []byte
}

// routingPriority returns the priority that is compared with admission levels. Levels apply to root requests at the
// entrance. A downstream call is sent as long as time remains, since refusing it wastes the work done so far for its root
// request.
func (c outboundCall) routingPriority() cradmission.Priority {
	if c.depth > 0 {
		return math.MaxUint64
	}
	return c.priority
}

// call sends c until an answer is final. Each retry needs a grant of the holder of the root request.
func (n *Node) call(ctx context.Context, c outboundCall) answer {
	ctx, cancel := context.WithTimeout(ctx, n.remaining(c.deadline))
	defer cancel()
	svc := n.service(c.kind.Service())
	var tried []string
	var result answer
	sent := 0
	for attempt := 1; ; attempt++ {
		a, server := n.attempt(ctx, svc, c, tried)
		if server != "" {
			sent++
		}
		result = combineAnswers(result, a)
		result.attempts = sent
		if a.code == crcode.OK && a.status < http.StatusInternalServerError {
			svc.ratio.RecordSuccess()
		}
		if !retryable(c.kind, a) || !n.mayRetry(ctx, svc, c, attempt) {
			return result
		}
		n.Counters.Add("retries", 1)
		if server != "" && a.code != crcode.ClaimFailed {
			// A claim fails at the record keepers, so the same server may be chosen again.
			tried = append(tried, server)
		}
		if !n.waitBeforeRetry(ctx, a, attempt) {
			return result
		}
	}
}

// combineAnswers returns the result after one more attempt. A refusal does not undo an earlier attempt that may have run,
// so the answer of that attempt is kept.
func combineAnswers(earlier, last answer) answer {
	if earlier.code.Outcome() == crcode.NotRun && last.code == crcode.NoServer && earlier.code != 0 {
		// The reason of the earlier refusals says more than the lack of another server.
		return earlier
	}
	if earlier.code != 0 && earlier.code.Outcome() != crcode.NotRun && last.code.Outcome() == crcode.NotRun {
		earlier.retryAfter = last.retryAfter
		return earlier
	}
	return last
}

// retryable reports whether the answer allows another attempt. A request that may have run is retried only when its kind
// may be repeated, and never after a crash.
func retryable(k kindInfo, a answer) bool {
	switch a.code {
	case crcode.Overloaded, crcode.QueueTimeout, crcode.Leaving, crcode.NoServer, crcode.Stopping, crcode.StaleIncarnation, crcode.ClaimFailed:
		return true
	case crcode.ServerRefused:
		return a.detail == ""
	case crcode.OK:
		return k.Repeatable() && a.status >= http.StatusInternalServerError
	case crcode.AnswerLost, crcode.AnswerTruncated:
		return k.Repeatable()
	}
	return false
}

// mayRetry checks, from cheap to expensive, the deadline, the retry ratio of the service and the retry budget at the
// holder of the root request.
func (n *Node) mayRetry(ctx context.Context, svc *service, c outboundCall, attempt int) bool {
	if ctx.Err() != nil || n.remaining(c.deadline) < minRemainingTime {
		return false
	}
	if n.Policy != Adaptive {
		return attempt <= baselineRetries
	}
	if !svc.ratio.Allow(time.Now()) {
		n.Counters.Add("retries_denied_by_ratio", 1)
		return false
	}
	if !n.takeRetry(ctx, c) {
		n.Counters.Add("retries_denied_by_bound", 1)
		return false
	}
	return true
}

// waitBeforeRetry waits for the back-off before a retry; there is no wait after a server that is leaving or gone. Claims
// fail while record keepers are replaced, which takes about two batches of the configuration, so shorter waits would only
// use up the retries.
func (n *Node) waitBeforeRetry(ctx context.Context, a answer, attempt int) bool {
	switch a.code {
	case crcode.Leaving, crcode.NoServer, crcode.Stopping, crcode.StaleIncarnation:
		return true
	}
	wait := n.backoff(attempt)
	if a.code == crcode.ClaimFailed {
		wait += claimBackoff
	}
	return crpause.For(ctx, wait) == nil
}

func (n *Node) backoff(attempt int) time.Duration {
	n.rndMu.Lock()
	defer n.rndMu.Unlock()
	return crbudget.Backoff(attempt, n.rnd)
}

// attempt sends c to one server and returns the answer and the server's name, which is empty when no server was chosen.
func (n *Node) attempt(ctx context.Context, svc *service, c outboundCall, tried []string) (answer, string) {
	now := time.Now()
	if a, refused := n.refusedByLevel(now, c); refused {
		return a, ""
	}
	srv, err := svc.router.Pick(now, crrouter.Request{Priority: c.routingPriority(), Tried: tried, NoProbe: !c.kind.Repeatable()})
	if err != nil {
		return n.routingRefusal(err, c.priority), ""
	}
	start := now
	resp, err := n.send(ctx, svc, srv.ID, c)
	now = time.Now()
	a := answerFromResponse(c, resp, err)
	res := crrouter.Result{Outcome: routerResult(a), Latency: now.Sub(start)}
	if resp != nil {
		res.Latency = time.Duration(resp.GetServiceTimeUs()) * time.Microsecond
		res.Feedback = &crrouter.Feedback{
			InFlight: int(resp.GetInFlight()), Limit: int(resp.GetLimit()), Queued: int(resp.GetQueued()),
			Level: cradmission.Priority(resp.GetLevel()),
		}
		n.recordFeedback(now, c, resp)
	}
	svc.router.Done(now, srv.ID, res)
	n.levels.Update(now, cradmission.LevelEntry{Service: c.kind.Service(), Priority: svc.router.Level(now)})
	if a.code == crcode.Leaving || a.code == crcode.StaleIncarnation || a.code == crcode.Stopping {
		svc.exclude(now, srv.ID)
	}
	return a, srv.ID
}

// recordFeedback stores the admission levels of downstream services and, from complete answers, the services that the
// kind reaches and its run time.
func (n *Node) recordFeedback(now time.Time, c outboundCall, resp *crwire.CallResponse) {
	for _, l := range resp.GetLevels() {
		n.levels.Update(now, cradmission.LevelEntry{
			Service: l.GetService(), Priority: cradmission.Priority(l.GetPriority()), Age: time.Duration(l.GetAgeUs()) * time.Microsecond,
		})
	}
	if crcode.Code(resp.GetCode()) == crcode.OK {
		n.reach.RecordAnswer(now, kindName(c.kind), resp.GetReached())
		if c.depth == 0 {
			n.runTimes.observe(kindName(c.kind), time.Duration(resp.GetServiceTimeUs())*time.Microsecond)
		}
	}
}

func kindName(k kindInfo) string { return k.Service() + "/" + k.Name() }

// refusedByLevel refuses a root request when the admission level of its service, or of a service that it would reach, is
// above its priority.
func (n *Node) refusedByLevel(now time.Time, c outboundCall) (answer, bool) {
	if n.Policy != Adaptive || c.depth > 0 {
		return answer{}, false
	}
	if svc, level, refused := n.reach.Refuses(now, kindName(c.kind), c.priority, n.levels); refused {
		return n.shed(c.priority, level, "service "+svc+" is overloaded"), true
	}
	return answer{}, false
}

// shed returns the refusal of a request below an admission level.
func (n *Node) shed(p, level cradmission.Priority, detail string) answer {
	n.Counters.Add("shed", 1)
	n.rndMu.Lock()
	defer n.rndMu.Unlock()
	return answer{code: crcode.Overloaded, detail: detail, retryAfter: cradmission.RetryAfter(p, level, 1, n.rnd)}
}

func (n *Node) routingRefusal(err error, p cradmission.Priority) answer {
	if crcode.Of(err) == crcode.Overloaded {
		return n.shed(p, 0, "no server of the service admits the request")
	}
	a := refusalFromError(err)
	if a.retryAfter == 0 {
		a.retryAfter = cradmission.MinRetryAfter
	}
	return a
}

// send sends c to the gate of the server's node. A nil response comes with an error whose code tells whether c may have
// run.
func (n *Node) send(ctx context.Context, svc *service, server string, c outboundCall) (*crwire.CallResponse, error) {
	addr, incarnation, ok := svc.address(server)
	if !ok {
		return nil, crcode.New(crcode.NoServer, "server %s is gone", server)
	}
	req := &crwire.CallRequest{
		RequestId: c.id, RootId: c.rootID, Service: c.kind.Service(), Kind: c.kind.Name(), Priority: uint64(c.priority),
		RemainingUs: n.remaining(c.deadline).Microseconds(), HolderAddress: c.holder.address, HolderIncarnation: c.holder.incarnation,
		TargetIncarnation: incarnation, Body: c.body, ContentType: c.contentType, BodyChecksum: crc32.ChecksumIEEE(c.body), Depth: uint32(c.depth),
	}
	if server == n.Settings.Name {
		return n.serveCall(ctx, req), nil
	}
	s, err := n.endpoint.Session(ctx, addr)
	if err != nil {
		return nil, sessionError(server, err)
	}
	return crwire.Call[crwire.CallResponse](ctx, s, methodCall, req)
}

// sessionError returns the error of a call that got no session. A connection that broke during the handshake carried no
// call.
func sessionError(server string, err error) error {
	if crcode.Of(err) == crcode.ConnectionLost {
		return crcode.New(crcode.NoServer, "no session with %s: %v", server, err)
	}
	return err
}

// answerFromResponse converts the response into an answer and checks that it is complete and belongs to c.
func answerFromResponse(c outboundCall, resp *crwire.CallResponse, err error) answer {
	if err != nil {
		a := refusalFromError(err)
		if a.code == crcode.ConnectionLost {
			a.code = crcode.AnswerLost
		}
		return a
	}
	if resp.GetRequestId() != c.id {
		return refusal(crcode.AnswerLost, "the answer belongs to another request")
	}
	a := answer{
		code: crcode.Code(resp.GetCode()), detail: resp.GetDetail(), retryAfter: time.Duration(resp.GetRetryAfterMs()) * time.Millisecond,
		status: int(resp.GetStatus()), contentType: resp.GetContentType(), body: resp.GetBody(), reached: resp.GetReached(),
	}
	if crc32.ChecksumIEEE(a.body) != resp.GetBodyChecksum() {
		return refusal(crcode.AnswerTruncated, "the checksum of the answer differs")
	}
	return a
}

// routerResult classifies the answer for the router.
func routerResult(a answer) crrouter.Outcome {
	switch a.code {
	case crcode.OK, crcode.Replayed:
		if a.status >= http.StatusInternalServerError {
			return crrouter.Failed
		}
		return crrouter.OK
	case crcode.NoServer:
		return crrouter.Unreachable
	case crcode.DeadlineRunning:
		return crrouter.TimedOut
	case crcode.Cancelled, crcode.CancelledRun:
		return crrouter.Cancelled
	}
	if a.code.Outcome() == crcode.NotRun || slices.Contains([]crcode.Code{crcode.InProgress, crcode.Preempted, crcode.IDTooOld, crcode.AnswerNotKept}, a.code) {
		return crrouter.Refused
	}
	return crrouter.Failed
}

// takeRetry asks the holder of the root request for one retry. No reply means that the retry is denied.
func (n *Node) takeRetry(ctx context.Context, c outboundCall) bool {
	if c.holder.address == n.innerAddress() {
		return n.arrivals.Take(time.Now(), c.rootID)
	}
	s, err := n.endpoint.Session(ctx, c.holder.address)
	if err != nil {
		return false
	}
	resp, err := crwire.Call[crwire.TakeResponse](ctx, s, methodTake, &crwire.TakeRequest{RootId: c.rootID, TargetIncarnation: c.holder.incarnation})
	return err == nil && resp.GetGranted()
}

// handleTake answers another node that asks for a retry of a root request whose retries this node counts.
func (n *Node) handleTake(_ context.Context, _ *crwire.Session, req *crwire.TakeRequest) (*crwire.TakeResponse, error) {
	if req.GetTargetIncarnation() != n.Incarnation {
		return nil, crcode.New(crcode.StaleIncarnation, "")
	}
	return &crwire.TakeResponse{Granted: n.arrivals.Take(time.Now(), req.GetRootId())}, nil
}
