package crsoak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/citronramp/citronramp/internal/crpause"
	"github.com/citronramp/citronramp/platform"
)

// Settings of the clients.
const (
	clientsPerEntrance = 4
	// thinkTime is the longest pause between two requests of a client.
	thinkTime = 60 * time.Millisecond
	// lookShare is the fraction of requests that cause a downstream call.
	lookShare = 0.6
)

// outcome is the outcome of a request as its sender sees it.
type outcome uint8

const (
	outcomeFailed outcome = iota
	outcomeAnswered
	outcomeRefused
)

// request is a request of a client; left is the time until its deadline.
type request struct {
	id, method, path string
	body             []byte
	left             time.Duration
}

// response is the result of a send. connErr is the error of a connection that ended without a complete answer; wrong says
// why an answer is incorrect.
type response struct {
	outcome outcome
	connErr error
	wrong   string
}

// send sends the request and checks the answer.
func (r request) send(ctx context.Context, c *http.Client, base string) response {
	ctx, cancel := context.WithTimeout(ctx, max(r.left, 0)+3*lateSlack)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, base+r.path+"1", bytes.NewReader(r.body))
	if err != nil {
		return response{wrong: err.Error()}
	}
	names := platform.RequestHeaders()
	req.Host = host
	req.Header.Set(names.RequestID, r.id)
	req.Header.Set(names.Timeout, strconv.FormatInt(max(r.left, 0).Milliseconds(), 10))
	resp, err := c.Do(req)
	if err != nil {
		return response{connErr: err}
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return response{connErr: err}
	}
	return r.check(resp, string(body))
}

func (r request) check(resp *http.Response, body string) response {
	fromServer := resp.Header.Get(serverHeader) != ""
	if resp.Header.Get("Citronramp-Code") == blockedCode && r.path != crashPath {
		return response{outcome: outcomeRefused, wrong: "blocked, though it crashes no server"}
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if !fromServer || body != expectedAnswer(r.id, r.body) {
			return response{wrong: fmt.Sprintf("200 with %d bytes that are not the answer", len(body))}
		}
		return response{outcome: outcomeAnswered}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if !fromServer {
			return response{outcome: outcomeRefused}
		}
	}
	return response{}
}

// client sends requests to one entrance (a proxy in front of a node's port for calls) over persistent connections.
type client struct {
	soak    *run
	machine int
	name    string
	rng     *rand.Rand
	http    *http.Client
	count   int
	probe   bool
}

func (r *run) newClient(machine, number int) *client {
	return &client{
		soak: r, machine: machine, name: fmt.Sprintf("%x.%d.%d", r.Seed, machine, number),
		rng:  rand.New(rand.NewPCG(r.Seed, uint64(1+machine*100+number))),
		http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2}},
	}
}

func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.sendOne(ctx)
		if crpause.For(ctx, time.Duration(c.rng.Float64()*float64(thinkTime))) != nil {
			return
		}
	}
}

// sendOne sends one request, checks its outcome and reports whether it was answered.
func (c *client) sendOne(ctx context.Context) bool {
	c.count++
	suffix := ""
	if c.probe {
		suffix = "p"
	}
	r := request{id: fmt.Sprintf("%s.%d%s", c.name, c.count, suffix), method: http.MethodGet, path: lookPath, left: requestTimeout}
	service := frontService
	if c.rng.Float64() >= lookShare {
		r.method, r.path, r.body, service = http.MethodPost, recordPath, []byte("sacks of "+r.id), ledgerService
	}
	p, entrance := c.soak.promises, c.soak.entrances[c.machine]
	began := time.Now()
	p.recordSend(began, service)
	got := r.send(ctx, c.http, "http://"+entrance.ln.Addr().String())
	if ctx.Err() != nil {
		return false
	}
	now := time.Now()
	p.recordOutcome(now, r.id, got.outcome)
	if got.wrong != "" {
		p.report("whole answers", r.id, got.wrong)
	}
	stopping := c.soak.nodes[c.machine].stopping()
	disturbed := p.disturbed(c.machine, began)
	if got.connErr != nil && !disturbed && !entrance.dialFailedSince(began) {
		p.recordLost(now, r.id, now.Sub(began), fmt.Sprintf("the connection ended (stopping %t): %v", stopping, got.connErr))
	}
	if took := now.Sub(began); took > requestTimeout+lateSlack && !disturbed && !stopping {
		p.report("time limit", r.id, took.String())
	}
	return got.outcome == outcomeAnswered
}
