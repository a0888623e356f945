package crspread

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crwire"
)

// Core is a root, relay or leaf of the tree; it is not safe for concurrent use.
type Core struct {
	cfg   Config
	rnd   *rand.Rand
	start time.Time

	store *store
	// floor is the lowest version that is accepted: what was in force, or what a confirmed root told.
	floor       crconfig.Version
	confirmed   bool
	confirmedAt time.Time

	local    *child
	view     viewState
	children map[uint64]*child
	lost     []lostChild

	parent *parentLink
	join   joinState
	out    []Output
	counts Counters
	lastUp time.Time
	// history tells which nodes are behind for longer than a burst of changes explains.
	history history
	sentUp  *crwire.SpreadUp
	sentSub map[string]bool
}

// parentLink is the accepted parent.
type parentLink struct {
	link    uint64
	address string
	path    []string
	// since is when the parent accepted, lastGood when it last sent something of use.
	since, lastGood time.Time
	// failures is the number of failed rounds before the parent accepted; its first good message ends them.
	failures int
	parts    []*crwire.SpreadBatch
	resync   bool
	resyncAt time.Time
}

// New returns a core that starts at the given time.
func New(now time.Time, cfg Config) *Core {
	c := &Core{
		cfg:      cfg,
		rnd:      rand.New(rand.NewPCG(cfg.Seed, 1)),
		start:    now,
		store:    newStore(cfg.Source != nil),
		children: map[uint64]*child{},
		local:    &child{want: setOf(cfg.Services)},
	}
	return c
}

func (c *Core) root() bool { return c.cfg.Source != nil }

// take returns the outputs collected so far.
func (c *Core) take() []Output {
	out := c.out
	c.out = nil
	return out
}

// Tick does what is due; it must be called every BatchInterval.
func (c *Core) Tick(now time.Time) []Output {
	if c.root() {
		c.pull(now)
	} else {
		c.watchParent(now)
		c.tickJoin(now)
	}
	c.dropSilent(now)
	c.flush(now)
	c.acknowledge(now)
	return c.take()
}

// Subscribe replaces the services that this node itself needs.
func (c *Core) Subscribe(services []string) []Output {
	c.local.want = setOf(services)
	c.updateLocal()
	return c.take()
}

// pull moves a root to the version of its source.
func (c *Core) pull(now time.Time) {
	confirmed := c.cfg.Source.Confirmed()
	v := c.cfg.Source.Version()
	if v.Less(c.store.version) {
		c.counts.Older++
		return
	}
	if c.store.version.Less(v) && !c.load(c.store.version) && !c.load(crconfig.Version{}) {
		c.counts.DigestErrors++
		return
	}
	c.floor = c.store.version
	if confirmed {
		c.confirmed, c.confirmedAt = true, now
	}
}

func (c *Core) load(from crconfig.Version) bool {
	ch := c.cfg.Source.Changes(from)
	full := ch.Full || from == (crconfig.Version{})
	next := &change{to: ch.To, full: full, entries: ch.Entries, digest: ch.Digest}
	if ch.To.Less(c.store.version) || !c.store.check(next) {
		return false
	}
	c.store.apply(next)
	return true
}

// ParentDown takes a message from a parent or from a process that was asked to become it.
func (c *Core) ParentDown(now time.Time, link uint64, m *crwire.SpreadDown) []Output {
	if r := m.GetReply(); r != nil {
		c.joinReply(now, link, r)
	}
	if c.parent == nil || c.parent.link != link {
		return c.take()
	}
	if b := m.GetBatch(); b != nil {
		c.takeBatch(now, b)
	}
	if h := m.GetHeartbeat(); h != nil && c.parent != nil {
		c.takeHeartbeat(now, h)
	}
	return c.take()
}

// ParentLost tells that the link to a parent or to a process asked to become it has ended.
func (c *Core) ParentLost(now time.Time, link uint64) []Output {
	if c.join.link == link {
		c.join.link = 0
		c.nextControl(now)
	}
	if c.parent != nil && c.parent.link == link {
		c.leaveParent(now, false)
	}
	return c.take()
}

// takeBatch collects the parts of a batch and applies them together.
func (c *Core) takeBatch(now time.Time, b *crwire.SpreadBatch) {
	p := c.parent
	p.parts = append(p.parts, b)
	if b.GetMore() && len(p.parts) < maxParts {
		return
	}
	parts := p.parts
	p.parts = nil
	first := parts[0]
	to, from := crconfig.VersionOf(b.GetTo()), crconfig.VersionOf(first.GetFrom())
	next := &change{
		to: to, full: first.GetFull(), replaced: setOf(first.GetReplaced()),
		digest: crconfig.Digest{Hi: b.GetDigestHi(), Lo: b.GetDigestLo()},
	}
	if first.GetCovers() {
		next.services = setOf(first.GetServices())
	}
	same := true
	for _, part := range parts {
		same = same && crconfig.VersionOf(part.GetTo()) == to && crconfig.VersionOf(part.GetFrom()) == from
		next.entries = append(next.entries, part.GetEntries()...)
	}
	switch {
	case to.Less(c.floor):
		c.counts.Older++
		c.leaveParent(now, true)
	case !same || !next.full && from != c.store.version:
		if same && from.Less(c.store.version) && !c.store.version.Less(to) {
			c.counts.Duplicates++
			return
		}
		c.counts.Gaps++
		c.askResync(now)
	case !c.store.check(next):
		c.counts.DigestErrors++
		if next.full {
			// The parent's own view is wrong, so asking it again does not help.
			c.leaveParent(now, true)
			return
		}
		c.askResync(now)
	default:
		c.store.apply(next)
		c.floor = to
		c.counts.BatchesApplied++
		p.lastGood, p.failures = now, 0
		p.resync = false
		c.updateLocal()
	}
}

