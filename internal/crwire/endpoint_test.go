package crwire

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// failingListener fails its first accepts with the given errors.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return l.Listener.Accept()
	}
	err := &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", l.errs[0])}
	l.errs = l.errs[1:]
	return nil, err
}

// TestServeContinuesAfterFailedAccept guards against a listener that ends when the process is out of descriptors once.
func TestServeContinuesAfterFailedAccept(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ln := &failingListener{inner, []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS}}
	var reported atomic.Int32
	e := &Endpoint{Identity: identity("server", "s"), OnAcceptError: func(error) { reported.Add(1) }}
	ended := make(chan error, 1)
	go func() { ended <- e.Serve(ln) }()
	s, err := dialer(t, "s").Session(context.Background(), inner.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.Peer().Name, qt.Equals, "server")
	qt.Check(t, reported.Load(), qt.Equals, int32(1))
	qt.Assert(t, inner.Close(), qt.IsNil)
	qt.Check(t, <-ended, qt.ErrorIs, net.ErrClosed)
	e.Close()
}

// TestServeEndsWithItsSocket guards against a loop around a listener that can never accept again.
func TestServeEndsWithItsSocket(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = inner.Close() }()
	e := &Endpoint{Identity: identity("server", "s")}
	qt.Check(t, e.Serve(&failingListener{inner, []error{syscall.EINVAL}}), qt.ErrorIs, syscall.EINVAL)
	e.Close()
}

// serveEcho starts an endpoint with one method and returns its address. refused counts the connections that it closed.
func serveEcho(t *testing.T, e *Endpoint) (addr string, refused *atomic.Int32) {
	refused = new(atomic.Int32)
	var mux Mux
	Handle(&mux, "echo", func(_ context.Context, _ *Session, req *CallRequest) (*CallResponse, error) {
		return &CallResponse{RequestId: req.GetRequestId()}, nil
	})
	e.Identity, e.Mux = identity("server", "s"), &mux
	e.OnRefused = func(net.Addr, error) { refused.Add(1) }
	return serve(t, e), refused
}

func echo(s *Session) error {
	_, err := Call[CallResponse](context.Background(), s, "echo", &CallRequest{})
	return err
}

// dialIdle opens connections that send nothing.
func dialIdle(t *testing.T, addr string, n int) []net.Conn {
	var out []net.Conn
	for range n {
		c, err := net.Dial("tcp", addr)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = c.Close() })
		out = append(out, c)
	}
	return out
}

// TestWaitingConnectionsGiveWay guards against connections without a handshake that keep other processes out or end their
// sessions.
func TestWaitingConnectionsGiveWay(t *testing.T) {
	addr, refused := serveEcho(t, &Endpoint{MaxAccepted: 4})
	first, err := dialer(t, "s").Session(context.Background(), addr)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, echo(first), qt.IsNil)
	dialIdle(t, addr, 12)
	second, err := dialer(t, "s").Session(context.Background(), addr)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, echo(second), qt.IsNil)
	qt.Check(t, echo(first), qt.IsNil)
	qt.Check(t, refused.Load() >= 10, qt.IsTrue)
}

// TestSessionsWithoutCallsGiveWay guards against sessions that are never used and keep other processes out, and against a new
// connection that ends a session in use.
func TestSessionsWithoutCallsGiveWay(t *testing.T) {
	addr, _ := serveEcho(t, &Endpoint{MaxAccepted: 2})
	unused, err := dialer(t, "s").Session(context.Background(), addr)
	qt.Assert(t, err, qt.IsNil)
	var used []*Session
	for range 2 {
		s, err := dialer(t, "s").Session(context.Background(), addr)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, echo(s), qt.IsNil)
		used = append(used, s)
	}
	<-unused.Done()
	_, err = dialer(t, "s").Session(context.Background(), addr)
	qt.Check(t, err, qt.IsNotNil)
	for _, s := range used {
		qt.Check(t, echo(s), qt.IsNil)
	}
}

// TestCloseEndsHandshakes guards against a stop that waits for connections that send nothing.
func TestCloseEndsHandshakes(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	e := &Endpoint{Identity: identity("server", "s")}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = e.Serve(inner)
	}()
	conns := dialIdle(t, inner.Addr().String(), 3)
	for {
		e.mu.Lock()
		n := len(e.accepted)
		e.mu.Unlock()
		if n == len(conns) {
			break
		}
		time.Sleep(time.Millisecond)
	}
	_ = inner.Close()
	<-ended
	e.Close()
	qt.Check(t, e.accepted, qt.HasLen, 0)
}
