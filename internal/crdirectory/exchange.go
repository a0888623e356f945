package crdirectory

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/citronramp/citronramp/internal/crwire"
)

// SubscribePeer starts the exchange to another control instance on a link and sends it all own entries and all
// notices.
func (c *Core) SubscribePeer(now time.Time, link uint64, peer string) []Output {
	c.exchangeLinks[link] = peer
	m := &crwire.DirectoryExchange{Full: true}
	for _, name := range slices.Sorted(maps.Keys(c.records)) {
		r := c.records[name]
		if r.owner != c.cfg.Name {
			continue
		}
		if len(m.Entries) == maxMessageEntries {
			m.More = true
			c.sendToPeer(link, m)
			m = &crwire.DirectoryExchange{Full: true}
		}
		m.Entries = append(m.Entries, r.DirectoryEntry)
	}
	for _, service := range slices.Sorted(maps.Keys(c.notices)) {
		for _, n := range c.sortedNotices(service) {
			if len(m.Notices) == maxMessageEntries {
				m.More = true
				c.sendToPeer(link, m)
				m = &crwire.DirectoryExchange{Full: true}
			}
			m.Notices = append(m.Notices, n.message(now))
		}
	}
	c.sendToPeer(link, m)
	return c.takeOutputs()
}

// UnsubscribePeer ends the exchange on a link.
func (c *Core) UnsubscribePeer(link uint64) { delete(c.exchangeLinks, link) }

func (c *Core) sendToPeer(link uint64, m *crwire.DirectoryExchange) {
	c.counts.ExchangeSent += uint64(len(m.Entries) + len(m.Gone))
	c.outputs = append(c.outputs, ToPeer{Link: link, Message: m})
}

// sendChanges sends the changes since the last exchange to the peers.
func (c *Core) sendChanges() {
	m := &crwire.DirectoryExchange{}
	send := func() {
		for _, link := range slices.Sorted(maps.Keys(c.exchangeLinks)) {
			c.sendToPeer(link, m)
		}
		m = &crwire.DirectoryExchange{}
	}
	for _, name := range slices.Sorted(maps.Keys(c.changedEntries)) {
		m.Entries = append(m.Entries, c.records[name].DirectoryEntry)
		if len(m.Entries) == maxMessageEntries {
			send()
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.removedEntries)) {
		m.Gone = append(m.Gone, c.removedEntries[name])
		if len(m.Gone) == maxMessageEntries {
			send()
		}
	}
	if len(m.Entries)+len(m.Gone) > 0 {
		send()
	}
	clear(c.changedEntries)
	clear(c.removedEntries)
}

// PeerMessage applies the full state or the changes of another control instance.
func (c *Core) PeerMessage(now time.Time, peer string, m *crwire.DirectoryExchange) []Output {
	c.counts.ExchangeTaken += uint64(len(m.GetEntries()) + len(m.GetGone()))
	if m.GetFull() && c.peerEntries[peer] == nil {
		c.peerEntries[peer] = map[string]bool{}
	}
	seen := c.peerEntries[peer]
	for _, e := range m.GetEntries() {
		if m.GetFull() && seen != nil {
			seen[e.GetNode()] = true
		}
		c.applyPeerEntry(peer, e)
	}
	for _, g := range m.GetGone() {
		c.applyPeerRemoval(now, peer, g)
	}
	for _, n := range m.GetNotices() {
		c.storeNotice(now, n)
	}
	if m.GetFull() && !m.GetMore() {
		for _, r := range c.records {
			// A node whose entry the peer has lost, for example by a restart, has a grace period to announce itself again.
			if r.owner == peer && !seen[r.GetNode()] && r.expiresAt.IsZero() {
				r.expiresAt = now.Add(OwnerGrace)
			}
		}
		c.peerEntries[peer] = map[string]bool{}
	}
	c.sendUnsentNotices(now)
	return c.takeOutputs()
}

// applyPeerEntry stores an entry of the peer, its owner, unless a newer one is known.
func (c *Core) applyPeerEntry(peer string, e *crwire.DirectoryEntry) {
	if validate(e) != nil || c.records[e.GetNode()] == nil && len(c.records) >= MaxEntries {
		c.counts.Refused++
		return
	}
	if _, ok := c.newerGeneration(e); ok {
		c.counts.Stale++
		return
	}
	if r := c.records[e.GetNode()]; r != nil {
		o := compareEntry(e.GetGeneration(), e.GetSequence(), e.GetIncarnation(), r.DirectoryEntry)
		if o < 0 || o == 0 && r.owner == c.cfg.Name {
			c.counts.Stale++
			return
		}
	}
	c.put(e, peer, time.Time{})
}

// applyPeerRemoval applies a removal. One by expiry is subject to this instance's own limit of expiries.
func (c *Core) applyPeerRemoval(now time.Time, peer string, g *crwire.DirectoryGone) {
	r := c.records[g.GetNode()]
	if r == nil {
		if !g.GetExpired() {
			c.tombstones[g.GetNode()] = tombstone{g, now.Add(tombstoneRetention)}
		}
		return
	}
	o := compareEntry(g.GetGeneration(), g.GetSequence(), g.GetIncarnation(), r.DirectoryEntry)
	switch {
	case !g.GetExpired() && cmp.Compare(o, 0) >= 0:
		c.counts.Left++
		c.remove(now, r, g)
	case g.GetExpired() && o == 0 && r.owner == peer:
		r.expiresAt = now
		c.expireOne(now, r)
	default:
		c.counts.Stale++
	}
}

// PeerLost starts the grace period of the entries of a lost control instance, in which their nodes can announce
// themselves at another one.
func (c *Core) PeerLost(now time.Time, peer string) []Output {
	delete(c.peerEntries, peer)
	for _, r := range c.records {
		if r.owner == peer && r.expiresAt.IsZero() {
			r.expiresAt = now.Add(OwnerGrace)
		}
	}
	return c.takeOutputs()
}
