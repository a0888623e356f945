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
	// holdings counts what the session holds, nil for a dialed session.
	holdings *holdings
	// onEvict is called with a session that is closed because all hold too much; it may not have started.
	onEvict func(*Session)
	// unread is the part of large data frames that has not been read from their streams.
	unread atomic.Int64
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

// newSession starts the dialing side of a session.
func newSession(conn net.Conn, peer Peer, mux *Mux) (*Session, error) {
	return (&Session{peer: peer, mux: mux, conn: newEarlyCloseConn(conn)}).start(yamux.Client)
}

// newAcceptedSession starts the listening side of a session, whose peer may hold a part of h. onEvict is called with
// the sessions that are closed for it, which may not have started.
func newAcceptedSession(conn net.Conn, peer Peer, mux *Mux, h *holdings, onEvict func(*Session)) (*Session, error) {
	s := &Session{peer: peer, mux: mux, conn: newEarlyCloseConn(conn), holdings: h, onEvict: onEvict}
	s.conn.frames = &frameMeter{onOpen: func() { s.hold(streamBytes) }, onData: s.expectData}
	h.register(s)
	s.hold(sessionBytes)
	if _, err := s.start(yamux.Server); err != nil {
		h.remove(s)
		return nil, err
	}
	return s, nil
}

func (s *Session) start(side func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*Session, error) {
	var err error
	if s.yamux, err = side(&mergingConn{Conn: s.conn}, yamuxConfig()); err != nil {
		return nil, crcode.New(crcode.ConnectionLost, "%v", err)
	}
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

// hold changes what the session holds by n bytes, and closes the session that holds most when all hold too much.
func (s *Session) hold(n int64) {
	if s.holdings == nil {
		return
	}
	if largest := s.holdings.add(s, n); largest != nil {
		largest.conn.closeConn()
		s.onEvict(largest)
	}
	if n > 0 {
		s.holdings.awaitRelease(s)
	}
}

// expectData counts the buffers of a large data frame until its bytes are read from their stream.
func (s *Session) expectData(n int) {
	n = min(n, windowBytes)
	s.unread.Add(int64(n))
	s.hold(int64(n) * readCost)
}

// countingReader reads from a stream of a session and takes what was read from what the session holds.
type countingReader struct {
	session *Session
	stream  *yamux.Stream
}

func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.stream.Read(p)
	unread := &r.session.unread
	for {
		old := unread.Load()
		taken := min(int64(n), old)
		if taken == 0 {
			return n, err
		}
		if unread.CompareAndSwap(old, old-taken) {
			r.session.hold(-taken * readCost)
			return n, err
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

// request is a request read from a stream with the memory that it holds, or the error of reading it.
type request struct {
	envelope *Envelope
	held     int64
	err      error
}

// serve handles the calls of one stream, one after the other. The caller cancels a running handler by closing the stream.
func (s *Session) serve(st *yamux.Stream) {
	defer func() { _ = st.Close() }()
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	// A caller sends a request after the answer to the one before, so that at most one waits here.
	requests := make(chan request, 1)
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		// frameMeter has counted the stream.
		defer s.hold(-streamBytes)
		if s.readRequests(ctx, st, requests) {
			cancel()
		}
		s.drain(st)
		select {
		case r := <-requests:
			s.hold(-r.held)
		default:
		}
	}()
	for {
		select {
		case r := <-requests:
			again := s.answer(ctx, st, r)
			s.hold(-r.held)
			if !again {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// readRequests sends the requests of a stream to out until the stream or ctx ends, or a request cannot be read, and reports
// whether the stream has ended. It ends the session when the caller does not wait for answers.
func (s *Session) readRequests(ctx context.Context, st *yamux.Stream, out chan<- request) (ended bool) {
	for ctx.Err() == nil {
		r := request{envelope: new(Envelope)}
		size, err := readSize(countingReader{s, st}, MaxMessageBytes)
		if isLost(err) {
			return true
		}
		if len(out) == cap(out) {
			s.conn.closeConn()
			return true
		}
		if err == nil {
			r.held, err = s.readRequest(st, size, r.envelope)
		}
		if isLost(err) {
			return true
		}
		// There is room, since only this goroutine sends.
		r.err = err
		out <- r
		if err != nil {
			return false
		}
	}
	return true
}

func isLost(err error) bool { return crcode.Of(err) == crcode.ConnectionLost }

// readRequest reads a request of the given size and returns what the session holds for it until it has been answered.
func (s *Session) readRequest(st *yamux.Stream, size int, to *Envelope) (held int64, err error) {
	var reading int64
	reserve := func(n int) {
		reading += int64(n) * readCost
		s.hold(int64(n) * readCost)
	}
	if size > firstBytes {
		// The buffer of the stream.
		reserve(min(size, windowBytes))
		defer st.Shrink()
	}
	if err = readBody(countingReader{s, st}, to, size, reserve); err != nil {
		s.hold(-reading)
		return 0, err
	}
	held = int64(size) * messageCost
	s.hold(held - reading)
	return held, err
}

// drain discards what a stream still receives after its last request, so that it is not kept until the stream is closed.
func (s *Session) drain(st *yamux.Stream) {
	var buf [512]byte
	for {
		if _, err := (countingReader{s, st}).Read(buf[:]); err != nil {
			return
		}
		st.Shrink()
	}
}

// answer runs the handler of one request and reports whether the stream can be used for another request.
func (s *Session) answer(ctx context.Context, st *yamux.Stream, r request) bool {
	if r.err != nil {
		_ = writeFrame(st, errorEnvelope(r.err), MaxMessageBytes)
		return false
	}
	req := r.envelope
	s.called.Store(true)
	h, ok := s.handler(req.GetMethod())
	if !ok {
		_ = writeFrame(st, errorEnvelope(crcode.New(crcode.UnknownMethod, "%q", req.GetMethod())), MaxMessageBytes)
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	send := func(m proto.Message) error {
		n := int64(proto.Size(m)) * messageCost
		s.hold(n)
		defer s.hold(-n)
		return sendMessage(st, "", m)
	}
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
