package crlog

import (
	"cmp"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// Step takes in a message of another member.
func (n *Node) Step(now time.Time, m Message) {
	if m.To != n.cfg.ID && (m.To != 0 || m.Kind != ObserveRequest) {
		// Meant for a member whose storage was at this address before.
		return
	}
	if n.cfg.Observer && (m.Kind <= VoteResponse || m.Kind == TimeoutNow) {
		return
	}
	switch m.Kind {
	case ObserveRequest:
		n.stepObserve(now, m)
		return
	case ObserveResponse:
		n.stepObserveResponse(m)
		return
	case PreVoteRequest:
		n.stepPreVote(now, m)
		return
	case VoteRequest:
		if !m.Force && n.leaseBinds(now, m.From) {
			return
		}
	}
	// A pre-vote request, or the grant of one, carries a term that nobody is in yet.
	granted := m.Kind == PreVoteResponse && !m.Reject
	if m.Term > n.hard.Term && !granted {
		n.becomeFollower(now, m.Term)
	}
	if m.Term < n.hard.Term {
		n.refuseStale(m)
		return
	}
	n.stepCurrent(now, m)
}

func (n *Node) stepCurrent(now time.Time, m Message) {
	switch m.Kind {
	case VoteRequest:
		n.stepVote(now, m)
	case PreVoteResponse, VoteResponse:
		n.stepGrant(now, m)
	case AppendRequest, SnapshotChunk:
		n.follow(now, m)
		if m.Kind == AppendRequest {
			n.stepAppend(m)
		} else {
			n.stepChunk(m)
		}
	case AppendResponse, SnapshotResponse:
		n.stepResponse(now, m)
	case TimeoutNow:
		if m.Term == n.hard.Term && n.Members().isVoter(n.cfg.ID) {
			n.forced = true
			n.campaign(now, Candidate)
		}
	case ReadRequest:
		n.stepRead(now, m)
	case ReadResponse:
		n.reads = append(n.reads, Read{ID: m.ID, Index: m.Index, OK: !m.Reject})
	}
}

// refuseStale tells a sender with an older term about the present one.
func (n *Node) refuseStale(m Message) {
	switch m.Kind {
	case AppendRequest, SnapshotChunk:
		n.send(Message{Kind: AppendResponse, To: m.From, Address: m.FromAddress, Reject: true})
	case VoteRequest:
		n.send(Message{Kind: VoteResponse, To: m.From, Address: m.FromAddress, Reject: true})
	case ReadRequest:
		n.send(Message{Kind: ReadResponse, To: m.From, Address: m.FromAddress, Reject: true, ID: m.ID})
	}
}

// leaseBinds reports whether a leader other than the candidate may still hold a lease that this member granted. Within a
// term a member grants leases to the one that stands as its vote only, see follow, and that one leads no longer when it
// stands for election.
func (n *Node) leaseBinds(now time.Time, candidate uint64) bool {
	if n.role == Leader {
		return now.Before(n.lead.quorumAt.Add(n.cfg.Lease))
	}
	return n.hard.Vote != candidate && now.Before(n.heard.Add(n.cfg.Lease))
}

// Gone tells that the process of a member has ended for good and its storage is lost: another process without that storage
// answers at its address. The member cannot lead any more, so a lease that was granted to it binds nobody.
func (n *Node) Gone(now time.Time, id uint64) {
	if n.role == Leader || id == n.cfg.ID || id == 0 || n.hard.Vote != id {
		return
	}
	n.heard = time.Time{}
	if n.leader == id {
		n.leader, n.leaderAddr = 0, ""
	}
	if soon := now.Add(n.jitter(n.cfg.Heartbeat)); soon.Before(n.deadline) {
		n.deadline = soon
	}
}

func (n *Node) stepPreVote(now time.Time, m Message) {
	ok := m.Term > n.hard.Term && !n.leaseBinds(now, m.From) && n.log.upToDate(m.Index, m.LogTerm)
	r := Message{Kind: PreVoteResponse, To: m.From, Address: m.FromAddress, Reject: !ok}
	if ok {
		r.Term = m.Term
	}
	n.send(r)
}

func (n *Node) stepVote(now time.Time, m Message) {
	ok := (n.hard.Vote == 0 || n.hard.Vote == m.From) && n.log.upToDate(m.Index, m.LogTerm)
	if ok {
		n.role, n.hard.Vote = Follower, m.From
		n.resetDeadline(now)
	}
	n.send(Message{Kind: VoteResponse, To: m.From, Address: m.FromAddress, Reject: !ok})
}

func (n *Node) campaign(now time.Time, role Role) {
	n.role, n.leader, n.leaderAddr = role, 0, ""
	n.forced = n.forced && role == Candidate
	n.preVotes = map[uint64]bool{n.cfg.ID: true}
	// After a lost round no leader is known, so the next one may follow after some round trips.
	n.deadline = now.Add(n.cfg.Heartbeat + n.jitter(2*n.cfg.Heartbeat))
	kind, term := PreVoteRequest, n.hard.Term+1
	if role == Candidate {
		n.hard = HardState{Term: term, Vote: n.cfg.ID}
		n.votes = map[uint64]bool{n.cfg.ID: true}
		kind = VoteRequest
	}
	last := n.log.last()
	for _, id := range n.Members().Voters() {
		if id != n.cfg.ID {
			n.send(Message{Kind: kind, To: id, Term: term, Index: last, LogTerm: n.log.term(last), Force: n.forced})
		}
	}
	n.countVotes(now)
}

// stepGrant takes a vote. One for the present term counts also while the next term is prepared: where votes take longer than a
// round, no election would end otherwise.
func (n *Node) stepGrant(now time.Time, m Message) {
	switch {
	case m.Reject || n.role != PreCandidate && n.role != Candidate:
		return
	case m.Kind == VoteResponse && n.votes != nil:
		n.votes[m.From] = true
	case m.Kind == PreVoteResponse && n.role == PreCandidate && m.Term == n.hard.Term+1:
		n.preVotes[m.From] = true
	default:
		return
	}
	n.countVotes(now)
}

func (n *Node) countVotes(now time.Time) {
	switch {
	case n.elected(n.votes):
		n.becomeLeader(now)
	case n.role == PreCandidate && n.elected(n.preVotes):
		n.campaign(now, Candidate)
	}
}

// elected reports whether a majority has given its vote.
func (n *Node) elected(votes map[uint64]bool) bool {
	given, ok := quorum(n.Members(), func(id uint64) int {
		if votes[id] {
			return 1
		}
		return 0
	}, cmp.Compare[int])
	return ok && given == 1
}

func (n *Node) becomeFollower(now time.Time, term uint64) {
	if n.role == Leader {
		// A former leader counts as having heard from itself when it began its last confirmed round.
		n.heard = n.lead.quorumAt
	}
	if term > n.hard.Term {
		n.hard = HardState{Term: term}
		n.leader, n.leaderAddr = 0, ""
	}
	n.dropReads()
	n.role, n.lead, n.votes, n.preVotes, n.forced = Follower, nil, nil, nil, false
	n.resetDeadline(now)
}

// follow takes the sender of a message of this term as leader. It is stored as the vote before the message is answered,
// so that after a restart the member still knows to whom it may have granted a lease; a vote for a candidate that lost
// is not needed any more.
func (n *Node) follow(now time.Time, m Message) {
	if n.role != Follower {
		n.becomeFollower(now, m.Term)
	}
	n.leader, n.leaderAddr = m.From, m.FromAddress
	n.hard.Vote = m.From
	n.heard = now
	n.resetDeadline(now)
}

// Transfer hands leadership to the given voter, or to the most complete one when id is 0. The leader resigns at once,
// so that its lease can't overlap with the next one's.
func (n *Node) Transfer(now time.Time, id uint64) error {
	if n.role != Leader {
		return n.noLeader()
	}
	var best uint64
	for _, v := range n.Members().Voters() {
		p := n.lead.peers[v]
		if p == nil || id != 0 && v != id {
			continue
		}
		if p.match == n.log.last() && now.Sub(p.heard) < n.cfg.Lease {
			best = v
		}
	}
	if best == 0 {
		return crcode.New(crcode.NotFound, "no other voter holds the whole log")
	}
	n.send(Message{Kind: TimeoutNow, To: best})
	n.becomeFollower(now, n.hard.Term)
	n.leader, n.leaderAddr = 0, ""
	return nil
}
