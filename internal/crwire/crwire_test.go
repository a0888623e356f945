package crwire

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/citronramp/citronramp/pkg/crcode"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func identity(name, secret string) Identity {
	return Identity{Self: Peer{Name: name, Incarnation: "1", Role: RoleNode}, Secret: []byte(secret)}
}

// serve starts an endpoint on a loopback port and returns its address.
func serve(t *testing.T, e *Endpoint) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Serve(ln)
	}()
	t.Cleanup(func() {
		_ = ln.Close()
		e.Close()
		<-done
	})
	return ln.Addr().String()
}

func dialer(t *testing.T, secret string) *Endpoint {
	t.Helper()
	e := &Endpoint{Identity: identity("caller", secret)}
	t.Cleanup(e.Close)
	return e
}

// TestCallsKeepTheirOwnAnswers guards against an answer that is delivered to another call of the same session.
func TestCallsKeepTheirOwnAnswers(t *testing.T) {
	c := qt.New(t)
	var mux Mux
	Handle(&mux, "echo", func(_ context.Context, _ *Session, req *CallRequest) (*CallResponse, error) {
		return &CallResponse{RequestId: req.GetRequestId(), Body: req.GetBody()}, nil
	})
	addr := serve(t, &Endpoint{Identity: identity("server", "s"), Mux: &mux})
	s, err := dialer(t, "s").Session(context.Background(), addr)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Peer().Name, qt.Equals, "server")
	type result struct{ want, got string }
	results := make(chan result)
	for i := range 50 {
		go func() {
			id := string(rune('a' + i))
			resp, err := Call[CallResponse](context.Background(), s, "echo", &CallRequest{RequestId: id, Body: bytes.Repeat([]byte(id), 1000*i)})
			if err != nil {
				results <- result{id, err.Error()}
				return
			}
			results <- result{id, resp.GetRequestId()}
		}()
	}
	for range 50 {
		r := <-results
		c.Check(r.got, qt.Equals, r.want)
	}
}

// TestHandshakeRefusals guards against peers that are accepted with a wrong secret, another protocol version or another protocol.
func TestHandshakeRefusals(t *testing.T) {
	c := qt.New(t)
	addr := serve(t, &Endpoint{Identity: identity("server", "right")})
	_, err := dialer(t, "wrong").Session(context.Background(), addr)
	c.Assert(crcode.Of(err), qt.Equals, crcode.BadSecret)

	conn, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	c.Assert(writeFrame(conn, &Hello{Version: Version + 1, Name: "x", Nonce: make([]byte, nonceBytes)}, maxHelloBytes), qt.IsNil)
	var h Hello
	c.Assert(readFrame(conn, &h, maxHelloBytes), qt.IsNil)
	c.Assert(h.GetVersion(), qt.Equals, uint32(Version))
	c.Assert(h.GetProof(), qt.HasLen, 0)
	c.Assert(crcode.Of(checkHello(&Hello{Version: Version + 1})), qt.Equals, crcode.WrongProtocol)

	garbage, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	defer garbage.Close()
	_, err = garbage.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	c.Assert(err, qt.IsNil)
	_, err = garbage.Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
}

// TestCancelReachesHandler guards against a handler that continues after its caller has cancelled the call.
func TestCancelReachesHandler(t *testing.T) {
	c := qt.New(t)
	var mux Mux
	started, ended := make(chan struct{}), make(chan struct{})
	Handle(&mux, "wait", func(ctx context.Context, _ *Session, _ *CallRequest) (*CallResponse, error) {
		close(started)
		<-ctx.Done()
		close(ended)
		return nil, crcode.New(crcode.Cancelled, "")
	})
	addr := serve(t, &Endpoint{Identity: identity("server", ""), Mux: &mux})
	s, err := dialer(t, "").Session(context.Background(), addr)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	_, err = Call[CallResponse](ctx, s, "wait", &CallRequest{})
	c.Assert(crcode.Of(err), qt.Equals, crcode.CancelledRun)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		c.Fatal("the handler was not cancelled")
	}
}

// TestReceiveEndsWithCode guards against the error at the end of a stream that is taken for a response or lost.
func TestReceiveEndsWithCode(t *testing.T) {
	c := qt.New(t)
	var mux Mux
	HandleStream(&mux, "count", func(_ context.Context, _ *Session, req *CallRequest, send func(*CallResponse) error) error {
		for i := range req.GetDepth() {
			if err := send(&CallResponse{Attempts: i}); err != nil {
				return err
			}
		}
		return crcode.New(crcode.Overloaded, "enough")
	})
	addr := serve(t, &Endpoint{Identity: identity("server", ""), Mux: &mux})
	s, err := dialer(t, "").Session(context.Background(), addr)
	c.Assert(err, qt.IsNil)
	n := 0
	err = Receive(context.Background(), s, "count", &CallRequest{Depth: 3}, func(*CallResponse) error {
		n++
		return nil
	})
	c.Assert(crcode.Of(err), qt.Equals, crcode.Overloaded)
	c.Assert(n, qt.Equals, 3)
	_, err = Call[CallResponse](context.Background(), s, "absent", &CallRequest{})
	c.Assert(crcode.Of(err), qt.Equals, crcode.UnknownMethod)
}

// FuzzReadFrame guards against a decoder that panics or exceeds its size limit on malformed input.
func FuzzReadFrame(f *testing.F) {
	var good bytes.Buffer
	if err := writeFrame(&good, &Envelope{Method: "call", Payload: []byte("x")}, MaxMessageBytes); err != nil {
		f.Fatal(err)
	}
	f.Add(good.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, in []byte) {
		var env Envelope
		if err := readFrame(bytes.NewReader(in), &env, maxHelloBytes); err != nil {
			return
		}
		var req CallRequest
		if err := unmarshal(env.GetPayload(), &req); err == nil {
			_ = req.GetBody()
		}
		if len(in) < frameHeaderBytes {
			t.Fatal("a message without a header was accepted")
		}
	})
}
