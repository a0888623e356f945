package crforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crexchange"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// Bounds of the connections between nodes.
const (
	// hopSlack is how long after the deadline another node's answer is still waited for; it is above serverSlack.
	hopSlack = 120 * time.Millisecond
	// hopConnections bounds the idle connections to one node.
	hopConnections = 64
	// hopIdleUse is below hopIdle, so that this side closes first.
	hopIdleUse = 30 * time.Second
	// hopDial bounds a new connection; nodes are a few milliseconds apart.
	hopDial = 500 * time.Millisecond
)

// hops are the connections to the gates of other nodes.
type hops struct {
	// id returns the id that requests and their answers carry.
	id      func(http.Header) string
	mu      sync.Mutex
	clients map[string]*crexchange.Client
}

func (h *hops) to(address string) *crexchange.Client {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.clients[address]
	if c == nil {
		if h.clients == nil {
			h.clients = map[string]*crexchange.Client{}
		}
		c = &crexchange.Client{Address: address, MaxIdle: hopConnections, IdleTimeout: hopIdleUse, DialTimeout: hopDial, ID: h.id}
		h.clients[address] = c
	}
	return c
}

// retain closes the connections to nodes that are no longer known.
func (h *hops) retain(known map[string]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for a, c := range h.clients {
		if !known[a] {
			c.Close()
			delete(h.clients, a)
		}
	}
}

// send passes a call to the gate at address and returns how it ended.
func (n *Node) send(ctx context.Context, address string, c *call) *reply {
	if address == n.Settings.Address {
		r := n.gate.do(ctx, c)
		r.cost = n.ledger.Cost(c.route)
		return r
	}
	now := n.present(c)
	left := c.deadline.Sub(now)
	if left <= 0 {
		return refuse(crcode.DeadlineExpired, "")
	}
	work, cancel := context.WithTimeout(ctx, left+hopSlack)
	resp, err := n.peers.to(address).Do(work, n.hopRequest(c, now))
	if err != nil {
		cancel()
		return hopFailed(err)
	}
	r := &reply{code: crcode.Internal, status: resp.Status, length: resp.Length}
	if err := parseAnswer(resp.Header.Get(hopHeader), r); err != nil {
		resp.Close()
		cancel()
		return refuse(crcode.AnswerLost, err.Error())
	}
	n.heard(c, resp.Header)
	if r.code != crcode.OK {
		detail, err := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		if err == nil {
			r.detail = string(detail)
		}
		resp.Close()
		cancel()
		return r
	}
	body, length, whole, err := readWhole(resp.Body)
	if err != nil {
		resp.Close()
		cancel()
		return &reply{code: crcode.AnswerTruncated, detail: err.Error(), took: r.took}
	}
	r.header, r.body, r.whole = passedOn(resp.Header), body, whole
	if whole {
		n.suspects.answered(time.Now(), c.prints)
		r.length = length
		resp.Close()
		cancel()
		return r
	}
	r.close = func() {
		resp.Close()
		cancel()
	}
	return r
}

// hopFailed maps the failure of an exchange with another node. Bytes that were sent may have made the request run.
func hopFailed(err error) *reply {
	switch {
	case errors.Is(err, context.Canceled):
		return refuse(crcode.CancelledRun, "")
	case errors.Is(err, crexchange.ErrNotSent):
		return refuse(crcode.NoServer, err.Error())
	case errors.Is(err, context.DeadlineExceeded):
		return refuse(crcode.DeadlineRunning, "")
	}
	return refuse(crcode.AnswerLost, err.Error())
}

func (n *Node) hopRequest(c *call, now time.Time) *crexchange.Request {
	h := passedOn(c.header)
	h.Set(hopHeader, formatCall(c, now))
	if rates := formatRates(c); rates != "" {
		h.Set(ratesHeader, rates)
	}
	if known := n.suspects.header(now, c.prints); known != "" {
		h.Set(suspectHeader, known)
	}
	return &crexchange.Request{Method: c.method, Target: c.target, Host: c.host, Header: h, Body: c.body, Length: c.length}
}

// parseHop decodes a call from another node.
func parseHop(r *http.Request, idHeader string, now time.Time) (*call, error) {
	c := &call{
		id: r.Header.Get(idHeader), method: r.Method, target: r.RequestURI, host: r.Host, header: r.Header, body: r.Body,
		length: r.ContentLength,
	}
	if err := parseCall(r.Header.Get(hopHeader), c, now); err != nil {
		return c, err
	}
	return c, parseRates(r.Header.Get(ratesHeader), c)
}

// heard takes what another node knows of a request that may crash servers.
func (n *Node) heard(c *call, h http.Header) {
	if err := n.suspects.heard(time.Now(), c.prints, h.Get(suspectHeader)); err != nil {
		n.Counters.Add("hops_malformed", 1)
	}
}

// serveInbound takes calls from other nodes.
func (n *Node) serveInbound(w http.ResponseWriter, req *http.Request) {
	names := n.Settings.Headers
	c, err := parseHop(req, names.RequestID, time.Now())
	c.suspended = n.Suspended()
	if err != nil {
		n.Counters.Add("hops_malformed", 1)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	release, err := n.bodies.keep(c)
	defer release()
	if err == nil {
		err = c.identify()
	}
	if err != nil {
		// The sender has gone or cut its body short; nothing was passed on.
		panic(http.ErrAbortHandler)
	}
	n.heard(c, req.Header)
	r := n.gate.do(req.Context(), c)
	defer r.end()
	h := w.Header()
	h.Set(hopHeader, n.formatAnswer(c, r, time.Now()))
	if known := n.suspects.header(time.Now(), c.prints); known != "" {
		h.Set(suspectHeader, known)
	}
	n.logRun(c, r)
	if r.code != crcode.OK {
		h.Set(names.RequestID, c.id)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, r.detail)
		return
	}
	writeAnswer(w, r)
}
