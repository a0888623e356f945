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

// child is a process that receives batches; the local consumer of a node is one without a link.
type child struct {
	link                  uint64
	name, domain, address string
	// floor is the lowest version that the child accepts.
	floor crconfig.Version
	// sent is the version that the child has after the batches sent so far, served its view; nil means unknown.
	sent   crconfig.Version
	served map[string]bool
	want   map[string]bool
	resync bool

	up       *crwire.SpreadUp
	subtree  int
	stamp    int64
	lastUp   time.Time
	lastBeat time.Time
}

// lostChild is a child whose link broke a short time ago.
type lostChild struct {
	child
	until time.Time
}

// ChildJoin answers a process that wants this one as its parent; link names its connection.
func (c *Core) ChildJoin(now time.Time, link uint64, j *crwire.SpreadJoin) []Output {
	if c.root() {
		c.pull(now)
	}
	r := &crwire.SpreadJoinReply{
		Version:   c.store.version.Wire(),
		Confirmed: c.root() && c.confirmed && c.confirmedAt.Equal(now),
		Path:      c.path(),
	}
	r.Verdict, r.Address = c.admit(now, j, r.GetConfirmed())
	c.out = append(c.out, SendDown{Link: link, Message: &crwire.SpreadDown{Reply: r}})
	if r.GetVerdict() != verdictAccepted {
		c.out = append(c.out, CloseChild{Link: link})
		return c.take()
	}
	c.dropNamed(j.GetName())
	ch := &child{
		link: link, name: j.GetName(), domain: j.GetDomain(), address: j.GetAddress(),
		floor: crconfig.VersionOf(j.GetFloor()), sent: crconfig.VersionOf(j.GetVersion()),
		want: setOf(j.GetServices()), subtree: max(1, int(j.GetSubtree())), lastUp: now,
	}
	if ch.sent != (crconfig.Version{}) {
		ch.served = setOf(j.GetHeld())
	}
	ch.up = &crwire.SpreadUp{Version: j.GetVersion(), Minimum: j.GetVersion(), Count: uint32(ch.subtree)}
	c.children[link] = ch
	return c.take()
}

