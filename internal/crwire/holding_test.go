package crwire

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
)

// dialRaw opens a connection and completes the handshake; the caller speaks yamux itself.
func dialRaw(t *testing.T, addr string) net.Conn {
	conn, err := net.Dial("tcp", addr)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = identity("raw", "s").dialHandshake(conn)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	return conn
}

// yamuxFrame returns the header of a frame.
func yamuxFrame(kind, flags byte, stream uint32, length int) []byte {
	b := binary.BigEndian.AppendUint32([]byte{0, kind, 0, flags}, stream)
	return binary.BigEndian.AppendUint32(b, uint32(length))
}

// isClosed reports whether the other side closes the connection.
func isClosed(conn net.Conn) bool {
	_, err := io.Copy(io.Discard, conn)
	n, ok := err.(net.Error)
	return !ok || !n.Timeout()
}

// TestLargestSessionIsEnded guards against a peer whose unfinished messages are kept without bound, or are paid for by the
// session of another peer.
func TestLargestSessionIsEnded(t *testing.T) {
	const limit = 4 << 20
	e := &Endpoint{MaxBytes: limit}
	addr, refused := serveEcho(t, e)
	other, err := dialer(t, "s").Session(context.Background(), addr)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, echo(other), qt.IsNil)
	greedy := dialRaw(t, addr)
	part := append(binary.BigEndian.AppendUint32(nil, MaxMessageBytes), make([]byte, windowBytes/2)...)
	for id := uint32(1); id < 40; id += 2 {
		if _, err = greedy.Write(append(yamuxFrame(yamuxTypeData, yamuxFlagSYN, id, len(part)), part...)); err != nil {
			break
		}
	}
	qt.Check(t, isClosed(greedy), qt.IsTrue)
	qt.Check(t, refused.Load(), qt.Equals, int32(1))
	qt.Check(t, echo(other), qt.IsNil)
	for end := time.Now().Add(10 * time.Second); e.HeldBytes() > sessionBytes+streamBytes && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	qt.Check(t, e.HeldBytes(), qt.Equals, int64(sessionBytes+streamBytes))
}

