// Package crexchange is an HTTP/1.1 client that makes one exchange at a time on each of its pooled connections. Unlike
// the transport of the standard library it never retries a request by itself, reports whether any byte of the request was
// sent, and never reuses a connection on which unexpected data arrived.
package crexchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crdial"
)

// Defaults and limits of a client.
const (
	defaultDialTimeout = time.Second
	// defaultIdleTimeout is below the idle timeout of usual servers, which is 5 s or more.
	defaultIdleTimeout = 4 * time.Second
	// maxHeaderBytes bounds the head of a response.
	maxHeaderBytes = 64 << 10
	// maxForeign bounds the responses to earlier requests that are skipped before the own response, and maxForeignBody
	// the body of each: a new connection costs less than reading more.
	maxForeign     = 2
	maxForeignBody = 64 << 10
	// uploadEndWait is how long the end of a response without a length waits for the result of the last write of the request.
	// Both are reported at nearly the same moment.
	uploadEndWait = 20 * time.Millisecond
	// minStatus and maxStatus bound the status codes of HTTP.
	minStatus, maxStatus = 100, 599
	// maxInterim bounds the 1xx responses before the final one; usual servers send one or two.
	maxInterim = 5
	bufferSize = 8 << 10
)

// ErrNotSent is wrapped by errors that occur before any byte of the request was written: the request has not run and will
// not run.
var ErrNotSent = errors.New("nothing was sent")

// ErrForeign is the error for a response that does not belong to the request.
var ErrForeign = errors.New("the response does not belong to the request")

// errStatus is the error for a status that HTTP does not define.
var errStatus = errors.New("the status of the response is out of range")

// errCut is the error for a response without a length whose connection ended before the request was sent completely.
var errCut = errors.New("the connection ended during the request, and the response has no length")

// errInterim is the error for more than maxInterim interim responses.
var errInterim = errors.New("too many interim responses")

// Client holds the connections to one address. Set the exported fields before use.
type Client struct {
	Address string
	// MaxIdle bounds the number of idle connections. IdleTimeout is how long one is kept when the server announces no
	// timeout.
	MaxIdle     int
	IdleTimeout time.Duration
	DialTimeout time.Duration
	// ID returns the id of a request, which the server repeats in its response; nil accepts every response. A connection
	// carries no id twice while it remembers the id, and a request without an id gets a connection of its own.
	ID func(http.Header) string
	// OnDial, when set, is called for each new connection.
	OnDial func()

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// Request is one request. Target is the path and query as they were received.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	// Body is nil for none; Length is -1 when it is unknown.
	Body   io.Reader
	Length int64
}

// Response is the response to a request. Close must be called; it makes the connection available for reuse when the
// exchange was clean.
type Response struct {
	Status int
	Header http.Header
	// Length is -1 when the body ends with its last chunk or with the connection.
	Length int64
	Body   io.Reader

	conn     *conn
	client   *Client
	stop     func() bool
	body     *trackedBody
	sent     *upload
	reusable bool
	keep     time.Duration
}

type conn struct {
	net.Conn
	headLimit *headLimiter
	reader    *bufio.Reader
	expires   time.Time
	// recent holds the latest requests of the connection.
	recent recentRequests
}

// Do sends the request once and returns the head of its response. The connection is closed when ctx ends before Close.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	cn, err := c.acquire(ctx, r)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	if ctx.Err() != nil {
		stop()
		_ = cn.Close()
		return nil, notSent(ctx.Err())
	}
	sent, err := cn.send(r)
	if err != nil {
		stop()
		_ = cn.Close()
		return nil, orContext(ctx, err)
	}
	resp, err := c.receive(cn, r, sent)
	if err != nil {
		stop()
		_ = cn.Close()
		return nil, orContext(ctx, err)
	}
	resp.stop = stop
	return resp, nil
}

func notSent(err error) error { return errors.Join(ErrNotSent, err) }