// admit returns the verdict on a join and, for a redirect, the address to go to.
func (c *Core) admit(now time.Time, j *crwire.SpreadJoin, confirmedRoot bool) (uint32, string) {
	path := c.path()
	if j.GetName() == c.cfg.Name || slices.Contains(path, j.GetName()) {
		c.counts.Cycles++
		return verdictCycle, ""
	}
	if len(path) == 0 || len(path) >= maxDepth {
		return verdictNotReady, ""
	}
	if !j.GetAllowUnconfirmed() && (c.root() && !confirmedRoot || c.unconfirmed(now)) {
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
	to := c.choose(now, j)
	if to == nil {
		return verdictNotReady, ""
	}
	// The child's next acknowledgement corrects this; until then a burst of joins spreads over the children.
	to.subtree++
	c.counts.Redirects++
	return verdictRedirect, to.address
}

// choose picks the child for a redirect: one in the joiner's failure domain when there is one, and among these the one
// with the smallest subtree.
func (c *Core) choose(now time.Time, j *crwire.SpreadJoin) *child {
	var best *child
	better := func(a, b *child) bool {
		if near := a.domain == j.GetDomain(); near != (b.domain == j.GetDomain()) {
			return near
		}
		return cmp.Or(cmp.Compare(a.subtree, b.subtree), cmp.Compare(a.name, b.name)) < 0
	}
	for _, ch := range c.children {
		if ch.address == "" || ch.name == j.GetName() || now.Sub(ch.lastUp) > 2*HeartbeatInterval {
			continue
		}
		if best == nil || better(ch, best) {
			best = ch
		}
	}
	return best
}

// ChildUp takes an acknowledgement.
func (c *Core) ChildUp(now time.Time, link uint64, m *crwire.SpreadUp) []Output {
	ch := c.children[link]
	if ch == nil {
		return c.take()
	}
	if m.GetLeaving() {
		c.childLeaves(now, ch, m)
		return c.take()
	}
	if ch.stamp == 0 {
		// The first stamp lets the next heartbeat carry a confirmation.
		ch.lastBeat = time.Time{}
	}
	ch.up, ch.lastUp, ch.stamp = m, now, m.GetStampUs()
	ch.subtree = max(1, int(m.GetCount()))
	if m.GetSubscribe() {
		ch.want = setOf(m.GetServices())
	}
	ch.resync = ch.resync || m.GetResync()
	return c.take()
}

// childLeaves forgets a child that stops. Its own children have to rejoin elsewhere and count as lost meanwhile.
func (c *Core) childLeaves(now time.Time, ch *child, m *crwire.SpreadUp) {
	delete(c.children, ch.link)
	if m.GetCount() < 2 {
		return
	}
	m.Count--
	orphans := *ch
	orphans.up, orphans.name = m, "children of "+ch.name
	c.lost = append(c.lost, lostChild{child: orphans, until: now.Add(lostHold)})
}

// ChildLost tells that the link to a child has ended.
func (c *Core) ChildLost(now time.Time, link uint64) []Output {
	if ch := c.children[link]; ch != nil {
		delete(c.children, link)
		c.counts.ChildLosses++
		c.lost = append(c.lost, lostChild{child: *ch, until: now.Add(lostHold)})
	}
	return c.take()
}

// dropNamed forgets an earlier link of a child that joins again.
func (c *Core) dropNamed(name string) {
	for link, ch := range c.children {
		if ch.name == name {
			delete(c.children, link)
			c.out = append(c.out, CloseChild{Link: link})
		}
	}
	c.lost = slices.DeleteFunc(c.lost, func(l lostChild) bool { return l.name == name })
}

// dropSilent drops children without acknowledgements and forgets lost ones whose time is over.
func (c *Core) dropSilent(now time.Time) {
	for _, link := range slices.Sorted(maps.Keys(c.children)) {
		if now.Sub(c.children[link].lastUp) > childTimeout {
			c.out = append(c.out, CloseChild{Link: link})
			out := c.take()
			c.out = append(out, c.ChildLost(now, link)...)
		}
	}
	c.lost = slices.DeleteFunc(c.lost, func(l lostChild) bool { return now.After(l.until) })
}

// heartbeatsDue makes the next tick send a heartbeat to every child, so that a new path or confirmation goes down at
// the pace of batches.
func (c *Core) heartbeatsDue() {
	for _, ch := range c.children {
		ch.lastBeat = time.Time{}
	}
}

// flush sends each child what it lacks.
func (c *Core) flush(now time.Time) {
	for _, link := range slices.Sorted(maps.Keys(c.children)) {
		ch := c.children[link]
		m := &crwire.SpreadDown{}
		for _, part := range split(c.batch(ch)) {
			if m.Batch != nil {
				c.out = append(c.out, SendDown{Link: link, Message: m})
				m = &crwire.SpreadDown{}
			}
			m.Batch = part
		}
		if now.Sub(ch.lastBeat) >= HeartbeatInterval {
			ch.lastBeat = now
			m.Heartbeat = c.heartbeat(now, ch)
		}
		if m.Batch != nil || m.Heartbeat != nil {
			c.out = append(c.out, SendDown{Link: link, Message: m})
		}
	}
}

func (c *Core) heartbeat(now time.Time, ch *child) *crwire.SpreadHeartbeat {
	h := &crwire.SpreadHeartbeat{Version: c.store.version.Wire(), Path: c.path(), Confirmed: c.confirmed}
	if c.confirmed {
		h.ConfirmedAgeUs = now.Sub(c.confirmedAt).Microseconds()
	}
	if ch.stamp != 0 {
		h.StampUs, h.HeldUs = ch.stamp, now.Sub(ch.lastUp).Microseconds()
	}
	if ch.served != nil && ch.sent == c.store.version {
		d := c.store.digest(ch.served)
		h.Viewed, h.DigestHi, h.DigestLo = true, d.Hi, d.Lo
		for name := range ch.served {
			h.Coverage += coverage(name)
		}
	}
	return h
}

// batch returns what moves the child to the present version and to the covered part of its subscription, nil when it
// is there already.
func (c *Core) batch(ch *child) *crwire.SpreadBatch {
	s := c.store
	if s.version == (crconfig.Version{}) || s.version.Less(ch.floor) || s.version.Less(ch.sent) {
		return nil
	}
	target := make(map[string]bool, len(ch.want))
	for name := range ch.want {
		if s.covers(name) {
			target[name] = true
		}
	}
	full := ch.resync || ch.served == nil || !s.hasDelta("", ch.sent)
	covers := full || !maps.Equal(target, ch.served)
	if !covers && ch.sent == s.version {
		return nil
	}
	b := &crwire.SpreadBatch{From: ch.sent.Wire(), To: s.version.Wire(), Full: full, Covers: covers}
	b.Entries, b.Replaced = c.entries(ch, target, full)
	if covers {
		b.Services = sorted(target)
	}
	d := s.digest(target)
	b.DigestHi, b.DigestLo = d.Hi, d.Lo
	ch.sent, ch.served, ch.resync = s.version, target, false
	c.counts.BatchesSent++
	if full {
		c.counts.FullsSent++
	}
	return b
}

// entries returns the entries of a batch and the services whose sections it replaces.
func (c *Core) entries(ch *child, target map[string]bool, full bool) (out []*crwire.ConfigEntry, replaced []string) {
	if full {
		out = c.store.live(out, "")
		for _, name := range sorted(target) {
			out = c.store.live(out, name)
		}
		return out, nil
	}
	whole := map[string]bool{}
	for name := range target {
		if !ch.served[name] || !c.store.hasDelta(name, ch.sent) {
			whole[name] = true
		}
	}
	out = c.store.delta(out, ch.sent, func(service string) bool {
		return service == "" || target[service] && !whole[service]
	})
	for _, name := range sorted(whole) {
		out = c.store.live(out, name)
	}
	return out, sorted(whole)
}

// split cuts a batch into parts of bounded size; the first part carries the header, the last one ends the batch.
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

// updateLocal reports what changed in the node's own view.
func (c *Core) updateLocal() {
	if c.root() {
		return
	}
	if b := c.batch(c.local); b != nil {
		c.out = append(c.out, Update{
			Version: c.store.version, Full: b.GetFull(), Replaced: b.GetReplaced(),
			Services: sorted(c.local.served), Entries: b.GetEntries(),
		})
	}
}
