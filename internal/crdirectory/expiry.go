package crdirectory

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crwire"
)

// expire handles entries whose lease or grace has ended, the oldest first.
func (c *Core) expire(now time.Time) {
	var due []*record
	for _, r := range c.records {
		if !r.until.IsZero() && now.After(r.until) {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(a, b *record) int {
		return cmp.Or(a.until.Compare(b.until), cmp.Compare(a.GetNode(), b.GetNode()))
	})
	for _, r := range due {
		c.expireOne(now, r)
	}
	for name, g := range c.gone {
		if now.After(g.until) {
			delete(c.gone, name)
		}
	}
	for service, times := range c.expiries {
		if now.Sub(times[len(times)-1]) > expiryWindow {
			delete(c.expiries, service)
		}
	}
}

// expireOne removes an entry, or keeps it as a suspect when half of the service's servers were removed lately. Every
// control instance decides for its own view, so that several owners together cannot remove more than half either.
func (c *Core) expireOne(now time.Time, r *record) {
	if !c.mayExpire(now, r.GetService()) {
		if !r.GetSuspect() {
			c.counts.Suspected++
			e := proto.Clone(r.DirectoryEntry).(*crwire.DirectoryEntry)
			e.Suspect = true
			owned := r.owner == c.cfg.Name
			c.put(e, r.owner, r.until)
			if owned {
				c.changed[e.GetNode()] = true
			}
		}
		return
	}
	c.counts.Expired++
	c.expiries[r.GetService()] = append(c.expiries[r.GetService()], now)
	g := &crwire.DirectoryGone{
		Node: r.GetNode(), Incarnation: r.GetIncarnation(), Generation: r.GetGeneration(), Sequence: r.GetSequence(),
		Expired: true,
	}
	owned := r.owner == c.cfg.Name
	c.remove(now, r, g)
	if owned {
		c.left[g.GetNode()] = g
	}
}

// mayExpire reports whether one more removal keeps at least half of the servers that the service had at the start of
// the window.
func (c *Core) mayExpire(now time.Time, service string) bool {
	times := slices.DeleteFunc(c.expiries[service], func(t time.Time) bool { return now.Sub(t) > expiryWindow })
	if len(times) == 0 {
		delete(c.expiries, service)
	} else {
		c.expiries[service] = times
	}
	return 2*(len(times)+1) <= len(c.services[service])+len(times)
}
