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

// machine is a peer that answers opening packets from a time on; sent are the times of the packets.
type machine struct {
	up     time.Time
	refuse bool
	sent   []time.Time
}

func (m *machine) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	m.sent = append(m.sent, time.Now())
	if time.Now().Before(m.up) {
		// A packet that was lost stays lost; the kernel sends the next one after a second.
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
	}
	if m.refuse {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	c, _ := net.Pipe()
	return c, nil
}

// TestPeerComesBack guards against a peer that has power again and is waited for by a packet that was lost before.
func TestPeerComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		m := &machine{up: begin.Add(600 * time.Millisecond)}
		c, err := crdial.TCP(context.Background(), m, "peer", 2*time.Second)
		qt.Assert(t, err, qt.IsNil)
		_ = c.Close()
		qt.Assert(t, time.Since(begin) < 900*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(begin)))
		qt.Assert(t, m.sent, qt.HasLen, 4)
	})
}

// TestBounds guards against attempts that outlive their limit or their caller, and against a refusal that is asked for again.
func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		dark := &machine{up: begin.Add(time.Hour)}
		_, err := crdial.TCP(context.Background(), dark, "peer", 600*time.Millisecond)
		qt.Assert(t, errors.Is(err, context.DeadlineExceeded), qt.IsTrue)
		qt.Assert(t, time.Since(begin), qt.Equals, 600*time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err = crdial.TCP(ctx, dark, "peer", time.Second)
		qt.Assert(t, err, qt.IsNotNil)
		qt.Assert(t, time.Since(begin), qt.Equals, 700*time.Millisecond)
		down := &machine{refuse: true}
		_, err = crdial.TCP(context.Background(), down, "peer", time.Second)
		qt.Assert(t, errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue)
		qt.Assert(t, down.sent, qt.HasLen, 1)
	})
}

// hasty reports a timeout at once, as a dialer does whose deadline has passed.
type hasty struct{ calls int }

func (h *hasty) DialContext(context.Context, string, string) (net.Conn, error) {
	h.calls++
	return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
}

// TestNoSpin guards against attempts that follow each other without a pause: between the deadline of an attempt and the end
// of its context the dialer fails at once, and a process with one processor then gets no further.
func TestNoSpin(t *testing.T) {
	h := &hasty{}
	_, err := crdial.TCP(context.Background(), h, "peer", time.Second)
	qt.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue)
	qt.Assert(t, h.calls, qt.Equals, 4)
}
