package crwire

import (
	"errors"
	"sync"
	"time"
)

// Estimates of what a peer makes the process hold, in bytes.
const (
	// sessionBytes covers the goroutines and buffers of a session, streamBytes those of a stream.
	sessionBytes = 24 << 10
	streamBytes  = 8 << 10
	// readCost covers a byte of a message while it is read, in buffers that double, messageCost one that was read and what
	// is decoded from it.
	readCost    = 4
	messageCost = 2
	// windowBytes is what a peer may send on a stream before it is read; yamux allows no smaller window.
	windowBytes = 256 << 10
)

// ErrTooMuchMemory is passed to OnRefused for a session that was closed because MaxBytes was reached.
var ErrTooMuchMemory = errors.New("the sessions hold too much memory")

// holdings counts what accepted sessions hold, up to a limit; 0 means none.
type holdings struct {
	limit int64

	mu sync.Mutex
	// used is the sum of what all sessions hold, ended the part of those that were told to end.
	used, ended int64
	sessions    map[*Session]*holding
}

// holding is what a session holds. ended is set when it was told to end.
type holding struct {
	bytes int64
	ended bool
}

// add changes what the session holds by n. When the sum exceeds the limit, it returns the session that holds most, which
// must be ended. It counts until remove is called for it.
func (h *holdings) add(s *Session, n int64) (largest *Session) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, ok := h.sessions[s]
	if !ok {
		return nil
	}
	held.bytes += n
	h.used += n
	if held.ended {
		h.ended += n
		return nil
	}
	if n <= 0 || h.limit <= 0 || h.used-h.ended <= h.limit {
		return nil
	}
	most := int64(-1)
	for o, x := range h.sessions {
		if !x.ended && x.bytes > most {
			largest, most = o, x.bytes
		}
	}
	h.sessions[largest].ended = true
	h.ended += most
	return largest
}

// register begins to count a session.
func (h *holdings) register(s *Session) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.sessions == nil {
		h.sessions = make(map[*Session]*holding)
	}
	h.sessions[s] = new(holding)
}

// remove ends the count of a session.
func (h *holdings) remove(s *Session) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, ok := h.sessions[s]
	if !ok {
		return
	}
	h.used -= held.bytes
	if held.ended {
		h.ended -= held.bytes
	}
	delete(h.sessions, s)
}

// sum returns what all sessions hold.
func (h *holdings) sum() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.used
}

// awaitRelease waits until the memory of sessions that were told to end is free, so that it is not held twice.
func (h *holdings) awaitRelease(s *Session) {
	for waited := time.Duration(0); h.mustWait(s) && waited < maxReleaseWait; waited += releasePoll {
		time.Sleep(releasePoll)
	}
}

// mustWait reports whether the session should hold nothing more for now.
func (h *holdings) mustWait(s *Session) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, ok := h.sessions[s]
	return ok && !held.ended && h.limit > 0 && h.used > h.limit
}

// maxReleaseWait bounds how long a peer's next bytes wait for the memory of ended sessions. It is far below the timeout of a
// ping.
const (
	maxReleaseWait = 100 * time.Millisecond
	releasePoll    = time.Millisecond
)

// maxPings limits the pings of a peer in a second. Each makes yamux start a goroutine; a peer needs one in a second.
const maxPings = 16

// errTooManyPings ends the session of a peer that sends more than maxPings in a second.
var errTooManyPings = errors.New("too many pings")

// frameMeter follows the frames that a session receives, before yamux does.
type frameMeter struct {
	// onOpen is called for each stream that the peer opens, onData with the number of bytes of a data frame that is about to
	// arrive and does not fit into the first buffer of a message.
	onOpen func()
	onData func(n int)
	// header holds the first bytes of a frame's header, left is the number of bytes that are left of a data frame.
	header [yamuxHeaderBytes]byte
	have   int
	left   int
	// second is the start of the second in which count pings have come.
	second time.Time
	count  int
}

// read follows the next bytes of the connection.
func (m *frameMeter) read(now time.Time, p []byte) error {
	for len(p) > 0 {
		if m.left > 0 {
			n := min(len(p), m.left)
			m.left -= n
			p = p[n:]
			continue
		}
		n := copy(m.header[m.have:], p)
		p = p[n:]
		if m.have += n; m.have < yamuxHeaderBytes {
			return nil
		}
		m.have = 0
		if err := m.readHeader(now); err != nil {
			return err
		}
	}
	return nil
}

func (m *frameMeter) readHeader(now time.Time) error {
	kind := m.header[1]
	if kind == yamuxTypePing {
		if now.Sub(m.second) >= time.Second {
			m.second, m.count = now, 0
		}
		if m.count++; m.count > maxPings {
			return errTooManyPings
		}
		return nil
	}
	if m.header[3]&yamuxFlagSYN != 0 {
		m.onOpen()
	}
	if kind == yamuxTypeData {
		if m.left = int(yamuxLength(m.header[:])); m.left > firstBytes {
			m.onData(m.left)
		}
	}
	return nil
}
