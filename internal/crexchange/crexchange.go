// Package crexchange makes one HTTP/1.1 exchange at a time over kept connections. Unlike the transport of the standard
// library it never sends a request again by itself, tells whether any byte of it was sent, and never uses a connection
// again on which anything unexpected came.
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

// Defaults of a client.
const (
	defaultDialTimeout = time.Second
	// defaultIdle is below the idle timeout of usual servers, which is 5 s or more.
	defaultIdle = 4 * time.Second
	// maxHeaderBytes bounds the head of a response.
	maxHeaderBytes = 64 << 10
	// maxStrays bounds the answers to earlier requests that are skipped before the own one, and strayBytes the body of each:
	// a new connection costs less than reading on.
	maxStrays  = 2
	strayBytes = 64 << 10
	// maxInterim bounds the 1xx answers before the final one; usual servers send one or two.
	maxInterim = 5
	bufferSize = 8 << 10
)

// ErrNotSent is wrapped by errors before any byte of the request was written: it has not run and never will.
var ErrNotSent = errors.New("nothing was sent")

// ErrForeign means that the response is no answer to the request.
var ErrForeign = errors.New("the response does not belong to the request")

// errInterim means that interim answers came without a final one.
var errInterim = errors.New("too many interim responses")

// Client holds the connections to one address. Set the exported fields before use.
type Client struct {
	Address string
	// MaxIdle bounds the idle connections; IdleTimeout is how long one is kept when the server names no time itself.
	MaxIdle     int
	IdleTimeout time.Duration
	DialTimeout time.Duration
	// ID returns the id of a request, which the server repeats in its response; nil takes every response. A connection never
	// carries two requests with one id, and a request without an id gets a connection of its own.
	ID func(http.Header) string
	// OnDial, when set, is told of each new connection.
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

// Response is an answer; Close must be called, and gives the connection back when the exchange was clean.
type Response struct {
	Status int
	Header http.Header
	// Length is -1 when the body ends with its last chunk or with the connection.
	Length int64
	Body   io.Reader

	conn   *conn
	client *Client
	stop   func() bool
	body   *trackedBody
	sent   <-chan error
	clean  bool
	keep   time.Duration
}

type conn struct {
	net.Conn
	meter  *meter
	reader *bufio.Reader
	until  time.Time
	// carried are the requests that the connection carried before.
	carried carried
}

// Do sends the request once and returns the head of its response. The connection is cut when ctx ends before Close.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	cn, err := c.take(ctx, r)
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
	resp, err := c.receive(cn, r)
	if err != nil {
		stop()
		_ = cn.Close()
		return nil, orContext(ctx, err)
	}
	resp.stop, resp.sent = stop, sent
	return resp, nil
}

func notSent(err error) error { return errors.Join(ErrNotSent, err) }

// orContext names the end of the context as the cause when it cut the connection.
func orContext(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.Join(context.Cause(ctx), err)
	}
	return err
}

// take returns an idle connection that is still sound, or a new one.
func (c *Client) take(ctx context.Context, r *Request) (*conn, error) {
	if !c.identified(r) {
		return c.dial(ctx)
	}
	id := c.digest(r)
	for cn := c.pick(id); cn != nil; cn = c.pick(id) {
		if time.Now().Before(cn.until) && quiet(cn.Conn) {
			cn.carried.add(id)
			return cn, nil
		}
		_ = cn.Close()
	}
	cn, err := c.dial(ctx)
	if err == nil {
		cn.carried.add(id)
	}
	return cn, err
}

// pick takes the idle connection that was used last and has not carried the request, nil for none.
func (c *Client) pick(id uint64) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, cn := range slices.Backward(c.idle) {
		if !cn.carried.has(id) {
			c.idle = slices.Delete(c.idle, i, i+1)
			return cn
		}
	}
	return nil
}

// owns reports whether a response is one to the request.
func (c *Client) owns(r *Request, response http.Header) bool {
	return c.ID == nil || c.ID(r.Header) == c.ID(response)
}

// dial opens a connection; the error wraps ErrNotSent.
func (c *Client) dial(ctx context.Context) (*conn, error) {
	limit := c.DialTimeout
	if limit == 0 {
		limit = defaultDialTimeout
	}
	nc, err := crdial.TCP(ctx, &net.Dialer{KeepAliveConfig: Probes, Control: control}, c.Address, limit)
	if err != nil {
		return nil, notSent(err)
	}
	if c.OnDial != nil {
		c.OnDial()
	}
	m := &meter{Conn: nc}
	return &conn{Conn: nc, meter: m, reader: bufio.NewReaderSize(m, bufferSize)}, nil
}

// writers are the buffers of requests that are being written: a connection holds one only while it sends.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}

