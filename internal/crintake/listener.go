package crintake

import (
	"math"
	"net"
	"net/http"
	"time"
)

// Share is the part of a process's connections that one listener may take.
type Share float64

// of returns the share of n connections.
func (s Share) of(n int) int { return max(int(math.Round(float64(n)*float64(s))), 1) }

// Listener accepts connections within a budget. An http.Server that serves it must call ConnState; Attach sets that.
type Listener struct {
	net.Listener
	// ChargeBodies is set before the first Accept where handlers read whole bodies into memory without a budget of their
	// own.
	ChargeBodies bool

	budget      *Budget
	name        string
	connections int
	headerBytes func() int
	// size is the number of open connections, guarded by the lock of the budget.
	size int
}

// Listen returns a listener that charges its connections to the budget and accepts at most the given share of the
// connections of the process. headerBytes returns the largest size of a head; nil means DefaultHeaderBytes.
func (b *Budget) Listen(ln net.Listener, name string, share Share, headerBytes func() int) *Listener {
	if headerBytes == nil {
		headerBytes = func() int { return DefaultHeaderBytes }
	}
	return &Listener{Listener: ln, budget: b, name: name, connections: share.of(b.MaxConnections()), headerBytes: headerBytes}
}

// Attach makes a server report the states of its connections to the listener that it will serve.
func (l *Listener) Attach(s *http.Server) { s.ConnState = l.ConnState }

// Accept returns the next connection. When the listener has all its connections, the one that has waited longest for its
// client is closed for it.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := time.Now()
		c := &conn{Conn: inner, listener: l}
		c.startWaiting(now)
		if p, ok := inner.(readAheadConn); ok {
			p.LimitReadAhead(c.reserveReadAhead)
		}
		if l.add(now, c) {
			return c, nil
		}
		l.budget.met(now, l.name, Connections)
		_ = inner.Close()
	}
}

// readAheadConn is a connection that reads ahead of its reader. reserve is called with the bytes that it is about to
// buffer, and with a negative number when they have been delivered; it may refuse a positive number.
type readAheadConn interface {
	LimitReadAhead(reserve func(n int) bool)
}

// add registers a connection and reports whether there was room for it.
func (l *Listener) add(now time.Time, c *conn) bool {
	b := l.budget
	b.mu.Lock()
	if b.conns == nil {
		b.conns = map[*conn]struct{}{}
	}
	var victim *conn
	if l.size >= l.connections {
		if victim = l.oldestWaiting(now); victim == nil {
			b.mu.Unlock()
			return false
		}
		l.forget(victim)
	}
	b.conns[c] = struct{}{}
	l.size++
	b.mu.Unlock()
	if victim != nil {
		// Its descriptor is free before the new connection is used.
		b.met(now, l.name, Connections)
		victim.closeNow()
	}
	return true
}

// forget removes a connection; the caller holds the lock of the budget.
func (l *Listener) forget(c *conn) {
	if _, ok := l.budget.conns[c]; ok {
		delete(l.budget.conns, c)
		l.size--
	}
}

// bodyPatience is how long a client may pause within a body before its connection may be closed for a new one.
const bodyPatience = 3 * time.Second

// oldestWaiting returns the connection that has waited longest for its client: first those that never sent a whole
// request, then those between two requests, then those within a body; nil if there is none. The caller holds the lock of
// the budget.
func (l *Listener) oldestWaiting(now time.Time) *conn {
	var best *conn
	var bestRank int
	var bestSince time.Time
	for c := range l.budget.conns {
		if c.listener != l || c.evicted.Load() != 0 {
			continue
		}
		rank, since := c.closingRank(now)
		if rank == 0 {
			continue
		}
		if best == nil || rank > bestRank || rank == bestRank && since.Before(bestSince) {
			best, bestRank, bestSince = c, rank, since
		}
	}
	return best
}

// ConnState follows the states in which net/http sees a connection. It is for http.Server.ConnState.
func (l *Listener) ConnState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		c.requestRead()
	case http.StateIdle:
		c.requestEnded(time.Now())
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}