// askResync asks the parent for the whole view with the next acknowledgement.
func (c *Core) askResync(now time.Time) {
	p := c.parent
	if p.resync || now.Sub(p.resyncAt) < resyncInterval && !p.resyncAt.IsZero() {
		return
	}
	p.resync, p.resyncAt = true, now
	c.counts.Resyncs++
}

// takeHeartbeat adopts the path and the confirmation of the parent.
func (c *Core) takeHeartbeat(now time.Time, h *crwire.SpreadHeartbeat) {
	p := c.parent
	if c.badPath(h.GetPath()) {
		c.counts.Cycles++
		c.leaveParent(now, true)
		return
	}
	if !slices.Equal(p.path, h.GetPath()) {
		p.path = slices.Clone(h.GetPath())
	}
	c.heartbeatsDue()
	v := crconfig.VersionOf(h.GetVersion())
	if v.Less(c.floor) {
		c.counts.Older++
		return
	}
	if c.store.version.Less(v) {
		// The batch that leads to this version came first on the same link, so it was lost or refused.
		c.counts.Gaps++
		c.askResync(now)
		return
	}
	p.lastGood = now
	if h.GetViewed() && v == c.store.version && !c.store.matches(h) {
		// A lost batch that only moved the subscription shows here.
		c.counts.DigestErrors++
		c.askResync(now)
		return
	}
	p.failures = 0
	if !h.GetConfirmed() || h.GetStampUs() == 0 {
		return
	}
	// The parent received the stamp after it was made, so its hold time counted from the stamp gives a moment that is
	// not later than the sending of this heartbeat, however long the heartbeat was delayed.
	at := c.start.Add(time.Duration(h.GetStampUs()+h.GetHeldUs()-h.GetConfirmedAgeUs()) * time.Microsecond)
	if at.After(now) {
		at = now
	}
	if !c.confirmed || at.After(c.confirmedAt) {
		c.confirmed, c.confirmedAt = true, at
	}
}

// badPath reports whether a parent with the path would close a cycle or make the tree too deep.
func (c *Core) badPath(path []string) bool {
	return len(path) > maxDepth || slices.Contains(path, c.cfg.Name)
}

// path returns the names from the root to this process, nil when it is cut off from every root.
func (c *Core) path() []string {
	if c.root() {
		return []string{c.cfg.Name}
	}
	if c.parent == nil || len(c.parent.path) == 0 {
		return nil
	}
	return append(slices.Clone(c.parent.path), c.cfg.Name)
}

// watchParent leaves a parent that is silent or stays behind what this process has in force.
func (c *Core) watchParent(now time.Time) {
	if c.parent != nil && now.Sub(c.parent.lastGood) > parentTimeout {
		c.leaveParent(now, true)
	}
}

func (c *Core) leaveParent(now time.Time, closeLink bool) {
	if closeLink {
		c.out = append(c.out, CloseParent{Link: c.parent.link})
	}
	failures := c.parent.failures + 1
	c.parent = nil
	c.counts.ParentLosses++
	c.sentUp, c.sentSub = nil, nil
	c.heartbeatsDue()
	if !c.join.active {
		c.join.failures = failures
		c.schedule(now)
	}
}

// acknowledge reports the subtree to the parent when something changed, at least once per heartbeat interval.
func (c *Core) acknowledge(now time.Time) {
	c.history.note(now, c.store.version, now.Add(-HeartbeatInterval))
	p := c.parent
	if p == nil {
		return
	}
	c.retryView(now)
	up := c.aggregate(now)
	merged := c.merged(now)
	idle := now.Sub(c.lastUp) >= HeartbeatInterval
	// A subscription that the view does not follow within a heartbeat interval is sent again: it may have been lost.
	if !maps.Equal(merged, c.sentSub) || idle && !slices.Equal(c.store.held(), sorted(merged)) {
		up.Subscribe, up.Services = true, sorted(merged)
		c.sentSub = merged
	}
	// The request goes out once; askResync limits how often it is repeated.
	up.Resync, p.resync = p.resync, false
	if !up.Subscribe && !up.Resync && sameUp(up, c.sentUp) && !idle {
		return
	}
	c.sentUp, c.lastUp = up, now
	up.StampUs = now.Sub(c.start).Microseconds() + 1
	c.out = append(c.out, SendUp{Link: p.link, Message: up})
}

// Leave tells the parent that this process stops, so that it does not wait for its acknowledgements.
func (c *Core) Leave(now time.Time) []Output {
	if c.parent != nil {
		up := c.aggregate(now)
		up.Leaving = true
		c.out = append(c.out, SendUp{Link: c.parent.link, Message: up})
	}
	return c.take()
}

func setOf(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, name := range names {
		if name != "" {
			out[name] = true
		}
	}
	return out
}

func sorted(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }
