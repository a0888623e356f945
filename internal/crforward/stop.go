package crforward

import (
	"context"
	"net/http"
	"time"

	"github.com/citronramp/citronramp/internal/crevent"
)

// Timings of a graceful stop, as fractions of the time until the process is killed.
const (
	// notReadyPart is how long the node reports that it is not ready but still accepts requests. Clients notice after
	// two readiness checks a second apart.
	notReadyPart = 0.45
	// cutOffPart is when requests that still run are cut off; a server that takes longer is not waited for.
	cutOffPart = 0.86
	// gateCloseLead is how long before the end of that time the gate closes. The directory informs all nodes within a
	// fifth of a second; until then a refused call costs only one more hop.
	gateCloseLead = 400 * time.Millisecond
	// taskEndTimeout limits the wait for background tasks after the last request.
	taskEndTimeout = 300 * time.Millisecond
)

// stop shuts the node down gracefully. The node reports at once that it is not ready, but accepts requests of clients
// that have not noticed yet. Its gate stays open nearly as long, because the server beside it keeps running. Then
// connections close as their requests finish.
func (n *Node) stop(servers ...*http.Server) {
	now := time.Now()
	end := now.Add(time.Duration(float64(n.Settings.StopTimeout) * cutOffPart))
	notReadyTime := time.Duration(float64(n.Settings.StopTimeout) * notReadyPart)
	n.stopping.Store(true)
	n.Log.Emit(now, crevent.State, crevent.Stopping, crevent.KeyCount, n.inFlight.Load(), crevent.KeyLeft, n.Settings.StopTimeout)
	time.Sleep(notReadyTime - min(gateCloseLead, notReadyTime))
	n.gateClosed.Store(true)
	n.announce()
	time.Sleep(min(gateCloseLead, notReadyTime))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			n.Log.Emit(time.Now(), crevent.State, crevent.Cut, crevent.KeyCount, n.inFlight.Load(), crevent.KeyError, err)
		}
	}
}
