package crwire

import (
	"encoding/binary"
	"errors"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// errStreamEnd marks the end of a stream of responses.
var errStreamEnd = errors.New("crwire: end of stream")

// frameHeaderBytes is the length of the frame header, which holds the size of the message as a big-endian number.
const frameHeaderBytes = 4

// writeFrame writes the frame header and the message in one write. It refuses messages of more than limit bytes.
func writeFrame(w io.Writer, m proto.Message, limit int) error {
	buf := make([]byte, frameHeaderBytes, frameHeaderBytes+proto.Size(m))
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return crcode.New(crcode.MalformedMessage, "%v", err)
	}
	size := len(buf) - frameHeaderBytes
	if size > limit {
		return crcode.New(crcode.MessageTooLarge, "%d bytes, at most %d", size, limit)
	}
	binary.BigEndian.PutUint32(buf, uint32(size))
	if _, err := w.Write(buf); err != nil {
		return crcode.New(crcode.ConnectionLost, "%v", err)
	}
	return nil
}

// readFrame reads one message and refuses messages of more than limit bytes.
func readFrame(r io.Reader, m proto.Message, limit int) error {
	size, err := readSize(r, limit)
	if err != nil {
		return err
	}
	return readBody(r, m, size, func(int) {})
}

// readSize reads the header of a message and refuses messages of more than limit bytes.
func readSize(r io.Reader, limit int) (int, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, crcode.New(crcode.ConnectionLost, "%v", err)
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > uint32(limit) {
		return 0, crcode.New(crcode.MessageTooLarge, "%d bytes, at most %d", size, limit)
	}
	return int(size), nil
}

// firstBytes is the size of the buffer for the first bytes of a message. It grows as more of them arrive.
const firstBytes = 4 << 10

// readBody reads a message of the given size. reserve is called with the number of bytes before a buffer is allocated or
// grows.
func readBody(r io.Reader, m proto.Message, size int, reserve func(n int)) error {
	n := min(size, firstBytes)
	reserve(n)
	buf := make([]byte, n)
	for have := 0; ; {
		if _, err := io.ReadFull(r, buf[have:]); err != nil {
			return crcode.New(crcode.ConnectionLost, "%v", err)
		}
		if have = len(buf); have == size {
			return unmarshal(buf, m)
		}
		more := min(have, size-have)
		reserve(more)
		buf = append(buf, make([]byte, more)...)
	}
}

func unmarshal(buf []byte, m proto.Message) error {
	if err := proto.Unmarshal(buf, m); err != nil {
		return crcode.New(crcode.MalformedMessage, "%v", err)
	}
	return nil
}
