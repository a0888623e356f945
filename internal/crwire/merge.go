package crwire

import (
	"encoding/binary"
	"net"
)

// Parts of a yamux frame header: version, type, flags (2 bytes), stream id (4 bytes), length (4 bytes).
const (
	yamuxHeaderBytes = 12
	yamuxTypeData    = 0
	yamuxTypePing    = 2
	yamuxFlagSYN     = 1
	// maxMerged limits the size of bodies that are copied; a larger body is written separately.
	maxMerged = 64 << 10
)

// yamuxLength returns the length in a frame header.
func yamuxLength(header []byte) uint32 { return binary.BigEndian.Uint32(header[8:]) }

// mergingConn is a connection that writes the header and the body of a yamux data frame in one write. Yamux writes them one after
// the other from a single goroutine, which costs one more system call, and often one more packet, for each frame.
type mergingConn struct {
	net.Conn
	// The fields are used only by the send goroutine of yamux. bodyBytes is the length of the body that is expected next, or 0.
	buf       []byte
	bodyBytes int
}

// Write buffers the header of a data frame until the body is written.
func (m *mergingConn) Write(p []byte) (int, error) {
	if m.bodyBytes > 0 {
		return m.writeBody(p)
	}
	if len(p) == yamuxHeaderBytes && p[1] == yamuxTypeData {
		if n := yamuxLength(p); n > 0 && n <= maxMerged {
			m.bodyBytes = int(n)
			m.buf = append(m.buf[:0], p...)
			return len(p), nil
		}
	}
	return m.Conn.Write(p)
}

func (m *mergingConn) writeBody(p []byte) (int, error) {
	m.bodyBytes = 0
	m.buf = append(m.buf, p...)
	n, err := m.Conn.Write(m.buf)
	return max(n-yamuxHeaderBytes, 0), err
}
