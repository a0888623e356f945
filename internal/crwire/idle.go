package crwire

import (
	"sync"

	"github.com/hashicorp/yamux"
)

// maxIdleStreams limits the idle streams of a session. An idle stream costs two goroutines at the peer.
const maxIdleStreams = 32

// idleStreams is the pool of streams of a session that are reused for later calls. Opening and closing a stream costs two frames in
// each direction, twice as many as the call itself.
type idleStreams struct {
	mu      sync.Mutex
	streams []*yamux.Stream
}

// take returns the most recently used idle stream, or opens a new one. An error means that the session has ended.
func (i *idleStreams) take(ya *yamux.Session) (*yamux.Stream, error) {
	if ya.IsClosed() {
		return nil, yamux.ErrSessionShutdown
	}
	i.mu.Lock()
	if n := len(i.streams); n > 0 {
		st := i.streams[n-1]
		i.streams[n-1] = nil
		i.streams = i.streams[:n-1]
		i.mu.Unlock()
		return st, nil
	}
	i.mu.Unlock()
	return ya.OpenStream()
}

// put adds a stream to the pool and reports false if the pool is full.
func (i *idleStreams) put(st *yamux.Stream) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.streams) >= maxIdleStreams {
		return false
	}
	i.streams = append(i.streams, st)
	return true
}
