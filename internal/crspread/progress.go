package crspread

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crwire"
)

// merged returns the services that this process and its subtree need; those of a lost child are kept for a short time,
// so that a broken link does not remove and fetch them again on every level.
func (c *Core) merged(now time.Time) map[string]bool {
	out := maps.Clone(c.local.want)
	for _, ch := range c.children {
		maps.Copy(out, ch.want)
	}
	for _, l := range c.lost {
		if !now.After(l.until) {
			maps.Copy(out, l.want)
		}
	}
	return out
}

// subtree returns the number of nodes of the subtree.
func (c *Core) subtree() int {
	n := 1
	for _, ch := range c.children {
		n += ch.subtree
	}
	return n
}

// aggregate returns the acknowledgement of this process and its subtree.
func (c *Core) aggregate(now time.Time) *crwire.SpreadUp {
	p := c.progress(now)
	up := &crwire.SpreadUp{
		Version: p.Version.Wire(), Minimum: p.Minimum.Wire(), Count: uint32(p.Nodes + p.Lost),
		LaggingMore: uint32(p.LaggingMore),
	}
	settled := c.history.before(now.Add(-HeartbeatInterval))
	for _, l := range p.Lagging {
		if !l.Version.Less(settled) {
			// In a burst of changes all nodes are behind for a moment; their names would be most of the bytes.
			up.LaggingMore++
			continue
		}
		up.Lagging = append(up.Lagging, &crwire.SpreadLagging{Name: l.Name, Version: l.Version.Wire()})
	}
	return up
}

// history holds the versions that this process had in force lately, the oldest first.
type history []taken

type taken struct {
	at      time.Time
	version crconfig.Version
}

// note adds the present version and forgets those that were replaced before the time keep.
func (h *history) note(now time.Time, v crconfig.Version, keep time.Time) {
	if n := len(*h); n == 0 || (*h)[n-1].version != v {
		*h = append(*h, taken{now, v})
	}
	for len(*h) > 1 && !(*h)[1].at.After(keep) {
		*h = (*h)[1:]
	}
}

// before returns the version that was in force at a time, the zero version when none is known.
func (h history) before(at time.Time) crconfig.Version {
	var v crconfig.Version
	for _, t := range h {
		if t.at.After(at) {
			break
		}
		v = t.version
	}
	return v
}

// progress sums up the acknowledgements; lost children count with the last version that they acknowledged.
func (c *Core) progress(now time.Time) Progress {
	p := Progress{Version: c.store.version, Minimum: c.store.version}
	if !c.root() {
		p.Nodes = 1
		if c.view.version.Less(p.Version) {
			p.Minimum = c.view.version
			p.Lagging = append(p.Lagging, Lagging{Name: c.cfg.Name, Version: c.view.version})
		}
	}
	for _, ch := range c.children {
		p.Nodes += int(ch.up.GetCount())
		p.add(ch)
	}
	for _, l := range c.lost {
		if !now.After(l.until) {
			p.Lost += int(l.up.GetCount())
			p.add(&l.child)
		}
	}
	slices.SortFunc(p.Lagging, func(a, b Lagging) int {
		return cmp.Or(compare(a.Version, b.Version), cmp.Compare(a.Name, b.Name))
	})
	if over := len(p.Lagging) - MaxLagging; over > 0 {
		p.Lagging = p.Lagging[:MaxLagging]
		p.LaggingMore += over
	}
	return p
}

// add takes in the subtree of one child.
func (p *Progress) add(ch *child) {
	if v := crconfig.VersionOf(ch.up.GetMinimum()); v.Less(p.Minimum) {
		p.Minimum = v
	}
	named := 0
	for _, l := range ch.up.GetLagging() {
		if v := crconfig.VersionOf(l.GetVersion()); v.Less(p.Version) {
			p.Lagging = append(p.Lagging, Lagging{Name: l.GetName(), Version: v})
			named++
		}
	}
	v := crconfig.VersionOf(ch.up.GetVersion())
	if !v.Less(p.Version) {
		p.LaggingMore += int(ch.up.GetLaggingMore())
		return
	}
	// The child itself is behind, and with it the whole subtree, whose other names it did not report.
	p.Lagging = append(p.Lagging, Lagging{Name: ch.name, Version: v})
	p.LaggingMore += max(0, int(ch.up.GetCount())-named-1)
}

// sameUp reports whether two acknowledgements say the same.
func sameUp(a, b *crwire.SpreadUp) bool {
	return b != nil && crconfig.VersionOf(a.GetVersion()) == crconfig.VersionOf(b.GetVersion()) &&
		crconfig.VersionOf(a.GetMinimum()) == crconfig.VersionOf(b.GetMinimum()) &&
		a.GetCount() == b.GetCount() && a.GetLaggingMore() == b.GetLaggingMore() &&
		slices.EqualFunc(a.GetLagging(), b.GetLagging(), func(x, y *crwire.SpreadLagging) bool {
			return x.GetName() == y.GetName() && crconfig.VersionOf(x.GetVersion()) == crconfig.VersionOf(y.GetVersion())
		})
}

// Version returns what this process has in force.
func (c *Core) Version() crconfig.Version { return c.store.version }

// Progress returns the state of acknowledgements.
func (c *Core) Progress(now time.Time) Progress { return c.progress(now) }

// Status returns the state for dumps.
func (c *Core) Status(now time.Time) Status {
	s := Status{
		Name: c.cfg.Name, Root: c.root(), Version: c.store.version, Digest: c.store.total(),
		Entries: len(c.store.keys), Path: c.path(), Services: c.store.held(),
		EverConfirmed: c.confirmed,
		Progress:      c.progress(now), Counters: c.counts,
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
	for _, name := range sorted(c.local.want) {
		if !c.store.covers(name) {
			s.Pending = append(s.Pending, name)
		}
	}
	return s
}
