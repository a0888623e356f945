package crspread

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crwire"
)

// mergedSubscription returns the services that this process and its subtree need. The services of a lost child are kept for
// lostChildHold, so that a broken link doesn't cause every level to drop and fetch them again.
func (c *Core) mergedSubscription(now time.Time) map[string]bool {
	out := maps.Clone(c.local.subscription)
	for _, ch := range c.children {
		maps.Copy(out, ch.subscription)
	}
	for _, l := range c.lostChildren {
		if !now.After(l.until) {
			maps.Copy(out, l.subscription)
		}
	}
	return out
}

// subtreeSize returns the number of nodes in the subtree, including this process.
func (c *Core) subtreeSize() int {
	n := 1
	for _, ch := range c.children {
		n += ch.subtreeSize
	}
	return n
}

// aggregateAck returns the acknowledgement for this process and its subtree.
func (c *Core) aggregateAck(now time.Time) *crwire.SpreadUp {
	p := c.progress(now)
	up := &crwire.SpreadUp{
		Version: p.Version.Proto(), Minimum: p.Minimum.Proto(), Count: uint32(p.Nodes + p.Lost),
		LaggingMore: uint32(p.LaggingMore),
	}
	settled := c.history.versionAt(now.Add(-HeartbeatInterval))
	for _, l := range p.Lagging {
		if !l.Version.Less(settled) {
			// During a burst of changes all nodes lag briefly. Their names would be most of the traffic, so they are only
			// counted.
			up.LaggingMore++
			continue
		}
		up.Lagging = append(up.Lagging, &crwire.SpreadLagging{Name: l.Name, Version: l.Version.Proto()})
	}
	return up
}

// history holds the versions that this process recently had in force, oldest first.
type history []historyEntry

type historyEntry struct {
	at      time.Time
	version crconfig.Version
}

// record adds the current version and removes versions that were replaced at or before keep.
func (h *history) record(now time.Time, v crconfig.Version, keep time.Time) {
	if n := len(*h); n == 0 || (*h)[n-1].version != v {
		*h = append(*h, historyEntry{now, v})
	}
	for len(*h) > 1 && !(*h)[1].at.After(keep) {
		*h = (*h)[1:]
	}
}

// versionAt returns the version that was in force at the given time, or the zero version when none is known.
func (h history) versionAt(at time.Time) crconfig.Version {
	var v crconfig.Version
	for _, t := range h {
		if t.at.After(at) {
			break
		}
		v = t.version
	}
	return v
}

// progress aggregates the acknowledgements; a lost child counts with the last version that it acknowledged.
func (c *Core) progress(now time.Time) Progress {
	p := Progress{Version: c.store.version, Minimum: c.store.version}
	if !c.isRoot() {
		p.Nodes = 1
		if c.view.version.Less(p.Version) {
			p.Minimum = c.view.version
			p.Lagging = append(p.Lagging, Lagging{Name: c.cfg.Name, Version: c.view.version})
		}
	}
	for _, ch := range c.children {
		p.Nodes += int(ch.ack.GetCount())
		p.addChild(ch)
	}
	for _, l := range c.lostChildren {
		if !now.After(l.until) {
			p.Lost += int(l.ack.GetCount())
			p.addChild(&l.child)
		}
	}
	slices.SortFunc(p.Lagging, func(a, b Lagging) int {
		return cmp.Or(compare(a.Version, b.Version), cmp.Compare(a.Name, b.Name))
	})
	if excess := len(p.Lagging) - MaxLagging; excess > 0 {
		p.Lagging = p.Lagging[:MaxLagging]
		p.LaggingMore += excess
	}
	return p
}

// addChild adds the subtree of one child to p.
func (p *Progress) addChild(ch *child) {
	if v := crconfig.VersionFromProto(ch.ack.GetMinimum()); v.Less(p.Minimum) {
		p.Minimum = v
	}
	named := 0
	for _, l := range ch.ack.GetLagging() {
		if v := crconfig.VersionFromProto(l.GetVersion()); v.Less(p.Version) {
			p.Lagging = append(p.Lagging, Lagging{Name: l.GetName(), Version: v})
			named++
		}
	}
	v := crconfig.VersionFromProto(ch.ack.GetVersion())
	if !v.Less(p.Version) {
		p.LaggingMore += int(ch.ack.GetLaggingMore())
		return
	}
	// The child itself lags, so its whole subtree does; the nodes that it didn't name are only counted.
	p.Lagging = append(p.Lagging, Lagging{Name: ch.name, Version: v})
	p.LaggingMore += max(0, int(ch.ack.GetCount())-named-1)
}

// equalAcks reports whether two acknowledgements are equal, apart from time stamps, subscription and flags.
func equalAcks(a, b *crwire.SpreadUp) bool {
	return b != nil && crconfig.VersionFromProto(a.GetVersion()) == crconfig.VersionFromProto(b.GetVersion()) &&
		crconfig.VersionFromProto(a.GetMinimum()) == crconfig.VersionFromProto(b.GetMinimum()) &&
		a.GetCount() == b.GetCount() && a.GetLaggingMore() == b.GetLaggingMore() &&
		slices.EqualFunc(a.GetLagging(), b.GetLagging(), func(x, y *crwire.SpreadLagging) bool {
			return x.GetName() == y.GetName() && crconfig.VersionFromProto(x.GetVersion()) == crconfig.VersionFromProto(y.GetVersion())
		})
}

// Version returns the version that this process has applied.
func (c *Core) Version() crconfig.Version { return c.store.version }

// Progress returns the aggregated acknowledgements of the subtree.
func (c *Core) Progress(now time.Time) Progress { return c.progress(now) }

// Status returns the state for diagnostic dumps.
func (c *Core) Status(now time.Time) Status {
	s := Status{
		Name: c.cfg.Name, Root: c.isRoot(), Version: c.store.version, Digest: c.store.totalDigest(),
		Entries: len(c.store.byKey), Path: c.path(), Services: c.store.coveredServices(),
		EverConfirmed: c.confirmed,
		Progress:      c.progress(now), Counters: c.counters,
	}
	if c.confirmed {
		s.ConfirmedAge = now.Sub(c.viewConfirmedAt())
		s.Confirmed = s.ConfirmedAge <= UnconfirmedAfter
	}
	if c.parent != nil {
		s.Parent = c.parent.address
	}
	for _, ch := range c.children {
		s.Children = append(s.Children, ch.name)
	}
	slices.Sort(s.Children)
	for _, name := range sortedNames(c.local.subscription) {
		if !c.store.covers(name) {
			s.Pending = append(s.Pending, name)
		}
	}
	return s
}
