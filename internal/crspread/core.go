package crspread

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crwire"
)

// Core is the state machine of a root, relay or leaf of the distribution tree. It is not safe for concurrent use.
type Core struct {
	cfg   Config
	rnd   *rand.Rand
	start time.Time

	store *store
	// minVersion is the lowest version that is accepted: the last version in force, or a higher one that a confirmed
	// root reported.
	minVersion  crconfig.Version
	confirmed   bool
	confirmedAt time.Time

	local        *child
	view         viewState
	children     map[uint64]*child
	lostChildren []lostChild

	parent    *parentLink
	join      joinState
	outputs   []Output
	counters  Counters
	lastAckAt time.Time
	// history holds recent versions, so that aggregateAck names only nodes that lag for more than a heartbeat interval.
	history          history
	sentAck          *crwire.SpreadUp
	sentSubscription map[string]bool
}

// parentLink is the link to the process that accepted this one as its child.
type parentLink struct {
	link    uint64
	address string
	path    []string
	// acceptedAt is when the parent accepted the join; lastCurrentAt is when it last sent a batch that was applied or a
	// heartbeat for a version that this process has.
	acceptedAt, lastCurrentAt time.Time
	// failures is the number of failed join rounds before the parent accepted; the parent's first valid message resets it.
	failures      int
	parts         []*crwire.SpreadBatch
	resyncPending bool
	lastResyncAt  time.Time
}

// New returns a Core that starts at the given time.
func New(now time.Time, cfg Config) *Core {
	c := &Core{
		cfg:      cfg,
		rnd:      rand.New(rand.NewPCG(cfg.Seed, 1)),
		start:    now,
		store:    newStore(cfg.Source != nil),
		children: map[uint64]*child{},
		local:    &child{subscription: setOf(cfg.Services)},
	}
	return c
}

func (c *Core) isRoot() bool { return c.cfg.Source != nil }

// takeOutputs returns the collected outputs and clears the list.
func (c *Core) takeOutputs() []Output {
	out := c.outputs
	c.outputs = nil
	return out
}

// Tick runs the periodic work: timeouts, joins, batches, heartbeats and acknowledgements. The caller must call it every
// BatchInterval.
func (c *Core) Tick(now time.Time) []Output {
	if c.isRoot() {
		c.syncWithSource(now)
	} else {
		c.checkParentTimeout(now)
		c.advanceJoin(now)
	}
	c.dropTimedOutChildren(now)
	c.sendToChildren(now)
	c.acknowledge(now)
	return c.takeOutputs()
}

// Subscribe replaces the set of services that this node itself needs.
func (c *Core) Subscribe(services []string) []Output {
	c.local.subscription = setOf(services)
	c.emitUpdate()
	return c.takeOutputs()
}

// syncWithSource brings a root to the version of its source and records the source's confirmation.
func (c *Core) syncWithSource(now time.Time) {
	confirmed := c.cfg.Source.Confirmed()
	v := c.cfg.Source.Version()
	if v.Less(c.store.version) {
		c.counters.Older++
		return
	}
	if c.store.version.Less(v) && !c.loadChanges(c.store.version) && !c.loadChanges(crconfig.Version{}) {
		c.counters.DigestErrors++
		return
	}
	c.minVersion = c.store.version
	if confirmed {
		c.confirmed, c.confirmedAt = true, now
	}
}

func (c *Core) loadChanges(from crconfig.Version) bool {
	ch := c.cfg.Source.Changes(from)
	full := ch.Full || from == (crconfig.Version{})
	next := &change{to: ch.To, full: full, entries: ch.Entries, digest: ch.Digest}
	if ch.To.Less(c.store.version) || !c.store.check(next) {
		return false
	}
	c.store.apply(next)
	return true
}

