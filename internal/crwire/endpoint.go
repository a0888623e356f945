package crwire

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/citronramp/citronramp/internal/crdial"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// dialTimeout limits the time to open a connection to another process.
const dialTimeout = time.Second

// Endpoint accepts and dials sessions. It keeps one dialed session for each address.
type Endpoint struct {
	// Identity holds the local peer and the shared secret for handshakes.
	Identity Identity
	// Mux handles calls on accepted and dialed sessions.
	Mux *Mux
	// OnSession, if set, is called with each accepted session.
	OnSession func(*Session)
	// MaxAccepted limits the accepted connections, MaxBytes what their sessions hold for the peers; 0 means no limit.
	MaxAccepted int
	MaxBytes    int64
	// OnRefused, if set, is called for each incoming connection whose handshake failed, or that was closed because a limit
	// was reached.
	OnRefused func(net.Addr, error)
	// OnAcceptError, if set, is called when the listener cannot accept connections for a while, at most once in 5 s.
	OnAcceptError func(error)

	mu     sync.Mutex
	dialed map[string]*dialAttempt
	open   map[*Session]struct{}
	// accepted holds the accepted connections, with or without a session.
	accepted map[*acceptedConn]struct{}
	holdings holdings
	closed   bool
	wg       sync.WaitGroup
}

// dialAttempt is a connection attempt, which several callers may wait for, and its result.
type dialAttempt struct {
	done    chan struct{}
	session *Session
	err     error
}

// Pauses after a failed accept. The longest one is shorter than a planned stop takes.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 200 * time.Millisecond
	// acceptReportInterval bounds the reports of failed accepts.
	acceptReportInterval = 5 * time.Second
)

// Serve accepts sessions until the listener is closed. Close waits for the accepted connections.
func (e *Endpoint) Serve(ln net.Listener) error {
	e.holdings.limit = e.MaxBytes
	var pause time.Duration
	var reported time.Time
	for {
		conn, err := ln.Accept()
		if err != nil && !isTransient(err) {
			return err
		}
		if err != nil {
			if now := time.Now(); e.OnAcceptError != nil && now.Sub(reported) >= acceptReportInterval {
				reported = now
				e.OnAcceptError(err)
			}
			pause = min(max(2*pause, minAcceptPause), maxAcceptPause)
			time.Sleep(pause)
			continue
		}
		pause = 0
		c, ok := e.admit(time.Now(), conn)
		if !ok {
			_ = conn.Close()
			e.refuse(conn.RemoteAddr(), ErrTooManyConnections)
			continue
		}
		e.wg.Add(1)
		go func() {
			defer e.wg.Done()
			defer e.release(c)
			e.accept(c)
		}()
	}
}

// isTransient reports whether a listener that returned the error may accept connections later, such as after the process ran
// out of descriptors.
func isTransient(err error) bool {
	var errno syscall.Errno
	if errors.Is(err, net.ErrClosed) || !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP:
		return false
	}
	return true
}

func (e *Endpoint) accept(c *acceptedConn) {
	peer, err := e.Identity.acceptHandshake(c)
	if err != nil {
		_ = c.Close()
		e.refuse(c.RemoteAddr(), err)
		return
	}
	s, err := newAcceptedSession(c.Conn, peer, e.Mux, &e.holdings, func(s *Session) { e.refuse(s.conn.RemoteAddr(), ErrTooMuchMemory) })
	if err != nil {
		_ = c.Close()
		return
	}
	defer e.holdings.remove(s)
	if !e.established(c, s) || !e.track(s) {
		_ = s.Close()
		return
	}
	if e.OnSession != nil {
		e.OnSession(s)
	}
	<-s.Done()
	e.untrack(s)
	_ = s.Close()
}

func (e *Endpoint) track(s *Session) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return false
	}
	if e.open == nil {
		e.open = make(map[*Session]struct{})
	}
	e.open[s] = struct{}{}
	return true
}

func (e *Endpoint) untrack(s *Session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.open, s)
}

// Session returns the open session to addr, or dials a new one. Concurrent callers share one attempt. An error means that no
// request was sent.
func (e *Endpoint) Session(ctx context.Context, addr string) (*Session, error) {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return nil, crcode.New(crcode.Stopping, "endpoint closed")
	}
	d, ok := e.dialed[addr]
	if !ok {
		d = &dialAttempt{done: make(chan struct{})}
		if e.dialed == nil {
			e.dialed = make(map[string]*dialAttempt)
		}
		e.dialed[addr] = d
		e.wg.Add(1)
		go func() {
			defer e.wg.Done()
			e.dial(addr, d)
		}()
	}
	e.mu.Unlock()
	select {
	case <-d.done:
		return d.session, d.err
	case <-ctx.Done():
		return nil, notSentError(ctx.Err())
	}
}

// dial opens the session, and removes it when it ends or fails, so that the next caller dials again.
func (e *Endpoint) dial(addr string, d *dialAttempt) {
	d.session, d.err = e.connect(addr)
	if d.err == nil && !e.track(d.session) {
		_ = d.session.Close()
		d.session, d.err = nil, crcode.New(crcode.Stopping, "endpoint closed")
	}
	if d.err != nil {
		e.removeDialed(addr)
		close(d.done)
		return
	}
	close(d.done)
	<-d.session.Done()
	e.removeDialed(addr)
	e.untrack(d.session)
	_ = d.session.Close()
}

func (e *Endpoint) removeDialed(addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.dialed, addr)
}

func (e *Endpoint) connect(addr string) (*Session, error) {
	conn, err := crdial.DialTCP(context.Background(), &net.Dialer{}, addr, dialTimeout)
	if err != nil {
		return nil, crcode.New(crcode.NoServer, "%v", err)
	}
	peer, err := e.Identity.dialHandshake(conn)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	s, err := newSession(conn, peer, e.Mux)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return s, nil
}

// HeldBytes returns what the accepted sessions hold for their peers, estimated.
func (e *Endpoint) HeldBytes() int64 { return e.holdings.sum() }

// SessionCount returns the number of open sessions, accepted and dialed.
func (e *Endpoint) SessionCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.open)
}

// Close ends all sessions and waits for their handlers. The listener must be closed first.
func (e *Endpoint) Close() {
	e.mu.Lock()
	e.closed = true
	open := make([]*Session, 0, len(e.open))
	for s := range e.open {
		open = append(open, s)
	}
	for c := range e.accepted {
		if c.session == nil {
			// Ends the handshake.
			_ = c.Close()
		}
	}
	e.mu.Unlock()
	for _, s := range open {
		s.conn.closeConn()
	}
	e.wg.Wait()
}
