package crlog

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// peer is what a leader knows about another holder of the log.
type peer struct {
	address  string
	observer bool
	// match is the last index known to be stored there, next the one to send.
	match, next uint64
	// probing sends one message at a time until the peer's log is known to match; waiting marks one under way.
	probing, waiting bool
	heard            time.Time
	round            uint64
	sending          *Snapshot
	offset           uint64
}

// sentRound is a heartbeat round whose majority is awaited.
type sentRound struct {
	round uint64
	at    time.Time
}

// leadership is the state of a leader in its term.
type leadership struct {
	peers  map[uint64]*peer
	round  uint64
	rounds []sentRound
	// leaseEnd is when the lease runs out; confirmed is the last round that a majority answered.
	leaseEnd  time.Time
	confirmed uint64
	quorumAt  time.Time
	nextBeat  time.Time
	reads     []pendingRead
	// pendingBytes is the size of the entries that are not yet committed.
	pendingBytes int
	sentCommit   uint64
}

func (n *Node) becomeLeader(now time.Time) {
	n.role, n.leader, n.leaderAddr, n.forced = Leader, n.cfg.ID, n.cfg.Address, false
	n.votes, n.preVotes = nil, nil
	n.lead = &leadership{peers: make(map[uint64]*peer), quorumAt: now}
	n.syncPeers(now)
	n.log.append(Entry{Index: n.log.last() + 1, Term: n.hard.Term, Kind: Noop})
	n.beat(now)
}

// syncPeers makes the peers those of the latest member list, besides the observers.
func (n *Node) syncPeers(now time.Time) {
	members := n.Members()
	for id, p := range n.lead.peers {
		if !p.observer && members.find(id) == nil {
			delete(n.lead.peers, id)
		}
	}
	for _, m := range members {
		if m.ID != n.cfg.ID && n.lead.peers[m.ID] == nil {
			n.lead.peers[m.ID] = &peer{address: m.Address, next: n.log.last() + 1, probing: true, heard: now}
		}
	}
}

func (n *Node) tickLeader(now time.Time) {
	if now.Sub(n.lead.quorumAt) > 2*n.cfg.Lease {
		// The lease ended a whole lease ago: no majority can be reached.
		n.becomeFollower(now, n.hard.Term)
		n.leader, n.leaderAddr = 0, ""
		return
	}
	for id, p := range n.lead.peers {
		if p.observer && now.Sub(p.heard) > 3*n.cfg.Lease {
			delete(n.lead.peers, id)
		}
	}
	if !now.Before(n.lead.nextBeat) {
		n.beat(now)
		n.settle(now)
	}
}

// beat starts a heartbeat round, which renews the lease when a majority answers it.
func (n *Node) beat(now time.Time) {
	l := n.lead
	l.nextBeat = now.Add(n.cfg.Heartbeat)
	l.round++
	if len(l.rounds) == maxRounds {
		l.rounds = l.rounds[1:]
	}
	l.rounds = append(l.rounds, sentRound{l.round, now})
	for _, id := range l.peerIDs() {
		p := l.peers[id]
		p.waiting = false
		n.replicate(id, p, true)
	}
	n.renew()
}

// peerIDs returns the peers in a fixed order, so that the same inputs always give the same messages.
func (l *leadership) peerIDs() []uint64 {
	return slices.Sorted(maps.Keys(l.peers))
}

// renew moves the lease to the latest round that a majority has answered.
func (n *Node) renew() {
	l := n.lead
	q, ok := quorum(n.Members(), func(id uint64) uint64 {
		if id == n.cfg.ID {
			return l.round
		}
		if p := l.peers[id]; p != nil {
			return p.round
		}
		return 0
	}, cmp.Compare[uint64])
	if !ok || q <= l.confirmed {
		return
	}
	l.confirmed = q
	for len(l.rounds) > 0 && l.rounds[0].round <= q {
		l.quorumAt = l.rounds[0].at
		l.leaseEnd = l.quorumAt.Add(n.cfg.Lease / 100 * leasePercent)
		l.rounds = l.rounds[1:]
	}
	n.releaseReads()
}

// leads reports whether the node may act as leader at now.
func (n *Node) leads(now time.Time) bool {
	return n.role == Leader && now.Before(n.lead.leaseEnd)
}

func (n *Node) noLeader() error {
	if n.leader != 0 && n.leader != n.cfg.ID {
		return crcode.New(crcode.NoLeader, "the leader is %x at %s", n.leader, n.leaderAddr)
	}
	return crcode.New(crcode.NoLeader, "no leader is known")
}

// Propose appends data to the log of a leader and returns its place. The change is accepted when an entry with the
// same index and term is committed; another term at that index means that it was not.
func (n *Node) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	if !n.leads(now) {
		return 0, 0, n.noLeader()
	}
	if len(data) > n.cfg.MessageBytes {
		return 0, 0, crcode.New(crcode.MessageTooLarge, "%d bytes, at most %d", len(data), n.cfg.MessageBytes)
	}
	if n.lead.pendingBytes+len(data) > maxUncommitted {
		return 0, 0, crcode.New(crcode.Overflow, "%d bytes wait for a commit", n.lead.pendingBytes)
	}
	n.lead.pendingBytes += len(data) + entryOverhead
	e := Entry{Index: n.log.last() + 1, Term: n.hard.Term, Kind: Data, Data: data}
	n.log.append(e)
	return e.Index, e.Term, nil
}

// advanceCommit commits what a majority has stored, but counts only entries of the own term.
func (n *Node) advanceCommit(now time.Time) {
	q, ok := quorum(n.Members(), func(id uint64) uint64 {
		if id == n.cfg.ID {
			return n.log.stored
		}
		if p := n.lead.peers[id]; p != nil {
			return p.match
		}
		return 0
	}, cmp.Compare[uint64])
	if !ok || q <= n.commit || n.log.term(q) != n.hard.Term {
		return
	}
	for _, e := range n.log.slice(n.commit+1, q, 0) {
		if e.Kind == Data && e.Term == n.hard.Term {
			n.lead.pendingBytes -= len(e.Data) + entryOverhead
		}
	}
	n.setCommit(q)
	n.settle(now)
}

func (n *Node) setCommit(index uint64) {
	n.commit = index
	for len(n.configs) > 1 && n.configs[1].index <= n.log.snapshot.Index {
		n.configs = n.configs[1:]
	}
}
