package crwire

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crdial"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// dialTimeout bounds a connection attempt to another process.
const dialTimeout = time.Second

// Endpoint accepts sessions and dials them, keeping one session for each address.
type Endpoint struct {
	// Identity is shown to and demanded from the other side.
	Identity Identity
	// Mux answers calls on accepted and dialed sessions.
	Mux *Mux
	// OnSession, when set, is told of each accepted session.
	OnSession func(*Session)
	// OnRefused, when set, is told of each refused connection attempt.
	OnRefused func(net.Addr, error)

	mu     sync.Mutex
	dialed map[string]*dial
	open   map[*Session]struct{}
	closed bool
	wg     sync.WaitGroup
}

// dial is a connection attempt that several callers may wait for.
type dial struct {
	done chan struct{}
	s    *Session
	err  error
}

// Serve accepts sessions until the listener is closed; Close waits for it.
func (e *Endpoint) Serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		e.wg.Add(1)
		go func() {
			defer e.wg.Done()
			e.accept(conn)
		}()
	}
}

func (e *Endpoint) accept(conn net.Conn) {
	peer, err := e.Identity.acceptHandshake(conn)
	if err != nil {
		_ = conn.Close()
		if e.OnRefused != nil {
			e.OnRefused(conn.RemoteAddr(), err)
		}
		return
	}
	s, err := newSession(conn, peer, e.Mux, false)
	if err != nil {
		_ = conn.Close()
		return
	}
	if !e.track(s) {
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

// Session returns the open session to addr, dialing it when there is none; concurrent callers share one attempt.
// A failure means that nothing was sent.
func (e *Endpoint) Session(ctx context.Context, addr string) (*Session, error) {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return nil, crcode.New(crcode.Stopping, "endpoint closed")
	}
	d, ok := e.dialed[addr]
	if !ok {
		d = &dial{done: make(chan struct{})}
		if e.dialed == nil {
			e.dialed = make(map[string]*dial)
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
		return d.s, d.err
	case <-ctx.Done():
		return nil, notSent(ctx.Err())
	}
}

// dial makes the session and forgets it when it ends, so that the next caller dials again.
func (e *Endpoint) dial(addr string, d *dial) {
	d.s, d.err = e.connect(addr)
	if d.err == nil && !e.track(d.s) {
		_ = d.s.Close()
		d.s, d.err = nil, crcode.New(crcode.Stopping, "endpoint closed")
	}
	if d.err != nil {
		e.forget(addr)
		close(d.done)
		return
	}
	close(d.done)
	<-d.s.Done()
	e.forget(addr)
	e.untrack(d.s)
	_ = d.s.Close()
}

func (e *Endpoint) forget(addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.dialed, addr)
}

func (e *Endpoint) connect(addr string) (*Session, error) {
	conn, err := crdial.TCP(context.Background(), &net.Dialer{}, addr, dialTimeout)
	if err != nil {
		return nil, crcode.New(crcode.NoServer, "%v", err)
	}
	peer, err := e.Identity.dialHandshake(conn)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	s, err := newSession(conn, peer, e.Mux, true)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return s, nil
}

// Sessions returns the number of open sessions.
func (e *Endpoint) Sessions() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.open)
}

// Close ends every session and waits for their handlers; close the listener first.
func (e *Endpoint) Close() {
	e.mu.Lock()
	e.closed = true
	open := make([]*Session, 0, len(e.open))
	for s := range e.open {
		open = append(open, s)
	}
	e.mu.Unlock()
	for _, s := range open {
		s.line.cut()
	}
	e.wg.Wait()
}
