package crrecord

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"
)

// FenceAhead is added to the control leader's time for the fence of a lost majority: ids may lie 5 s in the future, and
// clocks of instances may differ by 30 s.
const FenceAhead = 35 * time.Second

// defaultMoves bounds the groups that one assignment changes only to even out load or domains.
const defaultMoves = 16

// Candidate is a live node that may be a keeper.
type Candidate struct {
	Member Member
	// Leaving is set while the node stops: it still hands records over but gets no place.
	Leaving bool
}

// Assignment is the input of the control leader's choice of keepers.
type Assignment struct {
	// Live are the nodes that were heard of within the last 10 s.
	Live []Candidate
	// Present are the configured groups, at most one of each number.
	Present []Group
	// NowMS is the leader's wall clock, for a fence.
	NowMS int64
	// Moves bounds the groups changed only to even out load or domains; zero means 16.
	Moves int
	// Unstarted are groups not known to grant in their epoch; they are not changed only to even out load or domains.
	Unstarted map[uint32]Group
	// Stuck holds the epochs of groups whose hand-over can't end, configured for FenceAfter at least. When all members
	// are live, the next epoch has the same members and a fence.
	Stuck map[uint32]uint64
}

// Assign returns the groups whose membership changes, each in its next epoch. Groups with a lost keeper change first;
// a fence is set only when no majority of the previous members is live, or when their hand-over can't end.
func Assign(a Assignment) []Group {
	p := newPlacement(a)
	size := min(GroupSize, p.nodes)
	if size == 0 {
		return nil
	}
	present := make(map[uint32]Group, len(a.Present))
	for _, g := range a.Present {
		present[g.Number] = g
	}
	changed := make(map[uint32]Group)
	for n := range uint32(Groups) {
		old := present[n]
		kept := p.kept(old.Members)
		if len(kept) == size && len(old.Members) == size {
			if old.Epoch != 0 && a.Stuck[n] == old.Epoch {
				changed[n] = restart(old, a.NowMS)
			}
			continue
		}
		changed[n] = p.next(n, old, p.fill(kept, size), a.NowMS)
	}
	p.even(a, present, changed)
	out := slices.Collect(maps.Values(changed))
	slices.SortFunc(out, func(x, y Group) int { return cmp.Compare(x.Number, y.Number) })
	return out
}

// place is a node with the number of groups that it keeps.
type place struct {
	member Member
	load   int
	at     int
}

// domain is a heap of places, least loaded first.
type domain []*place

func (d domain) Len() int { return len(d) }

func (d domain) Less(i, j int) bool {
	if d[i].load != d[j].load {
		return d[i].load < d[j].load
	}
	return d[i].member.Node < d[j].member.Node
}

func (d domain) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].at, d[j].at = i, j
}

// Push implements heap.Interface.
func (d *domain) Push(x any) {
	p := x.(*place)
	p.at = len(*d)
	*d = append(*d, p)
}

// Pop implements heap.Interface.
func (d *domain) Pop() any {
	last := len(*d) - 1
	p := (*d)[last]
	*d = (*d)[:last]
	return p
}

type nodeKey struct{ node, incarnation string }

func keyOf(m Member) nodeKey { return nodeKey{m.Node, m.Incarnation} }

type placement struct {
	nodes   int
	live    map[nodeKey]bool
	places  map[nodeKey]*place
	domains map[string]*domain
	names   []string
}

func newPlacement(a Assignment) *placement {
	p := &placement{live: make(map[nodeKey]bool), places: make(map[nodeKey]*place), domains: make(map[string]*domain)}
	for _, c := range a.Live {
		key := keyOf(c.Member)
		p.live[key] = true
		if c.Leaving || p.places[key] != nil {
			continue
		}
		p.places[key] = &place{member: c.Member}
		p.nodes++
	}
	for _, g := range a.Present {
		for _, m := range g.Members {
			if pl := p.places[keyOf(m)]; pl != nil {
				pl.load++
			}
		}
	}
	for _, pl := range p.places {
		d := p.domains[pl.member.Domain]
		if d == nil {
			d = new(domain)
			p.domains[pl.member.Domain] = d
		}
		d.Push(pl)
	}
	for name, d := range p.domains {
		heap.Init(d)
		p.names = append(p.names, name)
	}
	slices.Sort(p.names)
	return p
}

