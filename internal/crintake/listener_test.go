package crintake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// testLimit bounds the waits of failing tests.
const testLimit = 20 * time.Second

type countingCounters struct {
	mu     sync.Mutex
	counts map[string]int64
}

func (c *countingCounters) Add(name string, delta int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name] += delta
}

func (c *countingCounters) value(b Bound) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[counterPrefix+b.String()]
}

// server is an HTTP server within a budget. It answers with the number of bytes of the body; a request for /hold waits for
// released.
type server struct {
	t        *testing.T
	budget   *Budget
	counters *countingCounters
	address  string
	released chan struct{}
}

func serve(t *testing.T, b *Budget, share Share, headerBytes int) *server {
	s := &server{t: t, budget: b, counters: &countingCounters{counts: map[string]int64{}}, released: make(chan struct{})}
	b.Counters = s.counters
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ln := b.Listen(inner, "test", share, func() int { return headerBytes })
	ln.ChargeBodies = true
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			<-s.released
		}
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprint(w, n)
	})}
	ln.Attach(srv)
	s.address = ln.Addr().String()
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return s
}

// charged returns the sum of the charges without those of connections that were told to end.
func (s *server) charged() int64 {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	sum := s.budget.Used()
	for c := range s.budget.conns {
		if c.evicted.Load() != 0 {
			sum -= c.charge.Load()
		}
	}
	return sum
}

type clientConn struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func (s *server) dial() *clientConn {
	c, err := net.Dial("tcp", s.address)
	qt.Assert(s.t, err, qt.IsNil)
	s.t.Cleanup(func() { _ = c.Close() })
	qt.Assert(s.t, c.SetDeadline(time.Now().Add(testLimit)), qt.IsNil)
	return &clientConn{c, s.t, bufio.NewReader(c)}
}

func (c *clientConn) send(text string) {
	_, err := io.WriteString(c, text)
	qt.Assert(c.t, err, qt.IsNil)
}

// status returns the status of the next answer, 0 when the connection ends without one.
func (c *clientConn) status() int {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0
	}
	_, err = io.Copy(io.Discard, resp.Body)
	qt.Assert(c.t, err, qt.IsNil)
	return resp.StatusCode
}

// await polls until the condition holds.
func (s *server) await(what string, holds func() bool) {
	s.t.Helper()
	for end := time.Now().Add(testLimit); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("not reached: %s", what)
		}
	}
}

// headOf returns a whole head of exactly the given size with as many lines as fit.
func headOf(path string, size int) string {
	start, end := "GET "+path+" HTTP/1.1\r\nHost: x\r\n", "\r\n"
	lines := strings.Repeat("a:\n", (size-len(start)-len(end))/3)
	return start + strings.Repeat("b", size-len(start)-len(end)-len(lines)) + lines + end
}

// TestHeadLimit guards against a request at the configured limit, made of the shortest lines, that is refused in calm, and
// against one above it that is served.
func TestHeadLimit(t *testing.T) {
	const limit = 16 << 10
	s := serve(t, &Budget{MemoryBytes: 64 << 20}, 1, limit)
	c := s.dial()
	for _, size := range []int{limit - 1, limit, limit - 2} {
		c.send(headOf("/", size))
		qt.Assert(t, c.status(), qt.Equals, http.StatusOK, qt.Commentf("%d bytes", size))
	}
	c.send(headOf("/", limit+1))
	qt.Assert(t, c.status(), qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	qt.Assert(t, s.counters.value(HeadBytes), qt.Equals, int64(1))
	s.await("the charge is released", func() bool { return s.budget.Used() == 0 })
}

// TestHeadLines guards against a head with more lines than any client sends that is parsed because its size is allowed.
func TestHeadLines(t *testing.T) {
	s := serve(t, &Budget{}, 1, 64<<10)
	c := s.dial()
	c.send("GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\n", maxHeaderLines))
	qt.Assert(t, c.status(), qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	qt.Assert(t, s.counters.value(HeadLines), qt.Equals, int64(1))
}

// TestEmptyLines guards against empty lines before a request that go on for ever, and against a client that is refused for
// a few after the body of its request.
func TestEmptyLines(t *testing.T) {
	s := serve(t, &Budget{}, 1, 1<<10)
	c := s.dial()
	c.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n")
	qt.Assert(t, c.status(), qt.Equals, http.StatusOK)
	qt.Assert(t, c.status(), qt.Equals, http.StatusOK)
	d := s.dial()
	d.send(strings.Repeat("\r\n", maxEmptyLines+1))
	qt.Assert(t, d.status() == http.StatusOK, qt.IsFalse)
	qt.Assert(t, s.counters.value(EmptyLines), qt.Equals, int64(1))
}

// TestLargestIsRefused guards against clients with small requests that are refused while others hold the budget with heads
// that do not end, and against charges that are not released.
func TestLargestIsRefused(t *testing.T) {
	s := serve(t, &Budget{}, 1, 64<<10)
	var large []*clientConn
	for i := range int(s.budget.Bytes()/costOf(12000, 4000)) + 3 {
		c := s.dial()
		c.send("GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\n", 4000))
		large = append(large, c)
		c.send(strings.Repeat("b:\n", i)) // the last ones hold most
		small := s.dial()
		small.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		qt.Assert(t, small.status(), qt.Equals, http.StatusOK)
		qt.Assert(t, s.charged() <= s.budget.Bytes()+costOf(12000, 4000), qt.IsTrue)
	}
	s.await("the budget is spent", func() bool { return s.counters.value(Memory) > 0 })
	served, refused := 0, 0
	for _, c := range large {
		_, _ = io.WriteString(c, "\r\n")
		switch c.status() {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			refused++
		}
		_ = c.Close()
	}
	qt.Assert(t, served > 0, qt.IsTrue)
	qt.Assert(t, refused > 0, qt.IsTrue)
	s.await("the charges are released", func() bool { return s.budget.Used() == 0 })
}

