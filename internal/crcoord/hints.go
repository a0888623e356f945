package crcoord

import (
	"context"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crhint"
	"github.com/citronramp/citronramp/internal/crwire"
)

const (
	// hintsFile is the name of the file that stores the route hints.
	hintsFile = "hints"
	// hintInterval is the minimum time between two writes of the file. Hints that are lost with a machine are
	// measured again within seconds.
	hintInterval = 3 * time.Second
)

// hints are the route hints, the costs of routes that nodes have measured and reported to this coordinator. They are
// not part of the replicated state: each coordinator stores the hints of its own nodes, and the first requests
// correct a wrong hint.
type hints struct {
	mu      sync.Mutex
	book    *crhint.Table
	unsaved bool
}

// loadHints reads the saved hints. Without them nodes measure the costs again.
func (c *Coordinator) loadHints() {
	raw := c.hintsFile().load()
	book, err := crhint.Decode(raw)
	c.hints.book = book
	if err != nil {
		c.recordFileError(hintsFile, err)
	}
}

func (c *Coordinator) hintsFile() *softStateFile {
	return &softStateFile{coordinator: c, name: hintsFile, interval: hintInterval, encode: c.encodeUnsavedHints}
}

func (c *Coordinator) handleHints(_ context.Context, _ *crwire.Session, req *crwire.RouteHints) (*crwire.RouteHints, error) {
	c.hints.mu.Lock()
	defer c.hints.mu.Unlock()
	if c.hints.book.Update(req.GetHints()...) > 0 {
		c.hints.unsaved = true
	}
	answer := &crwire.RouteHints{}
	if req.GetWant() {
		answer.Hints, answer.Since = c.hints.book.ChangedSince(req.GetSince())
	}
	return answer, nil
}

// encodeUnsavedHints returns all hints encoded, or nil when none has changed since the last call.
func (c *Coordinator) encodeUnsavedHints() ([]byte, error) {
	c.hints.mu.Lock()
	defer c.hints.mu.Unlock()
	if !c.hints.unsaved {
		return nil, nil
	}
	c.hints.unsaved = false
	return c.hints.book.Encode()
}
