package crnode

import (
	"maps"
	"net/http"
	"sync"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// maxGoodputKinds bounds the kinds with counts of their own.
const maxGoodputKinds = 1024

// kindGoodput counts the requests of outside callers for one kind since the start of the node. The goodput of a
// settlement period is the difference between two snapshots; the end of a period resets nothing here.
type kindGoodput struct {
	Offered int64 `json:"offered"`
	// Whole counts complete answers of the backend server with a status below 500.
	Whole int64 `json:"whole"`
	// Worth is the sum of the worths of the complete answers, each with the worth that the kind had at that time.
	Worth int64 `json:"worth"`
}

// goodput counts requests by kind.
type goodput struct {
	mu    sync.Mutex
	kinds map[string]kindGoodput
}

// count adds one request with its answer.
func (g *goodput) count(kind string, worth uint32, a answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.kinds[kind]
	if !ok {
		if g.kinds == nil {
			g.kinds = make(map[string]kindGoodput)
		}
		if len(g.kinds) >= maxGoodputKinds {
			return
		}
	}
	c.Offered++
	if (a.code == crcode.OK || a.code == crcode.Replayed) && a.status < http.StatusInternalServerError {
		c.Whole++
		c.Worth += int64(worth)
	}
	g.kinds[kind] = c
}

// snapshot returns a copy of the counts.
func (g *goodput) snapshot() map[string]kindGoodput {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := maps.Clone(g.kinds)
	if out == nil {
		out = map[string]kindGoodput{}
	}
	return out
}
