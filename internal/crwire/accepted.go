package crwire

import (
	"errors"
	"net"
	"time"
)

// acceptedConn is a connection that an endpoint has accepted. The fields are guarded by the lock of the endpoint.
type acceptedConn struct {
	net.Conn
	since time.Time
	// session is nil until the handshake has ended.
	session *Session
}

// admit registers an accepted connection. When there are MaxAccepted of them, the one that has waited longest is closed for
// the new one: first those whose handshake has not ended, then sessions without a call. It reports false when all have had
// calls, or the endpoint is closed.
func (e *Endpoint) admit(now time.Time, conn net.Conn) (*acceptedConn, bool) {
	c := &acceptedConn{Conn: conn, since: now}
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return nil, false
	}
	var victim *acceptedConn
	if e.MaxAccepted > 0 && len(e.accepted) >= e.MaxAccepted {
		if victim = e.longestWaiting(); victim == nil {
			e.mu.Unlock()
			return nil, false
		}
		delete(e.accepted, victim)
	}
	if e.accepted == nil {
		e.accepted = make(map[*acceptedConn]struct{})
	}
	e.accepted[c] = struct{}{}
	e.mu.Unlock()
	if victim != nil {
		victim.end()
		e.refuse(victim.RemoteAddr(), ErrTooManyConnections)
	}
	return c, true
}

// ErrTooManyConnections is passed to OnRefused for a connection that was closed because MaxAccepted was reached.
var ErrTooManyConnections = errors.New("too many connections")

// longestWaiting returns the connection that admit closes for a new one; nil if there is none. The caller holds the lock.
func (e *Endpoint) longestWaiting() *acceptedConn {
	var longest *acceptedConn
	for c := range e.accepted {
		if c.session != nil && c.session.called.Load() {
			continue
		}
		if longest == nil || c.waitsBefore(longest) {
			longest = c
		}
	}
	return longest
}

// waitsBefore reports whether the connection is closed rather than o.
func (c *acceptedConn) waitsBefore(o *acceptedConn) bool {
	if (c.session == nil) != (o.session == nil) {
		return c.session == nil
	}
	return c.since.Before(o.since)
}

// end closes the connection, by its session if there is one.
func (c *acceptedConn) end() {
	if c.session != nil {
		c.session.conn.closeConn()
		return
	}
	_ = c.Close()
}

// established records the session of an accepted connection and reports whether the connection may stay.
func (e *Endpoint) established(c *acceptedConn, s *Session) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.accepted[c]; !ok || e.closed {
		return false
	}
	c.session = s
	return true
}

// release removes an accepted connection that has ended.
func (e *Endpoint) release(c *acceptedConn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.accepted, c)
}

func (e *Endpoint) refuse(from net.Addr, err error) {
	if e.OnRefused != nil {
		e.OnRefused(from, err)
	}
}
