package crintake

import (
	"bufio"
	"bytes"
	"net/http"
	"runtime/debug"
	"testing"

	qt "github.com/frankban/quicktest"
)

// scanPieces scans data in pieces of the given size and returns the scanner and the length of the head.
func scanPieces(data []byte, size int) (h headScanner, n int) {
	for len(data) > 0 && !h.ended {
		piece := data[:min(size, len(data))]
		n += h.scan(piece)
		data = data[len(piece):]
	}
	return h, n
}

// TestScan guards against lines, empty lines and ends of heads that are counted wrongly.
func TestScan(t *testing.T) {
	for _, x := range []struct {
		data               string
		head, lines, empty int
		ended              bool
	}{
		{"GET / HTTP/1.1\r\nA: b\r\n\r\nGET", 24, 2, 0, true},
		{"GET / HTTP/1.1\nA: b\n\nGET", 21, 2, 0, true},
		{"\r\n\n\r\nGET / HTTP/1.1\r\n\r\n", 23, 1, 3, true},
		{"GET / HTTP/1.1\r\nA:\r\r\n", 21, 2, 0, false},
		{"GET / HTTP/1.1\r\n\r\r\n", 19, 2, 0, false},
		{"GET / HTTP/1.1\r\n \r\n", 19, 2, 0, false},
		{"\r\n\r\n\r\n", 6, 0, 3, false},
	} {
		for size := 1; size <= len(x.data); size++ {
			h, n := scanPieces([]byte(x.data), size)
			qt.Check(t, n, qt.Equals, x.head, qt.Commentf("%q in pieces of %d", x.data, size))
			qt.Check(t, []int{h.bytes, h.lines, h.emptyLines}, qt.DeepEquals, []int{x.head, x.lines, x.empty}, qt.Commentf("%q in pieces of %d", x.data, size))
			qt.Check(t, h.ended, qt.Equals, x.ended, qt.Commentf("%q in pieces of %d", x.data, size))
		}
	}
}

// FuzzScan guards against a head whose end or number of lines differs from what net/http reads, and against results that
// depend on how the data is divided.
func FuzzScan(f *testing.F) {
	for _, s := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\nHost: a\n\nrest", "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n\n\n",
		"\r\n\r\nGET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nA: b\r\n c\r\n\t\r\n\r\n", "GET / HTTP/1.1\r\n\r\r\n\r\n", "\r", "\n", "a\r",
	} {
		f.Add([]byte(s), uint8(1))
		f.Add([]byte(s), uint8(7))
	}
	f.Fuzz(func(t *testing.T, data []byte, size uint8) {
		whole, n := scanPieces(data, len(data)+1)
		pieces, m := scanPieces(data, int(size)+1)
		if whole != pieces || n != m {
			t.Fatalf("%+v and %d in one piece, %+v and %d in pieces of %d", whole, n, pieces, m, size+1)
		}
		if n != whole.bytes || n > len(data) || whole.ended && (n == 0 || data[n-1] != '\n') {
			t.Fatalf("%d bytes of %d in %+v", n, len(data), whole)
		}
		r := bufio.NewReaderSize(bytes.NewReader(data), len(data)+16)
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if read := len(data) - r.Buffered(); !whole.ended || n != read {
			t.Fatalf("net/http read %d bytes, the scanner %d: %+v", read, n, whole)
		}
		values := 0
		for _, v := range req.Header {
			values += len(v)
		}
		if values > whole.lines {
			t.Fatalf("%d values of %d lines", values, whole.lines)
		}
	})
}

// TestSoftMemoryLimit guards against a garbage collector that lets the process grow beyond its memory limit, and against a
// limit from the environment that is overridden.
func TestSoftMemoryLimit(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	t.Setenv("GOMEMLIMIT", "")
	SetSoftMemoryLimit(1000 << 20)
	qt.Assert(t, debug.SetMemoryLimit(-1), qt.Equals, int64(800<<20))
	SetSoftMemoryLimit(0)
	t.Setenv("GOMEMLIMIT", "1GiB")
	SetSoftMemoryLimit(2000 << 20)
	qt.Assert(t, debug.SetMemoryLimit(-1), qt.Equals, int64(800<<20))
}
