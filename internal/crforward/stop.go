package crforward

import (
	"context"
	"net/http"
	"time"

	"github.com/citronramp/citronramp/internal/crevent"
)

// Times of a planned stop, as parts of the time until the process is killed.
const (
	// stopNoticePart is the time in which clients learn that the node is not ready, while it still takes requests: clients
	// are told after two questions a second apart.
	stopNoticePart = 0.45
	// stopEndPart is when requests that still run are cut; a server that works longer than that is not waited for.
	stopEndPart = 0.86
	// gateLead is how long before the end of the notice the gate closes: the directory tells all nodes within a fifth of a
	// second, and until then a refused call costs a further hop only.
	gateLead = 400 * time.Millisecond
	// endLimit bounds the end of the duties after the last request.
	endLimit = 300 * time.Millisecond
)

// stop finishes what is in flight. The node says at once that it is not ready, and still takes the requests of clients
// that have not heard of it. Its gate serves nearly as long, since the server beside it does not stop. Then connections
// close as their requests end.
func (n *Node) stop(servers ...*http.Server) {
	now := time.Now()
	end := now.Add(time.Duration(float64(n.Settings.StopTimeout) * stopEndPart))
	notice := time.Duration(float64(n.Settings.StopTimeout) * stopNoticePart)
	n.stopping.Store(true)
	n.Log.Emit(now, crevent.State, crevent.Stopping, crevent.KeyCount, n.inFlight.Load(), crevent.KeyLeft, n.Settings.StopTimeout)
	time.Sleep(notice - min(gateLead, notice))
	n.closed.Store(true)
	n.announce()
	time.Sleep(min(gateLead, notice))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			n.Log.Emit(time.Now(), crevent.State, crevent.Cut, crevent.KeyCount, n.inFlight.Load(), crevent.KeyError, err)
		}
	}
}
