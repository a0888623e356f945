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

// Wire methods of calls.
const (
	methodCall   = "call"
	methodTake   = "retry.take"
	methodArrive = "retry.arrive"
)

// claimPause is added to the back-off after a failed claim.
const claimPause = 120 * time.Millisecond

// minSendTime is the least time left in which a call is worth sending.
const minSendTime = time.Millisecond

// outcall is one call to a service, from an outside caller or from the backend server beside this node.
type outcall struct {
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

// needs returns the priority that levels are compared with. Levels choose at the entrance; a deeper call goes on as long
// as there is time, since refusing it wastes the work that was done above.
func (c outcall) needs() cradmission.Priority {
	if c.depth > 0 {
		return math.MaxUint64
	}
	return c.priority
}

// call sends c until there is an answer that stands, asking the holder of the root request before each retry.
func (n *Node) call(ctx context.Context, c outcall) answer {
	ctx, cancel := context.WithTimeout(ctx, n.left(c.deadline))
	defer cancel()
	svc := n.service(c.kind.Service())
	var tried []string
	var stands answer
	sent := 0
	for attempt := 1; ; attempt++ {
		a, server := n.attempt(ctx, svc, c, tried)
		if server != "" {
			sent++
		}
		stands = standing(stands, a)
		stands.attempts = sent
		if a.code == crcode.OK && a.status < http.StatusInternalServerError {
			svc.ratio.Succeeded()
		}
		if !retryable(c.kind, a) || !n.mayRetry(ctx, svc, c, attempt) {
			return stands
		}
		n.Counters.Add("retries", 1)
		if server != "" && a.code != crcode.ClaimFailed {
			// A claim fails at the record keepers, so the same server may be chosen again.
			tried = append(tried, server)
		}
		if !n.pause(ctx, a, attempt) {
			return stands
		}
	}
}

// standing returns what is known of a request after one more attempt: a refusal does not undo an earlier attempt that
// may have run, so that attempt's answer stands.
func standing(earlier, last answer) answer {
	if earlier.code.Outcome() == crcode.NotRun && last.code == crcode.NoServer && earlier.code != 0 {
		// That no other server is left says less than why the ones before refused.
		return earlier
	}
	if earlier.code != 0 && earlier.code.Outcome() != crcode.NotRun && last.code.Outcome() == crcode.NotRun {
		earlier.retryAfter = last.retryAfter
		return earlier
	}
	return last
}

// retryable reports whether another send may follow the answer; a request that may have run is sent again only when
// its kind may be repeated, and never after a crash.
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

// mayRetry asks, in order of cost, the deadline, the service's retry ratio and the holder of the root request.
func (n *Node) mayRetry(ctx context.Context, svc *service, c outcall, attempt int) bool {
	if ctx.Err() != nil || n.left(c.deadline) < minSendTime {
		return false
	}
	if n.Policy != Adaptive {
		return attempt <= baselineRetries
	}
	if !svc.ratio.Allow(time.Now()) {
		n.Counters.Add("retries_denied_by_ratio", 1)
		return false
	}
	if !n.take(ctx, c) {
		n.Counters.Add("retries_denied_by_bound", 1)
		return false
	}
	return true
}

// pause waits before a retry; a server that is leaving or gone is left at once. A claim fails while record keepers
// change, which takes about two batches of the configuration, so shorter waits would only spend the retries.
func (n *Node) pause(ctx context.Context, a answer, attempt int) bool {
	switch a.code {
	case crcode.Leaving, crcode.NoServer, crcode.Stopping, crcode.StaleIncarnation:
		return true
	}
	wait := n.backoff(attempt)
	if a.code == crcode.ClaimFailed {
		wait += claimPause
	}
	return crpause.For(ctx, wait) == nil
}

func (n *Node) backoff(attempt int) time.Duration {
	n.rndMu.Lock()
	defer n.rndMu.Unlock()
	return crbudget.Backoff(attempt, n.rnd)
}

// attempt sends c to one server and returns what came back.
func (n *Node) attempt(ctx context.Context, svc *service, c outcall, tried []string) (answer, string) {
	now := time.Now()
	if a, refused := n.refusedBelow(now, c); refused {
		return a, ""
	}
	srv, err := svc.router.Pick(now, crrouter.Request{Priority: c.needs(), Tried: tried, NoProbe: !c.kind.Repeatable()})
	if err != nil {
		return n.refusalFor(err, c.priority), ""
	}
	start := now
	resp, err := n.send(ctx, svc, srv.ID, c)
	now = time.Now()
	a := answerOf(c, resp, err)
	res := crrouter.Result{Kind: routed(a), Latency: now.Sub(start)}
	if resp != nil {
		res.Latency = time.Duration(resp.GetServiceTimeUs()) * time.Microsecond
		res.Feedback = &crrouter.Feedback{
			InFlight: int(resp.GetInFlight()), Limit: int(resp.GetLimit()), Queued: int(resp.GetQueued()),
			Level: cradmission.Priority(resp.GetLevel()),
		}
		n.learn(now, c, resp)
	}
	svc.router.Done(now, srv.ID, res)
	n.levels.Learn(now, cradmission.LevelEntry{Service: c.kind.Service(), Priority: svc.router.Level(now)})
	if a.code == crcode.Leaving || a.code == crcode.StaleIncarnation || a.code == crcode.Stopping {
		svc.leave(now, srv.ID)
	}
	return a, srv.ID
}

// learn takes the levels of deeper services and, from whole answers, which services the kind reaches.
func (n *Node) learn(now time.Time, c outcall, resp *crwire.CallResponse) {
	for _, l := range resp.GetLevels() {
		n.levels.Learn(now, cradmission.LevelEntry{
			Service: l.GetService(), Priority: cradmission.Priority(l.GetPriority()), Age: time.Duration(l.GetAgeUs()) * time.Microsecond,
		})
	}
	if crcode.Code(resp.GetCode()) == crcode.OK {
		n.reach.Learn(now, kindName(c.kind), resp.GetReached())
		if c.depth == 0 {
			n.runTimes.learn(kindName(c.kind), time.Duration(resp.GetServiceTimeUs())*time.Microsecond)
		}
	}
}

func kindName(k kindInfo) string { return k.Service() + "/" + k.Name() }

// refusedBelow refuses a request that its service, or a service that it would reach, does not admit at present.
func (n *Node) refusedBelow(now time.Time, c outcall) (answer, bool) {
	if n.Policy != Adaptive || c.depth > 0 {
		return answer{}, false
	}
	if svc, level, refused := n.reach.Refuses(now, kindName(c.kind), c.priority, n.levels); refused {
		return n.shed(c.priority, level, "service "+svc+" is overloaded"), true
	}
	return answer{}, false
}

// shed is the refusal of a request below a level.
func (n *Node) shed(p, level cradmission.Priority, detail string) answer {
	n.Counters.Add("shed", 1)
	n.rndMu.Lock()
	defer n.rndMu.Unlock()
	return answer{code: crcode.Overloaded, detail: detail, retryAfter: cradmission.RetryAfter(p, level, 1, n.rnd)}
}

func (n *Node) refusalFor(err error, p cradmission.Priority) answer {
	if crcode.Of(err) == crcode.Overloaded {
		return n.shed(p, 0, "no server of the service admits the request")
	}
	a := refusalOf(err)
	if a.retryAfter == 0 {
		a.retryAfter = cradmission.MinRetryAfter
	}
	return a
}

// send passes c to the gate beside the server; a nil response comes with the error that tells what is known.
func (n *Node) send(ctx context.Context, svc *service, server string, c outcall) (*crwire.CallResponse, error) {
	addr, incarnation, ok := svc.address(server)
	if !ok {
		return nil, crcode.New(crcode.NoServer, "server %s is gone", server)
	}
	req := &crwire.CallRequest{
		RequestId: c.id, RootId: c.rootID, Service: c.kind.Service(), Kind: c.kind.Name(), Priority: uint64(c.priority),
		RemainingUs: n.left(c.deadline).Microseconds(), HolderAddress: c.holder.address, HolderIncarnation: c.holder.incarnation,
		TargetIncarnation: incarnation, Body: c.body, ContentType: c.contentType, BodyChecksum: crc32.ChecksumIEEE(c.body), Depth: uint32(c.depth),
	}
	if server == n.Settings.Name {
		return n.serveCall(ctx, req), nil
	}
	s, err := n.endpoint.Session(ctx, addr)
	if err != nil {
		return nil, notSent(server, err)
	}
	return crwire.Call[crwire.CallResponse](ctx, s, methodCall, req)
}

// notSent is the error of a call without a session: a connection that broke in the handshake carried no call.
func notSent(server string, err error) error {
	if crcode.Of(err) == crcode.ConnectionLost {
		return crcode.New(crcode.NoServer, "no session with %s: %v", server, err)
	}
	return err
}

// answerOf checks that the response is the whole answer to c.
func answerOf(c outcall, resp *crwire.CallResponse, err error) answer {
	if err != nil {
		a := refusalOf(err)
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

// routed tells the router how a call ended.
func routed(a answer) crrouter.Kind {
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

// take asks the holder of the root request for one retry; no reply means no retry.
func (n *Node) take(ctx context.Context, c outcall) bool {
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

// handleTake answers another node that wants to retry for a root request that this node holds.
func (n *Node) handleTake(_ context.Context, _ *crwire.Session, req *crwire.TakeRequest) (*crwire.TakeResponse, error) {
	if req.GetTargetIncarnation() != n.Incarnation {
		return nil, crcode.New(crcode.StaleIncarnation, "")
	}
	return &crwire.TakeResponse{Granted: n.arrivals.Take(time.Now(), req.GetRootId())}, nil
}
