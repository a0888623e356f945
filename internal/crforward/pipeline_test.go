package crforward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crroute"
)

// pipelineConn is a client's raw connection to an entrance.
type pipelineConn struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func (n *node) dialPipeline(t *testing.T) *pipelineConn {
	t.Helper()
	c, err := net.Dial("tcp", n.entrance)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = c.Close() })
	qt.Assert(t, c.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	return &pipelineConn{c, t, bufio.NewReader(c)}
}

// requestHead returns a request without a body.
func requestHead(method, path, id string, left time.Duration, more ...string) string {
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: app.example\r\n%s: %s\r\n%s: %d\r\n", method, path, headerNames.RequestID, id, headerNames.Timeout, left.Milliseconds())
	return h + strings.Join(append(more, "\r\n"), "")
}

func (p *pipelineConn) write(s string) {
	p.t.Helper()
	_, err := io.WriteString(p.Conn, s)
	qt.Assert(p.t, err, qt.IsNil)
}

// answer reads the next answer and its body.
func (p *pipelineConn) answer() (*http.Response, string) {
	p.t.Helper()
	resp, err := http.ReadResponse(p.r, nil)
	qt.Assert(p.t, err, qt.IsNil)
	b, err := io.ReadAll(resp.Body)
	qt.Assert(p.t, err, qt.IsNil)
	return resp, string(b)
}

// assertEOF asserts that the connection ends without further data.
func (p *pipelineConn) assertEOF() {
	p.t.Helper()
	rest, err := io.ReadAll(p.r)
	qt.Assert(p.t, err, qt.IsNil)
	qt.Assert(p.t, string(rest), qt.Equals, "")
}

// newPipelineCluster starts a cluster of a node for clients and a node whose server answers by path: /r/wait/N after N
// milliseconds, /r/hang when its caller has disconnected, /r/fail with an error.
func newPipelineCluster(t *testing.T) (from, to *node, ran *runRecorder) {
	t.Helper()
	c := newCluster(t)
	from, to = c.addNode("ledger"), c.addNode("photos")
	c.putRoutes(3, 0, newRoute("/r/", "photos", crroute.Repeatable), newRoute("/p/", "photos", crroute.Once))
	from.waitForStatus(t, "/r/warm", http.StatusOK)
	ran = &runRecorder{backend: to.backend, requests: map[string]*http.Request{}, bodies: map[string]string{}, cancelledAt: map[string]time.Time{}}
	to.backend.setHandler(ran.serve)
	return from, to, ran
}

// runRecorder records the requests that a server began to run, by id.
type runRecorder struct {
	backend  *backend
	mu       sync.Mutex
	requests map[string]*http.Request
	// bodies holds the request bodies, cancelledAt when the callers of hanging requests disconnected.
	bodies      map[string]string
	cancelledAt map[string]time.Time
}

func (s *runRecorder) serve(w http.ResponseWriter, r *http.Request) {
	s.backend.mu.Lock()
	body := string(s.backend.body)
	s.backend.mu.Unlock()
	s.mu.Lock()
	s.requests[r.Header.Get(headerNames.RequestID)], s.bodies[r.Header.Get(headerNames.RequestID)] = r, body
	s.mu.Unlock()
	verb, arg, _ := strings.Cut(strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, "/r/"), "/p/"), "/")
	switch verb {
	case "wait":
		ms, err := strconv.Atoi(arg)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		time.Sleep(time.Duration(ms) * time.Millisecond)
	case "hang":
		<-r.Context().Done()
		s.mu.Lock()
		s.cancelledAt[r.Header.Get(headerNames.RequestID)] = time.Now()
		s.mu.Unlock()
	case "fail":
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = io.WriteString(w, r.Header.Get(headerNames.RequestID))
}

func (s *runRecorder) get(id string) *http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[id]
}

func (s *runRecorder) waitForRun(t *testing.T, id string) {
	t.Helper()
	eventually(t, func() bool { return s.get(id) != nil })
}

