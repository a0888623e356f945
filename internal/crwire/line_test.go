package crwire

import (
	"errors"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/yamux"
)

// slowConn is a connection that closes after a delay, and whose writes fail or whose reads block on demand.
type slowConn struct {
	net.Conn
	closeDelay time.Duration
	failing    atomic.Bool
	silent     atomic.Bool
	closed     chan struct{}
}

func (c *slowConn) Close() error {
	time.Sleep(c.closeDelay)
	defer close(c.closed)
	return c.Conn.Close()
}

func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() {
		<-c.closed
	}
	return n, err
}

func (c *slowConn) Write(p []byte) (int, error) {
	if c.failing.Load() {
		return 0, errors.New("write failure injected by the test")
	}
	return c.Conn.Write(p)
}

func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var u syscall.Rusage
	qt.Assert(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u), qt.IsNil)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestNoSpinAtEnd guards against readers of streams that spin while the session ends: yamux wakes them before it marks their
// streams as closed, which may block a process with one processor.
func TestNoSpinAtEnd(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const closing = 400 * time.Millisecond
	for _, tc := range []struct {
		name string
		end  func(s *Session, near, farConn *slowConn, far *yamux.Session)
	}{
		{"closed here", func(s *Session, _, _ *slowConn, _ *yamux.Session) { _ = s.Close() }},
		{"closed there", func(_ *Session, _, _ *slowConn, far *yamux.Session) { _ = far.Close() }},
		{"writing fails", func(_ *Session, near, _ *slowConn, _ *yamux.Session) { near.failing.Store(true) }},
		{"no yamux", func(_ *Session, _, farConn *slowConn, _ *yamux.Session) {
			_, _ = farConn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		}},
		{"silent", func(_ *Session, _, farConn *slowConn, _ *yamux.Session) { farConn.silent.Store(true) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = ln.Close() }()
			dialed, err := net.Dial("tcp", ln.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			accepted, err := ln.Accept()
			qt.Assert(t, err, qt.IsNil)
			near, farConn := &slowConn{Conn: accepted, closeDelay: closing, closed: make(chan struct{})}, &slowConn{Conn: dialed, closed: make(chan struct{})}
			config := yamuxConfig()
			config.EnableKeepAlive = false
			far, err := yamux.Client(farConn, config)
			qt.Assert(t, err, qt.IsNil)
			s, err := newAcceptedSession(near, Peer{}, &Mux{}, new(holdings), nil)
			qt.Assert(t, err, qt.IsNil)
			st, err := far.OpenStream()
			qt.Assert(t, err, qt.IsNil)
			_, err = st.Write([]byte{0})
			qt.Assert(t, err, qt.IsNil)
			for s.yamux.NumStreams() == 0 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(20 * time.Millisecond)

			before := processorTime(t)
			tc.end(s, near, farConn, far)
			<-s.Done()
			time.Sleep(closing)
			spent := processorTime(t) - before
			_ = s.Close()
			_ = far.Close()
			qt.Assert(t, spent < closing/4, qt.IsTrue, qt.Commentf("%v", spent))
		})
	}
}
