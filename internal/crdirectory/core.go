package crdirectory

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// record is an entry with its lease as this control instance knows it. The entry itself is immutable, because
// messages may refer to it.
type record struct {
	*crwire.DirectoryEntry
	// owner is the control instance that receives the renewals and decides when the lease ends.
	owner string
	// expiresAt is the end of the lease of an own entry, or of the grace period of an entry whose owner is lost. It is zero
	// while another owner is connected and decides.
	expiresAt time.Time
}

// tombstone marks an entry that was removed, so that older messages do not restore it.
type tombstone struct {
	*crwire.DirectoryGone
	expiresAt time.Time
}

// Core is the directory state of one control instance. It is not safe for concurrent use.
type Core struct {
	cfg   Config
	start time.Time

	records        map[string]*record
	addresses      map[string]string
	services       map[string]map[string]*record
	tombstones     map[string]tombstone
	recentExpiries map[string][]time.Time

	// changedEntries and removedEntries hold the changes that the next exchange sends to the peers.
	changedEntries map[string]bool
	removedEntries map[string]*crwire.DirectoryGone
	// exchangeLinks are the peers that receive the exchange, by link. peerEntries has a key for each peer whose
	// exchange this instance receives; the value holds the names of the entries in a full state that is being
	// received.
	exchangeLinks map[uint64]string
	peerEntries   map[string]map[string]bool

	notices map[string]map[string]*notice
	// unsentNotices are the notices that have not been sent to the watchers yet.
	unsentNotices map[noticeID]bool
	watchers      map[uint64]*watcher
	// changedServices are the services that changed since the last update of the watchers.
	changedServices map[string]bool
	// entranceCandidates are the entries that the lists of entrances are picked from.
	entranceCandidates []*crwire.DirectoryEntry
	entrancesAt        time.Time
	settled            bool
	outputs            []Output
	counts             Counters
}

// New returns an empty directory that starts at the given time.
func New(now time.Time, cfg Config) *Core {
	return &Core{
		cfg: cfg, start: now,
		records: map[string]*record{}, addresses: map[string]string{}, services: map[string]map[string]*record{},
		tombstones: map[string]tombstone{}, recentExpiries: map[string][]time.Time{},
		changedEntries: map[string]bool{}, removedEntries: map[string]*crwire.DirectoryGone{},
		exchangeLinks: map[uint64]string{}, peerEntries: map[string]map[string]bool{},
		notices: map[string]map[string]*notice{}, unsentNotices: map[noticeID]bool{}, watchers: map[uint64]*watcher{},
		changedServices: map[string]bool{},
	}
}

func (c *Core) takeOutputs() []Output {
	out := c.outputs
	c.outputs = nil
	return out
}

// Tick expires entries and notices and returns the messages that are due. Call it every ExchangeInterval.
func (c *Core) Tick(now time.Time) []Output {
	c.expire(now)
	c.expireNotices(now)
	if !c.settled && now.Sub(c.start) >= Lease {
		// Every live node has renewed its entry at some control instance within a lease, so a missing server is gone.
		c.settled = true
		for _, w := range c.watchers {
			w.scheduleFullUpdates()
		}
	}
	c.sendChanges()
	c.sendUpdates(now)
	return c.takeOutputs()
}

// compareEntry compares an incarnation and a sequence with those of entry e, the incarnation first.
func compareEntry(gen, seq uint64, inc string, e *crwire.DirectoryEntry) int {
	return cmp.Or(compareIncarnation(gen, inc, e), cmp.Compare(seq, e.GetSequence()))
}

func compareIncarnation(gen uint64, inc string, e *crwire.DirectoryEntry) int {
	return cmp.Or(cmp.Compare(gen, e.GetGeneration()), cmp.Compare(inc, e.GetIncarnation()))
}

// Announce adds or replaces the entry of a node. If a newer incarnation is known, the verdict is stale and contains
// its generation; a node that was never accepted may announce itself again with a higher one.
func (c *Core) Announce(now time.Time, e *crwire.DirectoryEntry) (*crwire.DirectoryVerdict, error) {
	if err := validate(e); err != nil {
		return nil, err
	}
	c.counts.Announces++
	if g, ok := c.newerGeneration(e); ok {
		c.counts.Stale++
		return &crwire.DirectoryVerdict{Stale: true, Generation: g}, nil
	}
	if c.records[e.GetNode()] == nil && len(c.records) >= MaxEntries {
		c.counts.Refused++
		return nil, crcode.New(crcode.Overflow, "directory is full")
	}
	e = proto.Clone(e).(*crwire.DirectoryEntry)
	e.Suspect = false
	c.put(e, c.cfg.Name, now.Add(Lease))
	c.changedEntries[e.GetNode()] = true
	return &crwire.DirectoryVerdict{}, nil
}

func validate(e *crwire.DirectoryEntry) error {
	for _, s := range []string{
		e.GetNode(), e.GetIncarnation(), e.GetService(), e.GetAddress(), e.GetEntrance(), e.GetDomain(), e.GetRegion(), e.GetInstance(),
	} {
		if len(s) > maxNameBytes {
			return crcode.New(crcode.BadRequest, "a name is longer than %d bytes", maxNameBytes)
		}
	}
	if e.GetNode() == "" || e.GetIncarnation() == "" || e.GetAddress() == "" || e.GetState() < Starting || e.GetState() > Leaving {
		return crcode.New(crcode.BadRequest, "incomplete announcement")
	}
	return nil
}

