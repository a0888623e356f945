package crintake

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// phase is what the server does with a connection.
type phase uint8

const (
	// awaiting means that no byte of the next head has arrived, reading that a part of it has.
	awaiting phase = iota
	reading
	// running means that the head was read and the request has not been answered.
	running
)

// readerBytes is the size of the buffer of net/http, which may hold bytes beyond the present head or body.
const readerBytes = 4 << 10

// conn charges what net/http reads from a connection to the budget.
type conn struct {
	net.Conn
	listener *Listener
	// charge is what the connection holds of the budget. evicted is the Bound for which the connection was closed.
	charge  atomic.Int64
	evicted atomic.Uint32

	mu    sync.Mutex
	phase phase
	head  headScanner
	// since is when the server began to wait for the client. inBody is set from the first read of a body until its end,
	// and served after the first request.
	since          time.Time
	inBody, served bool
	// answered is set after a refusal was written.
	answered bool
	// beyond is the cost of the bytes that may be left in the buffer of net/http after the head or body. They are charged,
	// but do not count for the size of the next head, which may exceed its limit by as much.
	beyond int64
	// bodyBytes is the size of the part of the body that was read and charged with bodyByteCost.
	bodyBytes int64
	// probed is the byte that net/http has read to detect the end of the connection: the first of the next head.
	probed []byte
	// deadlines counts the read deadlines since the last request ended: net/http sets the first one to wait for the next
	// request and the second one to read it.
	deadlines int
	closing   sync.Once
}

// startWaiting begins the wait for a head.
func (c *conn) startWaiting(now time.Time) {
	c.phase, c.head, c.since, c.deadlines, c.inBody, c.bodyBytes = awaiting, headScanner{}, now, 0, false, 0
}

// waits reports whether the connection waits for its client to complete a request that it has begun.
func (c *conn) waits() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase != running || c.inBody
}

// closingRank returns how readily the connection is closed for another one, 0 for not at all, and since when it waits.
func (c *conn) closingRank(now time.Time) (rank int, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase != running && !c.served:
		return 3, c.since
	case c.phase != running:
		return 2, c.since
	case c.inBody && now.Sub(c.since) > bodyPatience:
		return 1, c.since
	}
	return 0, c.since
}

// evict makes the reader of a connection that waits for its client end it, and reports whether it does.
func (c *conn) evict(bound Bound) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == running && !c.inBody {
		return false
	}
	c.evicted.Store(uint32(bound))
	// The error is ignored: a connection without a deadline is closed already.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// closeNow ends a connection that waits for its client.
func (c *conn) closeNow() {
	c.evicted.Store(uint32(Connections))
	_ = c.Close()
}

// requestRead ends the head; its charge stays until the request has been answered.
func (c *conn) requestRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = running
	if c.evicted.Swap(0) != 0 {
		// The head was complete before the connection could be ended.
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// requestEnded releases the charge of the request.
func (c *conn) requestEnded(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startWaiting(now)
	c.head.scan(c.probed)
	c.probed = c.probed[:0]
	c.served = true
	c.setCharge(c.beyond)
}

// setCharge changes the charge without a check.
func (c *conn) setCharge(n int64) {
	c.listener.budget.used.Add(n - c.charge.Swap(n))
}

// reserveReadAhead charges what the connection reads ahead while a request runs.
func (c *conn) reserveReadAhead(n int) bool {
	b := c.listener.budget
	if b.used.Add(int64(n)) > b.Bytes()/readAheadShare && n > 0 {
		b.used.Add(-int64(n))
		return false
	}
	return true
}

// ErrRefused is the error of reads from a connection whose client met a bound. The request has not been read completely.
// net/http closes such a connection silently.
var ErrRefused error = &net.OpError{Op: "read", Err: errors.New("refused")}

// Read reads from the connection and charges the bytes of a head before it returns them.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.phase == running {
		return c.readBody(p)
	}
	if c.deadlines == 1 && c.phase == awaiting {
		// net/http waits for the next request, so that its buffer is empty but for three bytes.
		c.beyond = 0
		c.setCharge(0)
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if bound := Bound(c.evicted.Load()); bound != notBound {
		return 0, c.refuse(bound)
	}
	if n == 0 {
		return n, err
	}
	if bound := c.chargeHead(p[:n]); bound != notBound {
		c.listener.budget.met(time.Now(), c.listener.name, bound)
		return 0, c.refuse(bound)
	}
	return n, err
}

