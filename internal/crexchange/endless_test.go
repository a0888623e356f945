package crexchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crexchange"
)

// serveEndless answers each request with start and then with piece repeatedly until the caller closes the connection;
// sent counts the bytes.
func serveEndless(t *testing.T, start, piece string) (addr net.Addr, sent *atomic.Int64, closed chan struct{}) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = ln.Close() })
	sent, closed = &atomic.Int64{}, make(chan struct{})
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer close(closed)
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		for next := start; ; next = piece {
			n, err := io.WriteString(c, next)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	return ln.Addr(), sent, closed
}

// TestEndlessJunk guards against endless data that is no answer: a caller that reads it until its deadline keeps its
// connection and a processor busy, or fills its memory.
func TestEndlessJunk(t *testing.T) {
	const limit = 3 * time.Second // the caller's deadline
	filler := strings.Repeat("x", 1000)
	for name, x := range map[string]struct{ start, piece string }{
		"no line":          {"", filler},
		"a line in a head": {"HTTP/1.1 200 OK\r\nId: a\r\nX: ", filler},
		"a head":           {"HTTP/1.1 200 OK\r\nId: a\r\n", "X: " + filler + "\r\n"},
		"interim answers":  {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"hints":            {"", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
		"another's body":   {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + filler + "\r\n"},
		"a long other's":   {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1000000000000\r\n\r\n", filler},
		"others' answers":  {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"},
		"a chunk's line":   {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", filler},
		"chunk extensions": {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + filler + "\r\nx\r\n"},
		"a trailer":        {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: " + filler + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, sent, closed := serveEndless(t, x.start, x.piece)
			c := &crexchange.Client{
				Address: addr.String(), MaxIdle: 4,
				ID: func(h http.Header) string { return h.Get("Id") },
			}
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			begin := time.Now()
			resp, err := c.Do(ctx, &crexchange.Request{Method: "GET", Target: "/x", Host: "h", Header: http.Header{"Id": {"a"}}})
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Close()
			}
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, time.Since(begin) < limit/2, qt.IsTrue, qt.Commentf("given up after %v", time.Since(begin)))
			select {
			case <-closed:
			case <-time.After(limit):
				t.Fatal("the connection is still open")
			}
			t.Logf("%d bytes were sent", sent.Load())
			qt.Assert(t, c.Idle(), qt.Equals, 0)
		})
	}
}

// TestEndlessBody guards against an endless answer that is read past its caller's deadline. All of its bytes could belong
// to the answer, so only the deadline can end it.
func TestEndlessBody(t *testing.T) {
	addr, _, closed := serveEndless(t, "HTTP/1.1 200 OK\r\nId: a\r\n\r\n", strings.Repeat("x", 1000))
	c := &crexchange.Client{Address: addr.String(), MaxIdle: 4}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	begin := time.Now()
	resp, err := c.Do(ctx, &crexchange.Request{Method: "GET", Target: "/x", Host: "h", Header: http.Header{"Id": {"a"}}})
	qt.Assert(t, err, qt.IsNil)
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Close()
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, time.Since(begin) < time.Second, qt.IsTrue)
	<-closed
	qt.Assert(t, c.Idle(), qt.Equals, 0)
}