// waitForCancel asserts that the server notices within half a second that the caller of a request has disconnected.
func (s *runRecorder) waitForCancel(t *testing.T, id string, at time.Time) {
	t.Helper()
	for time.Since(at) < 500*time.Millisecond {
		s.mu.Lock()
		_, ok := s.cancelledAt[id]
		s.mu.Unlock()
		if ok {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the server still works on the request half a second later")
}

// TestPipelinedClientLeaves guards against a server that still works on a repeatable request half a second after its
// client has disconnected, when further pipelined requests wait on the connection. None of these may be forwarded any
// more.
func TestPipelinedClientLeaves(t *testing.T) {
	from, _, ran := newPipelineCluster(t)
	for name, leave := range map[string]func(c *net.TCPConn) error{
		"closed":      (*net.TCPConn).Close,
		"half closed": (*net.TCPConn).CloseWrite,
		"reset": func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		},
	} {
		for behind := range 4 {
			t.Run(fmt.Sprintf("%s with %d behind", name, behind), func(t *testing.T) {
				p := from.dialPipeline(t)
				id := func(i int) string { return fmt.Sprintf("%s-%d-%d", name, behind, i) }
				p.write(requestHead("GET", "/r/hang", id(0), 5*time.Second))
				ran.waitForRun(t, id(0))
				for i := range behind {
					p.write(requestHead("GET", "/r/wait/0", id(i+1), 5*time.Second))
					time.Sleep(10 * time.Millisecond)
				}
				at := time.Now()
				qt.Assert(t, leave(p.Conn.(*net.TCPConn)), qt.IsNil)
				ran.waitForCancel(t, id(0), at)
				time.Sleep(50 * time.Millisecond)
				for i := range behind {
					qt.Assert(t, ran.get(id(i+1)), qt.IsNil, qt.Commentf("a pipelined request ran for a client that has disconnected"))
				}
			})
		}
	}
	t.Run("all at once", func(t *testing.T) {
		p := from.dialPipeline(t)
		p.write(requestHead("GET", "/r/hang", "once-0", 5*time.Second) + requestHead("GET", "/r/wait/0", "once-1", 5*time.Second))
		ran.waitForRun(t, "once-0")
		at := time.Now()
		qt.Assert(t, p.Close(), qt.IsNil)
		ran.waitForCancel(t, "once-0", at)
	})
}

// TestPipelineFlood guards against a node that reads pipelined requests of a client without limit.
func TestPipelineFlood(t *testing.T) {
	const bound = 16 << 20 // above the default socket buffer limits of Linux for both sockets (6 and 4 MiB)
	from, _, ran := newPipelineCluster(t)
	p := from.dialPipeline(t)
	p.write(requestHead("GET", "/r/wait/800", "flood", 5*time.Second))
	ran.waitForRun(t, "flood")
	qt.Assert(t, p.SetWriteDeadline(time.Now().Add(400*time.Millisecond)), qt.IsNil)
	sent, one := 0, strings.Repeat(requestHead("GET", "/r/wait/0", "behind", 5*time.Second), 100)
	for sent < 4*bound {
		n, err := io.WriteString(p.Conn, one)
		sent += n
		if err != nil {
			break
		}
	}
	qt.Assert(t, sent < bound, qt.IsTrue, qt.Commentf("%d bytes were read", sent))
	t.Logf("%d bytes were read", sent)
	resp, body := p.answer()
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
	qt.Assert(t, body, qt.Equals, "flood")
	for range 200 {
		// Requests that waited longer than the timeout of the route are refused without a run.
		resp, _ = p.answer()
		qt.Assert(t, resp.Header.Get(headerNames.RequestID), qt.Equals, "behind")
	}
}

// TestPipelineOrder guards against answers in another order than their requests, whatever the outcome of each.
func TestPipelineOrder(t *testing.T) {
	from, _, _ := newPipelineCluster(t)
	p := from.dialPipeline(t)
	body := strings.Repeat("x", 1000)
	requests := []struct {
		raw    string
		status int
	}{
		{requestHead("GET", "/r/wait/150", "slow", 5*time.Second), http.StatusOK},
		{requestHead("GET", "/r/wait/0", "fast", 5*time.Second), http.StatusOK},
		{requestHead("GET", "/nowhere/", "unknown", 5*time.Second), http.StatusNotFound},
		{requestHead("GET", "/r/fail", "fails", 5*time.Second), http.StatusInternalServerError},
		{requestHead("GET", "/r/hang", "late", 50*time.Millisecond), http.StatusServiceUnavailable},
		{requestHead("POST", "/p/x", "body", 5*time.Second, "Content-Length: 1000\r\n") + body, http.StatusOK},
		{requestHead("POST", "/p/x", "chunks", 5*time.Second, "Transfer-Encoding: chunked\r\n") + "3e8\r\n" + body + "\r\n0\r\n\r\n", http.StatusOK},
		{requestHead("GET", "/r/wait/0", "last", 5*time.Second), http.StatusOK},
	}
	for _, pieces := range []int{1 << 20, 700, 7} {
		var all strings.Builder
		for _, r := range requests {
			all.WriteString(r.raw)
		}
		go func(s string) {
			for len(s) > 0 {
				n := min(pieces, len(s))
				if _, err := io.WriteString(p.Conn, s[:n]); err != nil {
					return
				}
				if s = s[n:]; pieces < 100 {
					time.Sleep(time.Millisecond)
				}
			}
		}(all.String())
		for _, r := range requests {
			resp, _ := p.answer()
			id := strings.Split(strings.Split(r.raw, headerNames.RequestID+": ")[1], "\r\n")[0]
			qt.Assert(t, resp.Header.Get(headerNames.RequestID), qt.Equals, id)
			if id != "late" {
				qt.Assert(t, resp.StatusCode, qt.Equals, r.status, qt.Commentf("%s", id))
			}
		}
	}
}

// TestPipelineTime guards against a deadline that counts from the end of the previous request on the connection: the
// server would get more time than is left, and an expired request would run in vain.
func TestPipelineTime(t *testing.T) {
	from, _, ran := newPipelineCluster(t)
	for name, write := range map[string]func(p *pipelineConn, first, second, third string){
		"at once": func(p *pipelineConn, first, second, third string) { p.write(first + second + third) },
		"apart": func(p *pipelineConn, first, second, third string) {
			p.write(first)
			ran.waitForRun(t, "apart-first")
			p.write(second)
			time.Sleep(20 * time.Millisecond)
			p.write(third)
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := from.dialPipeline(t)
			write(p, requestHead("GET", "/r/wait/400", name+"-first", 5*time.Second), requestHead("GET", "/r/wait/0", name+"-expired", 200*time.Millisecond),
				requestHead("GET", "/r/wait/0", name+"-shorter", 900*time.Millisecond))
			resp, _ := p.answer()
			qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
			begin := time.Now()
			resp, _ = p.answer()
			qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			qt.Assert(t, time.Since(begin) < 100*time.Millisecond, qt.IsTrue)
			qt.Assert(t, ran.get(name+"-expired"), qt.IsNil)
			resp, _ = p.answer()
			qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
			left, err := strconv.Atoi(ran.get(name + "-shorter").Header.Get(headerNames.Timeout))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, left <= 560, qt.IsTrue, qt.Commentf("%d ms left of 900 after 400", left))
			qt.Assert(t, left > 200, qt.IsTrue, qt.Commentf("%d ms left of 900 after 400", left))
		})
	}
}

