package crlog

import (
	"cmp"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// Step handles a message of another member or an observer.
func (n *Node) Step(now time.Time, m Message) {
	if m.To != n.config.ID && (m.To != 0 || m.Kind != ObserveRequest) {
		// The message is for another member that used this address before.
		return
	}
	if n.config.Observer && (m.Kind <= VoteResponse || m.Kind == TimeoutNow) {
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
		if !m.Force && n.boundByLease(now, m.From) {
			return
		}
	}
	// A granted pre-vote carries the term of the election to come, which no member has entered yet.
	preVoteGranted := m.Kind == PreVoteResponse && !m.Reject
	if m.Term > n.hardState.Term && !preVoteGranted {
		n.becomeFollower(now, m.Term)
	}
	if m.Term < n.hardState.Term {
		n.rejectStale(m)
		return
	}
	n.stepCurrent(now, m)
}

func (n *Node) stepCurrent(now time.Time, m Message) {
	switch m.Kind {
	case VoteRequest:
		n.stepVote(now, m)
	case PreVoteResponse, VoteResponse:
		n.stepVoteResponse(now, m)
	case AppendRequest, SnapshotChunk:
		n.acceptLeader(now, m)
		if m.Kind == AppendRequest {
			n.stepAppend(m)
		} else {
			n.stepSnapshotChunk(m)
		}
	case AppendResponse, SnapshotResponse:
		n.stepAppendResponse(now, m)
	case TimeoutNow:
		if m.Term == n.hardState.Term && n.Members().isVoter(n.config.ID) {
			n.forcedElection = true
			n.campaign(now, Candidate)
		}
	case ReadRequest:
		n.stepRead(now, m)
	case ReadResponse:
		n.readResults = append(n.readResults, Read{ID: m.ID, Index: m.Index, OK: !m.Reject})
	}
}

// rejectStale rejects a request of an older term, so that its sender learns the current term.
func (n *Node) rejectStale(m Message) {
	switch m.Kind {
	case AppendRequest, SnapshotChunk:
		n.send(Message{Kind: AppendResponse, To: m.From, Address: m.FromAddress, Reject: true})
	case VoteRequest:
		n.send(Message{Kind: VoteResponse, To: m.From, Address: m.FromAddress, Reject: true})
	case ReadRequest:
		n.send(Message{Kind: ReadResponse, To: m.From, Address: m.FromAddress, Reject: true, ID: m.ID})
	}
}

// boundByLease reports whether a leader other than the candidate may still hold a lease that this member granted. Within
// a term a member grants leases only to the member that it stored as its vote, see acceptLeader. If that member is the
// candidate, it is no longer leader.
func (n *Node) boundByLease(now time.Time, candidate uint64) bool {
	if n.role == Leader {
		return now.Before(n.leaderState.quorumContact.Add(n.config.Lease))
	}
	return n.hardState.Vote != candidate && now.Before(n.leaderContact.Add(n.config.Lease))
}

// MemberLost records that a member has stopped permanently and its storage is lost: a process without that storage
// answers at its address. The member can't act as leader any more, so a lease that was granted to it no longer delays
// elections.
func (n *Node) MemberLost(now time.Time, id uint64) {
	if n.role == Leader || id == n.config.ID || id == 0 || n.hardState.Vote != id {
		return
	}
	n.leaderContact = time.Time{}
	if n.leaderID == id {
		n.leaderID, n.leaderAddress = 0, ""
	}
	if earliest := now.Add(n.randomDuration(n.config.Heartbeat)); earliest.Before(n.electionDeadline) {
		n.electionDeadline = earliest
	}
}

func (n *Node) stepPreVote(now time.Time, m Message) {
	granted := m.Term > n.hardState.Term && !n.boundByLease(now, m.From) && n.log.upToDate(m.Index, m.LogTerm)
	response := Message{Kind: PreVoteResponse, To: m.From, Address: m.FromAddress, Reject: !granted}
	if granted {
		response.Term = m.Term
	}
	n.send(response)
}

func (n *Node) stepVote(now time.Time, m Message) {
	granted := (n.hardState.Vote == 0 || n.hardState.Vote == m.From) && n.log.upToDate(m.Index, m.LogTerm)
	if granted {
		n.role, n.hardState.Vote = Follower, m.From
		n.resetElectionDeadline(now)
	}
	n.send(Message{Kind: VoteResponse, To: m.From, Address: m.FromAddress, Reject: !granted})
}

func (n *Node) campaign(now time.Time, role Role) {
	n.role, n.leaderID, n.leaderAddress = role, 0, ""
	n.forcedElection = n.forcedElection && role == Candidate
	n.preVotes = map[uint64]bool{n.config.ID: true}
	// When this election fails, no leader is known that a new one could disturb, so the next election may start after a
	// few round trips.
	n.electionDeadline = now.Add(n.config.Heartbeat + n.randomDuration(2*n.config.Heartbeat))
	kind, term := PreVoteRequest, n.hardState.Term+1
	if role == Candidate {
		n.hardState = HardState{Term: term, Vote: n.config.ID}
		n.votes = map[uint64]bool{n.config.ID: true}
		kind = VoteRequest
	}
	last := n.log.last()
	for _, id := range n.Members().Voters() {
		if id != n.config.ID {
			n.send(Message{Kind: kind, To: id, Term: term, Index: last, LogTerm: n.log.term(last), Force: n.forcedElection})
		}
	}
	n.countVotes(now)
}

// stepVoteResponse counts a vote or a pre-vote. A vote for the current term counts also while a pre-vote for the next
// term is under way: otherwise no election would succeed where votes take longer than an election round.
func (n *Node) stepVoteResponse(now time.Time, m Message) {
	switch {
	case m.Reject || n.role != PreCandidate && n.role != Candidate:
		return
	case m.Kind == VoteResponse && n.votes != nil:
		n.votes[m.From] = true
	case m.Kind == PreVoteResponse && n.role == PreCandidate && m.Term == n.hardState.Term+1:
		n.preVotes[m.From] = true
	default:
		return
	}
	n.countVotes(now)
}

func (n *Node) countVotes(now time.Time) {
	switch {
	case n.hasMajority(n.votes):
		n.becomeLeader(now)
	case n.role == PreCandidate && n.hasMajority(n.preVotes):
		n.campaign(now, Candidate)
	}
}

// hasMajority reports whether a majority of the voters is in votes.
func (n *Node) hasMajority(votes map[uint64]bool) bool {
	granted, ok := quorumValue(n.Members(), func(id uint64) int {
		if votes[id] {
			return 1
		}
		return 0
	}, cmp.Compare[int])
	return ok && granted == 1
}

func (n *Node) becomeFollower(now time.Time, term uint64) {
	if n.role == Leader {
		// A former leader counts the start of its last confirmed round as the last message of a leader.
		n.leaderContact = n.leaderState.quorumContact
	}
	if term > n.hardState.Term {
		n.hardState = HardState{Term: term}
		n.leaderID, n.leaderAddress = 0, ""
	}
	n.rejectPendingReads()
	n.role, n.leaderState, n.votes, n.preVotes, n.forcedElection = Follower, nil, nil, nil, false
	n.resetElectionDeadline(now)
}

// acceptLeader records the sender of a message of this term as leader. The leader is stored as the vote before the
// message is answered, so that the member still knows after a restart to which leader it may have granted a lease. It
// overwrites a vote for a candidate that lost, which is not needed any more.
func (n *Node) acceptLeader(now time.Time, m Message) {
	if n.role != Follower {
		n.becomeFollower(now, m.Term)
	}
	n.leaderID, n.leaderAddress = m.From, m.FromAddress
	n.hardState.Vote = m.From
	n.leaderContact = now
	n.resetElectionDeadline(now)
}

// Transfer transfers leadership to the given voter, or to any voter that holds the whole log when id is 0. The leader
// resigns at once, so that its lease can't overlap with that of the next leader.
func (n *Node) Transfer(now time.Time, id uint64) error {
	if n.role != Leader {
		return n.notLeaderError()
	}
	var best uint64
	for _, v := range n.Members().Voters() {
		p := n.leaderState.peers[v]
		if p == nil || id != 0 && v != id {
			continue
		}
		if p.match == n.log.last() && now.Sub(p.lastContact) < n.config.Lease {
			best = v
		}
	}
	if best == 0 {
		return crcode.New(crcode.NotFound, "no other voter holds the whole log")
	}
	n.send(Message{Kind: TimeoutNow, To: best})
	n.becomeFollower(now, n.hardState.Term)
	n.leaderID, n.leaderAddress = 0, ""
	return nil
}
