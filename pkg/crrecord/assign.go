package crrecord

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"
)

// FenceMargin is added to the control leader's time for the fence of a lost majority: creation times of ids may be 5 s
// in the future, and clocks of instances may differ by 30 s.
const FenceMargin = 35 * time.Second

// defaultMoves limits the groups that one assignment changes only to balance load or failure domains.
const defaultMoves = 16

// Candidate is a live node that can be a keeper.
type Candidate struct {
	Member Member
	// Leaving is set while the node stops: it still hands over its records but is not assigned to groups.
	Leaving bool
}

// Assignment is the input for the control leader's selection of keepers.
type Assignment struct {
	// Live are the nodes that the leader received a message from within the last 10 s.
	Live []Candidate
	// Configured are the configured groups, at most one of each number.
	Configured []Group
	// NowMS is the leader's wall clock, used for a fence.
	NowMS int64
	// MaxMoves limits the groups that are changed only to balance load or failure domains; zero means 16.
	MaxMoves int
	// Unstarted are the groups that are not known to grant claims in their epoch. They are not changed only to balance
	// load or failure domains.
	Unstarted map[uint32]Group
	// Stuck contains the epochs of groups whose hand-over cannot complete and that have been configured for at least
	// FenceDelay. If all members are live, the next epoch has the same members and a fence.
	Stuck map[uint32]uint64
}

// Assign returns the groups whose membership changes, each with its next epoch. Groups that lost a keeper are changed
// first. A fence is set only if no majority of the previous members is live, or if their hand-over cannot complete.
func Assign(a Assignment) []Group {
	p := newPlacement(a)
	size := min(GroupSize, p.eligibleCount)
	if size == 0 {
		return nil
	}
	present := make(map[uint32]Group, len(a.Configured))
	for _, g := range a.Configured {
		present[g.Number] = g
	}
	changed := make(map[uint32]Group)
	for n := range uint32(Groups) {
		old := present[n]
		kept := p.remaining(old.Members)
		if len(kept) == size && len(old.Members) == size {
			if old.Epoch != 0 && a.Stuck[n] == old.Epoch {
				changed[n] = restart(old, a.NowMS)
			}
			continue
		}
		changed[n] = p.nextEpoch(n, old, p.fill(kept, size), a.NowMS)
	}
	p.rebalance(a, present, changed)
	out := slices.Collect(maps.Values(changed))
	slices.SortFunc(out, func(x, y Group) int { return cmp.Compare(x.Number, y.Number) })
	return out
}

// nodeLoad is a node with the number of groups that it is a keeper of.
type nodeLoad struct {
	member    Member
	load      int
	heapIndex int
}

// domainHeap is a heap of the nodes of one failure domain, least loaded first.
type domainHeap []*nodeLoad

func (d domainHeap) Len() int { return len(d) }

func (d domainHeap) Less(i, j int) bool {
	if d[i].load != d[j].load {
		return d[i].load < d[j].load
	}
	return d[i].member.Node < d[j].member.Node
}

