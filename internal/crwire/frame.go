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
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return crcode.New(crcode.ConnectionLost, "%v", err)
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > uint32(limit) {
		return crcode.New(crcode.MessageTooLarge, "%d bytes, at most %d", size, limit)
	}
	buf := make([]byte, size)
	if _, err := io.ReadFull(r, buf); err != nil {
		return crcode.New(crcode.ConnectionLost, "%v", err)
	}
	return unmarshal(buf, m)
}

func unmarshal(buf []byte, m proto.Message) error {
	if err := proto.Unmarshal(buf, m); err != nil {
		return crcode.New(crcode.MalformedMessage, "%v", err)
	}
	return nil
}
