package crcoord

import (
	"context"
	"errors"
	"io/fs"
	"path/filepath"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/internal/crhint"
	"github.com/citronramp/citronramp/internal/crpause"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crstore"
)

const (
	// hintsFile holds the hints, beside the files of the log.
	hintsFile = "hints"
	// hintInterval is the least time between two writes of the file: what is lost with a machine is learned again in seconds.
	hintInterval = 3 * time.Second
)

// hints is what nodes told this coordinator of routes. It is no part of the replicated state: each coordinator keeps what its
// own nodes say, and a wrong hint is put right by the first requests.
type hints struct {
	mu      sync.Mutex
	book    *crhint.Book
	unsaved bool
}

func (c *Coordinator) hintsPath() string { return filepath.Join(c.Settings.DataDir, hintsFile) }

// loadHints reads the hints that were saved; without them nodes learn anew.
func (c *Coordinator) loadHints() {
	c.hints.book = &crhint.Book{}
	raw, err := crstore.OS{}.ReadFile(c.hintsPath())
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err == nil {
		c.hints.book, err = crhint.Decode(raw)
	}
	if err != nil {
		c.hintsFailed(err)
	}
}

func (c *Coordinator) hintsFailed(err error) {
	c.Counters.Add("hints_failed", 1)
	c.Log.Emit(time.Now(), crevent.State, crevent.Message, crevent.KeyDetail, hintsFile, crevent.KeyError, err)
}

func (c *Coordinator) handleHints(_ context.Context, _ *crwire.Session, told *crwire.RouteHints) (*crwire.RouteHints, error) {
	c.hints.mu.Lock()
	defer c.hints.mu.Unlock()
	if c.hints.book.Tell(told.GetHints()...) > 0 {
		c.hints.unsaved = true
	}
	answer := &crwire.RouteHints{}
	if told.GetWant() {
		answer.Hints, answer.Since = c.hints.book.Since(told.GetSince())
	}
	return answer, nil
}

// hintLoop saves what is new.
func (c *Coordinator) hintLoop(ctx context.Context) {
	for crpause.For(ctx, hintInterval) == nil {
		if err := c.saveHints(); err != nil {
			c.hintsFailed(err)
		}
	}
}

func (c *Coordinator) saveHints() error {
	c.hints.mu.Lock()
	if !c.hints.unsaved {
		c.hints.mu.Unlock()
		return nil
	}
	c.hints.unsaved = false
	raw, err := c.hints.book.Encode()
	c.hints.mu.Unlock()
	if err != nil {
		return err
	}
	if err := crstore.WriteFile(crstore.OS{}, c.hintsPath(), raw); err != nil {
		c.hints.mu.Lock()
		c.hints.unsaved = true
		c.hints.mu.Unlock()
		return err
	}
	return nil
}