// readBody reads while a request runs. The caller holds the lock, which is released.
func (c *conn) readBody(p []byte) (int, error) {
	// net/http probes for the end of the connection only after the end of the body.
	probe := len(p) == 1
	if c.inBody = !probe; c.inBody {
		c.since = time.Now()
	} else if c.bodyBytes > 0 {
		c.setCharge(c.charge.Load() - c.bodyBytes*(bodyByteCost-heldByteCost))
		c.bodyBytes = 0
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch got := costOf(n, bytes.Count(p[:n], []byte{'\n'})); {
	case probe:
		c.beyond += got
		c.probed = append(c.probed, p[:n]...)
	case len(p) <= readerBytes:
		c.beyond = got
	default:
		// The bytes did not go through the buffer.
		c.beyond = 0
	}
	if c.evicted.Load() != 0 || n > 0 && !probe && c.listener.ChargeBodies && !c.chargeBody(n) {
		return 0, ErrRefused
	}
	return n, err
}

// chargeBody charges a part of a body until its request has been answered, and reports whether it fits. The caller holds
// the lock, which is released meanwhile.
func (c *conn) chargeBody(n int) bool {
	more := int64(n) * bodyByteCost
	c.mu.Unlock()
	now := time.Now()
	ok := c.listener.budget.reserve(now, c, more)
	if !ok {
		c.listener.budget.met(now, c.listener.name, Memory)
	}
	c.mu.Lock()
	if !ok {
		c.evicted.Store(uint32(Memory))
		return false
	}
	c.charge.Add(more)
	c.bodyBytes += int64(n)
	return true
}

// chargeHead measures the bytes of a head, charges them, and returns the bound that they exceed.
func (c *conn) chargeHead(p []byte) Bound {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = reading
	n := c.head.scan(p)
	after := costOf(len(p)-n, bytes.Count(p[n:], []byte{'\n'}))
	switch {
	case c.head.bytes > c.listener.headerBytes():
		return HeadBytes
	case c.head.lines > maxHeaderLines:
		return HeadLines
	case c.head.emptyLines > maxEmptyLines:
		return EmptyLines
	}
	want := c.beyond + c.head.cost() + after
	more := want - c.charge.Load()
	c.mu.Unlock()
	ok := c.listener.budget.reserve(time.Now(), c, more)
	c.mu.Lock()
	if !ok {
		return Memory
	}
	c.charge.Add(more)
	if c.head.ended {
		c.beyond = after
	}
	return notBound
}

// refuse answers a request that was not read completely, and will not run, and returns the error that ends the
// connection.
func (c *conn) refuse(bound Bound) error {
	c.mu.Lock()
	begun := c.head.bytes > 0
	c.mu.Unlock()
	if !begun {
		return ErrRefused
	}
	status := "503 Service Unavailable"
	switch bound {
	case HeadBytes, HeadLines:
		status = "431 Request Header Fields Too Large"
	case EmptyLines, Connections:
		return ErrRefused
	default:
	}
	// The answer is short; a client that does not read loses it.
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+status+"\r\nRetry-After: "+strconv.Itoa(retryAfterSeconds)+"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	_ = c.CloseWrite()
	c.mu.Lock()
	c.answered = true
	c.mu.Unlock()
	return ErrRefused
}

const (
	// refusalTimeout bounds the time to write a refusal, which fits into the socket's buffer.
	refusalTimeout = 100 * time.Millisecond
	// retryAfterSeconds is when a refused client should return.
	retryAfterSeconds = 1
	// lingerTime bounds how long a refused connection discards what its client still sends, so that the refusal is not
	// lost; lingerBytes bounds what it discards.
	lingerTime  = 300 * time.Millisecond
	lingerBytes = 256 << 10
)

// SetReadDeadline sets the deadline of reads, unless the connection is about to be ended.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadlines++
	if c.evicted.Load() != 0 {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the connection for writing.
func (c *conn) CloseWrite() error {
	t, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return t.CloseWrite()
}

// NetConn returns the wrapped connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Close closes the connection and releases its charge. A connection whose client was told of its refusal discards what
// the client still sends, since unread data would reset the connection and the refusal could be lost.
func (c *conn) Close() error {
	c.mu.Lock()
	lingers := c.answered && c.evicted.Load() != uint32(Connections)
	c.mu.Unlock()
	if !lingers {
		return c.end()
	}
	c.releaseCharge()
	go func() {
		// The connection is closed whatever ends the reads.
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
		_ = c.end()
	}()
	return nil
}

// end closes the connection at once.
func (c *conn) end() error {
	err := c.Conn.Close()
	c.closing.Do(func() {
		c.releaseCharge()
		b := c.listener.budget
		b.mu.Lock()
		defer b.mu.Unlock()
		c.listener.forget(c)
	})
	return err
}

// releaseCharge returns the charge of a connection that ends. The lock keeps the sum and the charge equal for makeRoom, which
// counts the charges of ended connections as gone.
func (c *conn) releaseCharge() {
	b := c.listener.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.setCharge(0)
}