// TestUnansweredRequests guards against a peer that sends requests without waiting for answers, whose bytes would be kept
// while a handler runs.
func TestUnansweredRequests(t *testing.T) {
	var mux Mux
	Handle(&mux, "wait", func(ctx context.Context, _ *Session, _ *CallRequest) (*CallResponse, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	addr := serve(t, &Endpoint{Identity: identity("server", "s"), Mux: &mux})
	conn := dialRaw(t, addr)
	var text bytes.Buffer
	qt.Assert(t, writeFrame(&text, &Envelope{Method: "wait"}, MaxMessageBytes), qt.IsNil)
	flags := byte(yamuxFlagSYN)
	for range 3 {
		_, err := conn.Write(append(yamuxFrame(yamuxTypeData, flags, 1, text.Len()), text.Bytes()...))
		qt.Assert(t, err, qt.IsNil)
		flags = 0
	}
	qt.Check(t, isClosed(conn), qt.IsTrue)
}

// TestPings guards against a peer whose pings start goroutines without bound, and against pings at the usual rate that end a
// session.
func TestPings(t *testing.T) {
	m := new(frameMeter)
	now := time.Now()
	ping := yamuxFrame(yamuxTypePing, yamuxFlagSYN, 0, 1)
	for range 100 {
		now = now.Add(keepAliveInterval / 2)
		qt.Assert(t, m.read(now, ping), qt.IsNil)
	}
	qt.Check(t, m.read(now, bytes.Repeat(ping, maxPings)), qt.ErrorIs, errTooManyPings)
}

// TestFrameMeter guards against frames that are counted otherwise when they arrive in other pieces.
func TestFrameMeter(t *testing.T) {
	var text []byte
	for _, n := range []int{3 * firstBytes, firstBytes, firstBytes + 1, 0} {
		text = append(text, yamuxFrame(yamuxTypeData, yamuxFlagSYN, 1, n)...)
		text = append(text, make([]byte, n)...)
	}
	text = append(text, yamuxFrame(yamuxTypeData+1, 0, 1, 1<<20)...)
	text = append(text, yamuxFrame(yamuxTypeData+1, yamuxFlagSYN, 3, 0)...)
	for _, piece := range []int{1, 5, yamuxHeaderBytes, 100, firstBytes, len(text)} {
		opened, expected := 0, 0
		m := &frameMeter{onOpen: func() { opened++ }, onData: func(n int) { expected += n }}
		for p := text; len(p) > 0; p = p[min(piece, len(p)):] {
			qt.Assert(t, m.read(time.Now(), p[:min(piece, len(p))]), qt.IsNil)
		}
		qt.Check(t, opened, qt.Equals, 5, qt.Commentf("pieces of %d", piece))
		qt.Check(t, expected, qt.Equals, 4*firstBytes+1, qt.Commentf("pieces of %d", piece))
	}
}

// FuzzFrameMeter guards against input that stops the meter or counts otherwise when it arrives in other pieces.
func FuzzFrameMeter(f *testing.F) {
	f.Add(yamuxFrame(yamuxTypeData, yamuxFlagSYN, 1, 5), 3)
	f.Add(bytes.Repeat([]byte{0xff}, 64), 7)
	f.Fuzz(func(t *testing.T, text []byte, piece int) {
		count := func(piece int) (opened, expected int, err error) {
			m := &frameMeter{onOpen: func() { opened++ }, onData: func(n int) { expected += n }}
			for p := text; len(p) > 0 && err == nil; p = p[min(piece, len(p)):] {
				err = m.read(time.Unix(1, 0), p[:min(piece, len(p))])
			}
			return opened, expected, err
		}
		opened, expected, err := count(max(piece, 1))
		opened2, expected2, err2 := count(len(text))
		qt.Assert(t, opened, qt.Equals, opened2)
		qt.Assert(t, expected, qt.Equals, expected2)
		qt.Assert(t, err, qt.Equals, err2)
	})
}

// TestPingsNotPassedOn guards against pings beyond the limit that still reach yamux.
func TestPingsNotPassedOn(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	conn := newEarlyCloseConn(near)
	conn.frames = new(frameMeter)
	go func() { _, _ = far.Write(bytes.Repeat(yamuxFrame(yamuxTypePing, yamuxFlagSYN, 0, 1), maxPings+1)) }()
	n, err := conn.Read(make([]byte, 4096))
	qt.Check(t, n, qt.Equals, 0)
	qt.Check(t, err, qt.ErrorIs, errTooManyPings)
}

// TestLargeMessage guards against a message that is changed when its buffer grows, and against memory that stays counted.
func TestLargeMessage(t *testing.T) {
	var mux Mux
	Handle(&mux, "echo", func(_ context.Context, _ *Session, req *CallRequest) (*CallResponse, error) {
		return &CallResponse{Body: req.GetBody()}, nil
	})
	e := &Endpoint{Identity: identity("server", "s"), Mux: &mux, MaxBytes: 64 << 20}
	addr := serve(t, e)
	s, err := dialer(t, "s").Session(context.Background(), addr)
	qt.Assert(t, err, qt.IsNil)
	for _, size := range []int{0, 1, firstBytes, firstBytes + 1, windowBytes, 1 << 20} {
		body := bytes.Repeat([]byte("abcdefg"), size/7+1)[:size]
		resp, err := Call[CallResponse](context.Background(), s, "echo", &CallRequest{Body: body})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, proto.Equal(resp, &CallResponse{Body: body}), qt.IsTrue, qt.Commentf("%d bytes", size))
	}
	for end := time.Now().Add(10 * time.Second); e.HeldBytes() > sessionBytes+streamBytes && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	qt.Check(t, e.HeldBytes(), qt.Equals, int64(sessionBytes+streamBytes))
}

// TestSessionBeyondLimit guards against a process that ends when a session is closed before it has started.
func TestSessionBeyondLimit(t *testing.T) {
	addr, refused := serveEcho(t, &Endpoint{MaxBytes: sessionBytes - 1})
	s, err := dialer(t, "s").Session(context.Background(), addr)
	if err == nil {
		qt.Check(t, echo(s), qt.IsNotNil)
	}
	for end := time.Now().Add(10 * time.Second); refused.Load() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	qt.Check(t, refused.Load(), qt.Equals, int32(1))
}
