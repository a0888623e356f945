package crwire

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

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