// ParentMessage handles a message from the parent or from a process that was sent a join request.
func (c *Core) ParentMessage(now time.Time, link uint64, m *crwire.SpreadDown) []Output {
	if r := m.GetReply(); r != nil {
		c.handleJoinReply(now, link, r)
	}
	if c.parent == nil || c.parent.link != link {
		return c.takeOutputs()
	}
	if b := m.GetBatch(); b != nil {
		c.receiveBatch(now, b)
	}
	if h := m.GetHeartbeat(); h != nil && c.parent != nil {
		c.receiveHeartbeat(now, h)
	}
	return c.takeOutputs()
}

// ParentLost handles the end of the link to the parent or to a process that was sent a join request.
func (c *Core) ParentLost(now time.Time, link uint64) []Output {
	if c.join.link == link {
		c.join.link = 0
		c.tryNextControl(now)
	}
	if c.parent != nil && c.parent.link == link {
		c.dropParent(now, false)
	}
	return c.takeOutputs()
}

// receiveBatch collects the parts of a batch and applies the batch after its last part.
func (c *Core) receiveBatch(now time.Time, b *crwire.SpreadBatch) {
	p := c.parent
	p.parts = append(p.parts, b)
	if b.GetMore() && len(p.parts) < maxParts {
		return
	}
	parts := p.parts
	p.parts = nil
	first := parts[0]
	to, from := crconfig.VersionFromProto(b.GetTo()), crconfig.VersionFromProto(first.GetFrom())
	next := &change{
		to: to, full: first.GetFull(), replaced: setOf(first.GetReplaced()),
		digest: crconfig.Digest{Hi: b.GetDigestHi(), Lo: b.GetDigestLo()},
	}
	if first.GetCovers() {
		next.services = setOf(first.GetServices())
	}
	consistent := true
	for _, part := range parts {
		consistent = consistent && crconfig.VersionFromProto(part.GetTo()) == to && crconfig.VersionFromProto(part.GetFrom()) == from
		next.entries = append(next.entries, part.GetEntries()...)
	}
	switch {
	case to.Less(c.minVersion):
		c.counters.Older++
		c.dropParent(now, true)
	case !consistent || !next.full && from != c.store.version:
		if consistent && from.Less(c.store.version) && !c.store.version.Less(to) {
			c.counters.Duplicates++
			return
		}
		c.counters.Gaps++
		c.requestResync(now)
	case !c.store.check(next):
		c.counters.DigestErrors++
		if next.full {
			// A full batch with a wrong digest means that the parent's own view is wrong; a resync can't repair that.
			c.dropParent(now, true)
			return
		}
		c.requestResync(now)
	default:
		c.store.apply(next)
		c.minVersion = to
		c.counters.BatchesApplied++
		p.lastCurrentAt, p.failures = now, 0
		p.resyncPending = false
		c.emitUpdate()
	}
}

// requestResync requests the whole view from the parent with the next acknowledgement, at most once per resyncInterval.
func (c *Core) requestResync(now time.Time) {
	p := c.parent
	if p.resyncPending || now.Sub(p.lastResyncAt) < resyncInterval && !p.lastResyncAt.IsZero() {
		return
	}
	p.resyncPending, p.lastResyncAt = true, now
	c.counters.Resyncs++
}

