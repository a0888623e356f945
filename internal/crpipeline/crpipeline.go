// Package crpipeline wraps server connections of clients that pipeline requests, that is, send further requests before
// the first has been answered.
//
// The HTTP server of the standard library serves the requests of a connection one after the other. While a request runs
// it tries to read one byte to detect that the client has disconnected. The first byte of a pipelined request ends that
// read, and no further read detects a disconnect. A Conn continues to read into a bounded buffer, cancels a context when
// the client disconnects, and records when each request arrived, since the deadline of a request also runs while it waits
// for the previous one.
package crpipeline

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// Limits of the data that is read ahead on one connection. A client that sends more is blocked until its requests have
// been served.
const (
	// maxAheadBytes is far above the size of a few request heads, which have some hundred bytes each.
	maxAheadBytes = 32 << 10
	// maxAheadChunks bounds the overhead of many small packets.
	maxAheadChunks = 64
	// chunkOverhead is what a buffered chunk takes beside its data.
	chunkOverhead = 64
	chunkBytes    = 4 << 10
	// maxLinger bounds the time in which a closed connection still reads what its client sends.
	maxLinger = 500 * time.Millisecond
)

// headEnd ends the head of a request.
var headEnd = []byte("\r\n\r\n")

// Conn is the server side of a client connection, for use with the HTTP server of the standard library.
type Conn struct {
	net.Conn

	// cancel ends the context of the connection.
	cancel context.CancelFunc

	mu sync.Mutex
	// changed signals waiting readers that there is data, an error, or no active reader.
	changed sync.Cond
	// buffered is the data that was read ahead.
	buffered      []chunk
	bufferedBytes int
	// reading is set while a goroutine reads from the connection. waiting counts the readers that wait for that
	// goroutine. wantsRequest is set while the server reads a request, as opposed to probing for the end of the
	// connection.
	reading      bool
	waiting      int
	wantsRequest bool
	err          error
	// deadline is the current read deadline; zero means none.
	deadline time.Time
	// tail is the end of the data that was delivered, and arrivedAt is when that data arrived.
	tail      []byte
	arrivedAt time.Time
	// pipelined is set when a read ahead has started.
	pipelined bool
	// reserve grants memory for what is read ahead, and takes it back as a negative number. reserved is the sum that it
	// has granted; a closed connection reserves nothing.
	reserve  func(n int) bool
	reserved int
	closed   bool
	closing  sync.Once
}

// chunk is the data of one read.
type chunk struct {
	at    time.Time
	bytes []byte
}

type listener struct{ net.Listener }

// Listen returns a listener that wraps the connections that ln accepts.
func Listen(ln net.Listener) net.Listener { return listener{ln} }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &Conn{Conn: c, cancel: func() {}, reserve: func(int) bool { return true }}
	wrapped.changed.L = &wrapped.mu
	return wrapped, nil
}

// LimitReadAhead sets the function that grants the memory for what the connection reads ahead: it is called with a number
// of bytes before they are read, and with a negative number when they have been delivered. The connection reads no
// further ahead while it reports false. It is called with the lock of the connection held.
func (c *Conn) LimitReadAhead(reserve func(n int) bool) { c.reserve = reserve }

type connKey struct{}

// ConnContext returns the context of a connection, which is cancelled when the client disconnects. It is for
// http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if outer, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = outer.NetConn()
	}
	wrapped, ok := c.(*Conn)
	if !ok {
		return ctx
	}
	ctx, wrapped.cancel = context.WithCancel(ctx)
	return context.WithValue(ctx, connKey{}, wrapped)
}

// ArrivalTime returns when the head of the request with this context had arrived completely, or now when that is unknown.
func ArrivalTime(ctx context.Context, now time.Time) time.Time {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return now
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.arrivedAt.IsZero() || c.arrivedAt.After(now) {
		return now
	}
	return c.arrivedAt
}

// Read returns data up to the end of a request head at most, so that the next request gets its own arrival time. A read
// of a single byte is the server's probe for the end of the connection while a request runs.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	probe := len(p) == 1
	c.wantsRequest = !probe
	for len(c.buffered) == 0 && c.err == nil && c.reading {
		c.waiting++
		c.changed.Wait()
		c.waiting--
	}
	n := 0
	switch {
	case len(c.buffered) > 0:
		n = c.takeBuffered(p)
	case c.err == nil:
		n = c.readDirect(p)
	}
	err := c.err
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// A deadline error concerns only the read that reached its deadline; the next read has its own, even when this
		// one returns data.
		c.err = nil
	}
	if n == 0 {
		return 0, err
	}
	if probe && !c.reading && c.err == nil && c.settle(true) {
		c.pipelined, c.reading = true, true
		go c.readAhead()
	}
	return n, nil
}

