package crwire

import (
	"bytes"
	"context"
	"net"
	"strconv"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestReusedStreamsKeepTheirOwnAnswers guards against the reuse of a stream whose call was cancelled: the next call would receive
// the late answer of that call.
func TestReusedStreamsKeepTheirOwnAnswers(t *testing.T) {
	c := qt.New(t)
	var mux Mux
	entered, proceed := make(chan struct{}), make(chan struct{})
	Handle(&mux, "echo", func(_ context.Context, _ *Session, req *CallRequest) (*CallResponse, error) {
		if req.GetKind() == "late" {
			entered <- struct{}{}
			<-proceed
		}
		return &CallResponse{RequestId: req.GetRequestId()}, nil
	})
	addr := serve(t, &Endpoint{Identity: identity("server", "s"), Mux: &mux})
	s, err := dialer(t, "s").Session(context.Background(), addr)
	c.Assert(err, qt.IsNil)
	for i := range 20 {
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() {
			_, _ = Call[CallResponse](ctx, s, "echo", &CallRequest{RequestId: "late", Kind: "late"})
		})
		<-entered
		cancel()
		wg.Wait()
		for k := range 3 {
			id := strconv.Itoa(10*i + k)
			if k == 1 {
				// The handler of the cancelled call answers now; no other call may receive this answer.
				proceed <- struct{}{}
			}
			resp, err := Call[CallResponse](context.Background(), s, "echo", &CallRequest{RequestId: id})
			c.Assert(err, qt.IsNil)
			c.Assert(resp.GetRequestId(), qt.Equals, id)
		}
	}
	close(proceed)
}

// TestStreamsAreReused guards against a new stream for each call, which doubles the number of frames, and against more idle streams
// than maxIdleStreams.
func TestStreamsAreReused(t *testing.T) {
	c := qt.New(t)
	var mux Mux
	Handle(&mux, "echo", func(context.Context, *Session, *CallRequest) (*CallResponse, error) { return &CallResponse{}, nil })
	addr := serve(t, &Endpoint{Identity: identity("server", "s"), Mux: &mux})
	s, err := dialer(t, "s").Session(context.Background(), addr)
	c.Assert(err, qt.IsNil)
	for range 100 {
		_, err := Call[CallResponse](context.Background(), s, "echo", &CallRequest{})
		c.Assert(err, qt.IsNil)
	}
	c.Assert(s.yamux.NumStreams(), qt.Equals, 1)
	st, err := s.yamux.OpenStream()
	c.Assert(err, qt.IsNil)
	defer func() { _ = st.Close() }()
	for range maxIdleStreams - 1 {
		c.Assert(s.idle.put(st), qt.IsTrue)
	}
	c.Assert(s.idle.put(st), qt.IsFalse)
}

// TestFramesAreMerged guards against a data frame whose header and body are written separately, and against changed bytes.
func TestFramesAreMerged(t *testing.T) {
	c := qt.New(t)
	conn := &recordingConn{}
	m := &mergingConn{Conn: conn}
	data := []byte{0, yamuxTypeData, 0, 0, 0, 0, 0, 1, 0, 0, 0, 3}
	update := []byte{0, 1, 0, 0, 0, 0, 0, 1, 0, 0, 0, 3}
	large := []byte{0, yamuxTypeData, 0, 0, 0, 0, 0, 1, 0, 1, 0, 1}
	for _, p := range [][]byte{update, data, []byte("abc"), large, bytes.Repeat([]byte("x"), 1<<16+1)} {
		n, err := m.Write(p)
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, len(p))
	}
	c.Assert(conn.sizes, qt.DeepEquals, []int{12, 15, 12, 1<<16 + 1})
	c.Assert(bytes.HasPrefix(conn.all, append(append([]byte{}, update...), append(data, "abc"...)...)), qt.IsTrue)
}

// recordingConn is a connection that records the written bytes and the size of each write.
type recordingConn struct {
	net.Conn
	sizes []int
	all   []byte
}

func (w *recordingConn) Write(p []byte) (int, error) {
	w.sizes = append(w.sizes, len(p))
	w.all = append(w.all, p...)
	return len(p), nil
}
