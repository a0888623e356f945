package crintake

import "bytes"

// Cost of a head in memory, as parsed by net/http and copied once for forwarding.
const (
	// byteCost covers the line buffer, which grows by doubling, and the strings made of it.
	byteCost = 3
	// lineCost covers the map entry, the slice and the strings of one header line. 8,000 short lines took 160 bytes each
	// with the overhead of the garbage collector; a forwarded copy takes half as much again.
	lineCost = 256
	// bodyByteCost covers the buffers that a body outgrows while it is read, heldByteCost the last one and what is made of
	// it.
	bodyByteCost = 4
	heldByteCost = 2
)

// headScanner measures the head of a request while it arrives.
type headScanner struct {
	// bytes, lines and emptyLines measure the data so far. Empty lines are those before the request line.
	bytes, lines, emptyLines int
	// partial is the length of the line that has not ended; onlyCR is set while it consists of one carriage return.
	partial int
	onlyCR  bool
	// ended is set after the empty line that ends the head.
	ended bool
}

// scan measures p up to the end of the head, and returns the number of bytes that belong to the head.
func (h *headScanner) scan(p []byte) int {
	n := 0
	for !h.ended && n < len(p) {
		i := bytes.IndexByte(p[n:], '\n')
		if i < 0 {
			h.onlyCR = h.partial == 0 && len(p)-n == 1 && p[n] == '\r'
			h.partial += len(p) - n
			n = len(p)
			break
		}
		h.endLine(p[n : n+i])
		n += i + 1
	}
	h.bytes += n
	return n
}

// endLine counts a line whose last part, without the line feed, is rest.
func (h *headScanner) endLine(rest []byte) {
	length := h.partial + len(rest)
	empty := length == 0 || length == 1 && (h.onlyCR || len(rest) == 1 && rest[0] == '\r')
	h.partial, h.onlyCR = 0, false
	switch {
	case !empty:
		h.lines++
	case h.lines == 0:
		h.emptyLines++
	default:
		h.ended = true
	}
}

// cost returns the memory that the head takes once it is parsed.
func (h *headScanner) cost() int64 { return costOf(h.bytes, h.lines+1) }

func costOf(n, lines int) int64 { return int64(n)*byteCost + int64(lines)*lineCost }
