package crpipeline_test

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crpipeline"
)

// TestReadAheadIsReserved guards against data that is read ahead beyond what was granted, and against memory that stays
// reserved after the data was delivered or the connection was closed.
func TestReadAheadIsReserved(t *testing.T) {
	const granted = 6 << 10
	client, server, _ := pair(t)
	var reserved, most atomic.Int64
	server.LimitReadAhead(func(n int) bool {
		if reserved.Load()+int64(n) > granted {
			return n <= 0
		}
		most.Store(max(most.Load(), reserved.Add(int64(n))))
		return true
	})
	const data = 64 << 10
	go func() { _, _ = io.WriteString(client, strings.Repeat("x", data)) }()
	qt.Assert(t, read(t, server, 1), qt.Equals, "x")
	for end := time.Now().Add(10 * time.Second); most.Load() < granted/2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, most.Load() > 0 && most.Load() <= granted, qt.IsTrue, qt.Commentf("%d reserved", most.Load()))
	_, err := io.ReadFull(server, make([]byte, data-1))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reserved.Load() < granted, qt.IsTrue)
	qt.Assert(t, server.Close(), qt.IsNil)
	qt.Assert(t, reserved.Load(), qt.Equals, int64(0))
}

// memoryConn is a connection that delivers data in pieces and then its end.
type memoryConn struct {
	net.Conn
	data  []byte
	piece int
}

func (m *memoryConn) Read(p []byte) (int, error) {
	if len(m.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), m.piece)], m.data)
	m.data = m.data[n:]
	return n, nil
}

func (m *memoryConn) SetReadDeadline(time.Time) error { return nil }

func (m *memoryConn) Close() error { return nil }

// oneConn is a listener that accepts one connection.
type oneConn struct {
	net.Listener
	conn net.Conn
}

func (o oneConn) Accept() (net.Conn, error) { return o.conn, nil }

// FuzzRead guards against bytes that are lost, repeated or reordered, against a read that goes beyond the end of a head,
// and against memory that stays reserved, for any division of the data and any order of probes and reads.
func FuzzRead(f *testing.F) {
	heads := "GET / HTTP/1.1\r\nA: b\r\n\r\nPOST /x HTTP/1.1\r\n\r\nbody\r\n\r\n"
	f.Add([]byte(heads), uint8(1), []byte{1, 200, 1, 1, 200})
	f.Add([]byte(strings.Repeat(heads, 50)), uint8(99), []byte{255, 1, 3, 7})
	f.Add([]byte("\r\n\r\n\r\n\r\n"), uint8(3), []byte{1, 4})
	f.Add([]byte("\r\n\r"), uint8(2), []byte{})
	f.Fuzz(func(t *testing.T, data []byte, piece uint8, sizes []byte) {
		accepted, err := crpipeline.Listen(oneConn{conn: &memoryConn{data: data, piece: int(piece) + 1}}).Accept()
		if err != nil {
			t.Fatal(err)
		}
		c := accepted.(*crpipeline.Conn)
		var reserved atomic.Int64
		c.LimitReadAhead(func(n int) bool {
			reserved.Add(int64(n))
			return true
		})
		var got []byte
		for i := 0; ; i++ {
			size := 4096
			if i < len(sizes) {
				size = int(sizes[i]) + 1
			}
			buf := make([]byte, size)
			n, err := c.Read(buf)
			if i := strings.Index(string(buf[:n]), "\r\n\r\n"); i >= 0 && i+4 < n {
				t.Fatalf("a read of %d goes beyond the end of a head at %d", n, i+4)
			}
			got = append(got, buf[:n]...)
			if err != nil {
				break
			}
		}
		if string(got) != string(data) {
			t.Fatalf("%q became %q", data, got)
		}
		if err := c.Close(); err != nil {
			t.Fatal(err)
		}
		if reserved.Load() != 0 {
			t.Fatalf("%d bytes stay reserved", reserved.Load())
		}
	})
}