func (d domainHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (d *domainHeap) Push(x any) {
	p := x.(*nodeLoad)
	p.heapIndex = len(*d)
	*d = append(*d, p)
}

// Pop implements heap.Interface.
func (d *domainHeap) Pop() any {
	last := len(*d) - 1
	p := (*d)[last]
	*d = (*d)[:last]
	return p
}

type nodeKey struct{ node, incarnation string }

func keyOf(m Member) nodeKey { return nodeKey{m.Node, m.Incarnation} }

// placement is the working state of an assignment. Eligible nodes are live and not leaving.
type placement struct {
	eligibleCount int
	live          map[nodeKey]bool
	eligible      map[nodeKey]*nodeLoad
	domains       map[string]*domainHeap
	domainNames   []string
}

func newPlacement(a Assignment) *placement {
	p := &placement{live: make(map[nodeKey]bool), eligible: make(map[nodeKey]*nodeLoad), domains: make(map[string]*domainHeap)}
	for _, c := range a.Live {
		key := keyOf(c.Member)
		p.live[key] = true
		if c.Leaving || p.eligible[key] != nil {
			continue
		}
		p.eligible[key] = &nodeLoad{member: c.Member}
		p.eligibleCount++
	}
	for _, g := range a.Configured {
		for _, m := range g.Members {
			if pl := p.eligible[keyOf(m)]; pl != nil {
				pl.load++
			}
		}
	}
	for _, pl := range p.eligible {
		d := p.domains[pl.member.Domain]
		if d == nil {
			d = new(domainHeap)
			p.domains[pl.member.Domain] = d
		}
		d.Push(pl)
	}
	for name, d := range p.domains {
		heap.Init(d)
		p.domainNames = append(p.domainNames, name)
	}
	slices.Sort(p.domainNames)
	return p
}

// remaining returns the members that are still eligible, with their current addresses.
func (p *placement) remaining(members []Member) []Member {
	var out []Member
	for _, m := range members {
		if pl := p.eligible[keyOf(m)]; pl != nil && len(out) < GroupSize {
			out = append(out, pl.member)
		}
	}
	return out
}

// fill adds members up to size, least loaded first, if possible from failure domains that have no member yet.
func (p *placement) fill(members []Member, size int) []Member {
	for len(members) < size {
		pl := p.leastLoaded(members, true)
		if pl == nil {
			pl = p.leastLoaded(members, false)
		}
		if pl == nil {
			return members
		}
		p.addLoad(pl, 1)
		members = append(members, pl.member)
	}
	return members
}

func (p *placement) addLoad(pl *nodeLoad, by int) {
	pl.load += by
	heap.Fix(p.domains[pl.member.Domain], pl.heapIndex)
}

// minLoad returns the load of the least loaded eligible node.
func (p *placement) minLoad() int {
	least := Groups
	for _, name := range p.domainNames {
		least = min(least, (*p.domains[name])[0].load)
	}
	return least
}

// leastLoaded returns the least loaded node that is not a member, or nil. With newDomain it considers only failure
// domains without members.
func (p *placement) leastLoaded(members []Member, newDomain bool) *nodeLoad {
	var best *nodeLoad
	for _, name := range p.domainNames {
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

func (p *placement) nextEpoch(n uint32, old Group, members []Member, nowMS int64) Group {
	g := Group{Number: n, Epoch: old.Epoch + 1, Members: members, Previous: slices.Clone(old.Members)}
	liveCount := 0
	for _, m := range old.Members {
		if p.live[keyOf(m)] {
			liveCount++
		}
	}
	if len(old.Members) > 0 && liveCount < Majority(len(old.Members)) {
		g.FenceMS = nowMS + FenceMargin.Milliseconds()
	}
	return g
}

// restart returns the next epoch of a group whose hand-over cannot complete. It must have the same members: if the old
// epoch still starts, every majority of one epoch then shares a member with every majority of the other. That member
// still holds its records, and the fence covers all epochs before.
func restart(old Group, nowMS int64) Group {
	return Group{
		Number: old.Number, Epoch: old.Epoch + 1, Members: slices.Clone(old.Members), Previous: slices.Clone(old.Members),
		FenceMS: nowMS + FenceMargin.Milliseconds(),
	}
}

// rebalance replaces at most a.Moves keepers of unchanged groups, first keepers in shared failure domains, then
// keepers on loaded nodes.
func (p *placement) rebalance(a Assignment, present, changed map[uint32]Group) {
	moves := a.MaxMoves
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
		members := p.remaining(old.Members)
		i, pl := p.findMove(members)
		if pl == nil {
			continue
		}
		p.addLoad(p.eligible[keyOf(members[i])], -1)
		p.addLoad(pl, 1)
		members[i] = pl.member
		changed[n] = p.nextEpoch(n, old, members, a.NowMS)
		moves--
	}
}

// findMove returns the index of a member to replace and the node that replaces it, or nil.
func (p *placement) findMove(members []Member) (int, *nodeLoad) {
	for i, m := range members {
		others := slices.Delete(slices.Clone(members), i, i+1)
		shared := slices.ContainsFunc(others, func(o Member) bool { return o.Domain == m.Domain })
		if shared {
			if pl := p.leastLoaded(members, true); pl != nil {
				return i, pl
			}
		}
		// A load difference of less than a quarter does not justify a hand-over. The search for a node scans whole
		// domains, so it is skipped if even the least loaded node gives no such difference.
		load := p.eligible[keyOf(m)].load
		if least := p.minLoad(); load <= least+max(1, least/4) {
			continue
		}
		pl := p.leastLoaded(members, false)
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