// readDirect reads once from the connection and returns how much of the data may be delivered. The caller holds the lock,
// which is released during the read itself.
func (c *Conn) readDirect(p []byte) int {
	c.reading = true
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.reading = false
	now := time.Now()
	c.recordError(err)
	end := c.deliver(now, p[:n])
	c.appendBuffer(now, p[end:n])
	c.changed.Broadcast()
	return end
}

// takeBuffered moves buffered data to p. The caller holds the lock.
func (c *Conn) takeBuffered(p []byte) int {
	first := &c.buffered[0]
	n := c.deliver(first.at, p[:copy(p, first.bytes)])
	c.bufferedBytes -= n
	if first.bytes = first.bytes[n:]; len(first.bytes) == 0 {
		c.buffered = c.buffered[1:]
	}
	c.settle(c.reading)
	return n
}

// settle adapts the reserved memory to the buffered data and, if the connection continues to read ahead, the next chunk.
// It reports whether the memory was granted. The caller holds the lock.
func (c *Conn) settle(more bool) bool {
	want := c.bufferedBytes + len(c.buffered)*chunkOverhead
	if more {
		want += chunkBytes
	}
	if c.closed || !c.reserve(want-c.reserved) {
		return false
	}
	c.reserved = want
	return true
}

// deliver records the delivery of data that arrived at the given time and returns how much of it is delivered: up to the
// end of the first head.
func (c *Conn) deliver(at time.Time, p []byte) int {
	if len(p) == 0 {
		return 0
	}
	if end := endOfHead(c.tail, p); end > 0 {
		p = p[:end]
	}
	c.tail = append(c.tail, p[max(0, len(p)-len(headEnd)+1):]...)
	c.tail = c.tail[max(0, len(c.tail)-len(headEnd)+1):]
	c.arrivedAt = at
	return len(p)
}

// appendBuffer buffers data for later reads. The caller holds the lock.
func (c *Conn) appendBuffer(at time.Time, b []byte) {
	if len(b) > 0 {
		c.buffered = append(c.buffered, chunk{at, bytes.Clone(b)})
		c.bufferedBytes += len(b)
	}
}

// recordError records the error of a read and cancels the context unless it is a timeout. The caller holds the lock.
func (c *Conn) recordError(err error) {
	if err == nil {
		return
	}
	if c.err = err; !errors.Is(err, os.ErrDeadlineExceeded) {
		c.cancel()
	}
}

// endOfHead returns the position in p after the end of a head, which may start in the previous bytes, or 0 when there is
// none.
func endOfHead(previous, p []byte) int {
	joint := append(bytes.Clone(previous), p[:min(len(p), len(headEnd)-1)]...)
	if i := bytes.Index(joint, headEnd); i >= 0 {
		return i + len(headEnd) - len(previous)
	}
	if i := bytes.Index(p, headEnd); i >= 0 {
		return i + len(headEnd)
	}
	return 0
}

// readAhead reads until the buffer is full, the server reads the next request, or the connection ends.
func (c *Conn) readAhead() {
	buf := make([]byte, chunkBytes)
	for {
		n, err := c.Conn.Read(buf)
		c.mu.Lock()
		c.appendBuffer(time.Now(), buf[:n])
		c.recordError(err)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			expired := !c.deadline.IsZero() && !time.Now().Before(c.deadline)
			if c.waiting == 0 || !expired {
				// The deadline belonged to an earlier read.
				c.err = nil
			}
			if c.waiting > 0 && !expired {
				c.mu.Unlock()
				continue
			}
		}
		c.reading = err == nil && !c.wantsRequest && c.bufferedBytes < maxAheadBytes && len(c.buffered) < maxAheadChunks
		if c.reading = c.reading && c.settle(true); !c.reading {
			c.settle(false)
		}
		more := c.reading
		c.changed.Broadcast()
		c.mu.Unlock()
		if !more {
			return
		}
	}
}

// SetReadDeadline sets the deadline of reads.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadline of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Close closes the connection. A connection with unread requests is closed for writing first: unread data would reset the
// connection, and the last answer could be lost.
func (c *Conn) Close() error {
	var err error
	c.closing.Do(func() {
		c.cancel()
		c.mu.Lock()
		c.closed = true
		c.reserve(-c.reserved)
		c.reserved = 0
		linger := c.pipelined && (c.err == nil || errors.Is(c.err, os.ErrDeadlineExceeded))
		c.mu.Unlock()
		if !linger || c.CloseWrite() != nil {
			err = c.Conn.Close()
			return
		}
		go c.linger()
	})
	return err
}

// linger reads and discards what the client still sends, for at most maxLinger.
func (c *Conn) linger() {
	// The connection is closed whatever ends the reads.
	_ = c.SetReadDeadline(time.Now().Add(maxLinger))
	_, _ = io.Copy(io.Discard, c.Conn)
	_ = c.Conn.Close()
}

// CloseWrite closes the connection for writing, so that the last answer can arrive.
func (c *Conn) CloseWrite() error {
	t, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return t.CloseWrite()
}
