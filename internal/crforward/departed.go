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
	// departedLife is how long a node is reminded that a server has said that it leaves; servers end within some ten seconds.
	departedLife = 10 * time.Minute
	// departedPrefix begins the key of such a notice; the node's name and the server's id follow.
	departedPrefix = "left/"
)

// departed are the lifetimes of servers that have said to this node that they leave, as the directory tells them after a restart of
// the node: a late report of such a lifetime must not bring it back.
type departed struct {
	mu sync.Mutex
	// born is the start of the latest such lifetime of each id, in Unix milliseconds, as servers tell it.
	born map[string]int64
}

// has reports whether the lifetime of a report has left.
func (d *departed) has(r Report) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	born, ok := d.born[r.ID]
	return ok && r.Born.UnixMilli() <= born
}

func (d *departed) add(id string, born time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.born == nil {
		d.born = map[string]int64{}
	}
	d.born[id] = max(d.born[id], born.UnixMilli())
}

func (n *Node) departedKey(id string) string {
	return fmt.Sprintf("%s%s/%s", departedPrefix, n.Settings.Name, id)
}

// depart remembers that a server leaves, also in the directory. One that tells no start cannot be told from a later one with its id.
func (n *Node) depart(id string, born time.Time) {
	if born.UnixMilli() <= 0 {
		return
	}
	n.departed.add(id, born)
	n.tell(&crwire.DirectoryNotice{
		Service: n.Settings.Service, Key: n.departedKey(id), Version: uint64(born.UnixMilli()), ExpiresInMs: departedLife.Milliseconds(),
	})
}

// tell publishes a notice.
func (n *Node) tell(m *crwire.DirectoryNotice) {
	if !n.directory.Publish(m) {
		n.Counters.Add("notices_dropped", 1)
	}
}

// noticed takes a notice of the directory.
func (n *Node) noticed(now time.Time, m *crwire.DirectoryNotice) {
	if !strings.HasPrefix(m.GetKey(), departedPrefix) {
		n.suspects.noticed(now, m)
		return
	}
	id, own := strings.CutPrefix(m.GetKey(), n.departedKey(""))
	if !own || m.GetService() != n.Settings.Service {
		return
	}
	born := time.UnixMilli(int64(m.GetVersion()))
	n.departed.add(id, born)
	if n.gate.leave(id, born) == leaveTaken {
		n.Log.Emit(now, crevent.State, crevent.ServerGone, crevent.KeyServer, id, crevent.KeyReason, "told_before")
		n.announce()
	}
}