// TestPipelineClosed guards against a request that runs although it follows, on its connection, an answer that closes
// the connection. Its client sends it again even if it is not repeatable.
func TestPipelineClosed(t *testing.T) {
	from, _, ran := newPipelineCluster(t)
	behind := requestHead("POST", "/p/wait/0", "behind", 5*time.Second, "Content-Length: 2\r\n") + "ok"
	for name, x := range map[string]struct {
		first  string
		status int
	}{
		"asked by the client": {requestHead("GET", "/r/wait/50", "first", 5*time.Second, "Connection: close\r\n"), http.StatusOK},
		"unread body":         {requestHead("POST", "/p/wait/0", "first", 5*time.Second, "Content-Length: 3000000\r\n"), http.StatusRequestEntityTooLarge},
		"malformed":           {"GET /r/ HTTP/1.1\r\nHost: app.example\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\n", http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			p := from.dialPipeline(t)
			p.write(x.first + behind)
			resp, _ := p.answer()
			qt.Assert(t, resp.StatusCode, qt.Equals, x.status)
			qt.Assert(t, resp.Close, qt.IsTrue)
			p.assertEOF()
			time.Sleep(50 * time.Millisecond)
			qt.Assert(t, ran.get("behind"), qt.IsNil)
		})
	}
}