// kept returns the members that stay, with their present addresses.
func (p *placement) kept(members []Member) []Member {
	var out []Member
	for _, m := range members {
		if pl := p.places[keyOf(m)]; pl != nil && len(out) < GroupSize {
			out = append(out, pl.member)
		}
	}
	return out
}

// fill adds members up to size, from domains that have none yet when possible, least loaded first.
func (p *placement) fill(members []Member, size int) []Member {
	for len(members) < size {
		pl := p.best(members, true)
		if pl == nil {
			pl = p.best(members, false)
		}
		if pl == nil {
			return members
		}
		p.load(pl, 1)
		members = append(members, pl.member)
	}
	return members
}

func (p *placement) load(pl *place, by int) {
	pl.load += by
	heap.Fix(p.domains[pl.member.Domain], pl.at)
}

// least returns the load of the least loaded place.
func (p *placement) least() int {
	least := Groups
	for _, name := range p.names {
		least = min(least, (*p.domains[name])[0].load)
	}
	return least
}

// best returns the least loaded place that is no member; newDomain asks for a domain without members.
func (p *placement) best(members []Member, newDomain bool) *place {
	var best *place
	for _, name := range p.names {
		used := slices.ContainsFunc(members, func(m Member) bool { return m.Domain == name })
		if used && newDomain {
			continue
		}
		d := *p.domains[name]
		if !used {
			d = d[:1]
		}
		for _, pl := range d {
			if indexOf(members, pl.member) < 0 && (best == nil || pl.load < best.load) {
				best = pl
			}
		}
	}
	return best
}

func (p *placement) next(n uint32, old Group, members []Member, nowMS int64) Group {
	g := Group{Number: n, Epoch: old.Epoch + 1, Members: members, Previous: slices.Clone(old.Members)}
	alive := 0
	for _, m := range old.Members {
		if p.live[keyOf(m)] {
			alive++
		}
	}
	if len(old.Members) > 0 && alive < Majority(len(old.Members)) {
		g.FenceMS = nowMS + FenceAhead.Milliseconds()
	}
	return g
}

// restart returns the next epoch of a group whose hand-over can't end. Its members must be the same: should the old epoch
// start after all, every majority of one epoch then has a member of every majority of the other, which still holds its
// records, and the fence covers all epochs before.
func restart(old Group, nowMS int64) Group {
	return Group{
		Number: old.Number, Epoch: old.Epoch + 1, Members: slices.Clone(old.Members), Previous: slices.Clone(old.Members),
		FenceMS: nowMS + FenceAhead.Milliseconds(),
	}
}

// even moves at most moves places of unchanged groups: first out of shared domains, then off loaded nodes.
func (p *placement) even(a Assignment, present, changed map[uint32]Group) {
	moves := a.Moves
	if moves == 0 {
		moves = defaultMoves
	}
	for n := uint32(0); n < Groups && moves > 0; n++ {
		old, ok := present[n]
		_, done := changed[n]
		_, unstarted := a.Unstarted[n]
		if done || unstarted || !ok {
			continue
		}
		members := p.kept(old.Members)
		i, pl := p.move(members)
		if pl == nil {
			continue
		}
		p.load(p.places[keyOf(members[i])], -1)
		p.load(pl, 1)
		members[i] = pl.member
		changed[n] = p.next(n, old, members, a.NowMS)
		moves--
	}
}

// move returns which member to replace with which place, or nil.
func (p *placement) move(members []Member) (int, *place) {
	for i, m := range members {
		others := slices.Delete(slices.Clone(members), i, i+1)
		shared := slices.ContainsFunc(others, func(o Member) bool { return o.Domain == m.Domain })
		if shared {
			if pl := p.best(members, true); pl != nil {
				return i, pl
			}
		}
		// A difference of less than a quarter isn't worth a hand-over. The search for a place reads whole domains, so
		// it is left out when even the least loaded node gives no such difference.
		load := p.places[keyOf(m)].load
		if least := p.least(); load <= least+max(1, least/4) {
			continue
		}
		pl := p.best(members, false)
		if pl == nil || load <= pl.load+max(1, pl.load/4) {
			continue
		}
		free := !slices.ContainsFunc(others, func(o Member) bool { return o.Domain == pl.member.Domain })
		if free || shared {
			return i, pl
		}
	}
	return 0, nil
}
