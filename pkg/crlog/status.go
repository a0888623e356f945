package crlog

import (
	"cmp"
	"slices"
	"time"
)

// FollowerStatus is what a leader knows of another member or an observer.
type FollowerStatus struct {
	ID       uint64
	Address  string
	Observer bool
	// Match is the last index known to be stored there.
	Match uint64
	// Contact is the time since the last message from there.
	Contact time.Duration
}

// Status describes a member for the state dump.
type Status struct {
	ID            uint64
	Term          uint64
	Role          Role
	Leader        uint64
	LeaderAddress string
	// Leads is true while the member may act as leader.
	Leads bool
	// Lease is how long the lease of this member still lasts when it leads.
	Lease                time.Duration
	Commit, Applied      uint64
	First, Last          uint64
	Bytes                int
	SnapshotIndex        uint64
	Members              Members
	Settled              bool
	Observers            int
	LastHeardFromLeader  time.Duration
	UncommittedLogLength uint64
	// Followers is set on a leader only, in ascending order of id.
	Followers []FollowerStatus
}

// Status returns the present state of the member.
func (n *Node) Status(now time.Time) Status {
	s := Status{
		ID: n.cfg.ID, Term: n.hard.Term, Role: n.role, Leader: n.leader, LeaderAddress: n.leaderAddr, Leads: n.leads(now),
		Commit: n.commit, Applied: n.handed, First: n.log.base + 1, Last: n.log.last(), Bytes: n.log.bytes,
		SnapshotIndex: n.log.snapshot.Index, Members: n.Members(), Settled: n.settled(),
		LastHeardFromLeader: now.Sub(n.heard), UncommittedLogLength: n.log.last() - n.commit,
	}
	if n.role == Leader {
		s.LastHeardFromLeader = 0
		s.Lease = max(0, n.lead.leaseEnd.Sub(now))
		s.Observers = n.observers()
		s.Followers = n.followers(now)
	}
	return s
}

// Hard returns the present term and vote.
func (n *Node) Hard() HardState { return n.hard }

// StoredHard returns the term and vote that Advance has confirmed as stored.
func (n *Node) StoredHard() HardState { return n.storedHard }

func (n *Node) followers(now time.Time) []FollowerStatus {
	out := make([]FollowerStatus, 0, len(n.lead.peers))
	for id, p := range n.lead.peers {
		out = append(out, FollowerStatus{ID: id, Address: p.address, Observer: p.observer, Match: p.match, Contact: now.Sub(p.heard)})
	}
	slices.SortFunc(out, func(a, b FollowerStatus) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
