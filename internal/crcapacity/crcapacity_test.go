package crcapacity

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

// TestFit guards against a wrong line in every result that docs/CAPACITY.md extrapolates.
func TestFit(t *testing.T) {
	c := qt.New(t)
	l := Fit([]float64{1, 2, 4}, []float64{5, 7, 11})
	c.Assert(l, qt.Equals, Line{Slope: 2, Intercept: 3})
	c.Assert(Fit([]float64{2, 2}, []float64{1, 3}), qt.Equals, Line{Intercept: 2, Residual: 1})
	c.Assert(Fit([]float64{0, 1, 2}, []float64{0, 3, 0}).Residual, qt.Equals, 2.0)
	c.Assert(Summarize([]float64{3, 1, 2}), qt.Equals, Summary{Median: 2, Low: 1, High: 3})
}

// TestNetworkFaults guards against a fail-over time measured while the leader was still reachable, or for the wrong process.
func TestNetworkFaults(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	w := newNetwork()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = target.Close() }()
	address, err := w.listen("control-2", target.Addr().String())
	c.Assert(err, qt.IsNil)
	defer w.close()
	open := func() (near, far net.Conn) {
		near, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		far, err = target.Accept()
		c.Assert(err, qt.IsNil)
		_, err = near.Write([]byte("..control-1"))
		c.Assert(err, qt.IsNil)
		c.Assert(read(far), qt.Equals, "..control-1")
		return near, far
	}

	near, far := open()
	w.set("control-3", silent)
	_, err = far.Write([]byte("x"))
	c.Assert(err, qt.IsNil)
	c.Assert(read(near), qt.Equals, "x")
	w.set("control-1", silent)
	_, err = far.Write([]byte("y"))
	c.Assert(err, qt.IsNil)
	c.Assert(near.SetReadDeadline(time.Now().Add(50*time.Millisecond)), qt.IsNil)
	c.Assert(read(near), qt.Equals, "")
	w.set("", healthy)
	_, _ = near.Close(), far.Close()

	near, far = open()
	w.set("control-2", closed)
	c.Assert(read(near), qt.Equals, "")
	c.Assert(read(far), qt.Equals, "")
	_, _ = near.Close(), far.Close()
}

// read returns the bytes of a single read, or an empty string after an error.
func read(conn net.Conn) string {
	b := make([]byte, 64)
	n, _ := conn.Read(b)
	return string(b[:n])
}
