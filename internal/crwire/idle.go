package crwire

import (
	"sync"

	"github.com/hashicorp/yamux"
)

// maxIdleStreams bounds the streams that a session keeps for later calls; an idle one costs two goroutines at the peer.
const maxIdleStreams = 32

// idleStreams are the streams of a session on which a call has ended. Opening and closing a stream costs two frames each
// way, twice as many as the call itself.
type idleStreams struct {
	mu      sync.Mutex
	streams []*yamux.Stream
}

// take returns the stream that was used last, or opens one; an error means that the session has ended.
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

// put keeps a stream and reports whether there was room for it.
func (i *idleStreams) put(st *yamux.Stream) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.streams) >= maxIdleStreams {
		return false
	}
	i.streams = append(i.streams, st)
	return true
}
