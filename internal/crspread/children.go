package crspread

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crwire"
)

// child is a process that receives batches from this one. The view of the node itself is represented as a child without
// a link.
type child struct {
	link                  uint64
	name, domain, address string
	// minVersion is the lowest version that the child accepts.
	minVersion crconfig.Version
	// sentVersion is the version, and covered the set of services, that the child holds once it has applied all batches
	// sent so far. A nil covered means unknown.
	sentVersion  crconfig.Version
	covered      map[string]bool
	subscription map[string]bool
	needsFull    bool

	ack             *crwire.SpreadUp
	subtreeSize     int
	ackStamp        int64
	lastAckAt       time.Time
	lastHeartbeatAt time.Time
}

// lostChild is a child whose link ended; it stays in the aggregated acknowledgement until the given time.
type lostChild struct {
	child
	until time.Time
}

// ChildJoin handles the join request of a process that asks this one to be its parent; link identifies its connection.
func (c *Core) ChildJoin(now time.Time, link uint64, j *crwire.SpreadJoin) []Output {
	if c.isRoot() {
		c.syncWithSource(now)
	}
	r := &crwire.SpreadJoinReply{
		Version:   c.store.version.Proto(),
		Confirmed: c.isRoot() && c.confirmed && c.confirmedAt.Equal(now),
		Path:      c.path(),
	}
	r.Verdict, r.Address = c.judgeJoin(now, j, r.GetConfirmed())
	c.outputs = append(c.outputs, SendDown{Link: link, Message: &crwire.SpreadDown{Reply: r}})
	if r.GetVerdict() != verdictAccepted {
		c.outputs = append(c.outputs, CloseChild{Link: link})
		return c.takeOutputs()
	}
	c.dropChildByName(j.GetName())
	ch := &child{
		link: link, name: j.GetName(), domain: j.GetDomain(), address: j.GetAddress(),
		minVersion: crconfig.VersionFromProto(j.GetFloor()), sentVersion: crconfig.VersionFromProto(j.GetVersion()),
		subscription: setOf(j.GetServices()), subtreeSize: max(1, int(j.GetSubtree())), lastAckAt: now,
	}
	if ch.sentVersion != (crconfig.Version{}) {
		ch.covered = setOf(j.GetHeld())
	}
	ch.ack = &crwire.SpreadUp{Version: j.GetVersion(), Minimum: j.GetVersion(), Count: uint32(ch.subtreeSize)}
	c.children[link] = ch
	return c.takeOutputs()
}

// judgeJoin returns the verdict on a join request and, for a redirect, the address to join instead.
func (c *Core) judgeJoin(now time.Time, j *crwire.SpreadJoin, confirmedRoot bool) (uint32, string) {
	path := c.path()
	if j.GetName() == c.cfg.Name || slices.Contains(path, j.GetName()) {
		c.counters.Cycles++
		return verdictCycle, ""
	}
	if len(path) == 0 || len(path) >= maxDepth {
		return verdictNotReady, ""
	}
	if !j.GetAllowUnconfirmed() && (c.isRoot() && !confirmedRoot || c.unconfirmed(now)) {
		return verdictUnconfirmed, ""
	}
	others := 0
	for _, ch := range c.children {
		if ch.name != j.GetName() {
			others++
		}
	}
	if others < FanOut {
		return verdictAccepted, ""
	}
	target := c.chooseRedirect(now, j)
	if target == nil {
		return verdictNotReady, ""
	}
	// Counts the redirected process at once, so that a burst of joins is spread over the children. The child's next
	// acknowledgement replaces the estimate.
	target.subtreeSize++
	c.counters.Redirects++
	return verdictRedirect, target.address
}

// chooseRedirect returns the child to which a join request is redirected: it prefers children in the failure domain of the
// joining process, then the smallest subtree.
func (c *Core) chooseRedirect(now time.Time, j *crwire.SpreadJoin) *child {
	var best *child
	better := func(a, b *child) bool {
		if sameDomain := a.domain == j.GetDomain(); sameDomain != (b.domain == j.GetDomain()) {
			return sameDomain
		}
		return cmp.Or(cmp.Compare(a.subtreeSize, b.subtreeSize), cmp.Compare(a.name, b.name)) < 0
	}
	for _, ch := range c.children {
		if ch.address == "" || ch.name == j.GetName() || now.Sub(ch.lastAckAt) > 2*HeartbeatInterval {
			continue
		}
		if best == nil || better(ch, best) {
			best = ch
		}
	}
	return best
}

