package crforward

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crcoord"
	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

const (
	// departureNoticeLifetime is how long the directory keeps the notice that a server leaves. Servers end within
	// about ten seconds.
	departureNoticeLifetime = 10 * time.Minute
	// departureKeyPrefix is the prefix of the keys of these notices; the node's name and the server's id follow.
	departureKeyPrefix = "left/"
)

// departureTimeout bounds the storage of a departure. A server waits for a second for the acknowledgement.
const departureTimeout = 800 * time.Millisecond

// departures holds the lifetimes of servers that have announced to this node that they leave. The coordinators keep them
// across a restart of the node, so that a delayed report of such a lifetime does not register the server again.
type departures struct {
	mu sync.Mutex
	// latest is the latest such lifetime by server id.
	latest map[string]departure
}

// departure is a lifetime of a server that has left.
type departure struct {
	// start is the start time in Unix milliseconds, as reported by the server.
	start int64
	// stored is set once enough coordinators have stored the departure.
	stored bool
}

// has reports whether the lifetime of a report has left.
func (d *departures) has(r Report) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.latest[r.ID]
	return ok && r.Born.UnixMilli() <= known.start
}

// isStored reports whether the departure of a lifetime, or of a later one with the same id, is stored.
func (d *departures) isStored(id string, start time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.latest[id]
	return known.stored && start.UnixMilli() <= known.start
}

// add records the departure of a lifetime unless that of a later one is known.
func (d *departures) add(id string, start time.Time, stored bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.latest == nil {
		d.latest = map[string]departure{}
	}
	next, known := departure{start: start.UnixMilli(), stored: stored}, d.latest[id]
	if next.start == known.start {
		next.stored = stored || known.stored
	}
	if next.start >= known.start {
		d.latest[id] = next
	}
}

func (n *Node) departureKey(id string) string {
	return fmt.Sprintf("%s%s/%s", departureKeyPrefix, n.Settings.Name, id)
}

// departureTopic is the name under which this node publishes and watches its departures. Each node has its own, so that a
// release of many servers does not exceed the number of notices under one name.
func (n *Node) departureTopic() string { return departureKeyPrefix + n.Settings.Name }

// storeDeparture stores that a server leaves, locally and at the coordinators. A nil result means that the departure
// survives a loss of this process together with as many coordinators as may be lost. Without a start time the lifetime
// could not be distinguished from a later one with the same id, so nothing is stored.
func (n *Node) storeDeparture(ctx context.Context, id string, born time.Time) error {
	if born.UnixMilli() <= 0 || n.departures.isStored(id, born) {
		return nil
	}
	n.departures.add(id, born, false)
	notice := &crwire.DirectoryNotice{
		Service: n.departureTopic(), Key: n.departureKey(id), Version: uint64(born.UnixMilli()),
		ExpiresInMs: departureNoticeLifetime.Milliseconds(),
	}
	if err := n.storeNotice(ctx, notice); err != nil {
		n.Counters.Add("departures_not_stored", 1)
		n.publishNotice(notice)
		return err
	}
	n.departures.add(id, born, true)
	return nil
}

// storeNotice has the coordinators that this node is linked to store a notice durably; one success is enough.
func (n *Node) storeNotice(ctx context.Context, notice *crwire.DirectoryNotice) error {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	addresses := n.coordinators.linked()
	results := make(chan error, len(addresses))
	for _, a := range addresses {
		go func() {
			s, err := n.endpoint.Session(ctx, a)
			if err == nil {
				_, err = crwire.Call[crwire.DirectoryEmpty](ctx, s, crcoord.MethodStoreNotice, notice)
			}
			results <- err
		}()
	}
	err := errors.New("no coordinator is linked")
	for range addresses {
		if err = <-results; err == nil {
			return nil
		}
	}
	return crcode.New(crcode.NotStored, "%v", err)
}

// publishNotice publishes a notice to the directory.
func (n *Node) publishNotice(m *crwire.DirectoryNotice) {
	if !n.directory.Publish(m) {
		n.Counters.Add("notices_dropped", 1)
	}
}

// handleNotice processes a notice from the directory: a departure of this node's server, or suspects of a crash.
func (n *Node) handleNotice(now time.Time, m *crwire.DirectoryNotice) {
	if !strings.HasPrefix(m.GetKey(), departureKeyPrefix) {
		n.suspects.handleNotice(now, m)
		return
	}
	id, own := strings.CutPrefix(m.GetKey(), n.departureKey(""))
	if !own {
		return
	}
	born := time.UnixMilli(int64(m.GetVersion()))
	n.departures.add(id, born, false)
	if n.gate.markDraining(id, born) == leaveAccepted {
		n.Log.Emit(now, crevent.State, crevent.ServerGone, crevent.KeyServer, id, crevent.KeyReason, "told_before")
		n.announce()
	}
}
