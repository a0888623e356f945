package crforward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/citronramp/citronramp/internal/crexchange"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crcost"
	"github.com/citronramp/citronramp/pkg/crrouter"
	"github.com/citronramp/citronramp/pkg/crshed"
	"github.com/citronramp/citronramp/pkg/crspeed"
)

// call is one request to a backend server.
type call struct {
	id string
	// route is the name of the matched route, service the service whose servers may run the call.
	route, service       string
	method, target, host string
	header               http.Header
	body                 io.Reader
	length               int64
	// bufferedBody holds the complete body if bodyBuffered is set, which is the case for small bodies.
	bufferedBody []byte
	bodyBuffered bool
	// deadline is the earlier of the client's deadline and the route's timeout.
	deadline time.Time
	// due is when the target latency of the route is exceeded; it is not after deadline.
	due time.Time
	// suspended is the total time for which the machine had been suspended when the call arrived.
	suspended time.Duration
	// importance is derived from the priority of the route; a higher value is more important.
	importance uint32
	// priority is the rank of the request: that of its organisation if it has one, otherwise that of its route.
	priority int
	// ranked is set if priority and importance combine the priorities of the organisation and of the route.
	ranked bool
	// organisation is the name of the organisation whose key the request carried. It is empty for calls of servers and
	// on anonymous routes.
	organisation string
	// quota holds the tokens of a request whose organisation has a quota; nil for others.
	quota *quotaUse
	// excess is set if the request exceeds what is usual for its organisation at the service that limits its admission.
	excess bool
	// caller is the service of the instance at whose entrance the request arrived.
	caller string
	// callerIdle is set if the server of that instance ran nothing at the time, so that a client must have sent the
	// request.
	callerIdle bool
	// nonRepeatable forbids a second run of the call.
	nonRepeatable bool
	// countedAsDemand is set once the regulator of a gate has counted the call as demand, which happens once per call.
	countedAsDemand bool
	// repeat is set if the run of this attempt counts as a repeat: an earlier attempt reached a server, or a repeated run made
	// the call.
	repeat bool
	// rates holds, by service, the admission rate at the time the client's request was admitted. Calls made for that
	// request inherit it.
	rates crshed.Rates
	// origin is the classification of the route: whether clients or servers send its requests.
	origin origin
	// fingerprints identify requests with the same content.
	fingerprints fingerprints
}

// nowFor returns the present time in terms of the call's deadline, which includes time for which the machine was
// suspended.
func (n *Node) nowFor(c *call) time.Time { return time.Now().Add(n.Suspended() - c.suspended) }

// peek returns the first bytes of a body that is not buffered, without consuming them.
func (c *call) peek(most int64) ([]byte, error) {
	first, err := io.ReadAll(io.LimitReader(c.body, most))
	c.body = io.MultiReader(bytes.NewReader(first), c.body)
	return first, err
}

// rewind resets the body to its start. It reports false if the body was not buffered and cannot be read again.
func (c *call) rewind() bool {
	if c.length == 0 {
		return true
	}
	if c.bodyBuffered {
		c.body = bytes.NewReader(c.bufferedBody)
	}
	return c.bodyBuffered
}

// reply is the result of a call: a server's answer if code is OK, otherwise the reason why there is none.
type reply struct {
	code   crcode.Code
	detail string
	status int
	header http.Header
	length int64
	body   io.Reader
	// buffered is set if body holds the complete answer in memory.
	buffered bool
	load     *crrouter.Feedback
	// speed is nil if the gate does not report it.
	speed *crspeed.Report
	// retryAfter is when the gate expects to have capacity again; waited is the time in the gate's queue, took the
	// time at the server.
	retryAfter   time.Duration
	waited, took time.Duration
	// pressure is the pressure (demand as a multiple of capacity) of the gate that ran the call. board holds the
	// pressures of downstream services known there, and cost the cost of the route; cost is nil if the answer does not
	// report it.
	pressure float64
	// refused is the share of runs that the server refuses although it has free slots.
	refused float64
	board   []crshed.Entry
	cost    crcost.Vector
	origin  origin
	// downstreamFailed is set if a call that the server itself made failed during the run, so that the server may not
	// be at fault.
	downstreamFailed bool
	close            func()
}

