package crlog

import (
	"cmp"
	"slices"
	"time"
)

// FollowerStatus is the replication status of another member or an observer, as seen by the leader; like Status it is
// part of dumps.
type FollowerStatus struct {
	ID       uint64
	Address  string
	Observer bool
	// Match is the last index known to be stored by the follower.
	Match uint64
	// Contact is the time since the last message of the follower.
	Contact time.Duration
}

// Status is the state of a member for the state dump. Some dumps contain it as JSON under the names of its fields, so
// these names must not change.
type Status struct {
	ID            uint64
	Term          uint64
	Role          Role
	Leader        uint64
	LeaderAddress string
	// Leads reports whether the member is leader and its lease is valid.
	Leads bool
	// Lease is the remaining time of the member's lease; 0 unless it is leader.
	Lease           time.Duration
	Commit, Applied uint64
	First, Last     uint64
	Bytes           int
	SnapshotIndex   uint64
	Members         Members
	// Settled reports whether the latest member list is committed and has no learner.
	Settled              bool
	Observers            int
	LastHeardFromLeader  time.Duration
	UncommittedLogLength uint64
	// Followers is set on a leader only; it is sorted by id.
	Followers []FollowerStatus
}

// Status returns the state of the member at now.
func (n *Node) Status(now time.Time) Status {
	s := Status{
		ID: n.config.ID, Term: n.hardState.Term, Role: n.role, Leader: n.leaderID, LeaderAddress: n.leaderAddress,
		Leads:  n.holdsLease(now),
		Commit: n.commitIndex, Applied: n.applied, First: n.log.base + 1, Last: n.log.last(), Bytes: n.log.bytes,
		SnapshotIndex: n.log.snapshot.Index, Members: n.Members(), Settled: n.membersSettled(),
		LastHeardFromLeader: now.Sub(n.leaderContact), UncommittedLogLength: n.log.last() - n.commitIndex,
	}
	if n.role == Leader {
		s.LastHeardFromLeader = 0
		s.Lease = max(0, n.leaderState.leaseEnd.Sub(now))
		s.Observers = n.observerCount()
		s.Followers = n.followerStatuses(now)
	}
	return s
}

// Hard returns the current term and vote, which may not be stored yet.
func (n *Node) Hard() HardState { return n.hardState }

// StoredHard returns the last term and vote that the caller has stored, as Advance recorded.
func (n *Node) StoredHard() HardState { return n.storedHardState }

func (n *Node) followerStatuses(now time.Time) []FollowerStatus {
	out := make([]FollowerStatus, 0, len(n.leaderState.peers))
	for id, p := range n.leaderState.peers {
		out = append(out, FollowerStatus{
			ID: id, Address: p.address, Observer: p.observer, Match: p.match, Contact: now.Sub(p.lastContact),
		})
	}
	slices.SortFunc(out, func(a, b FollowerStatus) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