// TestPipelineBoundaries guards against request smuggling, in which bytes of one request are parsed as another one. If
// a header gives both lengths, the chunked encoding takes precedence (RFC 9112, 6.3), and only that is forwarded.
func TestPipelineBoundaries(t *testing.T) {
	from, _, ran := newPipelineCluster(t)
	hidden := requestHead("GET", "/r/wait/0", "hidden", 5*time.Second)
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden)
	for name, first := range map[string]string{
		"length":      fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(hidden), hidden),
		"chunks":      "Transfer-Encoding: chunked\r\n\r\n" + chunked,
		"both":        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked,
		"both turned": "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n" + chunked,
	} {
		t.Run(name, func(t *testing.T) {
			p := from.dialPipeline(t)
			id := "first-" + strings.ReplaceAll(name, " ", "-")
			p.write(strings.TrimSuffix(requestHead("POST", "/p/wait/0", id, 5*time.Second), "\r\n") + first + requestHead("GET", "/r/wait/0", id+"-next", 5*time.Second))
			for _, want := range []string{id, id + "-next"} {
				resp, body := p.answer()
				qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
				qt.Assert(t, body, qt.Equals, want)
			}
			qt.Assert(t, ran.bodies[id], qt.Equals, hidden)
			got := ran.get(id)
			qt.Assert(t, got.ContentLength < 0 || len(got.TransferEncoding) == 0, qt.IsTrue)
			qt.Assert(t, ran.get("hidden"), qt.IsNil)
		})
	}
}

// TestPipelineStop guards against pipelined requests that a graceful stop cuts off after they were forwarded, and
// against a request that runs although it follows the answer that closes its connection.
func TestPipelineStop(t *testing.T) {
	from, _, ran := newPipelineCluster(t)
	var sent, answered, unread atomic.Int64
	var clients sync.WaitGroup
	for i := range 16 {
		clients.Go(func() {
			for j := 0; ; j++ {
				conn, err := net.Dial("tcp", from.entrance)
				if err != nil {
					return // the entrance has closed
				}
				_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
				r := bufio.NewReader(conn)
				var ids []string
				for k := 0; ; k++ {
					for len(ids) < 3 {
						id := fmt.Sprintf("stop-%d-%d-%d-%d", i, j, k, len(ids))
						if _, err := io.WriteString(conn, requestHead("GET", "/r/wait/20", id, 5*time.Second)); err != nil {
							break
						}
						ids = append(ids, id)
						sent.Add(1)
					}
					resp, err := http.ReadResponse(r, nil)
					if err != nil {
						break
					}
					if _, err = io.Copy(io.Discard, resp.Body); err != nil {
						break
					}
					qt.Check(t, resp.Header.Get(headerNames.RequestID), qt.Equals, ids[0])
					answered.Add(1)
					if ids = ids[1:]; resp.Close {
						break
					}
				}
				_ = conn.Close()
				for _, id := range ids {
					unread.Add(1)
					if ran.get(id) != nil {
						t.Errorf("request %s ran but got no answer", id)
					}
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	from.cancel()
	<-from.done
	clients.Wait()
	t.Logf("%d sent, %d answered, %d unread", sent.Load(), answered.Load(), unread.Load())
	qt.Assert(t, answered.Load() > 100, qt.IsTrue)
}