func release(w *bufio.Writer) {
	w.Reset(nil)
	writers.Put(w)
}

// send writes the head, and the body in its own goroutine, so that an answer that comes before the body is in is read.
func (cn *conn) send(r *Request) (<-chan error, error) {
	w := writers.Get().(*bufio.Writer)
	w.Reset(cn)
	writeHead(w, r)
	if r.Body == nil || r.Length == 0 {
		defer release(w)
		return nil, w.Flush()
	}
	done := make(chan error, 1)
	go func() {
		defer release(w)
		err := writeBody(w, r)
		if err != nil {
			// A body that ends early must not look complete to the server.
			_ = cn.Close()
		}
		done <- err
	}()
	return done, nil
}

func writeHead(w *bufio.Writer, r *Request) {
	// Errors of a buffered writer stay until Flush.
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

// receive reads heads until the own response comes; late answers to earlier requests are skipped.
func (c *Client) receive(cn *conn, r *Request) (*Response, error) {
	request := &http.Request{Method: r.Method}
	clean := c.identified(r)
	for strays, interim := 0, 0; ; {
		cn.meter.left = maxHeaderBytes
		hr, err := http.ReadResponse(cn.reader, request)
		if err != nil {
			return nil, err
		}
		cn.meter.left = math.MaxInt
		if hr.StatusCode >= 100 && hr.StatusCode < 200 {
			if interim++; interim > maxInterim {
				return nil, errInterim
			}
			continue
		}
		if !c.owns(r, hr.Header) {
			if strays++; strays > maxStrays {
				return nil, ErrForeign
			}
			clean = false
			if err := skipBody(hr); err != nil {
				return nil, err
			}
			continue
		}
		body := &trackedBody{r: hr.Body}
		keep, ok := keepFor(hr, c.idleTime())
		return &Response{
			Status: hr.StatusCode, Header: hr.Header, Length: hr.ContentLength, Body: body, body: body, conn: cn, client: c,
			clean: clean && ok, keep: keep,
		}, nil
	}
}

// skipBody reads a stray's body to its end; one that is long, or ends only with the connection, is an error.
func skipBody(hr *http.Response) error {
	if hr.ContentLength < 0 && len(hr.TransferEncoding) == 0 {
		return ErrForeign
	}
	switch n, err := io.CopyN(io.Discard, hr.Body, strayBytes+1); {
	case n > strayBytes:
		return ErrForeign
	case err != io.EOF:
		return errors.Join(ErrForeign, err)
	}
	return nil
}

// meter bounds what is read while a head is awaited.
type meter struct {
	net.Conn
	left int
}

var errHeadTooLarge = errors.New("the head of the response is too large")

func (m *meter) Read(p []byte) (int, error) {
	if m.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := m.Conn.Read(p[:min(len(p), m.left)])
	m.left -= n
	return n, err
}

// keepFor returns how long the connection may stay idle, and whether it may be used again at all.
func keepFor(r *http.Response, idle time.Duration) (time.Duration, bool) {
	if r.Close {
		return 0, false
	}
	for _, part := range strings.Split(textproto.TrimString(r.Header.Get("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil {
			// The server counts from an earlier moment and in whole seconds.
			idle = min(idle, time.Duration(seconds)*time.Second-time.Second)
		}
	}
	return idle, idle > 0
}

// trackedBody remembers whether the body came whole.
type trackedBody struct {
	r     io.Reader
	whole bool
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if err == io.EOF {
		b.whole = true
	}
	return n, err
}

// Whole reports whether the body was read to its end.
func (r *Response) Whole() bool { return r.body.whole }

// Close ends the exchange; a connection that is not at a clean end is closed.
func (r *Response) Close() {
	alive := r.stop()
	sent := r.sent == nil
	if !sent {
		select {
		case err := <-r.sent:
			sent = err == nil
		default:
		}
	}
	if !alive || !sent || !r.clean || !r.body.whole || r.conn.reader.Buffered() > 0 || !r.client.give(r.conn, r.keep) {
		_ = r.conn.Close()
	}
}

// idleTime returns how long a connection is kept when the server names no time itself.
func (c *Client) idleTime() time.Duration {
	if c.IdleTimeout == 0 {
		return defaultIdle
	}
	return c.IdleTimeout
}

// Reach opens a connection and keeps it for later requests; the error tells why none could be opened.
func (c *Client) Reach(ctx context.Context) error {
	cn, err := c.dial(ctx)
	if err != nil {
		return err
	}
	if !c.give(cn, c.idleTime()) {
		_ = cn.Close()
	}
	return nil
}

func (c *Client) give(cn *conn, keep time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle) >= c.MaxIdle {
		return false
	}
	cn.until = time.Now().Add(keep)
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
