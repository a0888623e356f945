package crdirectory

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/citronramp/citronramp/internal/crwire"
)

// Listen starts the exchange to another control instance with the whole own state.
func (c *Core) Listen(now time.Time, link uint64, peer string) []Output {
	c.listeners[link] = peer
	m := &crwire.DirectoryExchange{Full: true}
	for _, name := range slices.Sorted(maps.Keys(c.records)) {
		r := c.records[name]
		if r.owner != c.cfg.Name {
			continue
		}
		if len(m.Entries) == partEntries {
			m.More = true
			c.toPeer(link, m)
			m = &crwire.DirectoryExchange{Full: true}
		}
		m.Entries = append(m.Entries, r.DirectoryEntry)
	}
	for _, service := range slices.Sorted(maps.Keys(c.notices)) {
		for _, n := range c.sortedNotices(service) {
			if len(m.Notices) == partEntries {
				m.More = true
				c.toPeer(link, m)
				m = &crwire.DirectoryExchange{Full: true}
			}
			m.Notices = append(m.Notices, n.message(now))
		}
	}
	c.toPeer(link, m)
	return c.take()
}

// Unlisten ends the exchange on a link.
func (c *Core) Unlisten(link uint64) { delete(c.listeners, link) }

func (c *Core) toPeer(link uint64, m *crwire.DirectoryExchange) {
	c.counts.ExchangeSent += uint64(len(m.Entries) + len(m.Gone))
	c.out = append(c.out, ToPeer{Link: link, Message: m})
}

// exchange sends what changed since the last time.
func (c *Core) exchange() {
	m := &crwire.DirectoryExchange{}
	send := func() {
		for _, link := range slices.Sorted(maps.Keys(c.listeners)) {
			c.toPeer(link, m)
		}
		m = &crwire.DirectoryExchange{}
	}
	for _, name := range slices.Sorted(maps.Keys(c.changed)) {
		m.Entries = append(m.Entries, c.records[name].DirectoryEntry)
		if len(m.Entries) == partEntries {
			send()
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.left)) {
		m.Gone = append(m.Gone, c.left[name])
		if len(m.Gone) == partEntries {
			send()
		}
	}
	if len(m.Entries)+len(m.Gone) > 0 {
		send()
	}
	clear(c.changed)
	clear(c.left)
}

// PeerMessage takes the state or the changes of another control instance.
func (c *Core) PeerMessage(now time.Time, peer string, m *crwire.DirectoryExchange) []Output {
	c.counts.ExchangeTaken += uint64(len(m.GetEntries()) + len(m.GetGone()))
	if m.GetFull() && c.taken[peer] == nil {
		c.taken[peer] = map[string]bool{}
	}
	seen := c.taken[peer]
	for _, e := range m.GetEntries() {
		if m.GetFull() && seen != nil {
			seen[e.GetNode()] = true
		}
		c.takeEntry(peer, e)
	}
	for _, g := range m.GetGone() {
		c.takeGone(now, peer, g)
	}
	for _, n := range m.GetNotices() {
		c.store(now, n)
	}
	if m.GetFull() && !m.GetMore() {
		for _, r := range c.records {
			// What the peer no longer knows, after a restart for instance, has the grace to announce itself again.
			if r.owner == peer && !seen[r.GetNode()] && r.until.IsZero() {
				r.until = now.Add(OwnerGrace)
			}
		}
		c.taken[peer] = map[string]bool{}
	}
	c.updateNotices(now)
	return c.take()
}

// takeEntry stores an entry of its owner unless a newer one is known.
func (c *Core) takeEntry(peer string, e *crwire.DirectoryEntry) {
	if valid(e) != nil || c.records[e.GetNode()] == nil && len(c.records) >= MaxEntries {
		c.counts.Refused++
		return
	}
	if _, ok := c.standing(e); ok {
		c.counts.Stale++
		return
	}
	if r := c.records[e.GetNode()]; r != nil {
		o := order(e.GetGeneration(), e.GetSequence(), e.GetIncarnation(), r.DirectoryEntry)
		if o < 0 || o == 0 && r.owner == c.cfg.Name {
			c.counts.Stale++
			return
		}
	}
	c.put(e, peer, time.Time{})
}

// takeGone handles a removal; one by expiry goes through this instance's own bound.
func (c *Core) takeGone(now time.Time, peer string, g *crwire.DirectoryGone) {
	r := c.records[g.GetNode()]
	if r == nil {
		if !g.GetExpired() {
			c.gone[g.GetNode()] = gone{g, now.Add(goneHold)}
		}
		return
	}
	o := order(g.GetGeneration(), g.GetSequence(), g.GetIncarnation(), r.DirectoryEntry)
	switch {
	case !g.GetExpired() && cmp.Compare(o, 0) >= 0:
		c.counts.Left++
		c.remove(now, r, g)
	case g.GetExpired() && o == 0 && r.owner == peer:
		r.until = now
		c.expireOne(now, r)
	default:
		c.counts.Stale++
	}
}

// PeerLost gives the entries of a lost control instance the grace to be taken over by another one.
func (c *Core) PeerLost(now time.Time, peer string) []Output {
	delete(c.taken, peer)
	for _, r := range c.records {
		if r.owner == peer && r.until.IsZero() {
			r.until = now.Add(OwnerGrace)
		}
	}
	return c.take()
}