// ChildAck handles an acknowledgement from a child.
func (c *Core) ChildAck(now time.Time, link uint64, m *crwire.SpreadUp) []Output {
	ch := c.children[link]
	if ch == nil {
		return c.takeOutputs()
	}
	if m.GetLeaving() {
		c.removeLeavingChild(now, ch, m)
		return c.takeOutputs()
	}
	if ch.ackStamp == 0 {
		// A heartbeat carries a usable confirmation only with a time stamp of the child, so one is sent at the next tick.
		ch.lastHeartbeatAt = time.Time{}
	}
	ch.ack, ch.lastAckAt, ch.ackStamp = m, now, m.GetStampUs()
	ch.subtreeSize = max(1, int(m.GetCount()))
	if m.GetSubscribe() {
		ch.subscription = setOf(m.GetServices())
	}
	ch.needsFull = ch.needsFull || m.GetResync()
	return c.takeOutputs()
}

// removeLeavingChild removes a child that announced its shutdown. The nodes below it have to rejoin elsewhere and count as
// lost until then.
func (c *Core) removeLeavingChild(now time.Time, ch *child, m *crwire.SpreadUp) {
	delete(c.children, ch.link)
	if m.GetCount() < 2 {
		return
	}
	m.Count--
	orphans := *ch
	orphans.ack, orphans.name = m, "children of "+ch.name
	c.lostChildren = append(c.lostChildren, lostChild{child: orphans, until: now.Add(lostChildHold)})
}

// ChildLost handles the end of the link to a child.
func (c *Core) ChildLost(now time.Time, link uint64) []Output {
	if ch := c.children[link]; ch != nil {
		delete(c.children, link)
		c.counters.ChildLosses++
		c.lostChildren = append(c.lostChildren, lostChild{child: *ch, until: now.Add(lostChildHold)})
	}
	return c.takeOutputs()
}

// dropChildByName closes earlier links of a child that joins again.
func (c *Core) dropChildByName(name string) {
	for link, ch := range c.children {
		if ch.name == name {
			delete(c.children, link)
			c.outputs = append(c.outputs, CloseChild{Link: link})
		}
	}
	c.lostChildren = slices.DeleteFunc(c.lostChildren, func(l lostChild) bool { return l.name == name })
}

// dropTimedOutChildren drops children that sent no acknowledgement within childTimeout and removes lost children whose
// hold time has passed.
func (c *Core) dropTimedOutChildren(now time.Time) {
	for _, link := range slices.Sorted(maps.Keys(c.children)) {
		if now.Sub(c.children[link].lastAckAt) > childTimeout {
			c.outputs = append(c.outputs, CloseChild{Link: link})
			out := c.takeOutputs()
			c.outputs = append(out, c.ChildLost(now, link)...)
		}
	}
	c.lostChildren = slices.DeleteFunc(c.lostChildren, func(l lostChild) bool { return now.After(l.until) })
}

// forceHeartbeats makes the next tick send a heartbeat to every child, so that a new path or confirmation propagates down
// the tree as fast as batches do.
func (c *Core) forceHeartbeats() {
	for _, ch := range c.children {
		ch.lastHeartbeatAt = time.Time{}
	}
}

// sendToChildren sends each child the batch that it is missing and, when one is due, a heartbeat.
func (c *Core) sendToChildren(now time.Time) {
	for _, link := range slices.Sorted(maps.Keys(c.children)) {
		ch := c.children[link]
		m := &crwire.SpreadDown{}
		for _, part := range split(c.batch(ch)) {
			if m.Batch != nil {
				c.outputs = append(c.outputs, SendDown{Link: link, Message: m})
				m = &crwire.SpreadDown{}
			}
			m.Batch = part
		}
		if now.Sub(ch.lastHeartbeatAt) >= HeartbeatInterval {
			ch.lastHeartbeatAt = now
			m.Heartbeat = c.heartbeat(now, ch)
		}
		if m.Batch != nil || m.Heartbeat != nil {
			c.outputs = append(c.outputs, SendDown{Link: link, Message: m})
		}
	}
}

