package crnode

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/citronramp/citronramp/internal/crintake"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crrecord"
)

// serveHTTPCall handles a call from an outside caller or from the backend server beside this node.
func (n *Node) serveHTTPCall(w http.ResponseWriter, r *http.Request) {
	h, err := parseHeaders(r.Header)
	if err != nil {
		writeAnswer(w, "", refusalFromError(err))
		return
	}
	if h.token != "" {
		// A downstream call belongs to a run in flight, for which a stopping node still waits.
		n.downstreamCall(w, r, h)
		return
	}
	if !n.requests.begin() {
		writeAnswer(w, h.id, refusal(crcode.Stopping, ""))
		return
	}
	defer n.requests.end()
	n.rootCall(w, r, h)
}

// rootCall runs the request of an outside caller. The body is read only after admission.
func (n *Node) rootCall(w http.ResponseWriter, r *http.Request, h callHeaders) {
	now := time.Now()
	n.Counters.Add("requests", 1)
	kind, err := n.findKind(r.Context(), r.PathValue("service"), r.PathValue("kind"))
	if err != nil {
		writeAnswer(w, h.id, refusalFromError(err))
		return
	}
	id, err := n.requestID(now, h.id, kind)
	if err != nil {
		writeAnswer(w, h.id, refusalFromError(err))
		return
	}
	c := outboundCall{
		id: id.String(), rootID: id.String(), kind: kind, priority: n.priority(kind, id.String()), contentType: h.contentType,
		deadline: n.deadlineIn(boundedDeadline(h.deadline, kind.Deadline())),
	}
	a := n.admitAndCall(w, r, id, c)
	n.Counters.Add("answers_"+a.code.Outcome().String(), 1)
	n.goodput.count(kindName(kind), kind.Worth(), a)
	if a.code == crcode.Overloaded || a.code == crcode.QueueTimeout {
		n.shedKinds.add(now, kind.Service(), kind.Name())
	}
	writeAnswer(w, c.id, a)
}

func boundedDeadline(requested, limit time.Duration) time.Duration {
	if requested > 0 && requested < limit {
		return requested
	}
	return limit
}

// admitAndCall takes a place at the entrance, reads the body, counts the arrival and makes the call.
func (n *Node) admitAndCall(w http.ResponseWriter, r *http.Request, id crrecord.ID, c outboundCall) answer {
	if !n.places.Acquire(c.priority.Class()) {
		return n.shed(c.priority, 0, "the entrance is full")
	}
	defer n.places.Release(c.priority.Class())
	if a, refused := n.refusedByLevel(time.Now(), c); refused {
		return a
	}
	body, err := n.readBody(w, r, c.deadline.at)
	if err != nil {
		return refusalFromError(err)
	}
	c.body = body
	holder, a, ok := n.registerArrival(r.Context(), id, c)
	if !ok {
		return a
	}
	c.holder = holder
	return n.call(r.Context(), c)
}

// readBody reads the whole body within the deadline and the size limit.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request, deadline time.Time) ([]byte, error) {
	if r.ContentLength > int64(n.Settings.MaxBodyBytes) {
		return nil, crcode.New(crcode.BodyTooLarge, "%d bytes, at most %d", r.ContentLength, n.Settings.MaxBodyBytes)
	}
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(n.Settings.MaxBodyBytes)))
	if err != nil {
		if _, tooLarge := err.(*http.MaxBytesError); tooLarge {
			return nil, crcode.New(crcode.BodyTooLarge, "at most %d bytes", n.Settings.MaxBodyBytes)
		}
		if errors.Is(err, crintake.ErrRefused) {
			return nil, crcode.New(crcode.Overloaded, "the memory for bodies is in use")
		}
		return nil, crcode.New(crcode.BadRequest, "the body ended early")
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

// requestID checks the id that the caller sent. It generates one when there is none and the kind may be repeated.
func (n *Node) requestID(now time.Time, text string, kind kindInfo) (crrecord.ID, error) {
	if text == "" {
		if !kind.Repeatable() {
			return crrecord.ID{}, crcode.New(crcode.MissingID, "")
		}
		return n.newID(now), nil
	}
	id, err := crrecord.ParseID(text)
	if err != nil {
		return crrecord.ID{}, err
	}
	if id.Root() != id {
		return crrecord.ID{}, crcode.New(crcode.BadID, "a caller's id has no key")
	}
	if id.CreatedMS() > now.Add(crrecord.MaxFuture).UnixMilli() {
		return crrecord.ID{}, crcode.New(crcode.IDFromFuture, "")
	}
	return id, nil
}

// downstreamCall runs a call that the backend server beside this node makes for a request that it runs.
func (n *Node) downstreamCall(w http.ResponseWriter, r *http.Request, h callHeaders) {
	e, ok := n.executions.find(h.token)
	if !ok {
		writeAnswer(w, "", refusal(crcode.BadContext, ""))
		return
	}
	kind, err := n.findKind(r.Context(), r.PathValue("service"), r.PathValue("kind"))
	if err != nil {
		writeAnswer(w, "", refusalFromError(err))
		return
	}
	c := outboundCall{
		rootID: e.rootID, kind: kind, priority: e.priority, holder: e.holder, depth: e.depth + 1, contentType: h.contentType,
		deadline: n.deadlineIn(min(n.remaining(e.deadline), boundedDeadline(h.deadline, kind.Deadline()))),
	}
	if c.id, err = e.downstreamID(h, kind); err != nil {
		writeAnswer(w, "", refusalFromError(err))
		return
	}
	if c.body, err = n.readBody(w, r, c.deadline.at); err != nil {
		writeAnswer(w, c.id, refusalFromError(err))
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(e.ctx, cancel)()
	e.beginDownstreamCall(time.Now())
	a := n.call(ctx, c)
	e.endDownstreamCall(time.Now())
	e.addReached(append(a.reached, kind.Service())...)
	writeAnswer(w, c.id, a)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
