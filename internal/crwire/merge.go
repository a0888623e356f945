package crwire

import (
	"encoding/binary"
	"net"
)

// Parts of a yamux frame header: version, type, flags (2 bytes), stream id (4 bytes), length (4 bytes).
const (
	yamuxHeaderBytes = 12
	yamuxTypeData    = 0
	// maxMerged bounds the copy; a larger body is written as it is.
	maxMerged = 64 << 10
)

// merged is a connection that sends the header of a yamux data frame together with its body. Yamux writes the two one
// after the other from a single goroutine, which costs a system call and often a packet more for each frame.
type merged struct {
	net.Conn
	// The fields belong to yamux's send goroutine.
	buf  []byte
	body int
}

// Write keeps the header of a data frame until its body comes.
func (m *merged) Write(p []byte) (int, error) {
	if m.body > 0 {
		return m.writeBody(p)
	}
	if len(p) == yamuxHeaderBytes && p[1] == yamuxTypeData {
		if n := binary.BigEndian.Uint32(p[8:]); n > 0 && n <= maxMerged {
			m.body = int(n)
			m.buf = append(m.buf[:0], p...)
			return len(p), nil
		}
	}
	return m.Conn.Write(p)
}

func (m *merged) writeBody(p []byte) (int, error) {
	m.body = 0
	m.buf = append(m.buf, p...)
	n, err := m.Conn.Write(m.buf)
	return max(n-yamuxHeaderBytes, 0), err
}
