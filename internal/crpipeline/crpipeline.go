// Package crpipeline wraps the connections of clients that send further requests before the first has been answered.
//
// The server of the standard library serves the requests of a connection one after the other and notices that the client
// has left by one byte that it tries to read meanwhile. A request behind takes that byte, and nobody reads on. A Conn
// goes on reading into a bounded buffer, ends a context when the client leaves, and tells when each request arrived, since
// its time runs while it waits for the one before it.
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

// Bounds of what is read ahead on one connection. A client that sends more waits until its requests have been served.
const (
	// aheadBytes is far above a few heads, which have some hundred bytes each.
	aheadBytes = 32 << 10
	// aheadChunks bounds what many small packets cost besides their bytes.
	aheadChunks = 64
	chunkBytes  = 4 << 10
	// lingerLimit bounds the time in which a closed connection still takes what its client has sent.
	lingerLimit = 500 * time.Millisecond
)

// headEnd ends the head of a request.
var headEnd = []byte("\r\n\r\n")

// Conn is the connection of a client. It is for a server of the standard library.
type Conn struct {
	net.Conn

	// left ends the context of the connection.
	left context.CancelFunc

	mu sync.Mutex
	// changed tells waiting readers that there is more, an error, or nobody who reads.
	changed sync.Cond
	// held are the bytes that were read ahead.
	held      []chunk
	heldBytes int
	// reading is set while a goroutine reads from the connection, waiting counts the readers that leave that to it, and next
	// is set while the server reads a request and not for the end of the connection.
	reading bool
	waiting int
	next    bool
	err     error
	// deadline is the present one of reads; zero means none.
	deadline time.Time
	// tail are the last bytes that were delivered, arrived is when they came.
	tail    []byte
	arrived time.Time
	// pipelined is set once something was read ahead.
	pipelined bool
	closing   sync.Once
}

// chunk is what one read brought.
type chunk struct {
	at    time.Time
	bytes []byte
}

type listener struct{ net.Listener }

// Listen wraps the connections that a listener accepts.
func Listen(ln net.Listener) net.Listener { return listener{ln} }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &Conn{Conn: c, left: func() {}}
	wrapped.changed.L = &wrapped.mu
	return wrapped, nil
}

type connKey struct{}

// Context returns the context of a connection, which ends when the client leaves; it is for http.Server.ConnContext.
func Context(ctx context.Context, c net.Conn) context.Context {
	wrapped, ok := c.(*Conn)
	if !ok {
		return ctx
	}
	ctx, wrapped.left = context.WithCancel(ctx)
	return context.WithValue(ctx, connKey{}, wrapped)
}

// Arrived returns when the request with the context came in whole, up to the end of its head; now when that is unknown.
func Arrived(ctx context.Context, now time.Time) time.Time {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return now
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.arrived.IsZero() || c.arrived.After(now) {
		return now
	}
	return c.arrived
}

// Read delivers no byte behind the end of a head together with that head, so that the next request has a time of its own.
// A read of a single byte is how the server looks for the end of the connection while a request runs.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	look := len(p) == 1
	c.next = !look
	for len(c.held) == 0 && c.err == nil && c.reading {
		c.waiting++
		c.changed.Wait()
		c.waiting--
	}
	n := 0
	switch {
	case len(c.held) > 0:
		n = c.take(p)
	case c.err == nil:
		n = c.read(p)
	}
	err := c.err
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// The next read has a deadline of its own, also when this one had its bytes before.
		c.err = nil
	}
	if n == 0 {
		return 0, err
	}
	if look && !c.reading && c.err == nil {
		c.pipelined, c.reading = true, true
		go c.readAhead()
	}
	return n, nil
}

// read reads once from the connection and returns what may be delivered; the lock is held but for the read itself.
func (c *Conn) read(p []byte) int {
	c.reading = true
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.reading = false
	now := time.Now()
	c.fail(err)
	end := c.deliver(now, p[:n])
	c.hold(now, p[end:n])
	c.changed.Broadcast()
	return end
}

// take moves held bytes to p; the lock is held.
func (c *Conn) take(p []byte) int {
	first := &c.held[0]
	n := c.deliver(first.at, p[:copy(p, first.bytes)])
	c.heldBytes -= n
	if first.bytes = first.bytes[n:]; len(first.bytes) == 0 {
		c.held = c.held[1:]
	}
	return n
}

// deliver notes that bytes that came at a time are delivered and returns how many: up to the end of the first head.
func (c *Conn) deliver(at time.Time, p []byte) int {
	if len(p) == 0 {
		return 0
	}
	if end := endOfHead(c.tail, p); end > 0 {
		p = p[:end]
	}
	c.tail = append(c.tail, p[max(0, len(p)-len(headEnd)+1):]...)
	c.tail = c.tail[max(0, len(c.tail)-len(headEnd)+1):]
	c.arrived = at
	return len(p)
}

// hold keeps bytes for later reads; the lock is held.
func (c *Conn) hold(at time.Time, b []byte) {
	if len(b) > 0 {
		c.held = append(c.held, chunk{at, bytes.Clone(b)})
		c.heldBytes += len(b)
	}
}

// fail takes the error of a read; the lock is held.
func (c *Conn) fail(err error) {
	if err == nil {
		return
	}
	if c.err = err; !errors.Is(err, os.ErrDeadlineExceeded) {
		c.left()
	}
}

// endOfHead returns the position in p behind the end of a head that may have begun in the bytes before, or 0.
func endOfHead(before, p []byte) int {
	joint := append(bytes.Clone(before), p[:min(len(p), len(headEnd)-1)]...)
	if i := bytes.Index(joint, headEnd); i >= 0 {
		return i + len(headEnd) - len(before)
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
		c.hold(time.Now(), buf[:n])
		c.fail(err)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			expired := !c.deadline.IsZero() && !time.Now().Before(c.deadline)
			if c.waiting == 0 || !expired {
				// The deadline was for a read that is over.
				c.err = nil
			}
			if c.waiting > 0 && !expired {
				c.mu.Unlock()
				continue
			}
		}
		c.reading = err == nil && !c.next && c.heldBytes < aheadBytes && len(c.held) < aheadChunks
		more := c.reading
		c.changed.Broadcast()
		c.mu.Unlock()
		if !more {
			return
		}
	}
}

// SetReadDeadline sets the time at which reads end.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the time at which reads and writes end.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Close closes the connection. One with requests that were not read closes for writing first: bytes that nobody has read
// would reset it, and the last answer might not arrive.
func (c *Conn) Close() error {
	var err error
	c.closing.Do(func() {
		c.left()
		c.mu.Lock()
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

// linger takes what the client still sends, for a while.
func (c *Conn) linger() {
	// Whatever ends the reads, the connection closes.
	_ = c.SetReadDeadline(time.Now().Add(lingerLimit))
	_, _ = io.Copy(io.Discard, c.Conn)
	_ = c.Conn.Close()
}

// CloseWrite ends the answers; the server uses it to let the last one arrive.
func (c *Conn) CloseWrite() error {
	t, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return t.CloseWrite()
}
