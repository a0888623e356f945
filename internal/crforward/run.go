package crforward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/citronramp/citronramp/internal/crexchange"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crlimiter"
)

// exchange sends an admitted call to the server and reads its answer.
func (g *gate) exchange(ctx context.Context, c *call, l lane, waited time.Duration) *reply {
	started := time.Now()
	left := c.deadline.Sub(g.node.present(c))
	if left <= 0 {
		l.run.cancelled()
		g.release(l, crlimiter.Sample{Result: crlimiter.Cancelled})
		return refuse(crcode.DeadlineExpired, "")
	}
	work := ctx
	if c.once {
		// A run that may not be repeated goes on when its caller leaves: it may be complete a moment later.
		work = context.WithoutCancel(ctx)
	}
	work, cancel := context.WithTimeout(work, left+serverSlack)
	resp, err := l.client.Do(work, g.request(c, l, left))
	if err != nil {
		cancel()
		return g.failed(c, l, started, waited, err)
	}
	r := &reply{code: crcode.OK, status: resp.Status, header: passedOn(resp.Header), length: resp.Length, body: resp.Body}
	finish := func(result crlimiter.Result) {
		resp.Close()
		cancel()
		r.took = time.Since(started)
		g.release(l, crlimiter.Sample{Kind: c.route, Latency: r.took, Queued: waited, Result: result})
	}
	if resp.Header.Get(g.node.Settings.Headers.NotRun) != "" || resp.Status == http.StatusMisdirectedRequest {
		if resp.Status == http.StatusMisdirectedRequest {
			g.down(l, started.Add(g.node.Settings.Heartbeat))
		}
		l.run.cancelled()
		finish(crlimiter.Refused)
		return &reply{code: crcode.ServerRefused, took: r.took}
	}
	if resp.Header.Get("Content-Encoding") != "" {
		l.run.finished(time.Now())
		finish(crlimiter.Failure)
		return &reply{code: crcode.AnswerTruncated, detail: "encoded", took: r.took}
	}
	body, length, whole, err := readWhole(resp.Body)
	if err != nil {
		code := crcode.CancelledRun
		if work.Err() == nil || ctx.Err() == nil {
			code = g.lost(l, crcode.AnswerTruncated)
		}
		l.run.abandoned(time.Now())
		finish(crlimiter.Failure)
		return &reply{code: code, detail: err.Error(), took: r.took}
	}
	r.body, r.whole = body, whole
	if whole {
		r.length = length
		l.run.finished(time.Now())
		finish(resultOf(resp.Status))
		return r
	}
	r.took = time.Since(started)
	r.close = func() {
		if resp.Whole() {
			l.run.finished(time.Now())
		} else {
			g.lost(l, crcode.AnswerTruncated)
			l.run.abandoned(time.Now())
		}
		finish(resultOf(resp.Status))
	}
	return r
}

// lost returns the code of a run whose answer did not come whole: ServerDied when its server has crashed, otherwise the given one.
func (g *gate) lost(l lane, code crcode.Code) crcode.Code {
	if g.crashed(l, time.Now()) {
		return crcode.ServerDied
	}
	return code
}

func resultOf(status int) crlimiter.Result {
	if status >= 500 {
		return crlimiter.Failure
	}
	return crlimiter.Success
}

// request builds what the server gets, which may work for as long as is left.
func (g *gate) request(c *call, l lane, left time.Duration) *crexchange.Request {
	names := g.node.Settings.Headers
	h := passedOn(c.header)
	h.Set(names.Timeout, formatMilliseconds(left))
	h.Set(names.Caller, c.caller)
	h.Set(names.ExpectServer, l.reg.ID)
	return &crexchange.Request{Method: c.method, Target: c.target, Host: c.host, Header: h, Body: c.body, Length: c.length}
}

// failed ends a call that got no answer.
func (g *gate) failed(c *call, l lane, started time.Time, waited time.Duration, err error) *reply {
	took := time.Since(started)
	s := crlimiter.Sample{Kind: c.route, Latency: took, Queued: waited, Result: crlimiter.Failure}
	r := &reply{code: crcode.AnswerLost, detail: err.Error(), took: took}
	switch {
	case errors.Is(err, context.Canceled):
		s.Result, r.code = crlimiter.Cancelled, crcode.CancelledRun
	case errors.Is(err, crexchange.ErrNotSent):
		s.Result, r.code = crlimiter.Refused, crcode.NoServer
		l.run.cancelled()
		g.down(l, time.Now().Add(downFor))
	case errors.Is(err, context.DeadlineExceeded):
		s.Result, r.code = crlimiter.Timeout, crcode.DeadlineRunning
	}
	if refused(err) {
		g.end(time.Now(), l.life, reasonRefused)
	}
	if r.code == crcode.AnswerLost {
		r.code = g.lost(l, r.code)
	}
	l.run.abandoned(time.Now())
	g.release(l, s)
	return r
}

// down keeps calls from the server for a while, unless it has started anew.
func (g *gate) down(l lane, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limiter == l.limiter {
		g.downUntil = until
	}
}