func (c *Core) heartbeat(now time.Time, ch *child) *crwire.SpreadHeartbeat {
	h := &crwire.SpreadHeartbeat{Version: c.store.version.Proto(), Path: c.path(), Confirmed: c.confirmed}
	if c.confirmed {
		h.ConfirmedAgeUs = now.Sub(c.confirmedAt).Microseconds()
	}
	if ch.ackStamp != 0 {
		h.StampUs, h.HeldUs = ch.ackStamp, now.Sub(ch.lastAckAt).Microseconds()
	}
	if ch.covered != nil && ch.sentVersion == c.store.version {
		d := c.store.digest(ch.covered)
		h.Viewed, h.DigestHi, h.DigestLo = true, d.Hi, d.Lo
		for name := range ch.covered {
			h.Coverage += coverageHash(name)
		}
	}
	return h
}

// batch returns the batch that brings the child to the current version and to the part of its subscription that this
// process covers, or nil when the child is up to date.
func (c *Core) batch(ch *child) *crwire.SpreadBatch {
	s := c.store
	if s.version == (crconfig.Version{}) || s.version.Less(ch.minVersion) || s.version.Less(ch.sentVersion) {
		return nil
	}
	target := make(map[string]bool, len(ch.subscription))
	for name := range ch.subscription {
		if s.covers(name) {
			target[name] = true
		}
	}
	full := ch.needsFull || ch.covered == nil || !s.hasDelta("", ch.sentVersion)
	covers := full || !maps.Equal(target, ch.covered)
	if !covers && ch.sentVersion == s.version {
		return nil
	}
	b := &crwire.SpreadBatch{From: ch.sentVersion.Proto(), To: s.version.Proto(), Full: full, Covers: covers}
	b.Entries, b.Replaced = c.entries(ch, target, full)
	if covers {
		b.Services = sortedNames(target)
	}
	d := s.digest(target)
	b.DigestHi, b.DigestLo = d.Hi, d.Lo
	ch.sentVersion, ch.covered, ch.needsFull = s.version, target, false
	c.counters.BatchesSent++
	if full {
		c.counters.FullsSent++
	}
	return b
}

// entries returns the entries of a batch and the services whose sections the batch replaces as a whole.
func (c *Core) entries(ch *child, target map[string]bool, full bool) (out []*crwire.ConfigEntry, replaced []string) {
	if full {
		out = c.store.appendEntries(out, "")
		for _, name := range sortedNames(target) {
			out = c.store.appendEntries(out, name)
		}
		return out, nil
	}
	replacedWhole := map[string]bool{}
	for name := range target {
		if !ch.covered[name] || !c.store.hasDelta(name, ch.sentVersion) {
			replacedWhole[name] = true
		}
	}
	out = c.store.appendDelta(out, ch.sentVersion, func(service string) bool {
		return service == "" || target[service] && !replacedWhole[service]
	})
	for _, name := range sortedNames(replacedWhole) {
		out = c.store.appendEntries(out, name)
	}
	return out, sortedNames(replacedWhole)
}

// split divides a batch into parts of at most about maxPartBytes. The first part carries the header; all parts but the
// last have More set.
func split(b *crwire.SpreadBatch) []*crwire.SpreadBatch {
	if b == nil {
		return nil
	}
	entries := b.Entries
	parts := []*crwire.SpreadBatch{b}
	b.Entries = nil
	size := 0
	for _, e := range entries {
		last := parts[len(parts)-1]
		n := proto.Size(e)
		if size+n > maxPartBytes && len(last.Entries) > 0 {
			last.More = true
			last = &crwire.SpreadBatch{From: b.From, To: b.To, DigestHi: b.DigestHi, DigestLo: b.DigestLo}
			parts = append(parts, last)
			size = 0
		}
		last.Entries = append(last.Entries, e)
		size += n
	}
	return parts
}

// emitUpdate emits an Update with what changed in the node's own view; a root has no view.
func (c *Core) emitUpdate() {
	if c.isRoot() {
		return
	}
	if b := c.batch(c.local); b != nil {
		c.outputs = append(c.outputs, Update{
			Version: c.store.version, Full: b.GetFull(), Replaced: b.GetReplaced(),
			Services: sortedNames(c.local.covered), Entries: b.GetEntries(),
		})
	}
}