// orContext adds the cause of the context to the error when the end of the context closed the connection.
func orContext(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.Join(context.Cause(ctx), err)
	}
	return err
}

// acquire returns an idle connection that is still usable, or a new one.
func (c *Client) acquire(ctx context.Context, r *Request) (*conn, error) {
	if !c.identifiable(r) {
		return c.dial(ctx)
	}
	id := c.digest(r)
	for cn := c.popIdle(id); cn != nil; cn = c.popIdle(id) {
		if time.Now().Before(cn.expires) && openAndIdle(cn.Conn) {
			cn.recent.add(id)
			return cn, nil
		}
		_ = cn.Close()
	}
	cn, err := c.dial(ctx)
	if err == nil {
		cn.recent.add(id)
	}
	return cn, err
}

// popIdle removes and returns the most recently used idle connection that has not carried the request; nil when there is
// none.
func (c *Client) popIdle(id uint64) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, cn := range slices.Backward(c.idle) {
		if !cn.recent.has(id) {
			c.idle = slices.Delete(c.idle, i, i+1)
			return cn
		}
	}
	return nil
}

// matches reports whether the response belongs to the request.
func (c *Client) matches(r *Request, response http.Header) bool {
	return c.ID == nil || c.ID(r.Header) == c.ID(response)
}

// dial opens a connection. Its error wraps ErrNotSent.
func (c *Client) dial(ctx context.Context) (*conn, error) {
	limit := c.DialTimeout
	if limit == 0 {
		limit = defaultDialTimeout
	}
	nc, err := crdial.DialTCP(ctx, &net.Dialer{KeepAliveConfig: KeepAlive, Control: setSocketTimeout}, c.Address, limit)
	if err != nil {
		return nil, notSent(err)
	}
	if c.OnDial != nil {
		c.OnDial()
	}
	m := &headLimiter{Conn: nc}
	return &conn{Conn: nc, headLimit: m, reader: bufio.NewReaderSize(m, bufferSize)}, nil
}

// writerPool holds the write buffers of requests; a connection holds one only while it sends.
var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}

func putWriter(w *bufio.Writer) {
	w.Reset(nil)
	writerPool.Put(w)
}

// send writes the head, and the body in its own goroutine, so that a response that arrives before the whole body was sent
// can be read.
func (cn *conn) send(r *Request) (*upload, error) {
	w := writerPool.Get().(*bufio.Writer)
	w.Reset(cn)
	writeHead(w, r)
	if r.Body == nil || r.Length == 0 {
		defer putWriter(w)
		return nil, w.Flush()
	}
	u := &upload{ended: make(chan struct{})}
	go func() {
		defer putWriter(w)
		u.err = writeBody(w, r)
		if u.err != nil {
			// A truncated body must not look complete to the server.
			_ = cn.Close()
		}
		close(u.ended)
	}()
	return u, nil
}

func writeHead(w *bufio.Writer, r *Request) {
	// The buffered writer keeps its first error until Flush.
	_, _ = w.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(w)
	switch {
	case r.Body != nil && r.Length < 0:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Length > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead:
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(max(r.Length, 0), 10) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
}

func writeBody(w *bufio.Writer, r *Request) error {
	if r.Length > 0 {
		if _, err := io.CopyN(w, r.Body, r.Length); err != nil {
			return err
		}
		return w.Flush()
	}
	cw := httputil.NewChunkedWriter(w)
	if _, err := io.Copy(cw, r.Body); err != nil {
		return err
	}
	if err := cw.Close(); err != nil {
		return err
	}
	_, _ = w.WriteString("\r\n")
	return w.Flush()
}

// receive reads responses until the one to this request arrives. Interim responses and late responses to earlier requests
// are skipped.
func (c *Client) receive(cn *conn, r *Request, sent *upload) (*Response, error) {
	request := &http.Request{Method: r.Method}
	reusable := c.identifiable(r)
	for foreign, interim := 0, 0; ; {
		hr, err := cn.readHead(request)
		if err != nil {
			return nil, err
		}
		if hr.StatusCode >= 100 && hr.StatusCode < 200 {
			if interim++; interim > maxInterim {
				return nil, errInterim
			}
			continue
		}
		if !c.matches(r, hr.Header) {
			if foreign++; foreign > maxForeign {
				return nil, ErrForeign
			}
			reusable = false
			if err := skipBody(hr); err != nil {
				return nil, err
			}
			continue
		}
		keep, ok := keepFor(hr, c.idleTime())
		body := newTrackedBody(hr, sent)
		return &Response{
			Status: hr.StatusCode, Header: hr.Header, Length: hr.ContentLength, Body: body, body: body, conn: cn, client: c,
			sent: sent, reusable: reusable && ok, keep: keep,
		}, nil
	}
}

// readHead reads the head of a response.
func (cn *conn) readHead(request *http.Request) (*http.Response, error) {
	cn.headLimit.remaining = maxHeaderBytes
	hr, err := http.ReadResponse(cn.reader, request)
	if err != nil {
		return nil, err
	}
	cn.headLimit.remaining = math.MaxInt
	if hr.StatusCode < minStatus || hr.StatusCode > maxStatus {
		return nil, errStatus
	}
	return hr, nil
}

// skipBody reads the body of a foreign response to its end. A body that is too long or ends only with the connection is
// an error.
func skipBody(hr *http.Response) error {
	if hr.ContentLength < 0 && len(hr.TransferEncoding) == 0 {
		return ErrForeign
	}
	switch n, err := io.CopyN(io.Discard, hr.Body, maxForeignBody+1); {
	case n > maxForeignBody:
		return ErrForeign
	case err != io.EOF:
		return errors.Join(ErrForeign, err)
	}
	return nil
}

// headLimiter bounds the bytes that are read for the head of a response.
type headLimiter struct {
	net.Conn
	remaining int
}

var errHeadTooLarge = errors.New("the head of the response is too large")

func (m *headLimiter) Read(p []byte) (int, error) {
	if m.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := m.Conn.Read(p[:min(len(p), m.remaining)])
	m.remaining -= n
	return n, err
}

// keepFor returns how long the connection may stay idle, and whether it may be reused at all.
func keepFor(r *http.Response, idle time.Duration) (time.Duration, bool) {
	if r.Close {
		return 0, false
	}
	for _, part := range strings.Split(textproto.TrimString(r.Header.Get("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil {
			// The server's timeout starts earlier and is given in whole seconds.
			idle = min(idle, time.Duration(seconds)*time.Second-time.Second)
		}
	}
	return idle, idle > 0
}

// Close ends the exchange. A connection that is not in a clean state is closed.
func (r *Response) Close() {
	alive := r.stop()
	if !alive || !r.sent.complete() || !r.reusable || !r.body.complete || r.conn.reader.Buffered() > 0 || !r.client.putIdle(r.conn, r.keep) {
		_ = r.conn.Close()
	}
}

// idleTime returns how long a connection is kept when the server announces no timeout.
func (c *Client) idleTime() time.Duration {
	if c.IdleTimeout == 0 {
		return defaultIdleTimeout
	}
	return c.IdleTimeout
}

// Connect opens a connection and keeps it for later requests. The error reports why none could be opened.
func (c *Client) Connect(ctx context.Context) error {
	cn, err := c.dial(ctx)
	if err != nil {
		return err
	}
	if !c.putIdle(cn, c.idleTime()) {
		_ = cn.Close()
	}
	return nil
}

func (c *Client) putIdle(cn *conn, keep time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle) >= c.MaxIdle {
		return false
	}
	cn.expires = time.Now().Add(keep)
	c.idle = append(c.idle, cn)
	return true
}

// Close closes the idle connections; those in use are closed when their exchange ends.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, cn := range c.idle {
		_ = cn.Close()
	}
	c.idle = nil
}

// Idle returns the number of idle connections.
func (c *Client) Idle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle)
}