// newerGeneration returns the generation of a newer incarnation at the name or address of the entry, or of its own
// incarnation when that has left.
func (c *Core) newerGeneration(e *crwire.DirectoryEntry) (uint64, bool) {
	if g, ok := c.tombstones[e.GetNode()]; ok && !g.GetExpired() &&
		cmp.Or(cmp.Compare(e.GetGeneration(), g.GetGeneration()), cmp.Compare(e.GetIncarnation(), g.GetIncarnation())) <= 0 {
		return g.GetGeneration(), true
	}
	for _, name := range []string{e.GetNode(), c.addresses[e.GetAddress()]} {
		if r := c.records[name]; r != nil && compareIncarnation(e.GetGeneration(), e.GetIncarnation(), r.DirectoryEntry) < 0 {
			return r.GetGeneration(), true
		}
	}
	return 0, false
}

// Renew extends the lease of an entry. NotFound asks the node for a new announcement; StaleIncarnation means that the
// message is older than the entry.
func (c *Core) Renew(now time.Time, m *crwire.DirectoryRenew) error {
	r := c.records[m.GetNode()]
	switch {
	case r == nil || r.owner != c.cfg.Name:
		return crcode.New(crcode.NotFound, "%q is not announced here", m.GetNode())
	case r.GetIncarnation() != m.GetIncarnation():
		c.counts.Stale++
		return crcode.New(crcode.StaleIncarnation, "%q has another incarnation", m.GetNode())
	case m.GetSequence() < r.GetSequence():
		c.counts.Stale++
		return crcode.New(crcode.StaleIncarnation, "an older message of %q", m.GetNode())
	}
	c.counts.Renewals++
	r.expiresAt = now.Add(Lease)
	change := int(m.GetLoad()) - int(r.GetLoad())
	if !r.GetSuspect() && change < minLoadChange && change > -minLoadChange {
		return nil
	}
	e := proto.Clone(r.DirectoryEntry).(*crwire.DirectoryEntry)
	e.Load, e.Sequence, e.Suspect = m.GetLoad(), m.GetSequence(), false
	c.put(e, c.cfg.Name, r.expiresAt)
	c.changedEntries[e.GetNode()] = true
	return nil
}

// Leave removes an entry at the end of a planned stop. Unlike an expiry it is not limited by the state of the other
// servers of the service.
func (c *Core) Leave(now time.Time, m *crwire.DirectoryLeave) error {
	r := c.records[m.GetNode()]
	if r == nil || r.GetIncarnation() != m.GetIncarnation() {
		c.counts.Stale++
		return crcode.New(crcode.StaleIncarnation, "%q has another incarnation", m.GetNode())
	}
	g := &crwire.DirectoryGone{
		Node: r.GetNode(), Incarnation: r.GetIncarnation(), Generation: r.GetGeneration(),
		Sequence: max(m.GetSequence(), r.GetSequence()),
	}
	c.counts.Left++
	c.remove(now, r, g)
	c.removedEntries[g.GetNode()] = g
	return nil
}

// put stores an entry and removes any other one with its name or address.
func (c *Core) put(e *crwire.DirectoryEntry, owner string, expiresAt time.Time) {
	old := c.records[e.GetNode()]
	if other := c.addresses[e.GetAddress()]; other != "" && other != e.GetNode() {
		c.counts.Replaced++
		c.unindex(c.records[other])
	}
	if old != nil {
		if old.GetIncarnation() != e.GetIncarnation() {
			c.counts.Replaced++
		}
		if old.GetSuspect() && !e.GetSuspect() {
			c.counts.Recovered++
		}
		c.unindex(old)
	}
	r := &record{DirectoryEntry: e, owner: owner, expiresAt: expiresAt}
	c.records[e.GetNode()] = r
	c.addresses[e.GetAddress()] = e.GetNode()
	if c.services[e.GetService()] == nil {
		c.services[e.GetService()] = map[string]*record{}
	}
	c.services[e.GetService()][e.GetNode()] = r
	delete(c.tombstones, e.GetNode())
	delete(c.removedEntries, e.GetNode())
	c.markChanged(e.GetService())
}

// unindex removes a record from the maps.
func (c *Core) unindex(r *record) {
	delete(c.records, r.GetNode())
	delete(c.changedEntries, r.GetNode())
	if c.addresses[r.GetAddress()] == r.GetNode() {
		delete(c.addresses, r.GetAddress())
	}
	delete(c.services[r.GetService()], r.GetNode())
	if len(c.services[r.GetService()]) == 0 {
		delete(c.services, r.GetService())
	}
	c.markChanged(r.GetService())
}

// remove deletes a record and stores a tombstone.
func (c *Core) remove(now time.Time, r *record, g *crwire.DirectoryGone) {
	c.unindex(r)
	c.tombstones[g.GetNode()] = tombstone{g, now.Add(tombstoneRetention)}
}

// Members returns all entries, sorted by node name. They must not be modified.
func (c *Core) Members() []*crwire.DirectoryEntry {
	out := make([]*crwire.DirectoryEntry, 0, len(c.records))
	for _, name := range slices.Sorted(maps.Keys(c.records)) {
		out = append(out, c.records[name].DirectoryEntry)
	}
	return out
}

// Settled reports whether the directory has run for a lease, so that a missing server is known to be gone.
func (c *Core) Settled() bool { return c.settled }

// Status returns the state for dumps.
func (c *Core) Status() Status {
	s := Status{
		Name: c.cfg.Name, Entries: len(c.records), Services: len(c.services), Watchers: len(c.watchers),
		Settled: c.settled, Counters: c.counts, Peers: slices.Sorted(maps.Keys(c.peerEntries)),
	}
	for _, r := range c.records {
		if r.owner == c.cfg.Name {
			s.Owned++
		}
		if r.GetSuspect() {
			s.Suspects++
		}
	}
	for _, n := range c.notices {
		s.Notices += len(n)
	}
	return s
}
