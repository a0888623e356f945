package crforward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/citronramp/citronramp/internal/crexchange"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crlimiter"
	"github.com/citronramp/citronramp/pkg/crspeed"
)

// forward sends an admitted call to the server and reads its answer.
func (g *gate) forward(ctx context.Context, c *call, gr grant, waited time.Duration) *reply {
	started := time.Now()
	left := c.deadline.Sub(g.node.nowFor(c))
	if left <= 0 {
		gr.tracked.cancelled()
		g.release(gr, crlimiter.Sample{Result: crlimiter.Cancelled})
		return failureReply(crcode.DeadlineExpired, "")
	}
	work := ctx
	if c.nonRepeatable {
		// A non-repeatable run continues when its caller disconnects, because it may complete a moment later.
		work = context.WithoutCancel(ctx)
	}
	work, cancel := context.WithTimeout(work, left+serverAnswerSlack)
	begin := gr.speed.Begin(started, gr.limiter.InFlight())
	resp, err := gr.client.Do(work, g.request(c, gr, left))
	if err != nil {
		cancel()
		return g.failedReply(c, gr, started, waited, err)
	}
	r := &reply{code: crcode.OK, status: resp.Status, header: forwardedHeader(resp.Header), length: resp.Length, body: resp.Body}
	finish := func(result crlimiter.Result) {
		resp.Close()
		cancel()
		r.took = time.Since(started)
		g.release(gr, crlimiter.Sample{Kind: c.route, Latency: r.took, Queued: waited, Result: result})
	}
	if g.recordRefusal(gr, resp, started) {
		gr.tracked.cancelled()
		finish(crlimiter.Refused)
		return &reply{code: crcode.ServerRefused, took: r.took}
	}
	if resp.Header.Get("Content-Encoding") != "" {
		gr.tracked.finished(time.Now())
		finish(crlimiter.Failure)
		return &reply{code: crcode.AnswerTruncated, detail: "encoded", took: r.took}
	}
	body, length, buffered, release, err := g.node.answerBudget.bufferAnswer(resp)
	if err != nil {
		code := crcode.CancelledRun
		if work.Err() == nil || ctx.Err() == nil {
			code = g.lostAnswerCode(gr, crcode.AnswerTruncated)
		}
		gr.tracked.abandoned(time.Now())
		finish(crlimiter.Failure)
		return &reply{code: code, detail: err.Error(), took: r.took}
	}
	r.body, r.buffered = body, buffered
	if buffered {
		r.length, r.close = length, release
		gr.tracked.finished(time.Now())
		if limiterResult(resp.Status) == crlimiter.Success {
			gr.speed.End(time.Now(), crspeed.Run{
				Route: c.route, Begin: begin, OwnShare: g.node.ledger.OwnShare(c.route), Running: gr.limiter.InFlight(),
			})
		}
		finish(limiterResult(resp.Status))
		return r
	}
	r.took = time.Since(started)
	r.close = func() {
		if resp.BodyComplete() {
			gr.tracked.finished(time.Now())
		} else {
			g.lostAnswerCode(gr, crcode.AnswerTruncated)
			gr.tracked.abandoned(time.Now())
		}
		finish(limiterResult(resp.Status))
	}
	return r.onRelease(release)
}

// recordRefusal records whether the server ran the request that it answered, and reports whether it refused it.
func (g *gate) recordRefusal(gr grant, resp *crexchange.Response, started time.Time) bool {
	if resp.Status == http.StatusMisdirectedRequest {
		g.markDown(gr, started.Add(g.node.Settings.Heartbeat))
		return true
	}
	refused := resp.Header.Get(g.node.Settings.Headers.NotRun) != ""
	g.recordAnswer(time.Now(), gr, resp.Header, refused)
	g.recordRun(gr, refused)
	return refused
}

// lostAnswerCode returns the code of a run without a complete answer: ServerDied if the server has crashed, otherwise
// the given code.
func (g *gate) lostAnswerCode(gr grant, code crcode.Code) crcode.Code {
	if g.checkCrash(gr, time.Now()) {
		return crcode.ServerDied
	}
	return code
}

func limiterResult(status int) crlimiter.Result {
	if status >= 500 {
		return crlimiter.Failure
	}
	return crlimiter.Success
}

// request builds the request to the server, which may work on it for the time left.
func (g *gate) request(c *call, gr grant, left time.Duration) *crexchange.Request {
	names := g.node.Settings.Headers
	h := forwardedHeader(c.header)
	h.Set(names.Timeout, formatMilliseconds(left))
	h.Set(names.Caller, c.caller)
	h.Set(names.ExpectServer, gr.reg.ID)
	return &crexchange.Request{Method: c.method, Target: c.target, Host: c.host, Header: h, Body: c.body, Length: c.length}
}

// failedReply ends a run that got no answer, and returns its reply.
func (g *gate) failedReply(c *call, gr grant, started time.Time, waited time.Duration, err error) *reply {
	took := time.Since(started)
	s := crlimiter.Sample{Kind: c.route, Latency: took, Queued: waited, Result: crlimiter.Failure}
	r := &reply{code: crcode.AnswerLost, detail: err.Error(), took: took}
	switch {
	case errors.Is(err, context.Canceled):
		s.Result, r.code = crlimiter.Cancelled, crcode.CancelledRun
	case errors.Is(err, crexchange.ErrNotSent):
		s.Result, r.code = crlimiter.Refused, crcode.NoServer
		gr.tracked.cancelled()
		g.markDown(gr, time.Now().Add(connectionRefusedPause))
	case errors.Is(err, context.DeadlineExceeded):
		s.Result, r.code = crlimiter.Timeout, crcode.DeadlineRunning
	}
	if connectionRefused(err) {
		g.endLifetime(time.Now(), gr.lifetime, reasonRefused)
	}
	if r.code == crcode.AnswerLost {
		r.code = g.lostAnswerCode(gr, r.code)
	}
	gr.tracked.abandoned(time.Now())
	g.release(gr, s)
	return r
}

// markDown stops calls to the server until the given time, unless a new lifetime has started.
func (g *gate) markDown(gr grant, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limiter == gr.limiter {
		g.downUntil = until
	}
}
