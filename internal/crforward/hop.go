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

// Timings and limits of the connections between nodes.
const (
	// peerAnswerSlack is how long after the deadline another node's answer is still awaited; it exceeds
	// serverAnswerSlack.
	peerAnswerSlack = 120 * time.Millisecond
	// maxIdlePeerConnections limits the idle connections to one node.
	maxIdlePeerConnections = 64
	// peerIdleTimeout is below inboundIdleTimeout, so that the dialing side closes first.
	peerIdleTimeout = 30 * time.Second
	// peerDialTimeout limits the time to open a connection; nodes are a few milliseconds apart.
	peerDialTimeout = 500 * time.Millisecond
)

// peerClients holds the HTTP clients for the gates of other nodes, by address.
type peerClients struct {
	// requestID returns the request id from the headers of a request or answer.
	requestID func(http.Header) string
	mu        sync.Mutex
	clients   map[string]*crexchange.Client
}

func (h *peerClients) client(address string) *crexchange.Client {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.clients[address]
	if c == nil {
		if h.clients == nil {
			h.clients = map[string]*crexchange.Client{}
		}
		c = &crexchange.Client{
			Address: address, MaxIdle: maxIdlePeerConnections, IdleTimeout: peerIdleTimeout, DialTimeout: peerDialTimeout,
			ID: h.requestID,
		}
		h.clients[address] = c
	}
	return c
}

// closeUnknown closes the connections to nodes that are no longer known.
func (h *peerClients) closeUnknown(known map[string]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for a, c := range h.clients {
		if !known[a] {
			c.Close()
			delete(h.clients, a)
		}
	}
}

// sendToGate sends a call to the gate at address and returns the result.
func (n *Node) sendToGate(ctx context.Context, address string, c *call) *reply {
	if address == n.Settings.Address {
		r := n.gate.handleCall(ctx, c)
		r.cost = n.ledger.Cost(c.route)
		return r
	}
	now := n.nowFor(c)
	left := c.deadline.Sub(now)
	if left <= 0 {
		return failureReply(crcode.DeadlineExpired, "")
	}
	work, cancel := context.WithTimeout(ctx, left+peerAnswerSlack)
	resp, err := n.peers.client(address).Do(work, n.hopRequest(c, now))
	if err != nil {
		cancel()
		return peerErrorReply(err)
	}
	r := &reply{code: crcode.Internal, status: resp.Status, length: resp.Length}
	if err := parseAnswer(resp.Header.Get(hopHeader), r); err != nil {
		resp.Close()
		cancel()
		return failureReply(crcode.AnswerLost, err.Error())
	}
	n.mergeSuspectHeader(c, resp.Header)
	n.readSpeed(resp.Header, r)
	if r.code != crcode.OK {
		detail, err := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		if err == nil {
			r.detail = string(detail)
		}
		resp.Close()
		cancel()
		return r
	}
	body, length, buffered, release, err := n.answerBudget.bufferAnswer(resp)
	if err != nil {
		resp.Close()
		cancel()
		return &reply{code: crcode.AnswerTruncated, detail: err.Error(), took: r.took}
	}
	r.header, r.body, r.buffered = forwardedHeader(resp.Header), body, buffered
	if buffered {
		n.suspects.remoteAnswered(time.Now(), c.fingerprints)
		r.length, r.close = length, release
		resp.Close()
		cancel()
		return r
	}
	r.close = func() {
		resp.Close()
		cancel()
	}
	return r.onRelease(release)
}

// peerErrorReply maps an error of an exchange with another node. If any bytes were sent, the request may have run.
func peerErrorReply(err error) *reply {
	switch {
	case errors.Is(err, context.Canceled):
		return failureReply(crcode.CancelledRun, "")
	case errors.Is(err, crexchange.ErrNotSent):
		return failureReply(crcode.NoServer, err.Error())
	case errors.Is(err, context.DeadlineExceeded):
		return failureReply(crcode.DeadlineRunning, "")
	}
	return failureReply(crcode.AnswerLost, err.Error())
}

func (n *Node) hopRequest(c *call, now time.Time) *crexchange.Request {
	h := forwardedHeader(c.header)
	h.Set(hopHeader, formatCall(c, now))
	if rates := formatRates(c); rates != "" {
		h.Set(ratesHeader, rates)
	}
	if known := n.suspects.header(now, c.fingerprints); known != "" {
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

// mergeSuspectHeader merges what another node knows about a request that may crash servers.
func (n *Node) mergeSuspectHeader(c *call, h http.Header) {
	if err := n.suspects.mergeHeader(time.Now(), c.fingerprints, h.Get(suspectHeader)); err != nil {
		n.Counters.Add("hops_malformed", 1)
	}
}

// serveInbound handles calls from other nodes.
func (n *Node) serveInbound(w http.ResponseWriter, req *http.Request) {
	names := n.Settings.Headers
	c, err := parseHop(req, names.RequestID, time.Now())
	c.suspended = n.Suspended()
	if err != nil {
		n.Counters.Add("hops_malformed", 1)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	release, err := n.bodyBudget.buffer(c)
	defer release()
	if err == nil {
		err = c.setFingerprints()
	}
	if err != nil {
		// The sender closed the connection or sent less than the announced body; nothing was forwarded.
		panic(http.ErrAbortHandler)
	}
	n.mergeSuspectHeader(c, req.Header)
	r := n.gate.handleCall(req.Context(), c)
	defer r.release()
	h := w.Header()
	h.Set(hopHeader, n.formatAnswer(c, r, time.Now()))
	if r.speed != nil {
		h.Set(speedHeader, formatSpeed(r.speed))
	}
	if known := n.suspects.header(time.Now(), c.fingerprints); known != "" {
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
