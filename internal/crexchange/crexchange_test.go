package crexchange_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
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

// server answers the requests that it gets with its raw answers, in order; an empty one closes the connection.
type server struct {
	net.Listener
	requests atomic.Int64
	conns    atomic.Int64
}

func serve(t *testing.T, answers ...string) *server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &server{Listener: ln}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.answer(c, answers)
		}
	}()
	return s
}

func (s *server) answer(c net.Conn, answers []string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for first := true; ; first = false {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		n := int(s.requests.Add(1)) - 1
		if n >= len(answers) || answers[n] == "" {
			return
		}
		text, closes := strings.CutSuffix(answers[n], closeMarker)
		if again, own, ok := strings.Cut(text, reusedMarker); ok {
			text = own
			if !first {
				text = again + own
			}
		}
		if _, err := io.WriteString(c, strings.ReplaceAll(text, "ID", req.Header.Get("Id"))); err != nil {
			return
		}
		if closes || !strings.Contains(text, "Content-Length") {
			return
		}
	}
}

const (
	// closeMarker ends an answer after which the server closes the connection.
	closeMarker = "<close>"
	// reusedMarker ends the part of an answer that is written only on a connection that has carried a request before.
	reusedMarker = "<kept>"
)

const whole = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok"

func client(s *server) *crexchange.Client {
	return &crexchange.Client{
		Address: s.Addr().String(), MaxIdle: 4,
		ID: func(h http.Header) string { return h.Get("Id") },
	}
}

func do(t *testing.T, c *crexchange.Client, id string) (string, *crexchange.Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := c.Do(ctx, &crexchange.Request{Method: "GET", Target: "/x", Host: "h", Header: http.Header{"Id": {id}}})
	if err != nil {
		return "", nil, err
	}
	b, err := io.ReadAll(resp.Body)
	resp.Close()
	return string(b), resp, err
}

// TestNoResend guards against a request that is sent a second time when a pooled connection breaks: the server must get
// it once, and the caller must be told that it may have run.
func TestNoResend(t *testing.T) {
	s := serve(t, whole, "")
	c := client(s)
	_, _, err := do(t, c, "a")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.Idle(), qt.Equals, 1)
	_, _, err = do(t, c, "b")
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, errors.Is(err, crexchange.ErrNotSent), qt.IsFalse)
	time.Sleep(50 * time.Millisecond)
	qt.Assert(t, s.requests.Load(), qt.Equals, int64(2))
}

// TestReuse guards against a new connection for each request.
func TestReuse(t *testing.T) {
	s := serve(t, whole, whole, whole)
	c := client(s)
	for i := range 3 {
		body, _, err := do(t, c, fmt.Sprint(i))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.Equals, "ok")
	}
	qt.Assert(t, s.conns.Load(), qt.Equals, int64(1))
}

// TestConnectionsWithoutID guards against a request without an id on a shared connection, and against a client without
// ids that reuses no connection.
func TestConnectionsWithoutID(t *testing.T) {
	const plain = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, x := range []struct {
		ids   bool
		conns int64
	}{{true, 3}, {false, 1}} {
		s := serve(t, plain, plain, plain)
		c := client(s)
		if !x.ids {
			c.ID = nil
		}
		for range 3 {
			body, _, err := do(t, c, "")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, body, qt.Equals, "ok")
		}
		qt.Assert(t, s.conns.Load(), qt.Equals, x.conns)
	}
}

// TestNotSent guards against a failure before any byte was sent that is reported as a request that may have run.
func TestNotSent(t *testing.T) {
	s := serve(t)
	qt.Assert(t, s.Close(), qt.IsNil)
	_, _, err := do(t, client(s), "a")
	qt.Assert(t, errors.Is(err, crexchange.ErrNotSent), qt.IsTrue)
}

