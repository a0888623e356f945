package crdial_test

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crdial"
)

// machine simulates a peer that answers connection attempts from upAt on, and records the time of each attempt.
type machine struct {
	upAt     time.Time
	refuse   bool
	attempts []time.Time
}

func (m *machine) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	m.attempts = append(m.attempts, time.Now())
	if time.Now().Before(m.upAt) {
		// A lost SYN is never answered; the kernel would retransmit it only after a second.
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
	}
	if m.refuse {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	c, _ := net.Pipe()
	return c, nil
}

// TestPeerComesBack guards against waiting for the answer to a lost SYN while the peer is already reachable again.
func TestPeerComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		m := &machine{upAt: begin.Add(600 * time.Millisecond)}
		c, err := crdial.DialTCP(context.Background(), m, "peer", 2*time.Second)
		qt.Assert(t, err, qt.IsNil)
		_ = c.Close()
		qt.Assert(t, time.Since(begin) < 900*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(begin)))
		qt.Assert(t, m.attempts, qt.HasLen, 4)
	})
}

// TestBounds guards against attempts that continue after the limit or after the caller's context has ended, and against a new
// attempt after a refused connection.
func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		unreachable := &machine{upAt: begin.Add(time.Hour)}
		_, err := crdial.DialTCP(context.Background(), unreachable, "peer", 600*time.Millisecond)
		qt.Assert(t, errors.Is(err, context.DeadlineExceeded), qt.IsTrue)
		qt.Assert(t, time.Since(begin), qt.Equals, 600*time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err = crdial.DialTCP(ctx, unreachable, "peer", time.Second)
		qt.Assert(t, err, qt.IsNotNil)
		qt.Assert(t, time.Since(begin), qt.Equals, 700*time.Millisecond)
		refusing := &machine{refuse: true}
		_, err = crdial.DialTCP(context.Background(), refusing, "peer", time.Second)
		qt.Assert(t, errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue)
		qt.Assert(t, refusing.attempts, qt.HasLen, 1)
	})
}

// expiredDialer fails with a timeout at once, like a dialer whose deadline has passed.
type expiredDialer struct{ calls int }

func (h *expiredDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	h.calls++
	return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
}

// TestNoSpin guards against an unlimited number of attempts without a pause: between the deadline of an attempt and the end of its
// context the dialer fails at once, and the loop would keep the only processor of a process busy.
func TestNoSpin(t *testing.T) {
	h := &expiredDialer{}
	_, err := crdial.DialTCP(context.Background(), h, "peer", time.Second)
	qt.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue)
	qt.Assert(t, h.calls, qt.Equals, 4)
}