// TestChargeWhileRunning guards against heads of requests that wait for their answers and are not charged.
func TestChargeWhileRunning(t *testing.T) {
	s := serve(t, &Budget{}, 1, 64<<10)
	c := s.dial()
	c.send("GET /hold HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\n", 1000) + "\r\n")
	want := costOf(3000, 1000)
	s.await("the head is charged", func() bool { return s.budget.Used() >= want })
	close(s.released)
	qt.Assert(t, c.status(), qt.Equals, http.StatusOK)
	s.await("the charge is released", func() bool { return s.budget.Used() == 0 })
}

// TestHeadBehindBody guards against heads that arrive with the body of the request before them and are not charged.
func TestHeadBehindBody(t *testing.T) {
	s := serve(t, &Budget{}, 1, 64<<10)
	c := s.dial()
	c.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n")
	c.send("abGET /hold HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\n", 1000) + "\r\n")
	qt.Assert(t, c.status(), qt.Equals, http.StatusOK)
	s.await("the head is charged", func() bool { return s.budget.Used() >= costOf(3000, 1000) })
	close(s.released)
	qt.Assert(t, c.status(), qt.Equals, http.StatusOK)
	s.await("the charge is released", func() bool { return s.budget.Used() == 0 })
}

// TestOldestIsClosed guards against idle connections that keep new clients out, and against a connection with a running
// request that is closed for a new one.
func TestOldestIsClosed(t *testing.T) {
	b := &Budget{Descriptors: reservedDescriptors + 3*descriptorsEach}
	s := serve(t, b, 1, 1<<10)
	qt.Assert(t, b.MaxConnections(), qt.Equals, 3)
	busy, served, idle := s.dial(), s.dial(), s.dial()
	busy.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n")
	served.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	qt.Assert(t, served.status(), qt.Equals, http.StatusOK)
	s.await("a request runs", func() bool { return s.budget.Used() > 0 })
	for range 2 {
		// First the one without a request is closed, then the one between two requests.
		c, used := s.dial(), s.budget.Used()
		c.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n")
		s.await("the new request runs", func() bool { return s.budget.Used() > used })
	}
	qt.Assert(t, idle.status(), qt.Equals, 0)
	qt.Assert(t, served.status(), qt.Equals, 0)
	qt.Assert(t, s.dial().status(), qt.Equals, 0)
	qt.Assert(t, s.counters.value(Connections), qt.Equals, int64(3))
	close(s.released)
	qt.Assert(t, busy.status(), qt.Equals, http.StatusOK)
}

// TestUnsentBodies guards against clients that never send the bodies that they announced and hold the budget with their
// heads.
func TestUnsentBodies(t *testing.T) {
	s := serve(t, &Budget{}, 1, 64<<10)
	for range int(s.budget.Bytes()/costOf(12000, 4000)) + 3 {
		c := s.dial()
		c.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n" + strings.Repeat("a:\n", 4000) + "\r\n")
	}
	s.await("the budget is spent", func() bool { return s.budget.Bytes()-s.budget.Used() < costOf(12000, 4000) })
	c := s.dial()
	c.send("GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\n", 3900) + "\r\n")
	qt.Assert(t, c.status(), qt.Equals, http.StatusOK)
}

// TestBodies guards against bodies that handlers hold and that are not charged, and against a client that is refused while
// a larger body does not end.
func TestBodies(t *testing.T) {
	s := serve(t, &Budget{MemoryBytes: minBytes * bytesShare}, 1, 64<<10)
	const part = minBytes / bodyByteCost / 4 * 3
	large := s.dial()
	large.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", 2*part))
	large.send(strings.Repeat("x", part))
	s.await("the body is charged", func() bool { return s.budget.Used() >= part*bodyByteCost })
	small := s.dial()
	small.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", part/2))
	small.send(strings.Repeat("x", part/2))
	qt.Assert(t, small.status(), qt.Equals, http.StatusOK)
	qt.Assert(t, large.status() == http.StatusOK, qt.IsFalse)
	qt.Assert(t, s.counters.value(Memory), qt.Equals, int64(1))
	s.await("the charges are released", func() bool { return s.budget.Used() == 0 })
}

// BenchmarkRequest measures what the accounting adds to a request with an ordinary head.
func BenchmarkRequest(b *testing.B) {
	head := []byte("GET /a/path HTTP/1.1\r\nHost: app.example\r\n" + strings.Repeat("Some-Header: some value of usual length\r\n", 12) + "\r\n")
	budget := &Budget{MemoryBytes: 184 << 20, Descriptors: 4100}
	ln := budget.Listen(nil, "test", 1, nil)
	client, inner := net.Pipe()
	defer func() { _, _ = client.Close(), inner.Close() }()
	c := &conn{Conn: inner, listener: ln}
	c.startWaiting(time.Now())
	b.ReportAllocs()
	for b.Loop() {
		if c.chargeHead(head) != notBound {
			b.Fatal("refused")
		}
		c.requestRead()
		c.requestEnded(time.Now())
	}
}
