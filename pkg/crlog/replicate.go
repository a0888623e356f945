package crlog

import "time"

// replicateToAll sends new entries, and the commit index when it has risen, to all peers.
func (n *Node) replicateToAll() {
	for _, id := range n.leaderState.peerIDs() {
		n.replicate(id, n.leaderState.peers[id], n.commitIndex > n.leaderState.sentCommitIndex)
	}
	n.leaderState.sentCommitIndex = n.commitIndex
}

// messagesPerFlush bounds the messages that replicate sends to one peer at once.
const messagesPerFlush = 8

// replicate sends a peer the entries, or the snapshot, that it lacks. With evenIfEmpty it sends a message without entries
// when the peer lacks none.
func (n *Node) replicate(id uint64, p *peer, evenIfEmpty bool) {
	if p.next <= n.log.base {
		n.sendSnapshotChunk(id, p)
		return
	}
	for i := 0; i < messagesPerFlush && (evenIfEmpty || p.next <= n.log.last()); i++ {
		if p.probing && p.awaitingResponse {
			return
		}
		var entries []Entry
		if p.next-1-p.match < maxInflight || p.probing {
			entries = n.log.slice(p.next, n.log.last(), n.config.MessageBytes)
		}
		if len(entries) == 0 && !evenIfEmpty {
			return
		}
		prev := p.next - 1
		n.send(Message{
			Kind: AppendRequest, To: id, Index: prev, LogTerm: n.log.term(prev), Commit: n.commitIndex,
			Entries: entries, Round: n.leaderState.round,
		})
		evenIfEmpty = false
		if p.probing {
			p.awaitingResponse = true
		} else {
			p.next += uint64(len(entries))
		}
	}
}

// stepAppend handles entries from the leader.
func (n *Node) stepAppend(m Message) {
	response := Message{Kind: AppendResponse, To: m.From, Round: m.Round}
	switch {
	case m.Index < n.commitIndex:
		// The committed part is the same on all members, so the leader can continue after it.
		response.Index = n.commitIndex
	case n.log.term(m.Index) != m.LogTerm || m.Index > n.log.last():
		response.Reject, response.Hint = true, n.conflictHint(m)
	case !n.mergeEntries(m.Entries):
		return
	default:
		response.Index = m.Index + uint64(len(m.Entries))
		if commitIndex := min(m.Commit, response.Index); commitIndex > n.commitIndex {
			n.setCommit(commitIndex)
		}
	}
	n.send(response)
}

// conflictHint returns the highest index at which the leader's log may match this one.
func (n *Node) conflictHint(m Message) uint64 {
	h := min(m.Index-1, n.log.last())
	for h > n.commitIndex && n.log.term(h) > m.LogTerm {
		h--
	}
	return max(h, n.commitIndex)
}

// mergeEntries appends entries and removes stored entries that conflict with them. It reports false when the entries
// would replace a committed one, leave a gap or can't be decoded.
func (n *Node) mergeEntries(entries []Entry) bool {
	for _, e := range entries {
		if e.Index <= n.log.last() && n.log.term(e.Index) == e.Term {
			continue
		}
		if e.Index <= n.commitIndex || e.Index > n.log.last()+1 {
			return false
		}
		if e.Index <= n.log.last() {
			n.truncateLog(e.Index)
		}
		if err := n.appendEntry(e); err != nil {
			return false
		}
	}
	return true
}

func (n *Node) truncateLog(index uint64) {
	n.log.truncate(index)
	for len(n.memberLists) > 1 && n.memberLists[len(n.memberLists)-1].index >= index {
		n.memberLists = n.memberLists[:len(n.memberLists)-1]
	}
}

// stepAppendResponse handles the response of a peer to entries or to a snapshot chunk.
func (n *Node) stepAppendResponse(now time.Time, m Message) {
	if n.role != Leader {
		return
	}
	p := n.leaderState.peers[m.From]
	if p == nil {
		return
	}
	p.lastContact = now
	p.answeredRound = max(p.answeredRound, m.Round)
	n.renewLease()
	switch {
	case m.Kind == SnapshotResponse:
		n.stepSnapshotResponse(m.From, p, m)
	case m.Reject:
		if m.Hint >= p.match {
			p.next = min(m.Hint, n.log.last()) + 1
			p.probing, p.awaitingResponse = true, false
			n.replicate(m.From, p, true)
		}
	default:
		n.updateMatch(now, m.From, p, m.Index)
	}
}

func (n *Node) updateMatch(now time.Time, id uint64, p *peer, index uint64) {
	if index < p.match || index > n.log.last() {
		return
	}
	p.match = index
	p.next = max(p.next, index+1)
	p.probing, p.snapshot = false, nil
	n.advanceCommit(now)
	if n.role == Leader && p.next <= n.log.last() {
		n.replicate(id, p, false)
	}
}
