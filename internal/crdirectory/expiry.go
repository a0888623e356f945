package crdirectory

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crwire"
)

// expire handles entries whose lease or grace period has ended, the oldest first, and drops old tombstones and expiry
// times.
func (c *Core) expire(now time.Time) {
	var due []*record
	for _, r := range c.records {
		if !r.expiresAt.IsZero() && now.After(r.expiresAt) {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(a, b *record) int {
		return cmp.Or(a.expiresAt.Compare(b.expiresAt), cmp.Compare(a.GetNode(), b.GetNode()))
	})
	for _, r := range due {
		c.expireOne(now, r)
	}
	for name, g := range c.tombstones {
		if now.After(g.expiresAt) {
			delete(c.tombstones, name)
		}
	}
	for service, times := range c.recentExpiries {
		if now.Sub(times[len(times)-1]) > expiryWindow {
			delete(c.recentExpiries, service)
		}
	}
}

// expireOne removes an entry, or marks it as suspect when half of the servers of its service expired within
// expiryWindow. Every control instance applies the limit to its own view, so that several owners together cannot
// remove more than half either.
func (c *Core) expireOne(now time.Time, r *record) {
	if !c.mayExpire(now, r.GetService()) {
		if !r.GetSuspect() {
			c.counts.Suspected++
			e := proto.Clone(r.DirectoryEntry).(*crwire.DirectoryEntry)
			e.Suspect = true
			owned := r.owner == c.cfg.Name
			c.put(e, r.owner, r.expiresAt)
			if owned {
				c.changedEntries[e.GetNode()] = true
			}
		}
		return
	}
	c.counts.Expired++
	c.recentExpiries[r.GetService()] = append(c.recentExpiries[r.GetService()], now)
	g := &crwire.DirectoryGone{
		Node: r.GetNode(), Incarnation: r.GetIncarnation(), Generation: r.GetGeneration(), Sequence: r.GetSequence(),
		Expired: true,
	}
	owned := r.owner == c.cfg.Name
	c.remove(now, r, g)
	if owned {
		c.removedEntries[g.GetNode()] = g
	}
}

// mayExpire reports whether at least half of the servers that the service had at the start of the window would remain
// after one more removal.
func (c *Core) mayExpire(now time.Time, service string) bool {
	times := slices.DeleteFunc(c.recentExpiries[service], func(t time.Time) bool { return now.Sub(t) > expiryWindow })
	if len(times) == 0 {
		delete(c.recentExpiries, service)
	} else {
		c.recentExpiries[service] = times
	}
	return 2*(len(times)+1) <= len(c.services[service])+len(times)
}