// TestMixedUp guards against accepting responses to other requests, and against the reuse of a connection on which one
// arrived.
func TestMixedUp(t *testing.T) {
	stray := "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 4\r\n\r\nevil"
	for name, x := range map[string]struct {
		answer string
		body   string
		failed bool
		idle   int
	}{
		"clean":         {whole, "ok", false, 1},
		"stray before":  {stray + whole, "ok", false, 0},
		"stray after":   {whole + stray, "ok", false, 0},
		"only stray":    {stray, "", true, 0},
		"garbage after": {whole + "xyz", "ok", false, 0},
		"no http":       {"Content-Length nonsense\r\n\r\n", "", true, 0},
		"cut short":     {"HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9\r\n\r\nok", "", true, 0},
		"two lengths":   {"HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", "", true, 0},
		"close":         {"HTTP/1.1 200 OK\r\nId: ID\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", "ok", false, 0},
		"without end":   {"HTTP/1.1 200 OK\r\nId: ID\r\n\r\nok", "ok", false, 0},
		"short stay":    {"HTTP/1.1 200 OK\r\nId: ID\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok", "ok", false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, x.answer)
			c := client(s)
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			resp, err := c.Do(ctx, &crexchange.Request{Method: "GET", Target: "/x", Host: "h", Header: http.Header{"Id": {"a"}}})
			if err == nil {
				// The bytes after the answer arrive with it or shortly after; a later use of the connection finds them.
				time.Sleep(20 * time.Millisecond)
				var b []byte
				b, err = io.ReadAll(resp.Body)
				resp.Close()
				if err == nil {
					qt.Assert(t, string(b), qt.Equals, x.body)
				}
			}
			qt.Assert(t, err != nil, qt.Equals, x.failed, qt.Commentf("%v", err))
			qt.Assert(t, c.Idle(), qt.Equals, x.idle)
		})
	}
}

// TestLateStray guards against the reuse of an idle connection on which data arrived.
func TestLateStray(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = ln.Close() }()
	conns := make(chan net.Conn, 4)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns <- c
			go func() {
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.WriteString(c, strings.ReplaceAll(whole, "ID", req.Header.Get("Id")))
				}
			}()
		}
	}()
	s := &server{Listener: ln}
	c := client(s)
	_, _, err = do(t, c, "a")
	qt.Assert(t, err, qt.IsNil)
	first := <-conns
	_, err = io.WriteString(first, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\nlate")
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(20 * time.Millisecond)
	body, _, err := do(t, c, "b")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, "ok")
	qt.Assert(t, len(conns), qt.Equals, 1)
}

// TestEarlyAnswer guards against the reuse of a connection whose server has not read the whole request body.
func TestEarlyAnswer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = ln.Close() }()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReaderSize(c, 64)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nId: a\r\nContent-Length: 0\r\n\r\n")
		}
		time.Sleep(time.Second)
		_ = c.Close()
	}()
	c := client(&server{Listener: ln})
	body := strings.NewReader(strings.Repeat("x", 32<<20))
	resp, err := c.Do(context.Background(), &crexchange.Request{
		Method: "POST", Target: "/x", Host: "h", Header: http.Header{"Id": {"a"}}, Body: body, Length: int64(body.Len()),
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.Status, qt.Equals, http.StatusRequestEntityTooLarge)
	resp.Close()
	qt.Assert(t, c.Idle(), qt.Equals, 0)
}

// TestCancel guards against a connection that stays open after its caller cancelled: the server must see it close.
func TestCancel(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = ln.Close() }()
	closed := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err == nil {
			cancel()
			_, _ = r.ReadByte()
			close(closed)
		}
	}()
	_, err = client(&server{Listener: ln}).Do(ctx, &crexchange.Request{Method: "GET", Target: "/x", Host: "h", Header: http.Header{}})
	qt.Assert(t, errors.Is(err, context.Canceled), qt.IsTrue, qt.Commentf("%v", err))
	select {
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the server still holds the connection after 0.5 s")
	}
}
