package crforward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crcost"
	"github.com/citronramp/citronramp/pkg/crrouter"
	"github.com/citronramp/citronramp/pkg/crshed"
)

// call is one request on its way to a backend server.
type call struct {
	id string
	// route names the kind of work, service the servers that may run it.
	route, service       string
	method, target, host string
	header               http.Header
	body                 io.Reader
	length               int64
	// replay holds the whole body when it was small enough to keep.
	replay []byte
	kept   bool
	// deadline is when the client or the route gives up.
	deadline time.Time
	// due is when the answer is late by the target of its route.
	due time.Time
	// suspended is for how long the machine had been suspended when the call came.
	suspended time.Duration
	// worth ranks the route, a higher one is more important.
	worth uint32
	// caller is the service of the instance where the request began.
	caller string
	// idle tells that the server of that instance ran nothing, so that a client sent the request.
	idle bool
	// once forbids a second run.
	once bool
	// counted is set once a gate has counted the call as asked for.
	counted bool
	// rates is what was let in when the client's request was that the call belongs to.
	rates crshed.Rates
	// origin tells whether clients or servers send the requests of the route, as far as known.
	origin origin
	// prints tell requests with the same content.
	prints prints
}

// present returns the time for the call's deadline, which goes on while the machine is suspended.
func (n *Node) present(c *call) time.Time { return time.Now().Add(n.Suspended() - c.suspended) }

// peek reads the first bytes of a body that is not kept and leaves it as it was.
func (c *call) peek(most int64) ([]byte, error) {
	first, err := io.ReadAll(io.LimitReader(c.body, most))
	c.body = io.MultiReader(bytes.NewReader(first), c.body)
	return first, err
}

// rewind makes the body readable again from its start; it reports false when the body is gone.
func (c *call) rewind() bool {
	if c.length == 0 {
		return true
	}
	if c.kept {
		c.body = bytes.NewReader(c.replay)
	}
	return c.kept
}

// reply is the end of a call: a server's answer when code is OK, otherwise the reason why there is none.
type reply struct {
	code   crcode.Code
	detail string
	status int
	header http.Header
	length int64
	body   io.Reader
	// whole tells that body holds the complete answer in memory.
	whole bool
	load  *crrouter.Feedback
	// retryIn is when there may be room; waited and took are the times in the gate's queue and at the server.
	retryIn      time.Duration
	waited, took time.Duration
	// pressure is that of the gate, board and cost what it knows of the services below; cost is nil when it tells none.
	pressure float64
	board    []crshed.Entry
	cost     crcost.Vector
	origin   origin
	// excused tells that the server's failure may be that of a call that it made.
	excused bool
	close   func()
}

func refuse(code crcode.Code, detail string) *reply { return &reply{code: code, detail: detail} }

// ending names how the call ended, for metrics.
func (r *reply) ending() string {
	if r.code == crcode.OK && r.status >= http.StatusInternalServerError {
		return "server_error"
	}
	return r.code.String()
}

// end releases what the reply holds.
func (r *reply) end() {
	if r.close != nil {
		r.close()
		r.close = nil
	}
}

// endWith has a function called when what the reply holds is released, at once for one that holds nothing.
func (r *reply) endWith(f func()) *reply {
	if r.close == nil {
		f()
		return r
	}
	inner := r.close
	r.close = func() {
		inner()
		f()
	}
	return r
}

// wholeBytes is the size up to which an answer is read whole before any of it is passed on, so that a broken one can be
// replaced by an error or another server's answer; answers of usual services fit.
const wholeBytes = 64 << 10

// errBroken means that an answer ended before its end.
var errBroken = errors.New("the answer ended early")

// readWhole reads a small answer to its end; a large one is left as a stream.
func readWhole(body io.Reader) (r io.Reader, length int64, whole bool, err error) {
	buf, err := io.ReadAll(io.LimitReader(body, wholeBytes+1))
	if err != nil {
		return nil, 0, false, errors.Join(errBroken, err)
	}
	if len(buf) <= wholeBytes {
		return bytes.NewReader(buf), int64(len(buf)), true, nil
	}
	return io.MultiReader(bytes.NewReader(buf), body), -1, false, nil
}

// Bounds of kept request bodies.
const (
	// keptBodyBytes is the largest body that is kept in memory so that it can be sent to a second server.
	keptBodyBytes = 512 << 10
	// bodyMemoryShare is the part of the memory, one in so many, that kept bodies may take; the runtime needs about as much
	// again while it collects, and answers and connections need the rest.
	bodyMemoryShare = 8
)

// bodies bounds the memory of kept bodies.
type bodies struct {
	limit int64
	used  atomic.Int64
}

// take reserves room and reports whether there was any.
func (b *bodies) take(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *bodies) give(n int64) { b.used.Add(-n) }

// keep reads the body of a call into memory when it is small; release gives the room back. An error is one of reading.
func (b *bodies) keep(c *call) (release func(), err error) {
	release = func() {}
	if c.length == 0 {
		return release, nil
	}
	room := c.length
	if room < 0 {
		room = keptBodyBytes
	}
	if room > keptBodyBytes || !b.take(room) {
		return release, nil
	}
	release = func() { b.give(room) }
	buf, err := io.ReadAll(io.LimitReader(c.body, room+1))
	if err != nil {
		return release, err
	}
	if c.length < 0 && int64(len(buf)) > keptBodyBytes {
		c.body = io.MultiReader(bytes.NewReader(buf), c.body)
		return release, nil
	}
	c.replay, c.kept, c.length = buf, true, int64(len(buf))
	c.rewind()
	return release, nil
}