// receiveHeartbeat adopts the path and the confirmation of the parent and detects lost batches.
func (c *Core) receiveHeartbeat(now time.Time, h *crwire.SpreadHeartbeat) {
	p := c.parent
	if c.invalidPath(h.GetPath()) {
		c.counters.Cycles++
		c.dropParent(now, true)
		return
	}
	if !slices.Equal(p.path, h.GetPath()) {
		p.path = slices.Clone(h.GetPath())
	}
	c.forceHeartbeats()
	v := crconfig.VersionFromProto(h.GetVersion())
	if v.Less(c.minVersion) {
		c.counters.Older++
		return
	}
	if c.store.version.Less(v) {
		// The link delivers in order, so the batch that leads to this version was lost or rejected.
		c.counters.Gaps++
		c.requestResync(now)
		return
	}
	p.lastCurrentAt = now
	if h.GetViewed() && v == c.store.version && !c.store.matches(h) {
		// Versions don't reveal the loss of a batch that changed only the subscription; the digest does.
		c.counters.DigestErrors++
		c.requestResync(now)
		return
	}
	p.failures = 0
	if !h.GetConfirmed() || h.GetStampUs() == 0 {
		return
	}
	// The parent received the stamp after this process made it. Stamp plus hold time is therefore not later than the
	// sending of this heartbeat, so a delayed heartbeat can't make the confirmation look newer than it is.
	estimate := c.start.Add(time.Duration(h.GetStampUs()+h.GetHeldUs()-h.GetConfirmedAgeUs()) * time.Microsecond)
	if estimate.After(now) {
		estimate = now
	}
	if !c.confirmed || estimate.After(c.confirmedAt) {
		c.confirmed, c.confirmedAt = true, estimate
	}
}

// invalidPath reports whether a parent with this path would create a cycle or make the tree too deep.
func (c *Core) invalidPath(path []string) bool {
	return len(path) > maxDepth || slices.Contains(path, c.cfg.Name)
}

// path returns the names from the root to this process, or nil when there is no path to a root.
func (c *Core) path() []string {
	if c.isRoot() {
		return []string{c.cfg.Name}
	}
	if c.parent == nil || len(c.parent.path) == 0 {
		return nil
	}
	return append(slices.Clone(c.parent.path), c.cfg.Name)
}

// checkParentTimeout drops a parent that has been silent, or behind the version of this process, for parentTimeout.
func (c *Core) checkParentTimeout(now time.Time) {
	if c.parent != nil && now.Sub(c.parent.lastCurrentAt) > parentTimeout {
		c.dropParent(now, true)
	}
}

func (c *Core) dropParent(now time.Time, closeLink bool) {
	if closeLink {
		c.outputs = append(c.outputs, CloseParent{Link: c.parent.link})
	}
	failures := c.parent.failures + 1
	c.parent = nil
	c.counters.ParentLosses++
	c.sentAck, c.sentSubscription = nil, nil
	c.forceHeartbeats()
	if !c.join.active {
		c.join.failures = failures
		c.scheduleJoin(now)
	}
}

// acknowledge sends the state of the subtree to the parent when it changed, and at least once per heartbeat interval.
func (c *Core) acknowledge(now time.Time) {
	c.history.record(now, c.store.version, now.Add(-HeartbeatInterval))
	p := c.parent
	if p == nil {
		return
	}
	c.retryRefusedView(now)
	up := c.aggregateAck(now)
	wanted := c.mergedSubscription(now)
	heartbeatDue := now.Sub(c.lastAckAt) >= HeartbeatInterval
	// The subscription may have been lost, so it is sent again while the view doesn't match it.
	if !maps.Equal(wanted, c.sentSubscription) || heartbeatDue && !slices.Equal(c.store.coveredServices(), sortedNames(wanted)) {
		up.Subscribe, up.Services = true, sortedNames(wanted)
		c.sentSubscription = wanted
	}
	// The request is sent once; requestResync limits how often it is repeated.
	up.Resync, p.resyncPending = p.resyncPending, false
	if !up.Subscribe && !up.Resync && equalAcks(up, c.sentAck) && !heartbeatDue {
		return
	}
	c.sentAck, c.lastAckAt = up, now
	up.StampUs = now.Sub(c.start).Microseconds() + 1
	c.outputs = append(c.outputs, SendUp{Link: p.link, Message: up})
}

// Leave notifies the parent that this process stops, so that the parent doesn't wait for its acknowledgements.
func (c *Core) Leave(now time.Time) []Output {
	if c.parent != nil {
		up := c.aggregateAck(now)
		up.Leaving = true
		c.outputs = append(c.outputs, SendUp{Link: c.parent.link, Message: up})
	}
	return c.takeOutputs()
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

func sortedNames(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }
