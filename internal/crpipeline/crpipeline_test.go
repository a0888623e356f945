package crpipeline_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crpipeline"
)

// pair returns the two ends of a connection and the context of the server's end.
func pair(t *testing.T) (client net.Conn, server *crpipeline.Conn, ctx context.Context) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = ln.Close() }()
	client, err = net.Dial("tcp", ln.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	accepted, err := crpipeline.Listen(ln).Accept()
	qt.Assert(t, err, qt.IsNil)
	server = accepted.(*crpipeline.Conn)
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return client, server, crpipeline.ConnContext(context.Background(), server)
}

func write(t *testing.T, c net.Conn, s string) {
	t.Helper()
	_, err := io.WriteString(c, s)
	qt.Assert(t, err, qt.IsNil)
}

func read(t *testing.T, c net.Conn, size int) string {
	t.Helper()
	b := make([]byte, size)
	n, err := c.Read(b)
	qt.Assert(t, err, qt.IsNil)
	return string(b[:n])
}

// TestHeadsApart guards against two request heads in one read, for every position of the packet boundary: the second
// request would get the arrival time of the first.
func TestHeadsApart(t *testing.T) {
	const first, second = "GET / HTTP/1.1\r\nA: b\r\n\r\n", "GET /second HTTP/1.1\r\n\r\n"
	for cut := 1; cut < len(first); cut++ {
		client, server, _ := pair(t)
		write(t, client, first[:cut])
		got := read(t, server, 4096)
		write(t, client, first[cut:]+second)
		for len(got) < len(first) {
			got += read(t, server, 4096)
		}
		qt.Assert(t, got, qt.Equals, first, qt.Commentf("cut at %d", cut))
		qt.Assert(t, read(t, server, 4096), qt.Equals, second)
	}
}

// TestArrived guards against a request with the arrival time of another.
func TestArrived(t *testing.T) {
	const head = "GET / HTTP/1.1\r\n\r\n"
	client, server, ctx := pair(t)
	begin := time.Now()
	write(t, client, head)
	qt.Assert(t, read(t, server, 4096), qt.Equals, head)
	// The server probes for the end of the connection while the first request runs.
	probed := make(chan string)
	go func() { probed <- read(t, server, 1) }()
	qt.Assert(t, crpipeline.ArrivalTime(ctx, time.Now()).Sub(begin) < 50*time.Millisecond, qt.IsTrue)
	for range 2 {
		time.Sleep(100 * time.Millisecond)
		write(t, client, head)
	}
	qt.Assert(t, <-probed, qt.Equals, "G")
	time.Sleep(100 * time.Millisecond)
	for i, want := range []string{head[1:], head} {
		got := ""
		for len(got) < len(want) {
			got += read(t, server, 4096)
		}
		qt.Assert(t, got, qt.Equals, want)
		after := crpipeline.ArrivalTime(ctx, time.Now()).Sub(begin)
		least := time.Duration(i+1) * 100 * time.Millisecond
		qt.Assert(t, after >= least && after < least+90*time.Millisecond, qt.IsTrue, qt.Commentf("request %d came after %v", i+1, after))
	}
	now := time.Now()
	qt.Assert(t, crpipeline.ArrivalTime(context.Background(), now), qt.Equals, now)
}

// TestLeft guards against a context that is not cancelled when the client disconnects while its further request is
// unread.
func TestLeft(t *testing.T) {
	client, server, ctx := pair(t)
	write(t, client, strings.Repeat("x", 100))
	qt.Assert(t, read(t, server, 1), qt.Equals, "x")
	time.Sleep(20 * time.Millisecond)
	qt.Assert(t, ctx.Err(), qt.IsNil)
	qt.Assert(t, client.Close(), qt.IsNil)
	select {
	case <-ctx.Done():
	case <-time.After(time.Second):
		t.Fatal("the context was not cancelled after the client disconnected")
	}
	// Data that arrived before the end is still read, then the end.
	rest, err := io.ReadAll(server)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(rest), qt.Equals, 99)
}

// TestDeadline guards against a read that waits for a read ahead and exceeds its deadline, and against a deadline that
// ends later reads.
func TestDeadline(t *testing.T) {
	client, server, ctx := pair(t)
	write(t, client, "a")
	qt.Assert(t, read(t, server, 1), qt.Equals, "a")
	qt.Assert(t, server.SetReadDeadline(time.Now().Add(30*time.Millisecond)), qt.IsNil)
	_, err := server.Read(make([]byte, 10))
	qt.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue)
	qt.Assert(t, server.SetReadDeadline(time.Time{}), qt.IsNil)
	write(t, client, "later")
	qt.Assert(t, read(t, server, 10), qt.Equals, "later")
	qt.Assert(t, ctx.Err(), qt.IsNil)
}

// scripted is a connection whose reads run the functions that the test sends, one after the other.
type scripted struct {
	net.Conn
	reads chan func(p []byte) (int, error)
	begun chan struct{}
}

func (s *scripted) Read(p []byte) (int, error) {
	s.begun <- struct{}{}
	next, ok := <-s.reads
	if !ok {
		return 0, io.EOF
	}
	return next(p)
}

func (s *scripted) SetReadDeadline(time.Time) error { return nil }

func (s *scripted) Close() error { return nil }

// Accept makes scripted a listener that accepts itself.
func (s *scripted) Accept() (net.Conn, error) { return s, nil }

func (s *scripted) Addr() net.Addr { return nil }

// TestDeadlineOfEarlierRead guards against a request that is cut off without an answer because it arrived when the
// previous answer ended. The server's probe gets the first byte of the request. The server ends the probe with a deadline
// in the past, which the read ahead may notice only when the server already waits for the rest of the request.
func TestDeadlineOfEarlierRead(t *testing.T) {
	conn := &scripted{reads: make(chan func([]byte) (int, error)), begun: make(chan struct{}, 10)}
	accepted, err := crpipeline.Listen(conn).Accept()
	qt.Assert(t, err, qt.IsNil)
	data := func(s string) func(p []byte) (int, error) {
		return func(p []byte) (int, error) { return copy(p, s), nil }
	}
	go func() { conn.reads <- data("P") }()
	qt.Assert(t, read(t, accepted, 1), qt.Equals, "P")
	<-conn.begun
	// The read ahead has started.
	<-conn.begun
	qt.Assert(t, accepted.SetReadDeadline(time.Unix(1, 0)), qt.IsNil)
	qt.Assert(t, accepted.SetReadDeadline(time.Time{}), qt.IsNil)
	type result struct {
		text string
		err  error
	}
	rest := make(chan result, 1)
	go func() {
		b := make([]byte, 4096)
		n, err := accepted.Read(b)
		rest <- result{string(b[:n]), err}
	}()
	// The server is waiting by now.
	time.Sleep(50 * time.Millisecond)
	conn.reads <- func([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }
	select {
	case r := <-rest:
		t.Fatalf("the read ends with %q, %v", r.text, r.err)
	case conn.reads <- data("OST / HTTP/1.1\r\n\r\n"):
	}
	r := <-rest
	qt.Assert(t, r.err, qt.IsNil)
	qt.Assert(t, r.text, qt.Equals, "OST / HTTP/1.1\r\n\r\n")
	// A read ahead that is still running ends with its connection.
	close(conn.reads)
}

// TestDeadlineBesideBytes guards against a request that is treated as cancelled, and cut off without an answer, because
// of the deadline that ended the preceding probe: the probe had its byte when the deadline passed.
func TestDeadlineBesideBytes(t *testing.T) {
	data := func(s string) func(p []byte) (int, error) {
		return func(p []byte) (int, error) { return copy(p, s), nil }
	}
	for range 200 {
		conn := &scripted{reads: make(chan func([]byte) (int, error), 4), begun: make(chan struct{}, 20)}
		accepted, err := crpipeline.Listen(conn).Accept()
		qt.Assert(t, err, qt.IsNil)
		conn.reads <- data("P")
		conn.reads <- data("OST")
		qt.Assert(t, read(t, accepted, 1), qt.Equals, "P")
		for range 3 {
			<-conn.begun
		}
		// The read ahead has read the rest and continues.
		qt.Assert(t, read(t, accepted, 10), qt.Equals, "OST")
		probed := make(chan string, 1)
		probe := func() {
			b := make([]byte, 1)
			n, err := accepted.Read(b)
			if err != nil {
				probed <- err.Error()
				return
			}
			probed <- string(b[:n])
		}
		go probe()
		time.Sleep(time.Millisecond)
		qt.Assert(t, accepted.SetReadDeadline(time.Unix(1, 0)), qt.IsNil)
		conn.reads <- data("NEXT")
		conn.reads <- func([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }
		qt.Assert(t, <-probed, qt.Equals, "N")
		qt.Assert(t, accepted.SetReadDeadline(time.Time{}), qt.IsNil)
		qt.Assert(t, read(t, accepted, 10), qt.Equals, "EXT")
		go probe()
		conn.reads <- data("X")
		qt.Assert(t, <-probed, qt.Equals, "X")
		close(conn.reads)
	}
}

// TestBounded guards against a buffer that grows with what the client sends.
func TestBounded(t *testing.T) {
	client, server, _ := pair(t)
	write(t, client, "a")
	qt.Assert(t, read(t, server, 1), qt.Equals, "a")
	qt.Assert(t, client.SetWriteDeadline(time.Now().Add(300*time.Millisecond)), qt.IsNil)
	const flood = 64 << 20
	n, err := client.Write(make([]byte, flood))
	qt.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue, qt.Commentf("%d bytes were accepted", n))
	got := 0
	qt.Assert(t, server.SetReadDeadline(time.Now().Add(300*time.Millisecond)), qt.IsNil)
	for err = nil; err == nil; {
		var m int
		m, err = server.Read(make([]byte, 1<<20))
		got += m
	}
	qt.Assert(t, got, qt.Equals, n, qt.Commentf("all accepted bytes are read"))
}

// TestLinger guards against a connection that is reset because of unread requests, which loses its last answer.
func TestLinger(t *testing.T) {
	client, server, _ := pair(t)
	write(t, client, "a")
	qt.Assert(t, read(t, server, 1), qt.Equals, "a")
	write(t, server, "the last answer")
	write(t, client, "a request that is not read")
	qt.Assert(t, server.Close(), qt.IsNil)
	write(t, client, "and one that comes later")
	time.Sleep(20 * time.Millisecond)
	got, err := io.ReadAll(client)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got), qt.Equals, "the last answer")
}