func failureReply(code crcode.Code, detail string) *reply { return &reply{code: code, detail: detail} }

// outcomeName returns the outcome of the call as it appears in metric names.
func (r *reply) outcomeName() string {
	if r.code == crcode.OK && r.status >= http.StatusInternalServerError {
		return "server_error"
	}
	return r.code.String()
}

// release frees the resources that the reply holds, such as its connection.
func (r *reply) release() {
	if r.close != nil {
		r.close()
		r.close = nil
	}
}

// onRelease registers f to be called when the reply is released. If the reply holds no resources, f is called at once.
func (r *reply) onRelease(f func()) *reply {
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

// maxBufferedAnswerBytes is the size up to which an answer is read completely before it is forwarded, so that a
// truncated one can be replaced by an error or by another server's answer. Answers of typical services fit.
const maxBufferedAnswerBytes = 64 << 10

// errAnswerTruncated means that an answer ended before its announced length.
var errAnswerTruncated = errors.New("the answer ended early")

// bufferAnswer reads an answer of at most maxBufferedAnswerBytes into memory. A larger one remains a stream, and so does
// every answer while the budget b is spent. release returns the share of
// what was read.
func (b *bodyBudget) bufferAnswer(resp *crexchange.Response) (r io.Reader, length int64, buffered bool, release func(), err error) {
	room := resp.Length
	if room < 0 || room > maxBufferedAnswerBytes {
		room = maxBufferedAnswerBytes + 1
	}
	if !b.reserve(room) {
		return resp.Body, resp.Length, false, func() {}, nil
	}
	buf, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedAnswerBytes+1))
	if err != nil {
		b.unreserve(room)
		return nil, 0, false, nil, errors.Join(errAnswerTruncated, err)
	}
	if len(buf) > maxBufferedAnswerBytes {
		return io.MultiReader(bytes.NewReader(buf), resp.Body), -1, false, func() { b.unreserve(room) }, nil
	}
	b.unreserve(room - int64(len(buf)))
	return bytes.NewReader(buf), int64(len(buf)), true, func() { b.unreserve(int64(len(buf))) }, nil
}

// Limits of buffered request bodies.
const (
	// maxBufferedBodyBytes is the size of the largest body that is buffered so that it can be sent to a second server.
	maxBufferedBodyBytes = 512 << 10
	// bodyMemoryShare divides the memory limit of the process: 1/8 of it may hold buffered bodies, and another 1/8 buffered
	// answers. docs/design/memory_bounds.md lists what needs the rest.
	bodyMemoryShare = 8
)

// bodyBudget limits the memory of buffered bodies or answers.
type bodyBudget struct {
	limit int64
	used  atomic.Int64
}

// reserve takes n bytes of the budget. It reports false if too little is left.
func (b *bodyBudget) reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *bodyBudget) unreserve(n int64) { b.used.Add(-n) }

// buffer reads a small body of a call into memory; release returns its share of the budget. An error means that the
// body could not be read.
func (b *bodyBudget) buffer(c *call) (release func(), err error) {
	release = func() {}
	if c.length == 0 {
		return release, nil
	}
	room := c.length
	if room < 0 {
		room = maxBufferedBodyBytes
	}
	if room > maxBufferedBodyBytes || !b.reserve(room) {
		return release, nil
	}
	release = func() { b.unreserve(room) }
	buf, err := io.ReadAll(io.LimitReader(c.body, room+1))
	if err != nil {
		return release, err
	}
	if c.length < 0 && int64(len(buf)) > maxBufferedBodyBytes {
		c.body = io.MultiReader(bytes.NewReader(buf), c.body)
		return release, nil
	}
	c.bufferedBody, c.bodyBuffered, c.length = buf, true, int64(len(buf))
	c.rewind()
	return release, nil
}
