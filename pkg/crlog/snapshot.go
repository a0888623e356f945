package crlog

import (
	"slices"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// incoming is a snapshot that is arriving in parts.
type incoming struct {
	from, index, term, size uint64
	data                    []byte
}

// SnapshotDue reports whether enough entries were applied since the last snapshot to take a new one.
func (n *Node) SnapshotDue() bool {
	s := n.log.snapshot.Index
	return n.handed > s && (n.handed-s > uint64(n.cfg.SnapshotEntries) || n.log.bytes > n.cfg.SnapshotBytes)
}

// Compact takes over a snapshot of the user's state after the entry at index and drops older entries. It returns what
// to store: the snapshot and the entries that follow it.
func (n *Node) Compact(index uint64, data []byte) (Snapshot, []Entry, error) {
	switch {
	case index > n.handed || index <= n.log.snapshot.Index || n.log.stored < n.handed:
		return Snapshot{}, nil, crcode.New(crcode.BadValue, "no snapshot can be taken at %d", index)
	case len(data) > maxSnapshotBytes:
		return Snapshot{}, nil, crcode.New(crcode.MessageTooLarge, "a snapshot of %d bytes, at most %d", len(data), maxSnapshotBytes)
	}
	s := Snapshot{Index: index, Term: n.log.term(index), Members: n.membersAt(index), Data: data}
	n.log.snapshot = s
	// A follower that lags a little is served from the entries; half the threshold keeps the next snapshot away.
	cut := max(n.log.base, index-min(index, uint64(n.cfg.SnapshotEntries/2)))
	bytes := 0
	for _, e := range n.log.slice(cut+1, n.log.last(), 0) {
		bytes += len(e.Data)
	}
	for ; cut < index && bytes > n.cfg.SnapshotBytes/2; cut++ {
		bytes -= len(n.log.entries[cut-n.log.base].Data)
	}
	n.log.compact(cut)
	n.setCommit(n.commit)
	return s, n.log.slice(index+1, n.log.stored, 0), nil
}

func (n *Node) membersAt(index uint64) Members {
	for i := len(n.configs) - 1; i >= 0; i-- {
		if n.configs[i].index <= index {
			return n.configs[i].members
		}
	}
	return n.log.snapshot.Members
}

// sendChunk sends the next part of a snapshot; the heartbeat repeats it when it was lost.
func (n *Node) sendChunk(id uint64, p *peer) {
	if p.sending == nil {
		s := n.log.snapshot
		p.sending, p.offset, p.waiting = &s, 0, false
	}
	if p.waiting {
		return
	}
	s := p.sending
	end := min(p.offset+uint64(n.cfg.MessageBytes), uint64(len(s.Data)))
	n.send(Message{
		Kind: SnapshotChunk, To: id, Index: s.Index, LogTerm: s.Term, Round: n.lead.round, Offset: p.offset,
		Size: uint64(len(s.Data)), Data: s.Data[p.offset:end], Members: s.Members,
	})
	p.waiting = true
}

// stepChunk collects the parts of a snapshot and installs it when it is whole.
func (n *Node) stepChunk(m Message) {
	if m.Index <= n.commit {
		n.incoming = nil
		n.send(Message{Kind: AppendResponse, To: m.From, Index: n.commit, Round: m.Round})
		return
	}
	in := n.incoming
	if in == nil || in.from != m.From || in.index != m.Index || in.term != m.LogTerm || in.size != m.Size {
		if m.Size > maxSnapshotBytes {
			return
		}
		in = &incoming{from: m.From, index: m.Index, term: m.LogTerm, size: m.Size}
		n.incoming = in
	}
	have := uint64(len(in.data))
	if m.Offset == have && have+uint64(len(m.Data)) <= in.size {
		in.data = append(in.data, m.Data...)
	}
	if uint64(len(in.data)) < in.size {
		n.send(Message{Kind: SnapshotResponse, To: m.From, Index: m.Index, Offset: uint64(len(in.data)), Round: m.Round})
		return
	}
	n.incoming = nil
	n.install(Snapshot{Index: m.Index, Term: m.LogTerm, Members: m.Members, Data: in.data})
	n.send(Message{Kind: AppendResponse, To: m.From, Index: m.Index, Round: m.Round})
}

// install replaces the log up to the snapshot; entries after it stay when they belong to the same history.
func (n *Node) install(s Snapshot) {
	if n.log.last() >= s.Index && n.log.term(s.Index) == s.Term {
		n.log.compact(s.Index)
		n.log.snapshot = s
		n.configs = slices.DeleteFunc(slices.Clone(n.configs), func(c indexedMembers) bool { return c.index <= s.Index })
	} else {
		n.log.reset(s)
		n.configs = nil
	}
	n.configs = append([]indexedMembers{{s.Index, s.Members}}, n.configs...)
	// The entries that stay are stored again, after the snapshot.
	n.log.stored = s.Index
	n.commit, n.handed = s.Index, s.Index
	n.installed = &s
}

// stepChunkResponse goes on with the part that the peer asks for.
func (n *Node) stepChunkResponse(id uint64, p *peer, m Message) {
	if p.sending == nil || p.sending.Index != m.Index || m.Offset > uint64(len(p.sending.Data)) {
		return
	}
	if m.Offset == p.offset && p.waiting && m.Offset != 0 {
		// A repeated answer.
		return
	}
	p.offset, p.waiting = m.Offset, false
	n.sendChunk(id, p)
}

// observeInterval is the number of heartbeats between two registrations of an observer without a leader.
const observeInterval = 5

func (n *Node) tickObserver(now time.Time) {
	if now.Sub(n.heard) < 3*n.cfg.Heartbeat && n.leader != 0 || now.Sub(n.lastObserve) < observeInterval*n.cfg.Heartbeat {
		return
	}
	n.lastObserve = now
	for _, a := range n.cfg.Seeds {
		n.send(Message{Kind: ObserveRequest, Address: a})
	}
	if n.leaderAddr != "" {
		n.send(Message{Kind: ObserveRequest, Address: n.leaderAddr})
	}
}

// stepObserve registers an observer at the leader; any other member names the leader.
func (n *Node) stepObserve(now time.Time, m Message) {
	if n.role != Leader {
		if n.leader != 0 {
			n.send(Message{Kind: ObserveResponse, To: m.From, Address: m.FromAddress, Leader: n.leader, LeaderAddress: n.leaderAddr})
		}
		return
	}
	p := n.lead.peers[m.From]
	if p == nil {
		if n.observers() >= maxObservers || n.Members().find(m.From) != nil {
			return
		}
		p = &peer{address: m.FromAddress, observer: true, next: n.log.last() + 1, probing: true}
		n.lead.peers[m.From] = p
	}
	p.heard, p.waiting = now, false
	n.replicate(m.From, p, true)
}

func (n *Node) observers() int {
	k := 0
	for _, p := range n.lead.peers {
		if p.observer {
			k++
		}
	}
	return k
}

func (n *Node) stepObserveResponse(m Message) {
	if n.cfg.Observer && m.LeaderAddress != "" {
		n.leaderAddr = m.LeaderAddress
	}
}
