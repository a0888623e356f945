package crlog

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// peer is the replication state that a leader keeps for another member or an observer.
type peer struct {
	address  string
	observer bool
	// match is the last index known to be stored by the peer, next the index of the next entry to send.
	match, next uint64
	// probing limits replication to one message at a time until the peer's log is known to match; awaitingResponse marks
	// that one is in flight.
	probing, awaitingResponse bool
	lastContact               time.Time
	answeredRound             uint64
	snapshot                  *Snapshot
	snapshotOffset            uint64
}

// heartbeatRound is a heartbeat round that no majority has answered yet.
type heartbeatRound struct {
	round     uint64
	startedAt time.Time
}

// leaderState is the state of a leader in its term.
type leaderState struct {
	peers         map[uint64]*peer
	round         uint64
	pendingRounds []heartbeatRound
	// leaseEnd is when the lease ends. confirmedRound is the last round that a majority answered, quorumContact the time
	// at which it started.
	leaseEnd       time.Time
	confirmedRound uint64
	quorumContact  time.Time
	nextHeartbeat  time.Time
	pendingReads   []pendingRead
	// uncommittedBytes is the size of the proposed entries of this term that are not yet committed.
	uncommittedBytes int
	sentCommitIndex  uint64
}

func (n *Node) becomeLeader(now time.Time) {
	n.role, n.leaderID, n.leaderAddress, n.forcedElection = Leader, n.config.ID, n.config.Address, false
	n.votes, n.preVotes = nil, nil
	n.leaderState = &leaderState{peers: make(map[uint64]*peer), quorumContact: now}
	n.syncPeers(now)
	n.log.append(Entry{Index: n.log.last() + 1, Term: n.hardState.Term, Kind: Noop})
	n.startHeartbeatRound(now)
}

// syncPeers adds and removes peers according to the latest member list; observers stay.
func (n *Node) syncPeers(now time.Time) {
	members := n.Members()
	for id, p := range n.leaderState.peers {
		if !p.observer && members.find(id) == nil {
			delete(n.leaderState.peers, id)
		}
	}
	for _, m := range members {
		if m.ID != n.config.ID && n.leaderState.peers[m.ID] == nil {
			n.leaderState.peers[m.ID] = &peer{address: m.Address, next: n.log.last() + 1, probing: true, lastContact: now}
		}
	}
}

func (n *Node) tickLeader(now time.Time) {
	if now.Sub(n.leaderState.quorumContact) > 2*n.config.Lease {
		// The lease ended at least the duration of a lease ago: this leader can't reach a majority.
		n.becomeFollower(now, n.hardState.Term)
		n.leaderID, n.leaderAddress = 0, ""
		return
	}
	for id, p := range n.leaderState.peers {
		if p.observer && now.Sub(p.lastContact) > 3*n.config.Lease {
			delete(n.leaderState.peers, id)
		}
	}
	if !now.Before(n.leaderState.nextHeartbeat) {
		n.startHeartbeatRound(now)
		n.advanceMemberChange(now)
	}
}

// startHeartbeatRound sends heartbeats to all peers; the lease is renewed when a majority answers them.
func (n *Node) startHeartbeatRound(now time.Time) {
	l := n.leaderState
	l.nextHeartbeat = now.Add(n.config.Heartbeat)
	l.round++
	if len(l.pendingRounds) == maxPendingRounds {
		l.pendingRounds = l.pendingRounds[1:]
	}
	l.pendingRounds = append(l.pendingRounds, heartbeatRound{l.round, now})
	for _, id := range l.peerIDs() {
		p := l.peers[id]
		p.awaitingResponse = false
		n.replicate(id, p, true)
	}
	n.renewLease()
}

// peerIDs returns the peer ids in ascending order, so that the same inputs always give the same messages.
func (l *leaderState) peerIDs() []uint64 {
	return slices.Sorted(maps.Keys(l.peers))
}

// renewLease extends the lease from the start of the latest round that a majority has answered.
func (n *Node) renewLease() {
	l := n.leaderState
	q, ok := quorumValue(n.Members(), func(id uint64) uint64 {
		if id == n.config.ID {
			return l.round
		}
		if p := l.peers[id]; p != nil {
			return p.answeredRound
		}
		return 0
	}, cmp.Compare[uint64])
	if !ok || q <= l.confirmedRound {
		return
	}
	l.confirmedRound = q
	for len(l.pendingRounds) > 0 && l.pendingRounds[0].round <= q {
		l.quorumContact = l.pendingRounds[0].startedAt
		l.leaseEnd = l.quorumContact.Add(n.config.Lease / 100 * leasePercent)
		l.pendingRounds = l.pendingRounds[1:]
	}
	n.answerConfirmedReads()
}

// holdsLease reports whether the node is leader and its lease is valid at now.
func (n *Node) holdsLease(now time.Time) bool {
	return n.role == Leader && now.Before(n.leaderState.leaseEnd)
}

func (n *Node) notLeaderError() error {
	if n.leaderID != 0 && n.leaderID != n.config.ID {
		return crcode.New(crcode.NoLeader, "the leader is %x at %s", n.leaderID, n.leaderAddress)
	}
	return crcode.New(crcode.NoLeader, "no leader is known")
}

// Propose appends data to the log of a leader and returns the index and term of the entry. The data is accepted once an
// entry with this index and term is committed, and lost once an entry of another term is committed at the index.
func (n *Node) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	if !n.holdsLease(now) {
		return 0, 0, n.notLeaderError()
	}
	if len(data) > n.config.MessageBytes {
		return 0, 0, crcode.New(crcode.MessageTooLarge, "%d bytes, at most %d", len(data), n.config.MessageBytes)
	}
	if n.leaderState.uncommittedBytes+len(data) > maxUncommittedBytes {
		return 0, 0, crcode.New(crcode.Overflow, "%d bytes wait for a commit", n.leaderState.uncommittedBytes)
	}
	n.leaderState.uncommittedBytes += len(data) + entryOverhead
	e := Entry{Index: n.log.last() + 1, Term: n.hardState.Term, Kind: Data, Data: data}
	n.log.append(e)
	return e.Index, e.Term, nil
}

// advanceCommit commits the entries that a majority has stored, but only up to an entry of the leader's own term: entries
// of earlier terms may still be replaced, however many members store them.
func (n *Node) advanceCommit(now time.Time) {
	q, ok := quorumValue(n.Members(), func(id uint64) uint64 {
		if id == n.config.ID {
			return n.log.stored
		}
		if p := n.leaderState.peers[id]; p != nil {
			return p.match
		}
		return 0
	}, cmp.Compare[uint64])
	if !ok || q <= n.commitIndex || n.log.term(q) != n.hardState.Term {
		return
	}
	for _, e := range n.log.slice(n.commitIndex+1, q, 0) {
		if e.Kind == Data && e.Term == n.hardState.Term {
			n.leaderState.uncommittedBytes -= len(e.Data) + entryOverhead
		}
	}
	n.setCommit(q)
	n.advanceMemberChange(now)
}

func (n *Node) setCommit(index uint64) {
	n.commitIndex = index
	for len(n.memberLists) > 1 && n.memberLists[1].index <= n.log.snapshot.Index {
		n.memberLists = n.memberLists[1:]
	}
}
