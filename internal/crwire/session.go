package crwire

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// Session is a connection to another process. Each side may call methods of the other.
type Session struct {
	peer  Peer
	mux   *Mux
	conn  *earlyCloseConn
	yamux *yamux.Session
	idle  idleStreams
	// called is set after the first call of the peer.
	called atomic.Bool
	// ctx ends with the session, so that handlers stop when the connection to the peer is lost.
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// keepAliveInterval is the interval between pings. Together with the write timeout of a ping, a peer that does not answer is
// detected within 2 s.
const keepAliveInterval = time.Second

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	// The session sends its own pings, see keepAlive: the keepalive of yamux would end the session on a goroutine other than the
	// reading one.
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = time.Second
	c.StreamCloseTimeout = 5 * time.Second
	c.AcceptBacklog = 4096
	// Pings detect a silent peer and each call has its own deadline, so that a timer for each stream is not needed.
	c.StreamOpenTimeout = 0
	c.LogOutput = io.Discard
	return c
}

func newSession(conn net.Conn, peer Peer, mux *Mux, client bool) (*Session, error) {
	var (
		ya  *yamux.Session
		err error
	)
	lower := newEarlyCloseConn(conn)
	if client {
		ya, err = yamux.Client(&mergingConn{Conn: lower}, yamuxConfig())
	} else {
		ya, err = yamux.Server(&mergingConn{Conn: lower}, yamuxConfig())
	}
	if err != nil {
		return nil, crcode.New(crcode.ConnectionLost, "%v", err)
	}
	s := &Session{peer: peer, mux: mux, conn: lower, yamux: ya}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.wg.Add(1)
	go s.acceptLoop()
	s.wg.Go(s.keepAlive)
	return s, nil
}

// keepAlive pings the peer at each interval and ends the session when a ping is not answered.
func (s *Session) keepAlive() {
	tick := time.NewTicker(keepAliveInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.Done():
			return
		case <-tick.C:
			if _, err := s.yamux.Ping(); err != nil {
				s.conn.closeConn()
				return
			}
		}
	}
}

// Peer returns the process at the other end of the session.
func (s *Session) Peer() Peer { return s.peer }

// RemoteAddr returns the network address of the other end.
func (s *Session) RemoteAddr() net.Addr { return s.yamux.RemoteAddr() }

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.yamux.CloseChan() }

// Close ends the session and waits for its handlers.
func (s *Session) Close() error {
	s.cancel()
	s.conn.closeConn()
	<-s.Done()
	err := s.yamux.Close()
	s.wg.Wait()
	return err
}

func (s *Session) acceptLoop() {
	defer s.wg.Done()
	defer s.cancel()
	for {
		st, err := s.yamux.AcceptStream()
		if err != nil {
			return
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.serve(st)
		}()
	}
}

// request is a request read from a stream, or the error of reading it.
type request struct {
	envelope *Envelope
	err      error
}

// serve handles the calls of one stream, one after the other. The caller cancels a running handler by closing the stream.
func (s *Session) serve(st *yamux.Stream) {
	defer func() { _ = st.Close() }()
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	requests := make(chan request)
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		defer cancel()
		readRequests(ctx, st, requests)
	}()
	for {
		select {
		case r := <-requests:
			if r.err != nil {
				_ = writeFrame(st, errorEnvelope(r.err), MaxMessageBytes)
				return
			}
			if !s.answer(ctx, st, r.envelope) {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// readRequests sends the requests of a stream to out until the stream or ctx ends.
func readRequests(ctx context.Context, st *yamux.Stream, out chan<- request) {
	for {
		r := request{envelope: new(Envelope)}
		r.err = readFrame(st, r.envelope, MaxMessageBytes)
		if r.err != nil && crcode.Of(r.err) == crcode.ConnectionLost {
			return
		}
		select {
		case out <- r:
		case <-ctx.Done():
			return
		}
	}
}

// answer runs the handler of one request and reports whether the stream can be used for another request.
func (s *Session) answer(ctx context.Context, st *yamux.Stream, req *Envelope) bool {
	s.called.Store(true)
	h, ok := s.handler(req.GetMethod())
	if !ok {
		_ = writeFrame(st, errorEnvelope(crcode.New(crcode.UnknownMethod, "%q", req.GetMethod())), MaxMessageBytes)
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	send := func(m proto.Message) error { return sendMessage(st, "", m) }
	resp, err := h(ctx, s, req.GetPayload(), send)
	if err == nil && resp != nil {
		err = send(resp)
	}
	if err != nil {
		_ = writeFrame(st, errorEnvelope(err), MaxMessageBytes)
	}
	return err == nil && resp != nil
}

func (s *Session) handler(method string) (Handler, bool) {
	if s.mux == nil {
		return nil, false
	}
	h, ok := s.mux.handlers[method]
	return h, ok
}

func sendMessage(w io.Writer, method string, m proto.Message) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return crcode.New(crcode.MalformedMessage, "%v", err)
	}
	return writeFrame(w, &Envelope{Method: method, Payload: payload}, MaxMessageBytes)
}

// errorEnvelope returns the envelope that carries an error to the caller.
func errorEnvelope(err error) *Envelope {
	var e *crcode.Error
	if !errors.As(err, &e) {
		e = crcode.New(crcode.Internal, "%v", err)
	}
	return &Envelope{Code: uint32(e.Code), Detail: e.Detail, RetryAfterMs: e.RetryAfter.Milliseconds()}
}

// stream is the caller's side of one method call.
type stream struct {
	st   *yamux.Stream
	ctx  context.Context
	stop func() bool
	idle *idleStreams
}

func (s *Session) openStream(ctx context.Context, method string, req proto.Message) (*stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, notSentError(err)
	}
	st, err := s.idle.take(s.yamux)
	if err != nil {
		return nil, &crcode.Error{Code: crcode.NoServer, Detail: err.Error()}
	}
	// The end of the context unblocks reads and writes at once.
	stop := context.AfterFunc(ctx, func() { _ = st.SetDeadline(time.Unix(1, 0)) })
	out := &stream{st: st, ctx: ctx, stop: stop, idle: &s.idle}
	if err := sendMessage(st, method, req); err != nil {
		out.close()
		return nil, err
	}
	return out, nil
}

func notSentError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return crcode.New(crcode.DeadlineExpired, "before sending")
	}
	return crcode.New(crcode.Cancelled, "before sending")
}

func (c *stream) recv(m proto.Message) error {
	var env Envelope
	if err := readFrame(c.st, &env, MaxMessageBytes); err != nil {
		switch {
		case errors.Is(c.ctx.Err(), context.DeadlineExceeded):
			return crcode.New(crcode.DeadlineRunning, "no response in time")
		case c.ctx.Err() != nil:
			return crcode.New(crcode.CancelledRun, "cancelled while waiting")
		}
		return err
	}
	if env.GetCode() != 0 {
		return &crcode.Error{
			Code:       crcode.Code(env.GetCode()),
			Detail:     env.GetDetail(),
			RetryAfter: time.Duration(env.GetRetryAfterMs()) * time.Millisecond,
		}
	}
	return unmarshal(env.GetPayload(), m)
}

// release returns the stream to the idle pool after the response was received completely. It closes the stream if its context
// has ended or the pool is full.
func (c *stream) release() {
	if !c.stop() || !c.idle.put(c.st) {
		_ = c.st.Close()
	}
}

func (c *stream) close() {
	c.stop()
	_ = c.st.Close()
}
