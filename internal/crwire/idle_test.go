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

// Guards against a stream whose call was cancelled or failed being used again, so that the next call gets its late answer.
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
				// The late answer is on its way now; the calls around it must not see it.
				proceed <- struct{}{}
			}
			resp, err := Call[CallResponse](context.Background(), s, "echo", &CallRequest{RequestId: id})
			c.Assert(err, qt.IsNil)
			c.Assert(resp.GetRequestId(), qt.Equals, id)
		}
	}
	close(proceed)
}

// Guards against a stream for each call, which doubles its frames, and against keeping more streams than the bound.
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
	c.Assert(s.ya.NumStreams(), qt.Equals, 1)
	st, err := s.ya.OpenStream()
	c.Assert(err, qt.IsNil)
	defer func() { _ = st.Close() }()
	for range maxIdleStreams - 1 {
		c.Assert(s.idle.put(st), qt.IsTrue)
	}
	c.Assert(s.idle.put(st), qt.IsFalse)
}

// Guards against a frame whose header and body go out in two writes, and against bytes that change on the way.
func TestFramesAreMerged(t *testing.T) {
	c := qt.New(t)
	conn := &writes{}
	m := &merged{Conn: conn}
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

// writes is a connection that notes the size of each write.
type writes struct {
	net.Conn
	sizes []int
	all   []byte
}

func (w *writes) Write(p []byte) (int, error) {
	w.sizes = append(w.sizes, len(p))
	w.all = append(w.all, p...)
	return len(p), nil
}
