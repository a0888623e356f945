package crforward

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/internal/crwire"
)

const (
	// departureNoticeLifetime is how long the directory keeps the notice that a server leaves. Servers end within
	// about ten seconds.
	departureNoticeLifetime = 10 * time.Minute
	// departureKeyPrefix is the prefix of the keys of these notices; the node's name and the server's id follow.
	departureKeyPrefix = "left/"
)

// departures holds the lifetimes of servers that have announced to this node that they leave. The directory keeps them
// across a restart of the node, so that a delayed report of such a lifetime does not register the server again.
type departures struct {
	mu sync.Mutex
	// latestStart is, by server id, the start time of the latest such lifetime in Unix milliseconds, as reported by
	// the server.
	latestStart map[string]int64
}

// has reports whether the lifetime of a report has left.
func (d *departures) has(r Report) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	start, ok := d.latestStart[r.ID]
	return ok && r.Born.UnixMilli() <= start
}

func (d *departures) add(id string, start time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.latestStart == nil {
		d.latestStart = map[string]int64{}
	}
	d.latestStart[id] = max(d.latestStart[id], start.UnixMilli())
}

func (n *Node) departureKey(id string) string {
	return fmt.Sprintf("%s%s/%s", departureKeyPrefix, n.Settings.Name, id)
}

// recordDeparture stores that a server leaves, locally and in the directory. Without a start time the lifetime could
// not be distinguished from a later one with the same id, so nothing is stored.
func (n *Node) recordDeparture(id string, born time.Time) {
	if born.UnixMilli() <= 0 {
		return
	}
	n.departures.add(id, born)
	n.publishNotice(&crwire.DirectoryNotice{
		Service: n.Settings.Service, Key: n.departureKey(id), Version: uint64(born.UnixMilli()),
		ExpiresInMs: departureNoticeLifetime.Milliseconds(),
	})
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
	if !own || m.GetService() != n.Settings.Service {
		return
	}
	born := time.UnixMilli(int64(m.GetVersion()))
	n.departures.add(id, born)
	if n.gate.markDraining(id, born) == leaveAccepted {
		n.Log.Emit(now, crevent.State, crevent.ServerGone, crevent.KeyServer, id, crevent.KeyReason, "told_before")
		n.announce()
	}
}
