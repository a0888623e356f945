package crlog

import (
	"slices"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// incomingSnapshot is a snapshot whose chunks are being received.
type incomingSnapshot struct {
	from, index, term, size uint64
	data                    []byte
}

// SnapshotDue reports whether enough entries were applied since the last snapshot to take a new one.
func (n *Node) SnapshotDue() bool {
	s := n.log.snapshot.Index
	return n.applied > s && (n.applied-s > uint64(n.config.SnapshotEntries) || n.log.bytes > n.config.SnapshotBytes)
}

// Compact records a snapshot of the user's state after the entry at index and removes older entries. It returns what the
// caller has to store: the snapshot and the entries that follow it.
func (n *Node) Compact(index uint64, data []byte) (Snapshot, []Entry, error) {
	switch {
	case index > n.applied || index <= n.log.snapshot.Index || n.log.stored < n.applied:
		return Snapshot{}, nil, crcode.New(crcode.BadValue, "no snapshot can be taken at %d", index)
	case len(data) > maxSnapshotBytes:
		return Snapshot{}, nil, crcode.New(crcode.MessageTooLarge, "a snapshot of %d bytes, at most %d", len(data), maxSnapshotBytes)
	}
	s := Snapshot{Index: index, Term: n.log.term(index), Members: n.membersAt(index), Data: data}
	n.log.snapshot = s
	// Some entries before the snapshot stay, so that a follower that lags a little needs no snapshot. They are at most
	// half of the thresholds, so that the next snapshot is not due at once.
	newBase := max(n.log.base, index-min(index, uint64(n.config.SnapshotEntries/2)))
	keptBytes := 0
	for _, e := range n.log.slice(newBase+1, n.log.last(), 0) {
		keptBytes += len(e.Data)
	}
	for ; newBase < index && keptBytes > n.config.SnapshotBytes/2; newBase++ {
		keptBytes -= len(n.log.entries[newBase-n.log.base].Data)
	}
	n.log.compact(newBase)
	n.setCommit(n.commitIndex)
	return s, n.log.slice(index+1, n.log.stored, 0), nil
}

func (n *Node) membersAt(index uint64) Members {
	for i := len(n.memberLists) - 1; i >= 0; i-- {
		if n.memberLists[i].index <= index {
			return n.memberLists[i].members
		}
	}
	return n.log.snapshot.Members
}

// sendSnapshotChunk sends a peer the next chunk of the snapshot; the next heartbeat sends a lost chunk again.
func (n *Node) sendSnapshotChunk(id uint64, p *peer) {
	if p.snapshot == nil {
		s := n.log.snapshot
		p.snapshot, p.snapshotOffset, p.awaitingResponse = &s, 0, false
	}
	if p.awaitingResponse {
		return
	}
	s := p.snapshot
	end := min(p.snapshotOffset+uint64(n.config.MessageBytes), uint64(len(s.Data)))
	n.send(Message{
		Kind: SnapshotChunk, To: id, Index: s.Index, LogTerm: s.Term, Round: n.leaderState.round, Offset: p.snapshotOffset,
		Size: uint64(len(s.Data)), Data: s.Data[p.snapshotOffset:end], Members: s.Members,
	})
	p.awaitingResponse = true
}

// stepSnapshotChunk collects the chunks of a snapshot and installs the snapshot when it is complete.
func (n *Node) stepSnapshotChunk(m Message) {
	if m.Index <= n.commitIndex {
		n.incomingSnapshot = nil
		n.send(Message{Kind: AppendResponse, To: m.From, Index: n.commitIndex, Round: m.Round})
		return
	}
	in := n.incomingSnapshot
	if in == nil || in.from != m.From || in.index != m.Index || in.term != m.LogTerm || in.size != m.Size {
		if m.Size > maxSnapshotBytes {
			return
		}
		in = &incomingSnapshot{from: m.From, index: m.Index, term: m.LogTerm, size: m.Size}
		n.incomingSnapshot = in
	}
	have := uint64(len(in.data))
	if m.Offset == have && have+uint64(len(m.Data)) <= in.size {
		in.data = append(in.data, m.Data...)
	}
	if uint64(len(in.data)) < in.size {
		n.send(Message{Kind: SnapshotResponse, To: m.From, Index: m.Index, Offset: uint64(len(in.data)), Round: m.Round})
		return
	}
	n.incomingSnapshot = nil
	n.installSnapshot(Snapshot{Index: m.Index, Term: m.LogTerm, Members: m.Members, Data: in.data})
	n.send(Message{Kind: AppendResponse, To: m.From, Index: m.Index, Round: m.Round})
}

// installSnapshot replaces the log up to the snapshot. Entries after it stay when the log holds the entry at the
// snapshot's index with the same term.
func (n *Node) installSnapshot(s Snapshot) {
	if n.log.last() >= s.Index && n.log.term(s.Index) == s.Term {
		n.log.compact(s.Index)
		n.log.snapshot = s
		n.memberLists = slices.DeleteFunc(slices.Clone(n.memberLists), func(c memberListAt) bool { return c.index <= s.Index })
	} else {
		n.log.reset(s)
		n.memberLists = nil
	}
	n.memberLists = append([]memberListAt{{s.Index, s.Members}}, n.memberLists...)
	// The entries that stay are stored again, after the snapshot.
	n.log.stored = s.Index
	n.commitIndex, n.applied = s.Index, s.Index
	n.installedSnapshot = &s
}

// stepSnapshotResponse sends the chunk at the offset that the peer requests.
func (n *Node) stepSnapshotResponse(id uint64, p *peer, m Message) {
	if p.snapshot == nil || p.snapshot.Index != m.Index || m.Offset > uint64(len(p.snapshot.Data)) {
		return
	}
	if m.Offset == p.snapshotOffset && p.awaitingResponse && m.Offset != 0 {
		// A duplicate of a response that was handled before.
		return
	}
	p.snapshotOffset, p.awaitingResponse = m.Offset, false
	n.sendSnapshotChunk(id, p)
}

// registrationHeartbeats is the number of heartbeat intervals between registration attempts of an observer without a
// leader.
const registrationHeartbeats = 5

func (n *Node) tickObserver(now time.Time) {
	if now.Sub(n.leaderContact) < 3*n.config.Heartbeat && n.leaderID != 0 ||
		now.Sub(n.lastRegistration) < registrationHeartbeats*n.config.Heartbeat {
		return
	}
	n.lastRegistration = now
	for _, a := range n.config.Seeds {
		n.send(Message{Kind: ObserveRequest, Address: a})
	}
	if n.leaderAddress != "" {
		n.send(Message{Kind: ObserveRequest, Address: n.leaderAddress})
	}
}

// stepObserve registers an observer on the leader; any other member responds with the leader's address.
func (n *Node) stepObserve(now time.Time, m Message) {
	if n.role != Leader {
		if n.leaderID != 0 {
			n.send(Message{
				Kind: ObserveResponse, To: m.From, Address: m.FromAddress, Leader: n.leaderID, LeaderAddress: n.leaderAddress,
			})
		}
		return
	}
	p := n.leaderState.peers[m.From]
	if p == nil {
		if n.observerCount() >= maxObservers || n.Members().find(m.From) != nil {
			return
		}
		p = &peer{address: m.FromAddress, observer: true, next: n.log.last() + 1, probing: true}
		n.leaderState.peers[m.From] = p
	}
	p.lastContact, p.awaitingResponse = now, false
	n.replicate(m.From, p, true)
}

func (n *Node) observerCount() int {
	k := 0
	for _, p := range n.leaderState.peers {
		if p.observer {
			k++
		}
	}
	return k
}

func (n *Node) stepObserveResponse(m Message) {
	if n.config.Observer && m.LeaderAddress != "" {
		n.leaderAddress = m.LeaderAddress
	}
}
